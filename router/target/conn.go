package target

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"syscall"
	"time"

	"chervilswitch.example/platform"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout is many times the delay between data centres.
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout ends connections whose other end no longer confirms bytes.
	unackedTimeout = 2 * time.Second
	// inlineBody is the largest body that is written before the answer is read;
	// it fits in a socket's buffers.
	inlineBody = 32 << 10
	// maxStrayAnswers is how many answers to other requests are skipped.
	maxStrayAnswers = 2
	// maxStrayBytes bounds the body of an answer to another request.
	maxStrayBytes = 1 << 20
	readBuffer    = 4 << 10
)

// keepAlive notices a silent end while an answer is awaited.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// conn is one connection to a target; it serves one request at a time.
type conn struct {
	net    net.Conn
	reader *bufio.Reader
	// keep is how long the target keeps the connection when it is idle.
	keep  time.Duration
	since time.Time // When it became idle.
}

// dial opens a connection. Errors match ErrNotSent.
func dial(ctx context.Context, address netip.AddrPort) (*conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(fd uintptr) {
			failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
		})
		return errors.Join(err, failure)
	}}
	opened, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, ErrNotSent.Wrap(err, "connect to %s", address)
	}
	return &conn{net: opened, reader: bufio.NewReaderSize(opened, readBuffer), keep: idleTimeout}, nil
}

// abort ends the connection with a reset, which takes back what has not arrived: a
// target that wakes up later does not get a request that was given up.
func (c *conn) abort() {
	if tcp, ok := c.net.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // It fails only on a closed connection.
	}
	_ = c.net.Close()
}

// usable reports whether an idle connection is still open and silent. Bytes that
// came while it was idle belong to no request.
func (c *conn) usable(now time.Time) bool {
	if now.Sub(c.since) >= c.keep || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.net.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && silent
}

// send writes a request in one piece, or its body beside the reading of the answer
// if it is long.
func (c *conn) send(r *Request) error {
	w := bufio.NewWriterSize(c.net, readBuffer)
	_, err := w.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err == nil && (len(r.Body) > 0 || r.HasBody) {
		_, err = w.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if err == nil {
		err = r.Header.Write(w)
	}
	if err == nil {
		_, err = w.WriteString("\r\n")
	}
	if err != nil {
		return err
	}
	if len(r.Body) <= inlineBody {
		if _, err := w.Write(r.Body); err != nil {
			return err
		}
		return w.Flush()
	}
	go func() {
		// A failure shows when the answer is read; the connection is not kept.
		if err := w.Flush(); err == nil {
			_, _ = c.net.Write(r.Body)
		}
	}()
	return nil
}

// receive reads the head of the answer to a request and skips interim answers and
// answers to other requests.
func (c *conn) receive(r *Request) (*http.Response, platform.TargetHeaders, error) {
	for range maxStrayAnswers + 1 {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, platform.TargetHeaders{}, err
		}
		if response.StatusCode < http.StatusOK && response.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		headers := platform.ParseTargetHeaders(response.StatusCode, response.Header)
		if headers.Attempt == "" || headers.Attempt == r.Attempt {
			return response, headers, nil
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBytes)); err != nil {
			return nil, platform.TargetHeaders{}, err
		}
	}
	return nil, platform.TargetHeaders{}, errStray
}
