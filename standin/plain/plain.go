// Package plain is a small stand-in for a plain service beside the model
// engines. It counts how often each request ran.
package plain

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// OperationHeader names the caller's operation, so that runs can be counted.
const OperationHeader = "X-Operation"

// HintsPath answers with an early hint first and a trailer named TrailerName last.
const (
	HintsPath   = "/hints"
	TrailerName = "X-Checksum"
)

// Ledger counts runs across all the service's replicas.
type Ledger struct {
	mutex sync.Mutex
	runs  map[string]int
}

// Runs gives the number of runs of each operation.
func (l *Ledger) Runs() map[string]int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	runs := make(map[string]int, len(l.runs))
	for name, count := range l.runs {
		runs[name] = count
	}
	return runs
}

func (l *Ledger) add(name string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.runs == nil {
		l.runs = make(map[string]int)
	}
	l.runs[name]++
}

// Service is one replica.
type Service struct {
	Name   string
	Ledger *Ledger
	// Delay is how long each request takes.
	Delay time.Duration
}

// ServeHTTP runs a request: it counts the operation and echoes the body.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	if name := r.Header.Get(OperationHeader); name != "" {
		s.Ledger.add(name)
	}
	time.Sleep(s.Delay)
	if r.URL.Path == HintsPath {
		w.Header().Set("Link", "</style.css>; rel=preload")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Del("Link")
		w.Header().Set("Trailer", TrailerName)
		defer w.Header().Set(TrailerName, "sum")
	}
	w.Header().Set("X-Replica", s.Name)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	fmt.Fprintf(w, "%s %s by %s: %s", r.Method, r.URL.Path, s.Name, body)
}
