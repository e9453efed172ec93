// Package tcp opens TCP connections that are read while they are written.
package tcp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// expired is a deadline in the past, which makes writes return at once.
var expired = time.Unix(1, 0)

// Conn is a connection whose Read does not return io.EOF if the connection has failed. The
// system reports a failure once, to a read or to a write; later reads look like the orderly
// end of what the peer has sent.
type Conn struct {
	net.Conn // The same as tcp, without methods that pass by Read and Write.
	tcp      *net.TCPConn

	// writing is held during a write, and protects failure.
	writing sync.Mutex
	// failure is the error of a write to a connection whose peer had not ended it.
	failure error
}

// Dial opens a connection.
func Dial(ctx context.Context, dialer *net.Dialer, address netip.AddrPort) (*Conn, error) {
	return dial(ctx, dialer, address.String())
}

// DialContext returns a function that opens connections for http.Transport.
func DialContext(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, dialer, address) }
}

func dial(ctx context.Context, dialer *net.Dialer, address string) (*Conn, error) {
	opened, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn, ok := opened.(*net.TCPConn)
	if !ok {
		_ = opened.Close()
		return nil, fmt.Errorf("connect to %s: got a %T, expected a TCP connection", address, opened)
	}
	return &Conn{Conn: conn, tcp: conn}, nil
}

// Read reads from the connection. The error is io.EOF only if the peer has ended its side in
// order; a write that is under way then ends.
func (c *Conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if errors.Is(err, io.EOF) {
		if failure := c.writeFailure(); failure != nil {
			err = failure
		}
	}
	return n, err
}

// writeFailure ends the write that is under way, if any, and returns the failure that it or
// an earlier one has met.
func (c *Conn) writeFailure() error {
	_ = c.SetWriteDeadline(expired) // It fails only on a closed connection, whose writes return as well.
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.failure
}

// Write writes to the connection.
func (c *Conn) Write(data []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(data)
	// A reset by a peer that has ended its side before is EPIPE instead of ECONNRESET: all
	// that it has sent has arrived.
	var errno syscall.Errno
	if errors.As(err, &errno) && errno != syscall.EPIPE {
		c.failure = err
	}
	return n, err
}

// Silence returns for how long the peer has acknowledged nothing although it owes a reply; 0 if
// it owes none. A peer that has no room for more bytes owes a reply to a probe only.
func (c *Conn) Silence() (time.Duration, error) {
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return 0, err
	}
	var info *unix.TCPInfo
	controlErr := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err := errors.Join(controlErr, err); err != nil {
		return 0, err
	}
	if info.Unacked == 0 && info.Probes <= 1 { // The reply to the last probe is due.
		return 0, nil
	}
	return time.Duration(info.Last_ack_recv) * time.Millisecond, nil
}

// Reset closes the connection with a reset, which discards bytes that are still in transit.
func (c *Conn) Reset() error {
	return errors.Join(c.tcp.SetLinger(0), c.tcp.Close())
}

// SyscallConn returns the raw connection.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }
