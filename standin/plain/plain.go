// Package plain simulates a plain service, one without a model engine. It counts how
// often each operation ran.
package plain

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// OperationHeader is the request header with the name of the caller's operation, by
// which runs are counted.
const OperationHeader = "X-Operation"

// Requests to HintsPath get an early hints response (103) before the final one, which
// ends with a trailer named TrailerName.
const (
	HintsPath   = "/hints"
	TrailerName = "X-Checksum"
)

// Ledger counts the runs of each operation across all replicas of a service.
type Ledger struct {
	mutex sync.Mutex
	runs  map[string]int
}

// Runs returns the number of runs of each operation.
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

// Service simulates one replica of a plain service.
type Service struct {
	Name   string
	Ledger *Ledger
	// Delay is the duration of each request.
	Delay time.Duration
}

// ServeHTTP counts the request's operation and echoes the body.
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
