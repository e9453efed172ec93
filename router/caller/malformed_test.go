package caller

import (
	"net/http"
	"strings"
	"testing"

	"chervilswitch.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
)

// malformedText is in the body of each malformed response.
const malformedText = "malformed"

// checkMalformed checks that callers get nothing of a malformed response of a replica: a
// request that may run once ends with 502, others are served by another replica.
func checkMalformed(t *testing.T, respond platformtest.Handler) {
	for _, path := range []string{nonIdempotentPath, idempotentPath, streamPath} {
		next, expected := echo, "echo a"
		if path == streamPath {
			next, expected = streamEvents(1, 3), expectedStream(1, 3)
		}
		handler := foreignOnce(respond, next)
		d := deploy(t, 1, map[string]platformtest.Handler{"i-1": handler, "i-2": handler})
		a := d.mustCall(platformtest.Call{Path: path, Attempt: "a"})
		comment := qt.Commentf("path %s: header %v, body %q", path, a.header, a.body)
		d.Check(strings.Contains(a.body, malformedText), qt.IsFalse, comment)
		d.Check(a.cut, qt.IsFalse, comment)
		if path == nonIdempotentPath {
			d.Check(a.status, qt.Equals, http.StatusBadGateway, comment)
			d.Check(platformtest.Signed(a.header), qt.IsFalse, comment)
			d.Check(d.runs(), qt.HasLen, 1)
			continue
		}
		d.Check(a.status, qt.Equals, http.StatusOK, comment)
		d.Check(a.body, qt.Equals, expected, comment)
	}
}

// A status outside 100 to 599 is none. It does not announce a final response either: what
// follows it is its body.
func TestResponseWithoutValidStatusIsNotForwarded(t *testing.T) {
	plain := "Content-Length: 9\r\n\r\n" + malformedText
	// The body reads like a response of its own.
	nested := "HTTP/1.1 200 OK\r\n" + platformtest.AttemptLine("a") + "\r\n" + platformtest.Signature() + "\r\n" + plain
	for name, status := range map[string]string{
		"000": "000 Trouble", "001": "001 Trouble", "099": "099 Trouble", "plus": "+20 Trouble", "minus": "-00 Trouble",
		"600": "600 Trouble", "999": "999 Trouble", "two digits": "20 Trouble", "four digits": "2000 Trouble", "no digits": "abc Trouble",
	} {
		for body, rest := range map[string]string{"plain": plain, "unframed": "\r\n" + malformedText, "nested": "\r\n" + nested} {
			t.Run(name+"/"+body, func(t *testing.T) {
				t.Parallel()
				checkMalformed(t, func(w *platformtest.ResponseWriter, _ platformtest.Run) { w.WriteSigned(status, rest) })
			})
		}
	}
}
