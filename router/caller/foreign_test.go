package caller

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"chervilswitch.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
)

// foreignText is in all bodies that the service of a target has not sent.
const foreignText = "not the service's"

// foreignOnce returns a handler that answers the first request with bytes that are not the
// service's and passes the others to another handler.
func foreignOnce(first, next platformtest.Handler) platformtest.Handler {
	var sent atomic.Bool
	return func(w *platformtest.ResponseWriter, r platformtest.Run) {
		if sent.CompareAndSwap(false, true) {
			first(w, r)
			return
		}
		next(w, r)
	}
}

// A response without the service's signature, or with an encoded body, reached callers as
// the service's answer. It counts as a broken attempt.
func TestResponseThatIsNotTheServicesIsNotForwarded(t *testing.T) {
	unsigned := func(status, rest string) platformtest.Handler {
		return func(w *platformtest.ResponseWriter, _ platformtest.Run) { w.WriteUnsigned(status, rest) }
	}
	plain := "Content-Length: " + strconv.Itoa(len(foreignText)) + "\r\n\r\n" + foreignText
	events := "id: 1\ndata: " + foreignText + "\n\n"
	for name, foreign := range map[string]platformtest.Handler{
		"200":                   unsigned("200 OK", plain),
		"200 without length":    unsigned("200 OK", "\r\n"+foreignText),
		"200 beyond the buffer": unsigned("200 OK", "\r\n"+strings.Repeat(foreignText, maxBufferedBytes/len(foreignText)+1)),
		"200 with events":       unsigned("200 OK", "Content-Type: text/event-stream\r\nContent-Length: "+strconv.Itoa(len(events))+"\r\n\r\n"+events),
		"204":                   unsigned("204 No Content", "\r\n"),
		"206":                   unsigned("206 Partial Content", plain),
		"302":                   unsigned("302 Found", "Location: /elsewhere\r\n"+plain),
		"404":                   unsigned("404 Not Found", plain),
		"500":                   unsigned("500 Internal Server Error", plain),
		"empty signature":       unsigned("200 OK", platformtest.EmptySignature()+"\r\n"+plain),
		"encoded body": func(w *platformtest.ResponseWriter, _ platformtest.Run) {
			w.WriteResponse(http.StatusOK, foreignText, "Content-Encoding: gzip")
			w.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, path := range []string{nonIdempotentPath, idempotentPath, streamPath} {
				next, expected := echo, "echo a"
				if path == streamPath {
					next, expected = streamEvents(1, 3), expectedStream(1, 3)
				}
				handler := foreignOnce(foreign, next)
				d := deploy(t, 1, map[string]platformtest.Handler{"i-1": handler, "i-2": handler})
				a := d.mustCall(platformtest.Call{Path: path, Attempt: "a"})
				d.Check(strings.Contains(a.body, foreignText), qt.IsFalse, qt.Commentf("path %s: status %d", path, a.status))
				if path == nonIdempotentPath {
					d.Check(a.status, qt.Equals, http.StatusBadGateway)
					d.Check(d.runs(), qt.HasLen, 1)
					continue
				}
				d.Check(a.status, qt.Equals, http.StatusOK, qt.Commentf("path %s", path))
				d.Check(a.body, qt.Equals, expected)
				d.Check(platformtest.Signed(a.header), qt.IsTrue)
			}
		})
	}
}

// A target that closed in the middle of the head of its answer has not answered.
func TestAnswerCutInItsHeadIsNotForwarded(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\n"
	signed := status + platformtest.AttemptLine("a") + "\r\n" + platformtest.Signature() + "\r\n"
	for name, head := range map[string]string{
		"after the status line": status,
		"before its length":     signed,
		"inside its length":     signed + "Content-Length: 1",
		"before the empty line": signed + "Content-Length: 17\r\n",
		"inside the empty line": signed + "Content-Length: 17\r\n\r",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			handler := func(w *platformtest.ResponseWriter, _ platformtest.Run) {
				_, _ = io.WriteString(w.Conn, head)
				w.Close()
			}
			for _, path := range []string{nonIdempotentPath, idempotentPath, streamPath} {
				d := deploy(t, 1, map[string]platformtest.Handler{"i-1": handler, "i-2": handler})
				a := d.mustCall(platformtest.Call{Path: path, Attempt: "a"})
				d.Check(a.status, qt.Equals, http.StatusBadGateway, qt.Commentf("path %s: body %q", path, a.body))
				d.Check(len(d.runs()) > 0, qt.IsTrue)
			}
		})
	}
}
