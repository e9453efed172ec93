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
	"sync/atomic"
	"syscall"
	"time"

	"chervilswitch.example/platform"
	"chervilswitch.example/shared/http1"
	"chervilswitch.example/shared/tcp"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout is many times the delay between data centres.
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the connection
	// is closed.
	unackedTimeout = 2 * time.Second
	// silenceCheckInterval is how often a target that leaves a body unread is checked.
	silenceCheckInterval = 250 * time.Millisecond
	// maxInlineBytes is the largest body that is written before the response is read; it
	// fits in a socket's buffers.
	maxInlineBytes = 32 << 10
	// maxStrayResponses is how many responses to other requests are skipped.
	maxStrayResponses = 2
	// maxStrayBytes bounds the body of a response to another request.
	maxStrayBytes = 1 << 20
	// bufferBytes is the size of the write buffer.
	bufferBytes = 4 << 10
)

// keepAlive detects an unreachable target while a response is pending.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// conn is one connection to a target; it serves one request at a time.
type conn struct {
	net    *tcp.Conn
	reader *http1.Reader
	// keep is how long the connection may be idle before it is closed.
	keep      time.Duration
	idleSince time.Time // When the connection became idle.
	// silent is true if the connection was reset because the target was silent.
	silent atomic.Bool
	// refused lists the attempts that the target has refused on this connection. They are
	// sent over other ones: a copy of the refusal could not be told from the response.
	refused []string
}

// dial opens a connection. Errors match ErrNotSent.
func dial(ctx context.Context, address netip.AddrPort) (*conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: func(_, _ string, raw syscall.RawConn) error {
		return setUnackedTimeout(raw, unackedTimeout)
	}}
	opened, err := tcp.Dial(ctx, &dialer, address)
	if err != nil {
		return nil, ErrNotSent.Wrap(err, "connect to %s", address)
	}
	return &conn{net: opened, reader: http1.NewReader(opened), keep: idleTimeout}, nil
}

// setUnackedTimeout sets how long bytes may stay unacknowledged or unsent; 0 is as long as the
// system allows.
func setUnackedTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Join(err, failure)
}

// awaitReader lets the target leave a body unread until the context ends. It resets the
// connection if the target is silent.
func (c *conn) awaitReader(ctx context.Context) {
	raw, err := c.net.SyscallConn()
	if err == nil {
		_, err = c.net.Silence()
	}
	if err == nil {
		err = setUnackedTimeout(raw, 0)
	}
	if err != nil {
		return // The connection is closed, or the system tells of no silence and keeps its bound.
	}
	began := time.Now()
	ticker := time.NewTicker(silenceCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			// A connection that was idle has had no acknowledgement for that time either.
			silence, err := c.net.Silence()
			if err == nil && min(silence, time.Since(began)) >= unackedTimeout {
				c.silent.Store(true)
				c.abort()
				return
			}
		}
	}
}

// abort closes the connection with a reset, which discards bytes that are still in
// transit: a target that resumes later does not receive an abandoned request.
func (c *conn) abort() {
	_ = c.net.Reset() // It fails only on a closed connection.
}

// usable reports whether an idle connection has not expired, is open and has received no
// bytes. Bytes that arrive on an idle connection belong to no request.
func (c *conn) usable(now time.Time) bool {
	if now.Sub(c.idleSince) >= c.keep || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.net.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && idle
}

// send writes a request. A long body is written while the response is read.
func (c *conn) send(r *Request) error {
	w := bufio.NewWriterSize(c.net, bufferBytes)
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
	if !r.isLong() {
		if _, err := w.Write(r.Body); err != nil {
			return err
		}
		return w.Flush()
	}
	go func() {
		// A failed write also fails the read of a response that has not ended; the
		// connection is not reused.
		if err := w.Flush(); err == nil {
			_, _ = c.net.Write(r.Body)
		}
	}()
	return nil
}

// receive reads the head of the response to a request. It skips interim responses and
// responses to other requests. On a reused connection, a response without an ID may be a
// late copy of an earlier one.
func (c *conn) receive(r *Request) (*http.Response, platform.TargetHeaders, error) {
	for range maxStrayResponses + 1 {
		response, err := c.reader.ReadResponse(r.Method)
		if err != nil {
			return nil, platform.TargetHeaders{}, err
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, platform.TargetHeaders{}, errSwitching
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		headers := platform.ParseTargetHeaders(response.StatusCode, response.Header)
		reused := !c.idleSince.IsZero()
		if headers.Attempt == r.Attempt || headers.Attempt == "" && !reused {
			if headers.NotRun {
				c.refused = append(c.refused, r.Attempt)
			}
			return response, headers, nil
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBytes)); err != nil {
			return nil, platform.TargetHeaders{}, err
		}
	}
	return nil, platform.TargetHeaders{}, errStray
}
