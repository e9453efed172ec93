package target

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"chervilswitch.example/platform/platformtest"
	"chervilswitch.example/shared/fleet"
	"chervilswitch.example/shared/tcp/tcptest"

	qt "github.com/frankban/quicktest"
)

// A target goes silent on a connection that was idle. The time before a request does not count.
func TestIdleTimeIsNoSilence(t *testing.T) {
	c := qt.New(t)
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*unackedTimeout)
	defer cancel()
	answered := make(chan *net.TCPConn, 1)
	go func() {
		conn, err := listener.AcceptTCP()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+platformtest.AttemptLine("a")+"\r\nContent-Length: 0\r\n\r\n")
		}
		answered <- conn
		<-ctx.Done()
	}()
	var pool Pool
	target := fleet.Target{ID: "i-1", Address: netip.MustParseAddrPort(listener.Addr().String())}
	response, err := pool.Do(ctx, target, &Request{Method: http.MethodGet, URI: "/", Host: "h", Attempt: "a"})
	c.Assert(err, qt.IsNil)
	_, err = io.Copy(io.Discard, response.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(response.Body.Close(), qt.IsNil)
	time.Sleep(900 * time.Millisecond) // Keep-alive probes are acknowledged after one second.
	c.Assert(tcptest.Silence(<-answered), qt.IsNil)
	began := time.Now()
	_, err = pool.Do(ctx, target, &Request{Method: http.MethodPost, URI: "/", Host: "h", Attempt: "b", Body: make([]byte, 1<<20), HasBody: true})
	c.Assert(err, qt.ErrorIs, ErrBroken)
	c.Assert(err, qt.ErrorIs, errSilent)
	c.Assert(ctx.Err(), qt.IsNil)
	c.Assert(time.Since(began) >= unackedTimeout, qt.IsTrue, qt.Commentf("given up after %s", time.Since(began)))
}
