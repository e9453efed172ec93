package target

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"chervilswitch.example/platform"
	"chervilswitch.example/shared/fault"
	"chervilswitch.example/shared/fleet"
)

const (
	// idleTimeout is how long a connection is kept if its target does not say.
	idleTimeout = 4 * time.Second
	// keepShare is the part of the target's own timeout that is used, so that a
	// request does not meet its end.
	keepShare = 0.7
	// maxIdle bounds the idle connections to one target.
	maxIdle = 16
)

var (
	// ErrNotSent is matched when no byte of the request was sent.
	ErrNotSent = fault.NewSentinel("target", "notSent")
	// ErrBroken is matched when the request may have run and has no whole answer.
	ErrBroken = fault.NewSentinel("target", "broken")

	errStray = errors.New("only answers to other requests came")
)

// Request is one attempt at a target.
type Request struct {
	Method string
	// URI is the path and query as the caller sent them.
	URI     string
	Host    string
	Attempt string
	Header  http.Header
	Body    []byte
	// HasBody tells that the caller sent a body, even if it is empty.
	HasBody bool
}

// Response is a target's answer. Its body must be closed.
type Response struct {
	*http.Response
	Headers platform.TargetHeaders
	// Reused tells that the connection had served another request.
	Reused bool
}

// Pool keeps connections to targets. The zero value is ready to use.
type Pool struct {
	mutex sync.Mutex
	idle  map[netip.AddrPort][]*conn
}

// Do sends a request and returns the answer's head. The context bounds the whole
// exchange with its body: when it ends, the connection is closed, which tells the
// target to stop. Errors match ErrNotSent or ErrBroken.
func (p *Pool) Do(ctx context.Context, t fleet.Target, r *Request) (*Response, error) {
	c, reused, err := p.get(ctx, t.Address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, c.abort)
	if err := c.send(r); err != nil {
		stop()
		c.abort()
		return nil, ErrBroken.Wrap(err, "send to %s", t.ID)
	}
	response, headers, err := c.receive(r)
	if err != nil {
		stop()
		c.abort()
		return nil, ErrBroken.Wrap(err, "answer of %s", t.ID)
	}
	keep := !response.Close && len(r.Body) <= inlineBody
	if headers.Idle > 0 {
		c.keep = time.Duration(keepShare * float64(headers.Idle))
	}
	response.Body = &body{ReadCloser: response.Body, pool: p, conn: c, address: t.Address, keep: keep, stop: stop}
	return &Response{Response: response, Headers: headers, Reused: reused}, nil
}

// get takes an idle connection or opens one.
func (p *Pool) get(ctx context.Context, address netip.AddrPort) (*conn, bool, error) {
	now := time.Now()
	for {
		c := p.pop(address)
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

func (p *Pool) pop(address netip.AddrPort) *conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// put keeps a connection whose answer was read to its end.
func (p *Pool) put(address netip.AddrPort, c *conn) {
	c.since = time.Now()
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

// Trim closes idle connections that are too old, and those to addresses that no
// target has any more.
func (p *Pool) Trim(now time.Time, used func(netip.AddrPort) bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if used(address) && now.Sub(c.since) < c.keep {
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

// body returns the connection to the pool when the answer was read to its end.
type body struct {
	io.ReadCloser
	pool    *Pool
	conn    *conn
	address netip.AddrPort
	keep    bool
	stop    func() bool
	ended   bool
}

// Read reads the answer. An answer that ends early is an error other than io.EOF.
func (b *body) Read(into []byte) (int, error) {
	n, err := b.ReadCloser.Read(into)
	if errors.Is(err, io.EOF) {
		b.ended = true
	}
	return n, err
}

// Close keeps the connection or closes it.
func (b *body) Close() error {
	alive := b.stop()
	if alive && b.ended && b.keep && b.conn.reader.Buffered() == 0 {
		b.pool.put(b.address, b.conn)
		return nil
	}
	if b.ended {
		return b.conn.net.Close()
	}
	b.conn.abort()
	return nil
}
