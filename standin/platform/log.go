// Package platform is a small stand-in for the platform's services: the
// append-only log, the list of instances and the weight store, over HTTP.
package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"chervilswitch.example/shared/platform"

	"golang.org/x/time/rate"
)

const (
	appendsPerSecond = 500
	appendBurst      = 100
	maxRecordBytes   = 4 << 20
)

// Log is the log service. Its methods set faults; all are safe to call at any time.
type Log struct {
	mutex     sync.Mutex
	streams   map[platform.Stream]*stream
	limiter   *rate.Limiter
	down      bool
	delay     time.Duration
	loseNext  int
	dropNext  int
	Appends   int
	Reads     int
	ReadBytes int
}

// stream is the retained records of one stream.
type stream struct {
	first   platform.Offset
	records []kept
	grown   chan struct{}
}

// kept is a record with its time of append.
type kept struct {
	at   time.Time
	data json.RawMessage
}

// NewLog gives an empty log service.
func NewLog() *Log {
	return &Log{
		streams: make(map[platform.Stream]*stream),
		limiter: rate.NewLimiter(appendsPerSecond, appendBurst),
	}
}

// SetDown begins or ends an outage.
func (l *Log) SetDown(down bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.down = down
}

// SetDelay makes every answer slow.
func (l *Log) SetDelay(delay time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.delay = delay
}

// LoseResponses makes the next appends take effect and answer with an error.
func (l *Log) LoseResponses(count int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.loseNext = count
}

// DropAppends makes the next appends fail without an effect.
func (l *Log) DropAppends(count int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.dropNext = count
}

// Retain forgets all records of a stream but the newest ones.
func (l *Log) Retain(name platform.Stream, count int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s := l.stream(name)
	for len(s.records) > count {
		s.records = s.records[1:]
		s.first++
	}
}

// Records gives the retained records of a stream.
func (l *Log) Records(name platform.Stream) []json.RawMessage {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var all []json.RawMessage
	for _, r := range l.stream(name).records {
		all = append(all, r.data)
	}
	return all
}

func (l *Log) stream(name platform.Stream) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{first: 1, grown: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// Register adds the service's routes.
func (l *Log) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /streams/{stream}", l.serveAppend)
	mux.HandleFunc("GET /streams/{stream}", l.serveRead)
}

// hinder applies the faults; it returns false if the request was answered.
func (l *Log) hinder(w http.ResponseWriter, r *http.Request) bool {
	l.mutex.Lock()
	down, delay := l.down, l.delay
	l.mutex.Unlock()
	wait(r.Context(), delay)
	if down {
		http.Error(w, "the log is down", http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil || !json.Valid(data) {
		http.Error(w, "a record is JSON of at most 4 MiB", http.StatusBadRequest)
		return
	}
	if !l.hinder(w, r) {
		return
	}
	if !l.limiter.Allow() {
		http.Error(w, "too many appends", http.StatusTooManyRequests)
		return
	}
	offset, known := l.append(platform.Stream(r.PathValue("stream")), data)
	if !known {
		http.Error(w, "the answer was lost", http.StatusGatewayTimeout)
		return
	}
	answer(w, map[string]platform.Offset{"offset": offset})
}

// append adds a record unless a fault is set; known is false if the answer is lost.
func (l *Log) append(name platform.Stream, data json.RawMessage) (offset platform.Offset, known bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.dropNext > 0 {
		l.dropNext--
		return 0, false
	}
	l.Appends++
	s := l.stream(name)
	s.records = append(s.records, kept{at: time.Now(), data: data})
	close(s.grown)
	s.grown = make(chan struct{})
	if l.loseNext > 0 {
		l.loseNext--
		return 0, false
	}
	return s.first + platform.Offset(len(s.records)) - 1, true
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	if !l.hinder(w, r) {
		return
	}
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from must be a number", http.StatusBadRequest)
		return
	}
	limit, err := strconv.Atoi(query.Get("max"))
	if err != nil || limit < 1 {
		http.Error(w, "max must be a positive number", http.StatusBadRequest)
		return
	}
	milliseconds, err := strconv.Atoi(query.Get("waitMilliseconds"))
	if err != nil {
		http.Error(w, "waitMilliseconds must be a number", http.StatusBadRequest)
		return
	}
	name := platform.Stream(r.PathValue("stream"))
	l.awaitRecord(r.Context(), name, platform.Offset(from), time.Duration(milliseconds)*time.Millisecond)
	answer(w, l.page(name, platform.Offset(from), limit))
}

func (l *Log) awaitRecord(ctx context.Context, name platform.Stream, from platform.Offset, longest time.Duration) {
	l.mutex.Lock()
	s := l.stream(name)
	grown, there := s.grown, from < s.first+platform.Offset(len(s.records))
	l.mutex.Unlock()
	if there {
		return
	}
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case <-grown:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (l *Log) page(name platform.Stream, from platform.Offset, limit int) platform.Page {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.Reads++
	s := l.stream(name)
	from = max(from, s.first)
	page := platform.Page{First: s.first, Next: s.first + platform.Offset(len(s.records))}
	for offset := from; offset < page.Next && len(page.Records) < limit; offset++ {
		r := s.records[offset-s.first]
		l.ReadBytes += len(r.data)
		page.Records = append(page.Records, platform.Record{Offset: offset, Age: time.Since(r.at), Data: r.data})
	}
	return page
}

// List is the platform's list of live and leaving instances.
type List struct {
	mutex   sync.Mutex
	leaving map[string]bool
}

// SetLeaving marks an instance.
func (l *List) SetLeaving(name string, leaving bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.leaving == nil {
		l.leaving = make(map[string]bool)
	}
	l.leaving[name] = leaving
}

// Register adds the list's route.
func (l *List) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, _ *http.Request) {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		list := []platform.InstanceState{}
		for name, leaving := range l.leaving {
			list = append(list, platform.InstanceState{Name: name, Leaving: leaving})
		}
		answer(w, list)
	})
}

func answer(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // The client sees a cut-off answer.
}

func wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
