// Package engine simulates a model engine over HTTP: decoding steps of fixed duration
// for concurrent requests, a limited prefix cache, cold start, cancellation and
// delayed load reports.
package engine

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// BootHeader is the response header with the engine's boot number, which grows with
// every restart.
const BootHeader = "X-Engine-Boot"

// AttemptHeader is the request header with the attempt's ID, by which the request can
// be cancelled.
const AttemptHeader = "X-Attempt"

const (
	// defaultTokens is the length of a response if the request sets no max_tokens.
	defaultTokens = 16
	// warmupRequests is the number of finished requests after which the engine is warm.
	warmupRequests = 4
	// coldSlowdown is the factor by which prefill and steps take longer while cold.
	coldSlowdown = 3
)

// Options configures an engine.
type Options struct {
	Name string
	// Step is the time of one decoding step. Prefill is the time to process a prompt;
	// a cached prefix halves it.
	Step    time.Duration
	Prefill time.Duration
	// ColdLimit is the number of concurrent requests allowed while the engine is cold.
	// Requests beyond it run, but count as ColdOverload.
	ColdLimit int
	// CachedPrefixes is the capacity of the prefix cache, at least 1.
	CachedPrefixes int
	// ReportLag is the age of the load reports that the engine returns.
	ReportLag time.Duration
}

// Engine simulates one model engine. Its methods are safe for concurrent use.
type Engine struct {
	options Options
	mutex   sync.Mutex
	boot    int
	served  int
	// running holds the stop channel of each attempt, cached the useCount at the last
	// use of each prefix.
	running  map[string]chan struct{}
	cached   map[uint64]int
	useCount int
	leaving  bool
	reports  []report
	counts   Counts
}

// Counts holds the engine's request counters since it was created.
type Counts struct {
	Received int
	// ColdOverload counts requests received beyond the cold limit while cold.
	ColdOverload int
	Cancelled    int
	CacheHits    int
	LastReceived time.Time
}

// report is a load report with the time when it was recorded.
type report struct {
	at      time.Time
	Boot    string `json:"boot"`
	Running int    `json:"running"`
	Cold    bool   `json:"cold"`
	Leaving bool   `json:"leaving"`
}

// New returns an engine in cold start.
func New(options Options) *Engine {
	return &Engine{options: options, boot: 1, running: make(map[string]chan struct{}), cached: make(map[uint64]int)}
}

// Counts returns the current counters.
func (e *Engine) Counts() Counts {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.counts
}

// Running returns the number of requests in progress.
func (e *Engine) Running() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return len(e.running)
}

// Restart aborts all requests, clears the prefix cache and begins a cold start with a
// new boot number.
func (e *Engine) Restart() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.boot++
	e.served = 0
	clear(e.cached)
	for _, stop := range e.running {
		close(stop)
	}
	clear(e.running)
}

// SetLeaving sets the leaving flag of the engine's load reports.
func (e *Engine) SetLeaving(leaving bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.leaving = leaving
}

// Register adds the engine's routes to mux.
func (e *Engine) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("DELETE /attempts/{attempt...}", e.serveCancel)
}

func (e *Engine) cold() bool { return e.served < warmupRequests }

// startRequest registers an attempt and returns its durations and the boot number. The
// stop channel is closed when the request must end.
func (e *Engine) startRequest(attempt string, prefix uint64) (stop chan struct{}, boot string, prefill, step time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.counts.Received++
	e.counts.LastReceived = time.Now()
	if e.cold() && len(e.running) >= e.options.ColdLimit {
		e.counts.ColdOverload++
	}
	stop = make(chan struct{})
	e.running[attempt] = stop
	prefill, step = e.options.Prefill, e.options.Step
	if e.cached[prefix] > 0 {
		e.counts.CacheHits++
		prefill /= 2
	}
	e.cachePrefix(prefix)
	if e.cold() {
		prefill, step = coldSlowdown*prefill, coldSlowdown*step
	}
	return stop, strconv.Itoa(e.boot), prefill, step
}

// cachePrefix adds a prefix to the cache and evicts the least recently used ones.
func (e *Engine) cachePrefix(prefix uint64) {
	e.useCount++
	e.cached[prefix] = e.useCount
	for len(e.cached) > max(1, e.options.CachedPrefixes) {
		oldest, oldestUse := uint64(0), e.useCount+1
		for p, useCount := range e.cached {
			if useCount < oldestUse {
				oldest, oldestUse = p, useCount
			}
		}
		delete(e.cached, oldest)
	}
}

// finishRequest removes an attempt and counts it for the warm-up, unless a cancellation
// or a restart already removed it.
func (e *Engine) finishRequest(attempt string, stop chan struct{}) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.running[attempt] == stop {
		delete(e.running, attempt)
		e.served++
	}
}

type chatRequest struct {
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
	Stream    bool `json:"stream"`
	MaxTokens int  `json:"max_tokens"`
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var request chatRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	if request.MaxTokens == 0 {
		request.MaxTokens = defaultTokens
	}
	attempt := r.Header.Get(AttemptHeader)
	stop, boot, prefill, step := e.startRequest(attempt, prefixHash(request))
	defer e.finishRequest(attempt, stop)
	w.Header().Set(BootHeader, boot)
	if !waitStep(r, stop, prefill) {
		http.Error(w, "the request was cancelled or the engine restarted", http.StatusServiceUnavailable)
		return
	}
	if request.Stream {
		e.streamCompletion(w, r, request, stop, step)
		return
	}
	e.writeCompletion(w, r, request, stop, step)
}

func (e *Engine) streamCompletion(w http.ResponseWriter, r *http.Request, request chatRequest, stop chan struct{}, step time.Duration) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range request.MaxTokens {
		if i > 0 && !waitStep(r, stop, step) {
			panic(http.ErrAbortHandler) // The client must not take a truncated stream for a complete one.
		}
		fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", token(request, i))
		_ = http.NewResponseController(w).Flush()
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func (e *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, request chatRequest, stop chan struct{}, step time.Duration) {
	var text strings.Builder
	for i := range request.MaxTokens {
		if i > 0 && !waitStep(r, stop, step) {
			http.Error(w, "the request was cancelled or the engine restarted", http.StatusServiceUnavailable)
			return
		}
		text.WriteString(token(request, i))
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, "{\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":%q}}]}", text.String())
}

// token returns the nth token of the response, which depends only on the request.
func token(request chatRequest, n int) string {
	words := strings.Fields(request.Messages[len(request.Messages)-1].Content)
	if len(words) == 0 {
		words = []string{"..."}
	}
	return words[n%len(words)] + strconv.Itoa(n) + " "
}

// prefixHash hashes the first message, which stands for the prompt's prefix.
func prefixHash(request chatRequest) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(request.Messages[0].Content)) // Writing to a hash cannot fail.
	return hash.Sum64()
}

// waitStep waits for the duration d. It returns false if the request must end.
func waitStep(r *http.Request, stop chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-stop:
		return false
	case <-r.Context().Done():
		return false
	}
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	attempt := r.PathValue("attempt")
	if stop, ok := e.running[attempt]; ok {
		close(stop)
		delete(e.running, attempt)
		e.counts.Cancelled++
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := time.Now()
	e.reports = append(e.reports, report{
		at: now, Boot: strconv.Itoa(e.boot), Running: len(e.running), Cold: e.cold(), Leaving: e.leaving,
	})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.options.ReportLag {
		e.reports = e.reports[1:]
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(e.reports[0]) // On an error, the client gets a truncated response.
}
