package events

import (
	"fmt"
	"io"
	"sync"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
)

const (
	// sinkLines bounds the lines that wait to be written; at 300 bytes a line
	// they take about 300 KB.
	sinkLines = 1024
	// sinkBatch bounds the bytes of one write.
	sinkBatch = 16 << 10
)

// Sink writes log lines without ever blocking those who log: lines that find it
// full are dropped and counted.
type Sink struct {
	lines chan []byte
	done  chan struct{}

	mutex   sync.Mutex
	dropped int
	closed  bool
}

// NewSink starts writing to a stream. Close ends it.
func NewSink(w io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, sinkLines), done: make(chan struct{})}
	go s.run(w)
	return s
}

// NewLogger logs JSON lines to a sink.
func NewLogger(s *Sink) log.Interface {
	return &log.Logger{Handler: json.New(s), Level: log.InfoLevel}
}

// Write takes one line. It never fails and never waits.
func (s *Sink) Write(line []byte) (int, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped++
	}
	return len(line), nil
}

// Dropped is how many lines were lost so far.
func (s *Sink) Dropped() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.dropped
}

// Close writes what waits.
func (s *Sink) Close() {
	s.mutex.Lock()
	if !s.closed {
		s.closed = true
		close(s.lines)
	}
	s.mutex.Unlock()
	<-s.done
}

func (s *Sink) run(w io.Writer) {
	defer close(s.done)
	told := 0
	for line := range s.lines {
		batch := line
		for len(batch) < sinkBatch && len(s.lines) > 0 {
			next, ok := <-s.lines
			if !ok {
				break
			}
			batch = append(batch, next...)
		}
		if dropped := s.Dropped(); dropped > told {
			batch = fmt.Appendf(batch, `{"fields":{"dropped":%d},"level":"warn","message":"linesDropped"}`+"\n", dropped-told)
			told = dropped
		}
		_, _ = w.Write(batch) // There is nowhere left to report a failure.
	}
}
