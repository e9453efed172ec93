// Package engine is a small stand-in for a model engine: continuous batching
// by a step clock, a limited prefix cache, cold start, cancelling and lagging
// load reports, over HTTP.
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

// BootHeader names the engine's run in its answers.
const BootHeader = "X-Engine-Boot"

// AttemptHeader names an attempt, so that it can be cancelled.
const AttemptHeader = "X-Attempt"

const (
	defaultTokens = 16
	// warmAfter is the number of requests that warm a cold engine.
	warmAfter = 4
	// coldSlowdown is how many times longer a step takes while cold.
	coldSlowdown = 3
)

// Options shape an engine.
type Options struct {
	Name string
	// Step is the time of one decoding step; Prefill of a prompt without cache.
	Step    time.Duration
	Prefill time.Duration
	// ColdLimit is what the engine can bear while cold.
	ColdLimit int
	// CachedPrefixes is the size of the prefix cache.
	CachedPrefixes int
	// ReportLag is how old load reports are.
	ReportLag time.Duration
}

// Engine is one engine. Its methods are safe for concurrent use.
type Engine struct {
	options Options
	mutex   sync.Mutex
	boot    int
	served  int
	running map[string]chan struct{}
	cached  map[uint64]int
	turn    int
	leaving bool
	reports []report
	counts  Counts
}

// Counts are what the engine saw.
type Counts struct {
	Received int
	// ColdOverload counts requests received beyond the cold limit while cold.
	ColdOverload int
	Cancelled    int
	CacheHits    int
	LastReceived time.Time
}

// report is a load report as it was at a time.
type report struct {
	at      time.Time
	Boot    string `json:"boot"`
	Running int    `json:"running"`
	Cold    bool   `json:"cold"`
	Leaving bool   `json:"leaving"`
}

// New gives an engine in cold start.
func New(options Options) *Engine {
	return &Engine{options: options, boot: 1, running: make(map[string]chan struct{}), cached: make(map[uint64]int)}
}

// Counts gives what the engine saw so far.
func (e *Engine) Counts() Counts {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.counts
}

// Running is the number of requests at work.
func (e *Engine) Running() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return len(e.running)
}

// Restart drops all work and caches and begins a cold start.
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

// SetLeaving makes the engine report that it leaves.
func (e *Engine) SetLeaving(leaving bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.leaving = leaving
}

// Register adds the engine's routes.
func (e *Engine) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("DELETE /attempts/{attempt...}", e.serveCancel)
}

func (e *Engine) cold() bool { return e.served < warmAfter }

// begin counts a request in; stop is closed when its work must end.
func (e *Engine) begin(attempt string, prefix uint64) (stop chan struct{}, boot string, prefill, step time.Duration) {
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
	e.remember(prefix)
	if e.cold() {
		prefill, step = coldSlowdown*prefill, coldSlowdown*step
	}
	return stop, strconv.Itoa(e.boot), prefill, step
}

// remember keeps the newest prefixes.
func (e *Engine) remember(prefix uint64) {
	e.turn++
	e.cached[prefix] = e.turn
	for len(e.cached) > max(1, e.options.CachedPrefixes) {
		oldest, oldestTurn := uint64(0), e.turn+1
		for p, turn := range e.cached {
			if turn < oldestTurn {
				oldest, oldestTurn = p, turn
			}
		}
		delete(e.cached, oldest)
	}
}

func (e *Engine) end(attempt string, stop chan struct{}) {
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
	stop, boot, prefill, step := e.begin(attempt, prefixOf(request))
	defer e.end(attempt, stop)
	w.Header().Set(BootHeader, boot)
	if !pause(r, stop, prefill) {
		http.Error(w, "the engine ended the request", http.StatusServiceUnavailable)
		return
	}
	if request.Stream {
		e.stream(w, r, request, stop, step)
		return
	}
	e.whole(w, r, request, stop, step)
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, request chatRequest, stop chan struct{}, step time.Duration) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range request.MaxTokens {
		if i > 0 && !pause(r, stop, step) {
			panic(http.ErrAbortHandler) // The answer must not look whole.
		}
		fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", token(request, i))
		_ = http.NewResponseController(w).Flush()
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func (e *Engine) whole(w http.ResponseWriter, r *http.Request, request chatRequest, stop chan struct{}, step time.Duration) {
	var text strings.Builder
	for i := range request.MaxTokens {
		if i > 0 && !pause(r, stop, step) {
			http.Error(w, "the engine ended the request", http.StatusServiceUnavailable)
			return
		}
		text.WriteString(token(request, i))
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, "{\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":%q}}]}", text.String())
}

// token is the nth token of the answer; it depends on the request alone.
func token(request chatRequest, n int) string {
	words := strings.Fields(request.Messages[len(request.Messages)-1].Content)
	if len(words) == 0 {
		words = []string{"..."}
	}
	return words[n%len(words)] + strconv.Itoa(n) + " "
}

func prefixOf(request chatRequest) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(request.Messages[0].Content)) // Writing to a hash cannot fail.
	return hash.Sum64()
}

// pause waits for a step; it returns false if the work must end.
func pause(r *http.Request, stop chan struct{}, d time.Duration) bool {
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
	_ = json.NewEncoder(w).Encode(e.reports[0]) // The client sees a cut-off answer.
}
