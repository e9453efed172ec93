package peer

import (
	"context"
	"net"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Connections without a message do not end the links of other instances.
func TestSilentConnectionsLeaveLinksAlone(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	served := make(chan struct{})
	limits := Limits{Links: 1, Bytes: 1}
	link, err := Dial(t.Context(), netip.MustParseAddrPort(listener.Addr().String()), nil)
	c.Assert(err, qt.IsNil)
	defer link.Close()
	for i := range 3 {
		stream, err := link.Open(&Open{Kind: &Open_Entry{Entry: &EntryUpdate{Instance: "a"}}})
		c.Assert(err, qt.IsNil)
		defer stream.Close()
		if i == 0 {
			// The whole message waits for the first read: with a bound of one byte, a part of
			// it would keep the rest from being read.
			go func() {
				_ = limits.Serve(t.Context(), listener, func(context.Context, *Open, *Stream) { served <- struct{}{} })
			}()
		}
		<-served
		var silent []net.Conn
		for range 2 {
			conn, err := net.Dial("tcp", listener.Addr().String())
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			silent = append(silent, conn)
		}
		_, err = silent[0].Read(make([]byte, 1)) // The second connection closes the first.
		c.Assert(err, qt.IsNotNil)
	}
}
