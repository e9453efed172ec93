package peer

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// exhaustedListener fails a number of times as without descriptors.
type exhaustedListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// A process that was out of descriptors for a moment accepted no links until its end, so the
// others took it for silent.
func TestLinksAreAcceptedAfterALackOfDescriptors(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	exhausted := &exhaustedListener{Listener: listener}
	exhausted.failures.Store(2)
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan struct{}, 1)
	ended := make(chan error, 1)
	go func() {
		ended <- Serve(ctx, exhausted, func(context.Context, *Open, *Stream) { served <- struct{}{} })
	}()
	link, err := Dial(ctx, netip.MustParseAddrPort(listener.Addr().String()), nil)
	c.Assert(err, qt.IsNil)
	defer link.Close()
	stream, err := link.Open(&Open{Kind: &Open_Entry{Entry: &EntryUpdate{}}})
	c.Assert(err, qt.IsNil)
	defer stream.Close()
	select {
	case <-served:
	case err := <-ended:
		t.Fatalf("Serve returned: %v", err)
	case <-time.After(5 * time.Second):
		t.Fatal("the link was not served within 5 s")
	}
	cancel()
	c.Assert(<-ended, qt.IsNil)
}
