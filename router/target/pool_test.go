package target

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"

	"chervilswitch.example/platform/platformtest"
	"chervilswitch.example/shared/fleet"

	qt "github.com/frankban/quicktest"
)

// serveRaw answers each request on its own connection with the bytes of a function, and
// returns the target.
func serveRaw(c *qt.C, respond func(w io.Writer)) fleet.Target {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				respond(conn)
			}
			_ = conn.Close()
		}
	}()
	return fleet.Target{ID: "i-1", Address: netip.MustParseAddrPort(listener.Addr().String())}
}

// A head that ends anywhere before its empty line is complete is no head of a response.
func TestHeadCutAnywhereIsBroken(t *testing.T) {
	c := qt.New(t)
	head := "HTTP/1.1 200 OK\r\n" + platformtest.AttemptLine("a") + "\r\n" + platformtest.Signature() + "\r\nContent-Length: 17\r\n\r\n"
	var sent atomic.Int64
	target := serveRaw(c, func(w io.Writer) { _, _ = io.WriteString(w, head[:sent.Load()]) })
	var pool Pool
	for at := range len(head) {
		sent.Store(int64(at))
		_, err := pool.Do(t.Context(), target, &Request{Method: http.MethodGet, URI: "/", Host: "h", Attempt: "a"})
		c.Check(err, qt.ErrorIs, ErrBroken, qt.Commentf("head cut after %q", head[:at]))
	}
}
