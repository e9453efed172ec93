package tcp

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"chervilswitch.example/shared/tcp/tcptest"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

// connect returns both ends of a connection.
func connect(c *qt.C) (*Conn, *net.TCPConn) {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	conn, err := Dial(c.Context(), &net.Dialer{}, netip.MustParseAddrPort(listener.Addr().String()))
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	peer, err := listener.AcceptTCP()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = peer.Close() })
	return conn, peer
}

// writeForever writes until a write fails, and returns a channel with its error.
func writeForever(conn *Conn) <-chan error {
	failed := make(chan error, 1)
	go func() {
		for {
			if _, err := conn.Write(make([]byte, 64<<10)); err != nil {
				failed <- err
				return
			}
		}
	}()
	return failed
}

// The write meets the reset, so that the read would return io.EOF.
func TestReadReportsFailureThatWriteHasMet(t *testing.T) {
	c := qt.New(t)
	conn, peer := connect(c)
	_, err := io.WriteString(peer, "part")
	c.Assert(err, qt.IsNil)
	failed := writeForever(conn)
	c.Assert(peer.SetLinger(0), qt.IsNil)
	c.Assert(peer.Close(), qt.IsNil)
	c.Assert(<-failed, qt.ErrorIs, syscall.ECONNRESET)
	received, err := io.ReadAll(conn)
	c.Assert(err, qt.ErrorIs, syscall.ECONNRESET)
	c.Assert(string(received), qt.Equals, "part")
}

// The peer does not read, and the system gives the connection up.
func TestReadReportsTimeoutThatWriteHasMet(t *testing.T) {
	c := qt.New(t)
	conn, peer := connect(c)
	raw, err := conn.SyscallConn()
	c.Assert(err, qt.IsNil)
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, 100)
	})
	c.Assert(errors.Join(err, optionErr), qt.IsNil)
	_, err = io.WriteString(peer, "part")
	c.Assert(err, qt.IsNil)
	c.Assert(<-writeForever(conn), qt.ErrorIs, syscall.ETIMEDOUT)
	received, err := io.ReadAll(conn)
	c.Assert(err, qt.ErrorIs, syscall.ETIMEDOUT)
	c.Assert(string(received), qt.Equals, "part")
}

// A peer that does not read is not silent; one that acknowledges nothing is.
func TestSilence(t *testing.T) {
	const short, long = 200 * time.Millisecond, time.Second
	for name, silent := range map[string]bool{"peer does not read": false, "peer is silent": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			conn, peer := connect(c)
			writeForever(conn)
			if silent {
				c.Assert(tcptest.Silence(peer), qt.IsNil)
			}
			time.Sleep(long)
			got, err := conn.Silence()
			c.Assert(err, qt.IsNil)
			c.Assert(got >= short, qt.Equals, silent, qt.Commentf("%s", got))
		})
	}
}

// The peer has sent all before it resets the connection.
func TestReadOfAllBeforeResetIsComplete(t *testing.T) {
	c := qt.New(t)
	conn, peer := connect(c)
	_, err := io.WriteString(peer, "whole")
	c.Assert(err, qt.IsNil)
	c.Assert(peer.CloseWrite(), qt.IsNil)
	failed := writeForever(conn)
	time.Sleep(20 * time.Millisecond) // The end arrives before the reset.
	c.Assert(peer.SetLinger(0), qt.IsNil)
	c.Assert(peer.Close(), qt.IsNil)
	c.Assert(<-failed, qt.ErrorIs, syscall.EPIPE)
	received, err := io.ReadAll(conn)
	c.Assert(err, qt.IsNil)
	c.Assert(string(received), qt.Equals, "whole")
}

// The peer ends its side and does not read: the read does not wait for the write.
func TestReadEndsBesideBlockedWrite(t *testing.T) {
	c := qt.New(t)
	conn, peer := connect(c)
	writeForever(conn)
	_, err := io.WriteString(peer, "whole")
	c.Assert(err, qt.IsNil)
	c.Assert(peer.CloseWrite(), qt.IsNil)
	received, err := io.ReadAll(conn)
	c.Assert(err, qt.IsNil)
	c.Assert(string(received), qt.Equals, "whole")
}
