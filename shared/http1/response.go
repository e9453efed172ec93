// Package http1 reads HTTP/1.1 responses. It rejects what net/http accepts although it is none.
package http1

import (
	"bytes"
	"net/http"
	"strings"

	"chervilswitch.example/shared/fault"
)

// ErrMalformed matches errors about bytes that are no response of the protocol.
var ErrMalformed = fault.NewSentinel("http1", "malformed")

// maxStatus is the highest status code; RFC 9110, section 15.
const maxStatus = 599

// checkStatus checks the status code of a response. net/http accepts each number of three
// digits. Errors match ErrMalformed.
func checkStatus(response *http.Response) error {
	if response.StatusCode < http.StatusContinue || response.StatusCode > maxStatus {
		return ErrMalformed.New("response has status %q, expected a code from 100 to %d", response.Status, maxStatus)
	}
	return nil
}

// checkStatusLine rejects bytes that are no response before their end has arrived.
func checkStatusLine(line []byte) error {
	if !bytes.HasPrefix(line, []byte("HTTP/")) {
		return ErrMalformed.New("response begins with %q, expected HTTP/", line[:min(len(line), len("HTTP/"))])
	}
	return nil
}

// checkField checks a header line. net/http joins lines that begin with a blank to the line
// before, and takes a name with blanks for an unknown one: either may be the length of the
// body. It checks all other bytes itself.
func checkField(line []byte) error {
	name, _, found := strings.Cut(string(line), ":")
	if !found || hasBlank(name) {
		return ErrMalformed.New("response has the header line %q, expected a name without blanks and a colon", line)
	}
	return nil
}

// CheckHeader checks the names of a header that net/http has read. Errors match ErrMalformed.
func CheckHeader(h http.Header) error {
	for name := range h {
		if hasBlank(name) {
			return ErrMalformed.New("response has the header name %q, expected no blanks", name)
		}
	}
	return nil
}

// hasBlank reports whether a name holds white space.
func hasBlank(name string) bool { return strings.ContainsAny(name, " \t") }
