package platform

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"testing"

	"chervilswitch.example/shared/tcp/tcptest"

	qt "github.com/frankban/quicktest"
)

// A platform in trouble sends a head that is none. A record may have been appended.
func TestMalformedResponseIsAnError(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":        "HTTP/1.1 000 Trouble\r\n",
		"blank in name":     "HTTP/1.1 200 OK\r\nX Name: v\r\n",
		"length with blank": "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n",
		"control in name":   "HTTP/1.1 200 OK\r\nX\x01Name: v\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address := tcptest.Serve(t, func(conn *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(conn, head+"\r\n{\"offset\":7}") })
			client := NewClient(address, nil)
			_, err := client.Append(t.Context(), "stream", json.RawMessage("{}"))
			c.Check(err, qt.ErrorIs, ErrUnavailable)
			_, err = client.Read(t.Context(), "stream", 0, 0)
			c.Check(err, qt.ErrorIs, ErrUnavailable)
		})
	}
}
