package target

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"chervilswitch.example/platform"
	"chervilswitch.example/shared/fault"
	"chervilswitch.example/shared/fleet"
)

const (
	// idleTimeout is how long an idle connection is kept if its target announces no
	// timeout.
	idleTimeout = 4 * time.Second
	// idleShare is the fraction of the target's idle timeout for which a connection is
	// reused, so that a request is not sent while the target closes it.
	idleShare = 0.7
	// discardTimeout and maxDiscardBytes bound the rest of a body that is read only to reuse
	// its connection.
	discardTimeout  = 50 * time.Millisecond
	maxDiscardBytes = 16 << 10
	// maxIdle bounds the number of idle connections to one address.
	maxIdle = 16
	// maxRefused bounds the refusals on a connection that is reused.
	maxRefused = 64
)

var (
	// ErrNotSent is matched when no byte of the request was sent.
	ErrNotSent = fault.NewSentinel("target", "notSent")
	// ErrBroken is matched when sending the request or reading the response's head
	// failed; the request may have run.
	ErrBroken = fault.NewSentinel("target", "broken")

	errStray     = errors.New("target sent only responses to other requests")
	errSilent    = errors.New("target acknowledges nothing of a long request")
	errSwitching = errors.New("target switches to another protocol, expected an HTTP response")
)

// ClosedByTarget reports whether an error means that the target closed or reset the
// connection, other than a timeout.
func ClosedByTarget(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// Request is the HTTP request of one attempt at a target.
type Request struct {
	Method string
	// URI is the path and the query in the caller's spelling.
	URI     string
	Host    string
	Attempt string
	Header  http.Header
	Body    []byte
	// HasBody reports whether the caller sent a body, even if it is empty.
	HasBody bool
}

// isLong reports whether the body may exceed the socket's buffers.
func (r *Request) isLong() bool { return len(r.Body) > maxInlineBytes }

// Response is a target's response. Its body must be closed.
type Response struct {
	*http.Response
	Headers platform.TargetHeaders
	// Reused reports whether the connection had served an earlier request.
	Reused bool
}

// Discard reads the rest of the body, so that the connection can be reused. It gives up
// after discardTimeout or maxDiscardBytes. It reports whether other bytes follow: the
// target may then have sent a second response to the request.
func (r *Response) Discard() (followed bool) {
	b, ok := r.Body.(*body)
	if !ok || b.conn.net.SetReadDeadline(time.Now().Add(discardTimeout)) != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(b, maxDiscardBytes)) // Close resets a connection with a rest.
	_ = b.conn.net.SetReadDeadline(time.Time{})
	return b.sawEOF && b.conn.reader.Buffered() > 0
}

// Pool holds idle connections to targets for reuse. The zero value is ready to use.
type Pool struct {
	mutex sync.Mutex
	idle  map[netip.AddrPort][]*conn
}

// Do sends a request and returns the response's head. The context bounds the whole
// exchange including the body: when it ends, the connection is reset, so that the target
// can stop the request. Errors match ErrNotSent or ErrBroken.
func (p *Pool) Do(ctx context.Context, t fleet.Target, r *Request) (*Response, error) {
	c, reused, err := p.get(ctx, t.Address, r.Attempt)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	stopAbort := context.AfterFunc(ctx, c.abort)
	stop := func() bool {
		active := stopAbort()
		cancel()
		return active
	}
	if r.isLong() {
		go c.awaitReader(ctx)
	}
	if err := c.send(r); err != nil {
		stop()
		c.abort()
		return nil, ErrBroken.Wrap(err, "send request to %s", t.ID)
	}
	response, headers, err := c.receive(r)
	if err != nil {
		stop()
		c.abort()
		if c.silent.Load() {
			err = errSilent
		}
		return nil, ErrBroken.Wrap(err, "read response from %s", t.ID)
	}
	keep := !response.Close && !r.isLong() && len(c.refused) <= maxRefused
	if headers.Idle > 0 {
		c.keep = time.Duration(idleShare * float64(headers.Idle))
	}
	response.Body = &body{ReadCloser: response.Body, pool: p, conn: c, address: t.Address, keep: keep, stop: stop}
	return &Response{Response: response, Headers: headers, Reused: reused}, nil
}

// get returns an idle connection for an attempt or opens one, and reports whether it is
// reused. Errors match ErrNotSent.
func (p *Pool) get(ctx context.Context, address netip.AddrPort, attempt string) (*conn, bool, error) {
	now := time.Now()
	for {
		c := p.pop(address, attempt)
		if c == nil {
			break
		}
		if c.usable(now) {
			return c, true, nil
		}
		_ = c.net.Close()
	}
	c, err := dial(ctx, address)
	return c, false, err
}

// pop removes and returns the most recently used idle connection on which the target has
// not refused an attempt, or nil if there is none.
func (p *Pool) pop(address netip.AddrPort, attempt string) *conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := p.idle[address]
	for i, c := range slices.Backward(list) {
		if !slices.Contains(c.refused, attempt) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// put adds an idle connection, or closes it if the address has maxIdle of them.
func (p *Pool) put(address netip.AddrPort, c *conn) {
	c.idleSince = time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.idle == nil {
		p.idle = make(map[netip.AddrPort][]*conn)
	}
	if len(p.idle[address]) >= maxIdle {
		_ = c.net.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// Trim closes idle connections whose idle time has expired, and those to addresses that
// are no longer used.
func (p *Pool) Trim(now time.Time, used func(netip.AddrPort) bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if used(address) && now.Sub(c.idleSince) < c.keep {
				kept = append(kept, c)
				continue
			}
			_ = c.net.Close()
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// body is a response body that returns its connection to the pool after it was read to
// its end.
type body struct {
	io.ReadCloser
	pool    *Pool
	conn    *conn
	address netip.AddrPort
	// keep reports whether the connection can be reused after this response.
	keep bool
	// stop prevents the reset of the connection when the request's context ends. It
	// returns false if the context has already ended.
	stop   func() bool
	sawEOF bool
	closed bool
}

// Read reads the body. If the body is cut off, the error is not io.EOF.
func (b *body) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	switch {
	case errors.Is(err, io.EOF):
		b.sawEOF = true
	case err != nil && b.conn.silent.Load():
		err = errSilent
	}
	return n, err
}

// Close returns the connection to the pool or closes it. It resets a connection whose
// body was not read to its end. Further calls have no effect.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	contextActive := b.stop()
	if contextActive && b.sawEOF && b.keep && b.conn.reader.Buffered() == 0 {
		b.pool.put(b.address, b.conn)
		return nil
	}
	if b.sawEOF {
		return b.conn.net.Close()
	}
	b.conn.abort()
	return nil
}
