package events

import (
	"fmt"
	"io"
	"sync"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
)

const (
	// sinkCapacity is the maximum number of buffered lines; at 300 bytes per line they
	// take about 300 KB.
	sinkCapacity = 1024
	// batchBytes is the size at which a batch is written even if more lines are
	// buffered.
	batchBytes = 16 << 10
)

// Sink writes log lines asynchronously, so that logging never blocks. It drops and
// counts the lines that arrive while its buffer is full. It is safe for concurrent use.
type Sink struct {
	lines chan []byte
	done  chan struct{}

	mutex   sync.Mutex
	dropped int
	closed  bool
}

// NewSink returns a sink that writes to w until Close.
func NewSink(w io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, sinkCapacity), done: make(chan struct{})}
	go s.run(w)
	return s
}

// NewLogger returns a logger that writes JSON lines to a sink.
func NewLogger(s *Sink) log.Interface {
	return &log.Logger{Handler: json.New(s), Level: log.InfoLevel}
}

// Write buffers a copy of one line. It never blocks and never returns an error; after
// Close it discards the line.
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

// Dropped returns the number of lines dropped so far because the buffer was full.
func (s *Sink) Dropped() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.dropped
}

// Close writes the buffered lines and returns when they are written.
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
	reported := 0
	for line := range s.lines {
		batch := line
		for len(batch) < batchBytes && len(s.lines) > 0 {
			next, ok := <-s.lines
			if !ok {
				break
			}
			batch = append(batch, next...)
		}
		if dropped := s.Dropped(); dropped > reported {
			batch = fmt.Appendf(batch, `{"fields":{"dropped":%d},"level":"warn","message":"linesDropped"}`+"\n", dropped-reported)
			reported = dropped
		}
		_, _ = w.Write(batch) // A failure of the log itself cannot be logged.
	}
}
