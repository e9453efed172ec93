package desk

import (
	"io"
	"net"
	"net/http"
	"testing"

	"chervilswitch.example/shared/http1"
	"chervilswitch.example/shared/tcp/tcptest"

	qt "github.com/frankban/quicktest"
)

// An entry in trouble sends a head that is none.
func TestMalformedStatusIsAnError(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":        "HTTP/1.1 000 Trouble\r\n",
		"length with blank": "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address := tcptest.Serve(t, func(conn *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(conn, head+"\r\n{}") })
			_, err := newCLI(options{}, io.Discard).fetchStatus(t.Context(), address)
			c.Assert(err, qt.ErrorIs, http1.ErrMalformed)
		})
	}
}
