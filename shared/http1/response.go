// Package http1 checks what net/http accepts of HTTP/1.1 responses beyond the protocol.
package http1

import (
	"net/http"

	"chervilswitch.example/shared/fault"
)

// ErrMalformed matches errors about bytes that are no response of the protocol.
var ErrMalformed = fault.NewSentinel("http1", "malformed")

// maxStatus is the highest status code; RFC 9110, section 15.
const maxStatus = 599

// CheckStatus checks the status code of a response. net/http accepts each number of three
// digits. Errors match ErrMalformed.
func CheckStatus(response *http.Response) error {
	if response.StatusCode < http.StatusContinue || response.StatusCode > maxStatus {
		return ErrMalformed.New("response has status %q, expected a code from 100 to %d", response.Status, maxStatus)
	}
	return nil
}
