package caller

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

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

// A line of the head that is no header field makes the head no head of a response: the line
// may be the one that says where the body ends.
func TestResponseWithMalformedFieldIsNotForwarded(t *testing.T) {
	const framed = "Content-Length: 9\r\n\r\n" + malformedText
	fields := map[string]string{
		"blank in name":            "X Name: v\r\n" + framed,
		"blanks around name":       "X Name : v\r\n" + framed,
		"blank before colon":       "X-Name : v\r\n" + framed,
		"tab before colon":         "X-Name\t: v\r\n" + framed,
		"length with blank":        "Content-Length : 3\r\n\r\n" + malformedText,
		"second length with blank": "Content-Length : 3\r\n" + framed,
		"chunks with blank":        "Transfer-Encoding : chunked\r\n\r\n9\r\n" + malformedText + "\r\n0\r\n\r\n",
		"blank before length":      " Content-Length: 3\r\n\r\n" + malformedText,
		"tab before length":        "\tContent-Length: 3\r\n\r\n" + malformedText,
		"length in folded line":    "X-Name: v\r\n Content-Length: 3\r\n" + framed,
		"blank line of blanks":     "X-Name: v\r\n  \r\n" + framed,
		"no colon":                 "X-Name\r\n" + framed,
		"no name":                  ": v\r\n" + framed,
		"other bytes":              "X-N\xe4me: v\r\n" + framed,
		"separator":                "X(Name): v\r\n" + framed,
		"carriage return in value": "X-Name: v\rContent-Length: 3\r\n" + framed,
		"escape in value":          "X-Name: \x1b[2J\r\n" + framed,
	}
	for _, control := range []string{"\x00", "\x01", "\x08", "\x0b", "\x0c", "\r", "\x1f", "\x7f"} {
		fields[fmt.Sprintf("%q in name", control)] = "X" + control + "Name: v\r\n" + framed
		fields[fmt.Sprintf("%q before colon of length", control)] = "Content-Length" + control + ": 3\r\n\r\n" + malformedText
	}
	for name, rest := range fields {
		for where, respond := range map[string]platformtest.Handler{
			"response": func(w *platformtest.ResponseWriter, _ platformtest.Run) { w.WriteSigned("200 OK", rest) },
			"stream": func(w *platformtest.ResponseWriter, _ platformtest.Run) {
				text := strings.ReplaceAll(rest, malformedText, "id: 1\ndata: "+malformedText+"\n\n")
				w.WriteSigned("200 OK", eventStream+"\r\n"+strings.ReplaceAll(text, "Content-Length: 9", "Content-Length: 24"))
			},
			"interim response": func(w *platformtest.ResponseWriter, _ platformtest.Run) {
				head, _, _ := strings.Cut(rest, "\r\n\r\n")
				_, _ = io.WriteString(w.Conn, "HTTP/1.1 103 Early Hints\r\n"+head+"\r\n\r\n")
				w.WriteSigned("200 OK", framed)
			},
		} {
			t.Run(name+"/"+where, func(t *testing.T) {
				t.Parallel()
				checkMalformed(t, respond)
			})
		}
	}
}

// A long head is read as a short one is, in pieces of any size.
func TestLongHeadIsForwarded(t *testing.T) {
	var lines []string
	for i := range 400 {
		lines = append(lines, fmt.Sprintf("X-%d: %s", i, strings.Repeat("v", 100)))
	}
	for name, respond := range map[string]platformtest.Handler{
		"at once": func(w *platformtest.ResponseWriter, _ platformtest.Run) {
			w.WriteResponse(http.StatusOK, "whole", lines...)
		},
		"in pieces": func(w *platformtest.ResponseWriter, _ platformtest.Run) {
			w.WriteInPieces(1009, time.Millisecond, func() { w.WriteResponse(http.StatusOK, "whole", lines...) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := deploy(t, 1, map[string]platformtest.Handler{"i-1": respond})
			for _, attempt := range []string{"a", "b"} {
				a := d.mustCall(platformtest.Call{Path: nonIdempotentPath, Attempt: attempt})
				d.Check(a.status, qt.Equals, http.StatusOK)
				d.Check(a.body, qt.Equals, "whole")
				d.Check(a.header.Get("X-399"), qt.Equals, strings.Repeat("v", 100))
			}
			accepted, _ := d.replicas["i-1"].Connections()
			d.Check(accepted, qt.Equals, 1)
		})
	}
}
