package http1

import (
	"io"
	"net"
	"net/http"
	"testing"

	"chervilswitch.example/shared/tcp/tcptest"

	qt "github.com/frankban/quicktest"
)

// Responses that net/http accepts and Reader does not.
func TestTransportRejectsMalformedResponses(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":         "HTTP/1.1 000 Trouble\r\nContent-Length: 4\r\n",
		"status 600":         "HTTP/1.1 600 Trouble\r\nContent-Length: 4\r\n",
		"blank in name":      "HTTP/1.1 200 OK\r\nX Name: v\r\nContent-Length: 4\r\n",
		"blank before colon": "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n",
		"control in name":    "HTTP/1.1 200 OK\r\nX\x01Name: v\r\nContent-Length: 4\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address := tcptest.Serve(t, func(conn *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(conn, head+"\r\nbody") })
			client := http.Client{Transport: NewTransport(&http.Transport{}, &net.Dialer{})}
			_, err := client.Get("http://" + address.String())
			c.Assert(err, qt.IsNotNil)
		})
	}
}
