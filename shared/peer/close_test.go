package peer

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// slowCloser is a connection that delays its close.
type slowCloser struct {
	net.Conn
	delay time.Duration
}

func (c *slowCloser) Close() error {
	time.Sleep(c.delay)
	return c.Conn.Close()
}

// cpuTime returns the processor time that this process has used.
func cpuTime(c *qt.C) time.Duration {
	var usage syscall.Rusage
	c.Assert(syscall.Getrusage(syscall.RUSAGE_SELF, &usage), qt.IsNil)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// While a yamux session closes, the readers of its streams retry in a busy loop unless
// they are ended first. On a machine with one processor this can prevent the close from
// completing.
func TestReadersOfAClosingLinkDoNotSpin(t *testing.T) {
	const delay = 400 * time.Millisecond
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	serving, stop := context.WithCancel(t.Context())
	defer stop()
	go func() {
		_ = Serve(serving, listener, func(ctx context.Context, _ *Open, _ *Stream) { <-ctx.Done() })
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	link, err := newLink(&slowCloser{Conn: conn, delay: delay})
	c.Assert(err, qt.IsNil)
	ended := make(chan error)
	const readers = 3
	for range readers {
		s, err := link.Open(&Open{Kind: &Open_Entry{Entry: &EntryUpdate{}}})
		c.Assert(err, qt.IsNil)
		go func() { ended <- s.Receive(new(EntryUpdate)) }()
	}
	time.Sleep(50 * time.Millisecond) // The readers block until a message arrives.
	before := cpuTime(c)
	c.Assert(link.Close(), qt.IsNil)
	for range readers {
		c.Assert(<-ended, qt.ErrorIs, ErrLink)
	}
	used := cpuTime(c) - before
	c.Assert(used < delay/4, qt.IsTrue, qt.Commentf("the readers used %s of processor time", used))
}
