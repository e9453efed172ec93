package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"chervilswitch.example/shared/peer"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
)

// sendBufferBytes is the send buffer of a target that answers without end.
const sendBufferBytes = 64 << 10

// newEndlessAgent returns an agent of a target that answers its first connection with a
// prefix and then the same text again and again, until the agent closes, and a channel with
// the bytes sent.
func newEndlessAgent(c *qt.C, prefix, repeated string) (*Agent, <-chan int) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	sent := make(chan int, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if tcp, ok := conn.(*net.TCPConn); ok {
			err = tcp.SetWriteBuffer(sendBufferBytes) // The system's own would hold megabytes.
		}
		total, _ := io.WriteString(conn, prefix)
		for block := strings.Repeat(repeated, 1+4096/len(repeated)); err == nil; {
			var n int
			n, err = io.WriteString(conn, block)
			total += n
		}
		sent <- total
	}()
	target := netip.MustParseAddrPort(listener.Addr().String())
	return NewAgent(Options{Target: target}, &log.Logger{Handler: discard.Default}), sent
}

const (
	// maxSent is more than what an agent may read and the sockets buffer.
	maxSent     = 4 << 20
	callTimeout = 5 * time.Second
)

// A faulty target sends a head without end. The agent kept all interim responses, and up to
// 10 MiB of a head for each attempt.
func TestEndlessHeadEndsTheAttempt(t *testing.T) {
	for name, answer := range map[string][2]string{
		"header":            {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"headers":           {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			agent, sent := newEndlessAgent(c, answer[0], answer[1])
			ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
			defer cancel()
			body, written := io.Pipe()
			c.Assert(written.Close(), qt.IsNil)
			o := newOutput("request", "organisation", 0, cancel)
			response, err := agent.sendRequest(ctx, "attempt", &pendingAttempt{submit: &peer.Submit{Method: http.MethodGet, Path: "/"}, body: body}, o)
			if err == nil {
				_ = response.Body.Close()
			}
			c.Assert(err, qt.IsNotNil)
			c.Assert(ctx.Err(), qt.IsNil, qt.Commentf("the attempt ended at its timeout only"))
			c.Check(len(o.interim) <= maxInterimResponses, qt.IsTrue, qt.Commentf("%d interim responses are kept", len(o.interim)))
			total := <-sent
			c.Check(total <= maxSent, qt.IsTrue, qt.Commentf("%d bytes were read", total))
		})
	}
}

// A load report without end was read until its timeout.
func TestEndlessLoadReportIsGivenUp(t *testing.T) {
	c := qt.New(t)
	agent, sent := newEndlessAgent(c, "HTTP/1.1 200 OK\r\n\r\n{\"boot\":\"", "x")
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	_, err := agent.fetchLoad(ctx)
	c.Assert(err, qt.IsNotNil)
	total := <-sent
	c.Assert(total <= maxSent, qt.IsTrue, qt.Commentf("%d bytes were read", total))
}
