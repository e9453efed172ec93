package caller

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"chervilswitch.example/shared/events"
	"chervilswitch.example/shared/intake"

	"github.com/apex/log"
)

const (
	// bodyStartTimeout is how long a body may take without the lowest rate.
	bodyStartTimeout = 10 * time.Second
	// bodyRestTimeout is how long the rest of a body that is not wanted is read, so that the
	// caller reads the response.
	bodyRestTimeout = 500 * time.Millisecond
	// minBodyBuffer is the first buffer of a body without a length.
	minBodyBuffer = 4 << 10
)

// errBodyTooLarge is the error of a body over the limit.
var errBodyTooLarge = errors.New("body exceeds the limit of the configuration")

// clientWriter tells the intake when the caller's connection is being written to.
type clientWriter struct {
	http.ResponseWriter
	client *intake.Connection
}

func (w *clientWriter) Write(data []byte) (int, error) {
	w.client.Writing()
	n, err := w.ResponseWriter.Write(data)
	w.client.Written()
	return n, err
}

// FlushError sends what was written.
func (w *clientWriter) FlushError() error {
	w.client.Writing()
	err := http.NewResponseController(w.ResponseWriter).Flush()
	w.client.Written()
	return err
}

// Unwrap returns the server's writer.
func (w *clientWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// limitUnreadBody bounds the time for a body that the router does not read. The HTTP server
// reads some of it before it sends the response.
func (x *exchange) limitUnreadBody() {
	if x.request.ContentLength != 0 {
		_ = http.NewResponseController(x.writer).SetReadDeadline(x.began.Add(x.router.options.bodyTimeout())) // Writers without one are those of tests.
	}
}

// checkHead reports whether the head is within the limit of the configuration.
func (x *exchange) checkHead() bool {
	if x.limits.HeaderBytes <= 0 {
		return true
	}
	// Spaces that the HTTP server has removed are not counted.
	size := int64(len(x.request.Method) + len(x.request.RequestURI) + len(x.request.Host))
	for name, values := range x.request.Header {
		for _, value := range values {
			size += int64(len(name) + len(value) + len(":\r\n"))
		}
	}
	if size <= x.limits.HeaderBytes {
		return true
	}
	x.dropBody()
	x.fail(http.StatusRequestHeaderFieldsTooLarge, "headTooLarge")
	return false
}

// readBody buffers the whole body, since a retry sends it again. It reports whether the
// body is within the limit, came in time and had room. Nothing was sent to a target before.
func (x *exchange) readBody() bool {
	if x.request.ContentLength == 0 {
		return true
	}
	body, err := x.receiveBody()
	if err == nil {
		err = x.client.EndReading()
	}
	switch {
	case err == nil:
		x.body = body
		return true
	case errors.Is(err, errBodyTooLarge):
		x.dropBody()
		x.fail(http.StatusRequestEntityTooLarge, "bodyTooLarge")
	case errors.Is(err, intake.ErrNoRoom) || !x.client.Begin():
		x.dropBody()
		x.router.metrics.recordCut("callers", "bodyRefused")
		x.refuse(defaultRetryAfter, "bodyRefused")
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.dropBody()
		x.router.reportCut("callers")("bodyTimeout", nil, 0, int64(len(body)))
		x.refuse(defaultRetryAfter, "bodyTimeout")
	default:
		x.outcome = "bodyNotRead"
		panic(http.ErrAbortHandler)
	}
	return false
}

// dropBody ends the connection after the response, with the rest of the body unread.
func (x *exchange) dropBody() {
	x.writer.Header().Set("Connection", "close")
	_ = http.NewResponseController(x.writer).SetReadDeadline(time.Now().Add(bodyRestTimeout)) // Writers without one are those of tests.
}

// receiveBody reads the body into a buffer that grows with the bytes that have arrived, and
// reserves them before. Errors match errBodyTooLarge, intake.ErrNoRoom or
// os.ErrDeadlineExceeded, or are those of the connection.
func (x *exchange) receiveBody() ([]byte, error) {
	limit, length := x.limits.BodyBytes, x.request.ContentLength
	if limit <= 0 {
		limit = maxBodyBytes
	}
	if length > limit {
		return nil, errBodyTooLarge
	}
	full := limit + 1 // One more byte tells that a body exceeds the limit.
	if length > 0 {
		full = length + 1 // One more byte reaches the end of the body.
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			grown := min(full, max(minBodyBuffer, 2*int64(cap(body))))
			if err := x.client.Grow(x.request.Context(), grown-int64(cap(body))); err != nil {
				return body, err
			}
			body = append(make([]byte, 0, grown), body...)
		}
		if err := x.client.ReadUntil(x.bodyDeadline(len(body))); err != nil {
			return body, err
		}
		n, err := x.request.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return body, errBodyTooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return body, err
		}
	}
}

// bodyDeadline returns the time until which a body must have progressed, after some bytes.
func (x *exchange) bodyDeadline(bytes int) time.Time {
	options := &x.router.options
	whole := min(x.timeout(), options.bodyTimeout())
	slowest := bodyStartTimeout + time.Duration(float64(bytes)/options.bodyRate()*float64(time.Second))
	return x.began.Add(min(whole, slowest))
}

// reportCut returns a function that logs and counts the clients of a listener that were cut
// off.
func (r *Router) reportCut(listener string) func(intake.Reason, net.Addr, int, int64) {
	return func(reason intake.Reason, remote net.Addr, connections int, held int64) {
		r.logCut(listener, string(reason), remote, connections, held)
	}
}

// reportLinkCut logs and counts a link that was closed before its first message.
func (r *Router) reportLinkCut(reason string, links int, held int64) {
	r.logCut("peers", reason, nil, links, held)
}

func (r *Router) logCut(listener, reason string, remote net.Addr, connections int, held int64) {
	r.metrics.recordCut(listener, reason)
	omitted, ok := r.cuts.Allow(time.Now())
	if !ok {
		return
	}
	fields := log.Fields{"listener": listener, "reason": reason, "connections": connections, "held": held, "omitted": omitted}
	if remote != nil {
		fields["remote"] = remote.String()
	}
	events.Log(r.logger, events.ClientCut, fields)
}
