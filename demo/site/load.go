package site

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"chervilswitch.example/standin/plain"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	tokensPerResponse = 8
	distinctPrompts   = 20
	// depositEvery is the number of requests, over all callers, of which one is a
	// deposit.
	depositEvery    = 4
	depositAttempts = 3
	requestInterval = 20 * time.Millisecond
	refusalBackoff  = 100 * time.Millisecond
	maxLatency      = time.Minute
	histogramDigits = 3
)

// Stats counts the responses that callers received, by outcome, and holds quantiles of
// the time to the first token. Whole responses are complete and correct; Mixed ones
// carry wrong data or are truncated without an error; Unknown ones failed or carry an
// error that does not rule out that the request ran. Deposits counts the deposits
// that were begun.
type Stats struct {
	Whole, NotRun, Unknown, Mixed, Deposits     int
	FirstTokenP50, FirstTokenP95, FirstTokenP99 time.Duration
}

// LoadGenerator simulates callers that send model requests and deposits through all
// entries. Each deposit is sent several times with one idempotency key, whatever the
// responses are.
type LoadGenerator struct {
	site        *Site
	cancel      context.CancelFunc
	goroutines  sync.WaitGroup
	client      *http.Client
	nextRequest atomic.Int64

	mutex             sync.Mutex
	stats             Stats
	firstTokenLatency *hdrhistogram.Histogram
	reportedNotRun    map[string]bool
	deposits          map[string]bool
}

// NewLoadGenerator returns a load generator that is idle until Start.
func NewLoadGenerator(s *Site) *LoadGenerator {
	return &LoadGenerator{
		site: s, cancel: func() {},
		client:            &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		firstTokenLatency: hdrhistogram.New(1, maxLatency.Microseconds(), histogramDigits),
		reportedNotRun:    make(map[string]bool),
		deposits:          make(map[string]bool),
	}
}

// Start starts a number of concurrent callers, which run until Stop or until ctx ends.
func (l *LoadGenerator) Start(ctx context.Context, callers int) {
	ctx, l.cancel = context.WithCancel(ctx)
	for range callers {
		l.goroutines.Go(func() { l.runCaller(ctx) })
	}
}

// Stop ends the load after every caller's current request has finished.
func (l *LoadGenerator) Stop() {
	l.cancel()
	l.goroutines.Wait()
}

// Stats returns the results so far.
func (l *LoadGenerator) Stats() Stats {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	stats := l.stats
	stats.FirstTokenP50 = time.Duration(l.firstTokenLatency.ValueAtQuantile(50)) * time.Microsecond
	stats.FirstTokenP95 = time.Duration(l.firstTokenLatency.ValueAtQuantile(95)) * time.Microsecond
	stats.FirstTokenP99 = time.Duration(l.firstTokenLatency.ValueAtQuantile(99)) * time.Microsecond
	return stats
}

// Reset discards the latencies but not the counters, to begin a new phase.
func (l *LoadGenerator) Reset() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.firstTokenLatency.Reset()
}

// CheckDeposits returns the number of deposits that ran more than once, and of those
// that ran although every response to them had the outcome notRun.
func (l *LoadGenerator) CheckDeposits() (twice, notRunButRan int) {
	runs := l.site.Ledger.Runs()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for name := range l.deposits {
		if runs[name] > 1 {
			twice++
		}
		if runs[name] > 0 && l.reportedNotRun[name] {
			notRunButRan++
		}
	}
	return twice, notRunButRan
}

// runCaller sends requests one after another until ctx ends. A request in flight is
// not cancelled.
func (l *LoadGenerator) runCaller(ctx context.Context) {
	for ctx.Err() == nil {
		n := l.nextRequest.Add(1)
		var refused bool
		if n%depositEvery == 0 {
			refused = l.sendDeposit(n)
		} else {
			refused = l.sendChat(n)
		}
		if refused {
			time.Sleep(refusalBackoff)
		}
		time.Sleep(requestInterval)
	}
}

// pickEntry returns a running entry, selected round-robin by the request number n. If
// no entry is running, it returns the first one.
func (l *LoadGenerator) pickEntry(n int64) string {
	for i := range l.site.options.Entries {
		name := fmt.Sprintf("entry-%d", (int(n)+i)%l.site.options.Entries)
		select {
		case <-l.site.Processes[name].Done:
		default:
			return name
		}
	}
	return "entry-0"
}

func (l *LoadGenerator) request(method, path, body string, n int64) (*http.Request, error) {
	address := "http://" + l.site.Callers[l.pickEntry(n)].String() + path
	request, err := http.NewRequest(method, address, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+APIKey)
	return request, nil
}

// sendChat sends a streaming request and checks every token of the response.
func (l *LoadGenerator) sendChat(n int64) (refused bool) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"system","content":"prompt %d"},{"role":"user","content":"w%d"}]}`,
		Model, tokensPerResponse, n%distinctPrompts, n)
	request, err := l.request(http.MethodPost, "/v1/chat/completions", body, n)
	if err != nil {
		return true
	}
	request.Header.Set("Content-Type", "application/json")
	started := time.Now()
	response, err := l.client.Do(request)
	if err != nil {
		l.update(func(s *Stats) { s.Unknown++ })
		return true
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return l.countFailure(response)
	}
	l.readTokens(n, response.Body, started)
	return false
}

// readTokens checks that a stream holds the tokens of request n in order and ends
// with the end marker.
func (l *LoadGenerator) readTokens(n int64, body io.Reader, started time.Time) {
	scanner := bufio.NewScanner(body)
	tokens, done := 0, false
	for scanner.Scan() {
		line, isData := strings.CutPrefix(scanner.Text(), "data: ")
		switch {
		case !isData:
		case line == "[DONE]":
			done = true
		case !strings.Contains(line, fmt.Sprintf(`"w%d%d `, n, tokens)):
			l.update(func(s *Stats) { s.Mixed++ })
			return
		default:
			if tokens == 0 {
				l.recordFirstToken(time.Since(started))
			}
			tokens++
		}
	}
	switch {
	case scanner.Err() != nil:
		l.update(func(s *Stats) { s.Unknown++ })
	case done && tokens == tokensPerResponse:
		l.update(func(s *Stats) { s.Whole++ })
	default:
		l.update(func(s *Stats) { s.Mixed++ }) // The stream was truncated without an error.
	}
}

func (l *LoadGenerator) recordFirstToken(latency time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	_ = l.firstTokenLatency.RecordValue(latency.Microseconds()) // Latencies above maxLatency are left out.
}

func (l *LoadGenerator) update(f func(*Stats)) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	f(&l.stats)
}

// countFailure counts an error response. It returns true if the outcome is notRun.
func (l *LoadGenerator) countFailure(response *http.Response) bool {
	var failure struct {
		Outcome string `json:"outcome"`
	}
	_ = json.NewDecoder(response.Body).Decode(&failure) // A body that cannot be decoded counts as unknown.
	if failure.Outcome == "notRun" {
		l.update(func(s *Stats) { s.NotRun++ })
		return true
	}
	l.update(func(s *Stats) { s.Unknown++ })
	return false
}

// sendDeposit sends one deposit several times with one idempotency key, each time
// through the next entry. It returns true if every response had the outcome notRun.
func (l *LoadGenerator) sendDeposit(n int64) (refused bool) {
	name := fmt.Sprint("deposit-", n)
	l.mutex.Lock()
	l.deposits[name] = true
	l.stats.Deposits++
	l.mutex.Unlock()
	allNotRun := true
	for try := range int64(depositAttempts) {
		request, err := l.request(http.MethodPost, "/services/"+PlainService+"/deposits", "amount=5", n+try)
		if err != nil {
			return true
		}
		request.Header.Set("Idempotency-Key", name)
		request.Header.Set(plain.OperationHeader, name)
		response, err := l.client.Do(request)
		if err != nil {
			allNotRun = false
			l.update(func(s *Stats) { s.Unknown++ })
			continue
		}
		allNotRun = l.countDepositResponse(response) && allNotRun
	}
	if allNotRun {
		l.mutex.Lock()
		l.reportedNotRun[name] = true
		l.mutex.Unlock()
	}
	return allNotRun
}

// countDepositResponse counts a response to a deposit. It returns true if the outcome
// is notRun.
func (l *LoadGenerator) countDepositResponse(response *http.Response) bool {
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return l.countFailure(response)
	}
	raw, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		l.update(func(s *Stats) { s.Unknown++ })
	case strings.HasSuffix(string(raw), "amount=5"):
		l.update(func(s *Stats) { s.Whole++ })
	default:
		l.update(func(s *Stats) { s.Mixed++ })
	}
	return false
}
