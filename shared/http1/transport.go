package http1

import (
	"net"
	"net/http"
	"time"

	"chervilswitch.example/shared/tcp"
)

// defaultTransport is http.DefaultTransport with the connections of package tcp.
var defaultTransport = newDefaultTransport()

// Transport is an HTTP client that returns the responses that Reader would accept, except that
// net/http has joined lines that begin with a blank to the lines before. A body whose
// connection fails while the request is being written does not end with io.EOF. The zero value
// has the settings of http.DefaultTransport.
type Transport struct{ base http.RoundTripper }

// NewTransport returns a transport with settings of net/http and a dialer of its connections.
func NewTransport(settings *http.Transport, dialer *net.Dialer) Transport {
	settings.DialContext = tcp.DialContext(dialer)
	return Transport{base: settings}
}

func newDefaultTransport() *http.Transport {
	settings, ok := http.DefaultTransport.(*http.Transport)
	if !ok { // Another package has replaced it.
		settings = &http.Transport{}
	}
	settings = settings.Clone()
	// The dialer of http.DefaultTransport cannot be read.
	settings.DialContext = tcp.DialContext(&net.Dialer{Timeout: 30 * time.Second, KeepAlive: 30 * time.Second})
	return settings
}

// RoundTrip executes one HTTP exchange. Errors match ErrMalformed if the response is none, and
// are those of net/http otherwise.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var base http.RoundTripper = defaultTransport
	if t.base != nil {
		base = t.base
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
