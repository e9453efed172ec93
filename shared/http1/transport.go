package http1

import (
	"net/http"
)

// Transport returns the responses of another transport that Reader would accept, except that
// net/http has joined lines that begin with a blank to the lines before. A nil Base means
// http.DefaultTransport.
type Transport struct{ Base http.RoundTripper }

// RoundTrip executes one HTTP exchange. Errors match ErrMalformed if the response is none, and
// are those of Base otherwise.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	base := t.Base
	if base == nil {
		base = http.DefaultTransport
	}
	response, err := base.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	err = checkStatus(response)
	if err == nil {
		err = CheckHeader(response.Header)
	}
	if err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}
