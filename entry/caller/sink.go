package caller

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"chervilswitch.example/shared/control"
)

// eventEnd closes an event of a stream.
var eventEnd = []byte("\n\n")

// pipeSink hands an answer to a reader, as the generated server wants it. In a
// stream it gives each event the id from which a caller can resume.
type pipeSink struct {
	events bool
	reader *io.PipeReader
	writer *io.PipeWriter
	began  chan struct{}
	ended  chan struct{}
	err    error
	status int
	header http.Header
	// pending is the part of an event whose end was not seen yet.
	pending []byte
}

func newPipeSink(events bool) *pipeSink {
	reader, writer := io.Pipe()
	return &pipeSink{events: events, reader: reader, writer: writer, began: make(chan struct{}), ended: make(chan struct{})}
}

// start runs an exchange into the sink until it or the caller ends.
func (p *pipeSink) start(ctx context.Context, x *exchange, begin control.Event) {
	go func() {
		err := x.run(ctx, begin)
		if err == nil && len(p.pending) > 0 {
			_, err = p.writer.Write(p.pending)
		}
		p.err = err
		p.writer.CloseWithError(err)
		close(p.ended)
	}()
}

func (p *pipeSink) hint(int, http.Header) {}

func (p *pipeSink) head(status int, header http.Header) error {
	p.status, p.header = status, header
	close(p.began)
	return nil
}

// write passes whole events on, each with its id before the closing blank line.
func (p *pipeSink) write(at where, data []byte) error {
	if !p.events || p.status != http.StatusOK {
		_, err := p.writer.Write(data)
		return err
	}
	p.pending = append(p.pending, data...)
	for {
		end := bytes.Index(p.pending, eventEnd)
		if end < 0 {
			return nil
		}
		rest := p.pending[end+len(eventEnd):]
		seen := at
		seen.position -= uint64(len(rest))
		event := append(p.pending[:end:end], "\nid: "+eventID(seen)+"\n\n"...)
		if _, err := p.writer.Write(event); err != nil {
			return err
		}
		p.pending = append([]byte(nil), rest...)
	}
}

// awaitHead waits for the target's status.
func (p *pipeSink) awaitHead(ctx context.Context) (int, http.Header, error) {
	select {
	case <-p.began:
		return p.status, p.header, nil
	case <-p.ended:
	case <-ctx.Done():
		return 0, nil, ctx.Err()
	}
	select {
	case <-p.began:
		return p.status, p.header, nil
	default:
		return 0, nil, p.err
	}
}

// targetError turns a target's own error into what the caller is told.
func (p *pipeSink) targetError(status int) error {
	raw, err := io.ReadAll(io.LimitReader(p.reader, prefixBytes))
	if err != nil {
		return err
	}
	return &badRequest{status: status, code: "targetError", field: "body", message: string(raw)}
}

// eventID names a place in an attempt's output, so that any entry can go on
// from it: attempt@target@incarnation@position.
func eventID(at where) string {
	return fmt.Sprintf("%s@%s@%x@%d", at.attempt, at.target, at.incarnation, at.position)
}

// parseEventID reads what eventID wrote.
func parseEventID(text string) (where, error) {
	bad := &badRequest{status: http.StatusBadRequest, code: "badEventId", field: "Last-Event-ID", message: "not an id that a stream of this service gave"}
	parts := strings.Split(text, "@")
	if len(parts) != 4 {
		return where{}, bad
	}
	incarnation, err := strconv.ParseUint(parts[2], 16, 64)
	if err != nil {
		return where{}, bad
	}
	position, err := strconv.ParseUint(parts[3], 10, 64)
	if err != nil {
		return where{}, bad
	}
	return where{attempt: control.AttemptID(parts[0]), target: parts[1], incarnation: incarnation, position: position}, nil
}

// flushEvents sends each piece of an event stream at once, and breaks the
// connection when a stream fails, so that a cut answer never looks whole.
func flushEvents(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f := &flushingWriter{ResponseWriter: w, controller: http.NewResponseController(w)}
		next.ServeHTTP(f, r)
		if f.broken {
			panic(http.ErrAbortHandler)
		}
	})
}

// flushingWriter flushes after each write to an event stream. It hides the
// library's ReadFrom, which would buffer.
type flushingWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	streaming  bool
	began      bool
	broken     bool
}

// WriteHeader notes whether a stream begins. A second call means that the
// generated server met an error after it had begun to answer.
func (f *flushingWriter) WriteHeader(status int) {
	if f.began {
		f.broken = true
		return
	}
	f.began = status >= http.StatusOK
	f.streaming = f.Header().Get("Content-Type") == "text/event-stream"
	f.ResponseWriter.WriteHeader(status)
	if f.streaming {
		_ = f.controller.Flush() // The next write reports a broken connection.
	}
}

// Write writes and, in a stream, flushes.
func (f *flushingWriter) Write(data []byte) (int, error) {
	if f.broken {
		return len(data), nil
	}
	count, err := f.ResponseWriter.Write(data)
	if err == nil && f.streaming {
		err = f.controller.Flush()
	}
	return count, err
}
