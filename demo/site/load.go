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
	tokensPerAnswer = 8
	prompts         = 20
	// depositEvery is how many requests of a caller there are to one deposit.
	depositEvery = 4
	depositTries = 3
	callerPause  = 20 * time.Millisecond
	refusedPause = 100 * time.Millisecond
	maxLatency   = time.Minute
	digits       = 3
)

// Stats is what callers saw.
type Stats struct {
	Whole, NotRun, Unknown, Mixed, Deposits     int
	FirstTokenP50, FirstTokenP95, FirstTokenP99 time.Duration
}

// LoadGenerator is callers that send model requests and deposits through all entries,
// and try deposits again with the same key whatever they were told.
type LoadGenerator struct {
	site   *Site
	cancel context.CancelFunc
	group  sync.WaitGroup
	client *http.Client
	next   atomic.Int64

	mutex    sync.Mutex
	seen     Stats
	first    *hdrhistogram.Histogram
	notRun   map[string]bool
	deposits map[string]bool
}

// NewLoadGenerator gives a load that Start begins.
func NewLoadGenerator(s *Site) *LoadGenerator {
	return &LoadGenerator{
		site: s, cancel: func() {},
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		first:    hdrhistogram.New(1, maxLatency.Microseconds(), digits),
		notRun:   make(map[string]bool),
		deposits: make(map[string]bool),
	}
}

// Start begins a number of callers.
func (l *LoadGenerator) Start(ctx context.Context, callers int) {
	ctx, l.cancel = context.WithCancel(ctx)
	for range callers {
		l.group.Go(func() { l.call(ctx) })
	}
}

// Stop lets every caller finish its request.
func (l *LoadGenerator) Stop() {
	l.cancel()
	l.group.Wait()
}

// Stats is what callers saw so far.
func (l *LoadGenerator) Stats() Stats {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	seen := l.seen
	seen.FirstTokenP50 = time.Duration(l.first.ValueAtQuantile(50)) * time.Microsecond
	seen.FirstTokenP95 = time.Duration(l.first.ValueAtQuantile(95)) * time.Microsecond
	seen.FirstTokenP99 = time.Duration(l.first.ValueAtQuantile(99)) * time.Microsecond
	return seen
}

// Reset forgets the latencies, for a new phase.
func (l *LoadGenerator) Reset() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.first.Reset()
}

// CheckDeposits counts deposits that ran twice, and those that ran though every
// answer to them said that they were not run.
func (l *LoadGenerator) CheckDeposits() (twice, notRunButRan int) {
	runs := l.site.Ledger.Runs()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for name := range l.deposits {
		if runs[name] > 1 {
			twice++
		}
		if runs[name] > 0 && l.notRun[name] {
			notRunButRan++
		}
	}
	return twice, notRunButRan
}

// call is one caller. Its requests end even when the load stops.
func (l *LoadGenerator) call(ctx context.Context) {
	for ctx.Err() == nil {
		n := l.next.Add(1)
		var refused bool
		if n%depositEvery == 0 {
			refused = l.deposit(n)
		} else {
			refused = l.chat(n)
		}
		if refused {
			time.Sleep(refusedPause)
		}
		time.Sleep(callerPause)
	}
}

// entry picks an entry that runs.
func (l *LoadGenerator) entry(n int64) string {
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
	address := "http://" + l.site.Callers[l.entry(n)].String() + path
	request, err := http.NewRequest(method, address, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+APIKey)
	return request, nil
}

// chat sends a streamed request and checks every token of its answer.
func (l *LoadGenerator) chat(n int64) (refused bool) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"system","content":"prompt %d"},{"role":"user","content":"w%d"}]}`,
		Model, tokensPerAnswer, n%prompts, n)
	request, err := l.request(http.MethodPost, "/v1/chat/completions", body, n)
	if err != nil {
		return true
	}
	request.Header.Set("Content-Type", "application/json")
	started := time.Now()
	response, err := l.client.Do(request)
	if err != nil {
		l.count(func(s *Stats) { s.Unknown++ })
		return true
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return l.countFailure(response)
	}
	l.readTokens(n, response.Body, started)
	return false
}

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
			l.count(func(s *Stats) { s.Mixed++ })
			return
		default:
			if tokens == 0 {
				l.record(time.Since(started))
			}
			tokens++
		}
	}
	switch {
	case scanner.Err() != nil:
		l.count(func(s *Stats) { s.Unknown++ })
	case done && tokens == tokensPerAnswer:
		l.count(func(s *Stats) { s.Whole++ })
	default:
		l.count(func(s *Stats) { s.Mixed++ }) // It ended as if it were whole.
	}
}

func (l *LoadGenerator) record(latency time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	_ = l.first.RecordValue(latency.Microseconds()) // Longer than a minute counts as seen elsewhere.
}

func (l *LoadGenerator) count(f func(*Stats)) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	f(&l.seen)
}

// countFailure counts an error answer; it returns true if nothing was run.
func (l *LoadGenerator) countFailure(response *http.Response) bool {
	var failure struct {
		Outcome string `json:"outcome"`
	}
	_ = json.NewDecoder(response.Body).Decode(&failure) // An empty outcome counts as unknown.
	if failure.Outcome == "notRun" {
		l.count(func(s *Stats) { s.NotRun++ })
		return true
	}
	l.count(func(s *Stats) { s.Unknown++ })
	return false
}

// deposit sends one deposit several times with one key, through several entries.
func (l *LoadGenerator) deposit(n int64) (refused bool) {
	name := fmt.Sprint("deposit-", n)
	l.mutex.Lock()
	l.deposits[name] = true
	l.seen.Deposits++
	l.mutex.Unlock()
	allNotRun := true
	for try := range int64(depositTries) {
		request, err := l.request(http.MethodPost, "/services/"+PlainService+"/deposits", "amount=5", n+try)
		if err != nil {
			return true
		}
		request.Header.Set("Idempotency-Key", name)
		request.Header.Set(plain.OperationHeader, name)
		response, err := l.client.Do(request)
		if err != nil {
			allNotRun = false
			l.count(func(s *Stats) { s.Unknown++ })
			continue
		}
		allNotRun = l.countDeposit(response) && allNotRun
	}
	if allNotRun {
		l.mutex.Lock()
		l.notRun[name] = true
		l.mutex.Unlock()
	}
	return allNotRun
}

// countDeposit counts one answer; it returns true if it says that nothing was run.
func (l *LoadGenerator) countDeposit(response *http.Response) bool {
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return l.countFailure(response)
	}
	raw, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		l.count(func(s *Stats) { s.Unknown++ })
	case strings.HasSuffix(string(raw), "amount=5"):
		l.count(func(s *Stats) { s.Whole++ })
	default:
		l.count(func(s *Stats) { s.Mixed++ })
	}
	return false
}
