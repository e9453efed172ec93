// Package platform simulates the platform's append-only log and list of instances over
// HTTP, and injects faults into the log.
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
	"chervilswitch.example/shared/wait"

	"golang.org/x/time/rate"
)

const (
	// appendsPerSecond and appendBurst limit the rate of appends over all streams.
	appendsPerSecond = 500
	appendBurst      = 100
	maxRecordBytes   = 4 << 20
)

// Log simulates the log service and its faults. Its methods are safe for concurrent use.
type Log struct {
	mutex           sync.Mutex
	streams         map[platform.Stream]*stream
	limiter         *rate.Limiter
	down            bool
	delay           time.Duration
	responsesToLose int
	appendsToDrop   int
	// Appends, Reads and ReadBytes count the records appended, the reads and the bytes
	// of the records returned.
	Appends   int
	Reads     int
	ReadBytes int
}

// stream holds the retained records of one stream; first is the offset of the oldest.
// appended is closed and replaced at each append.
type stream struct {
	first    platform.Offset
	records  []storedRecord
	appended chan struct{}
}

// storedRecord is a record with the time of its append.
type storedRecord struct {
	at   time.Time
	data json.RawMessage
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{
		streams: make(map[platform.Stream]*stream),
		limiter: rate.NewLimiter(appendsPerSecond, appendBurst),
	}
}

// SetDown begins or ends an outage, in which every request fails with status 503.
func (l *Log) SetDown(down bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.down = down
}

// SetDelay delays every response.
func (l *Log) SetDelay(delay time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.delay = delay
}

// LoseResponses makes the next count appends add their record but respond with an error.
func (l *Log) LoseResponses(count int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.responsesToLose = count
}

// DropAppends makes the next count appends fail without adding their record.
func (l *Log) DropAppends(count int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.appendsToDrop = count
}

// Retain deletes all records of a stream except the newest count.
func (l *Log) Retain(name platform.Stream, count int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s := l.stream(name)
	for len(s.records) > count {
		s.records = s.records[1:]
		s.first++
	}
}

// Records returns the retained records of a stream, oldest first.
func (l *Log) Records(name platform.Stream) []json.RawMessage {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var all []json.RawMessage
	for _, r := range l.stream(name).records {
		all = append(all, r.data)
	}
	return all
}

// stream returns a stream and creates it if needed. The caller holds the mutex.
func (l *Log) stream(name platform.Stream) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{first: 1, appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// Register adds the log's routes to mux.
func (l *Log) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /streams/{stream}", l.serveAppend)
	mux.HandleFunc("GET /streams/{stream}", l.serveRead)
}

// applyFaults waits for the delay of SetDelay. It returns false after it responded with an
// error because the log is down.
func (l *Log) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	l.mutex.Lock()
	down, delay := l.down, l.delay
	l.mutex.Unlock()
	wait.Sleep(r.Context(), delay)
	if down {
		http.Error(w, "the log is unavailable", http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil || !json.Valid(data) {
		http.Error(w, "a record must be JSON of at most 4 MiB", http.StatusBadRequest)
		return
	}
	if !l.applyFaults(w, r) {
		return
	}
	if !l.limiter.Allow() {
		http.Error(w, "the rate limit for appends is exceeded", http.StatusTooManyRequests)
		return
	}
	offset, confirmed := l.append(platform.Stream(r.PathValue("stream")), data)
	if !confirmed {
		http.Error(w, "the outcome of the append is unknown", http.StatusGatewayTimeout)
		return
	}
	writeJSON(w, map[string]platform.Offset{"offset": offset})
}

// append adds a record unless DropAppends applies. It returns false if the response is
// to be an error, whether the record was added or not.
func (l *Log) append(name platform.Stream, data json.RawMessage) (offset platform.Offset, confirmed bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.appendsToDrop > 0 {
		l.appendsToDrop--
		return 0, false
	}
	l.Appends++
	s := l.stream(name)
	s.records = append(s.records, storedRecord{at: time.Now(), data: data})
	close(s.appended)
	s.appended = make(chan struct{})
	if l.responsesToLose > 0 {
		l.responsesToLose--
		return 0, false
	}
	return s.first + platform.Offset(len(s.records)) - 1, true
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	if !l.applyFaults(w, r) {
		return
	}
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "parameter from must be an unsigned number", http.StatusBadRequest)
		return
	}
	limit, err := strconv.Atoi(query.Get("max"))
	if err != nil || limit < 1 {
		http.Error(w, "parameter max must be a positive number", http.StatusBadRequest)
		return
	}
	milliseconds, err := strconv.Atoi(query.Get("waitMilliseconds"))
	if err != nil {
		http.Error(w, "parameter waitMilliseconds must be a number", http.StatusBadRequest)
		return
	}
	name := platform.Stream(r.PathValue("stream"))
	l.awaitRecord(r.Context(), name, platform.Offset(from), time.Duration(milliseconds)*time.Millisecond)
	writeJSON(w, l.page(name, platform.Offset(from), limit))
}

// awaitRecord waits for a record at the offset from or later, at most for the timeout.
func (l *Log) awaitRecord(ctx context.Context, name platform.Stream, from platform.Offset, timeout time.Duration) {
	l.mutex.Lock()
	s := l.stream(name)
	appended, available := s.appended, from < s.first+platform.Offset(len(s.records))
	l.mutex.Unlock()
	if available {
		return
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-appended:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// page returns up to limit records from an offset on.
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

// List simulates the platform's list of instances. It holds those for which SetLeaving
// was called. The zero value is an empty list.
type List struct {
	mutex   sync.Mutex
	leaving map[string]bool
}

// SetLeaving adds an instance to the list, if needed, and sets its leaving flag.
func (l *List) SetLeaving(name string, leaving bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.leaving == nil {
		l.leaving = make(map[string]bool)
	}
	l.leaving[name] = leaving
}

// Register adds the list's route to mux.
func (l *List) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, _ *http.Request) {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		list := []platform.InstanceState{}
		for name, leaving := range l.leaving {
			list = append(list, platform.InstanceState{Name: name, Leaving: leaving})
		}
		writeJSON(w, list)
	})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // On an error, the client gets a truncated response.
}
