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

// eventDelimiter ends each server-sent event.
var eventDelimiter = []byte("\n\n")

// pipeSink passes a response to an io.Reader, which the generated server copies to
// the caller. In an event stream it adds to each event the ID from which a caller can
// resume.
type pipeSink struct {
	eventStream bool
	reader      *io.PipeReader
	writer      *io.PipeWriter
	// headReady is closed once status and header are set, done once err is set.
	headReady chan struct{}
	done      chan struct{}
	err       error
	status    int
	header    http.Header
	// pending is the start of an event that is not complete yet.
	pending []byte
}

func newPipeSink(eventStream bool) *pipeSink {
	reader, writer := io.Pipe()
	return &pipeSink{eventStream: eventStream, reader: reader, writer: writer, headReady: make(chan struct{}), done: make(chan struct{})}
}

// start runs an exchange in the background until its response is complete, it fails
// or the caller's context ends.
func (p *pipeSink) start(ctx context.Context, x *exchange, initial control.Event) {
	go func() {
		err := x.run(ctx, initial)
		if err == nil && len(p.pending) > 0 {
			_, err = p.writer.Write(p.pending)
		}
		p.err = err
		p.writer.CloseWithError(err)
		close(p.done)
	}()
}

// writeInformational drops the response: the generated server cannot send 1xx statuses.
func (p *pipeSink) writeInformational(int, http.Header) {}

func (p *pipeSink) writeHead(status int, header http.Header) error {
	p.status, p.header = status, header
	close(p.headReady)
	return nil
}

// write passes on complete events and adds an id line at the end of each.
func (p *pipeSink) write(point outputPoint, data []byte) error {
	if !p.eventStream || p.status != http.StatusOK {
		_, err := p.writer.Write(data)
		return err
	}
	p.pending = append(p.pending, data...)
	for {
		end := bytes.Index(p.pending, eventDelimiter)
		if end < 0 {
			return nil
		}
		rest := p.pending[end+len(eventDelimiter):]
		eventPoint := point
		eventPoint.position -= uint64(len(rest))
		event := append(p.pending[:end:end], "\nid: "+eventID(eventPoint)+"\n\n"...)
		if _, err := p.writer.Write(event); err != nil {
			return err
		}
		p.pending = append([]byte(nil), rest...)
	}
}

// awaitHead waits for the target's status and header.
func (p *pipeSink) awaitHead(ctx context.Context) (int, http.Header, error) {
	select {
	case <-p.headReady:
		return p.status, p.header, nil
	case <-p.done:
	case <-ctx.Done():
		return 0, nil, ctx.Err()
	}
	select {
	case <-p.headReady:
		return p.status, p.header, nil
	default:
		return 0, nil, p.err
	}
}

// readTargetError returns a target's error response as an error. The message holds
// at most maxPrefixBytes bytes of the body.
func (p *pipeSink) readTargetError(status int) error {
	raw, err := io.ReadAll(io.LimitReader(p.reader, maxPrefixBytes))
	if err != nil {
		return err
	}
	return &badRequest{status: status, code: "targetError", field: "body", message: string(raw)}
}

// eventID encodes a point in an attempt's output as
// attempt@target@incarnation@position, so that any entry can resume from it.
func eventID(point outputPoint) string {
	return fmt.Sprintf("%s@%s@%x@%d", point.attempt, point.target, point.incarnation, point.position)
}

// parseEventID decodes an ID made by eventID.
func parseEventID(text string) (outputPoint, error) {
	invalid := &badRequest{status: http.StatusBadRequest, code: "badEventId", field: "Last-Event-ID", message: "not an event id issued by this service"}
	parts := strings.Split(text, "@")
	if len(parts) != 4 {
		return outputPoint{}, invalid
	}
	incarnation, err := strconv.ParseUint(parts[2], 16, 64)
	if err != nil {
		return outputPoint{}, invalid
	}
	position, err := strconv.ParseUint(parts[3], 10, 64)
	if err != nil {
		return outputPoint{}, invalid
	}
	return outputPoint{attempt: control.AttemptID(parts[0]), target: parts[1], incarnation: incarnation, position: position}, nil
}

// flushEvents flushes each write of an event stream, and aborts the connection when a
// stream fails, so that callers can tell a truncated response from a complete one.
func flushEvents(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f := &flushingWriter{ResponseWriter: w, controller: http.NewResponseController(w)}
		next.ServeHTTP(f, r)
		if f.failed {
			panic(http.ErrAbortHandler)
		}
	})
}

// flushingWriter flushes after each write to an event stream. It does not expose
// ReadFrom of the library's writer, which would buffer.
type flushingWriter struct {
	http.ResponseWriter
	controller  *http.ResponseController
	streaming   bool
	wroteHeader bool
	failed      bool
}

// WriteHeader detects event streams by their content type. A second call means that
// the generated server failed after it had written the header.
func (f *flushingWriter) WriteHeader(status int) {
	if f.wroteHeader {
		f.failed = true
		return
	}
	f.wroteHeader = status >= http.StatusOK
	f.streaming = f.Header().Get("Content-Type") == "text/event-stream"
	f.ResponseWriter.WriteHeader(status)
	if f.streaming {
		_ = f.controller.Flush() // The next write returns the error of a broken connection.
	}
}

// Write writes data and flushes it if the response is an event stream. After a
// failure it discards data.
func (f *flushingWriter) Write(data []byte) (int, error) {
	if f.failed {
		return len(data), nil
	}
	count, err := f.ResponseWriter.Write(data)
	if err == nil && f.streaming {
		err = f.controller.Flush()
	}
	return count, err
}
