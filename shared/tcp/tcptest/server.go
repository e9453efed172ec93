// Package tcptest provides what servers of tests do to their connections.
package tcptest

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readBufferBytes and segmentBytes are the receive buffer and the largest segment of
	// connections with limited buffers.
	readBufferBytes = 32 << 10
	segmentBytes    = 1400
)

// Serve answers the requests of a loopback address until the test ends. The function writes
// any bytes once the head of a request has arrived, and the connection closes after it;
// its buffers are limited.
func Serve(tb testing.TB, respond func(conn *net.TCPConn, request *http.Request)) netip.AddrPort {
	tb.Helper()
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err == nil {
		tb.Cleanup(func() { _ = listener.Close() })
		err = LimitBuffers(listener)
	}
	if err != nil {
		tb.Fatal(err)
	}
	go func() {
		for {
			conn, err := listener.AcceptTCP()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					respond(conn, request)
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// LimitBuffers makes new connections of a listener hold little of what is sent to them, as
// those over a network do. With the system's own buffers for the loopback device, the sockets
// hold a whole upload.
func LimitBuffers(listener *net.TCPListener) error {
	return withDescriptor(listener, func(fd int) error {
		return errors.Join(
			unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, readBufferBytes),
			unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_MAXSEG, segmentBytes),
		)
	})
}

// AwaitUnread waits until the system holds bytes of a connection that were not read, or the
// peer has closed. A close then resets the connection; without such bytes it would end it in
// order.
func AwaitUnread(conn *net.TCPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return !errors.Is(err, unix.EAGAIN)
	})
}

// Silence makes the system drop all that arrives on a connection, as a link that is cut does:
// nothing is acknowledged. It waits until the peer has acknowledged all, so that nothing is
// sent again.
func Silence(conn *net.TCPConn) error {
	for queued := 1; queued > 0; time.Sleep(time.Millisecond) {
		if err := withDescriptor(conn, func(fd int) (err error) {
			queued, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ)
			return err
		}); err != nil {
			return err
		}
	}
	acceptNothing := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
	return withDescriptor(conn, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &acceptNothing})
	})
}

// withDescriptor calls a function with the descriptor of a socket.
func withDescriptor(socket syscall.Conn, use func(fd int) error) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	controlErr := raw.Control(func(fd uintptr) { err = use(int(fd)) })
	return errors.Join(controlErr, err)
}
