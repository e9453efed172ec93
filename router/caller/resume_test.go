package caller

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"chervilswitch.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
)

// cutAfterTwoEvents returns a handler that cuts the first stream off after two events and
// passes the requests after it to another handler.
func cutAfterTwoEvents(next platformtest.Handler) platformtest.Handler {
	var cut atomic.Bool
	return func(w *platformtest.ResponseWriter, r platformtest.Run) {
		if !cut.CompareAndSwap(false, true) {
			next(w, r)
			return
		}
		w.StartStream()
		w.WriteEvent(1)
		w.WriteEvent(2)
		time.Sleep(20 * time.Millisecond)
		w.Reset()
	}
}

// A stream has begun and breaks off, and the next target answers with something else than
// its rest. Callers receive events of the stream only, and see that it was cut.
func TestBrokenStreamGetsNoOtherBytes(t *testing.T) {
	respond := func(status int, body string, headers ...string) platformtest.Handler {
		return func(w *platformtest.ResponseWriter, _ platformtest.Run) { w.WriteResponse(status, body, headers...) }
	}
	unsigned := func(status, rest string) platformtest.Handler {
		return func(w *platformtest.ResponseWriter, _ platformtest.Run) { w.WriteUnsigned(status, rest) }
	}
	raw := func(text string) platformtest.Handler {
		return func(w *platformtest.ResponseWriter, _ platformtest.Run) {
			_, _ = io.WriteString(w.Conn, text)
			w.Close()
		}
	}
	for name, next := range map[string]platformtest.Handler{
		"500 with a body":            respond(http.StatusInternalServerError, "failed"),
		"503 with a body":            respond(http.StatusServiceUnavailable, "busy"),
		"503 that has not run":       respond(http.StatusServiceUnavailable, "busy", platformtest.NotExecuted()),
		"429 that has not run":       respond(http.StatusTooManyRequests, "busy", platformtest.NotExecuted()),
		"404":                        respond(http.StatusNotFound, "no such stream"),
		"302":                        respond(http.StatusFound, "", "Location: /elsewhere"),
		"204":                        unsigned("204 No Content", "\r\n"),
		"200 without events":         respond(http.StatusOK, "", "Content-Type: application/json"),
		"200 without a type":         respond(http.StatusOK, ""),
		"200 with an error":          respond(http.StatusOK, `{"error":"failed"}`, "Content-Type: application/json"),
		"200 with an error of lines": respond(http.StatusOK, "failed\n\n", "Content-Type: text/plain"),
		"error as an event":          respond(http.StatusOK, "event: error\ndata: failed\n\n", "Content-Type: text/event-stream"),
		"unsigned empty stream":      unsigned("200 OK", "Content-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n"),
		"unframed error":             unsigned("500 Failed", "\r\nfailed"),
		"chunked error":              unsigned("500 Failed", "Transfer-Encoding: chunked\r\n\r\n6\r\nfailed\r\n0\r\n\r\n"),
		"interim, then an error": func(w *platformtest.ResponseWriter, _ platformtest.Run) {
			_, _ = io.WriteString(w.Conn, "HTTP/1.1 100 Continue\r\n\r\n")
			w.WriteUnsigned("500 Failed", "Content-Length: 6\r\n\r\nfailed")
		},
		"switching protocols": unsigned("101 Switching Protocols", "Upgrade: x\r\nConnection: upgrade\r\n\r\nfailed"),
		"not HTTP":            raw("failed\r\n\r\n"),
		"nothing":             raw(""),
		"wrong event": func(w *platformtest.ResponseWriter, _ platformtest.Run) {
			w.StartStream()
			w.WriteEvent(2)
			w.WriteEvent(3)
			w.EndStream()
		},
		"second break inside an event": func(w *platformtest.ResponseWriter, _ platformtest.Run) {
			w.StartStream()
			w.WriteChunk("id: 3\ndata: ev")
			time.Sleep(10 * time.Millisecond)
			w.Reset()
		},
		"unfinished event": func(w *platformtest.ResponseWriter, _ platformtest.Run) {
			w.StartStream()
			w.WriteChunk("id: 3\ndata: ev")
			w.EndStream()
		},
	} {
		t.Run(name, func(t *testing.T) {
			handler := cutAfterTwoEvents(next)
			d := deploy(t, 1, map[string]platformtest.Handler{"i-1": handler, "i-2": handler})
			a := d.mustCall(platformtest.Call{Path: streamPath, Attempt: "a"})
			d.Assert(a.body, qt.Equals, expectedStream(1, 2))
			d.Assert(a.cut, qt.IsTrue, qt.Commentf("the stream looks complete"))
		})
	}
}

// A target that has nothing more to send after the last event ends the stream.
func TestStreamThatBreaksAfterItsLastEventIsCompleted(t *testing.T) {
	handler := cutAfterTwoEvents(streamEvents(1, 2))
	d := deploy(t, 1, map[string]platformtest.Handler{"i-1": handler, "i-2": handler})
	a := d.mustCall(platformtest.Call{Path: streamPath, Attempt: "a"})
	d.Assert(a.cut, qt.IsFalse)
	d.Assert(a.body, qt.Equals, expectedStream(1, 2))
}

// Before the first event, a response that is no stream is forwarded as it is unless it is
// a success.
func TestSuccessWithoutEventsIsNoStream(t *testing.T) {
	d := deploy(t, 1, map[string]platformtest.Handler{"i-1": func(w *platformtest.ResponseWriter, _ platformtest.Run) {
		w.WriteUnsigned("101 Switching Protocols", "Upgrade: x\r\nConnection: upgrade\r\n\r\nfailed")
	}})
	d.Assert(d.mustCall(platformtest.Call{Path: nonIdempotentPath, Attempt: "a"}).status, qt.Equals, http.StatusBadGateway)
}
