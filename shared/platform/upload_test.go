package platform

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"chervilswitch.example/shared/tcp/tcptest"

	qt "github.com/frankban/quicktest"
)

// The platform answers a long append with a whole JSON value, and breaks off while the record is
// being written: more may have been to come.
func TestResponseCutDuringAppendIsNoResult(t *testing.T) {
	const calls, bodyBytes = 100, 1 << 20
	record := json.RawMessage(`"` + strings.Repeat("x", bodyBytes) + `"`)
	for ending, linger := range map[string]int{"reset": 0, "close": -1} {
		t.Run(ending, func(t *testing.T) {
			c := qt.New(t)
			client := NewClient(tcptest.Serve(t, func(conn *net.TCPConn, _ *http.Request) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n{\"offset\":7}")
				c.Check(tcptest.AwaitUnread(conn), qt.IsNil)
				c.Check(conn.SetLinger(linger), qt.IsNil)
			}), nil)
			var group sync.WaitGroup
			for range calls {
				group.Go(func() {
					_, err := client.Append(t.Context(), "stream", record)
					c.Check(err, qt.ErrorIs, ErrUnavailable)
				})
			}
			group.Wait()
		})
	}
}
