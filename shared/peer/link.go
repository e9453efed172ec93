package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"chervilswitch.example/shared/fault"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

const (
	// maxMessageBytes bounds one message between processes.
	maxMessageBytes = 16 << 20
	dialTimeout     = time.Second
	// keepAliveEvery ends links that nobody asks over; the others notice silence
	// by an unanswered question.
	keepAliveEvery = 10 * time.Second
	// writeTimeout is when a link that takes no more bytes is given up.
	writeTimeout = 2 * time.Second
	streamWindow = 1 << 20
)

var (
	// ErrLink is matched when a link or stream to another process broke.
	ErrLink = fault.NewSentinel("peer", "link")
)

// Stream is one exchange of messages over a link.
type Stream struct {
	stream net.Conn
	reader *bufio.Reader
	link   *linkConn // nil if the stream is a connection of its own.
}

// NewStream speaks messages over a connection.
func NewStream(conn net.Conn) *Stream {
	return &Stream{stream: conn, reader: bufio.NewReader(conn)}
}

// newLinkStream speaks messages over one of a link's streams.
func newLinkStream(conn net.Conn, link *linkConn) *Stream {
	s := NewStream(conn)
	s.link = link
	link.add(s)
	return s
}

// Send writes one message. Errors match ErrLink.
func (s *Stream) Send(m proto.Message) error {
	if err := s.stream.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return ErrLink.Wrap(err, "set a deadline")
	}
	if _, err := protodelim.MarshalTo(s.stream, m); err != nil {
		return ErrLink.Wrap(err, "send")
	}
	return nil
}

// Receive reads one message. Errors match ErrLink; a clean end is also io.EOF.
func (s *Stream) Receive(m proto.Message) error {
	options := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
	if err := options.UnmarshalFrom(s.reader, m); err != nil {
		return ErrLink.Wrap(err, "receive")
	}
	return nil
}

// ReceiveWithin reads one message, with a limit on the time it takes.
func (s *Stream) ReceiveWithin(m proto.Message, timeout time.Duration) error {
	if err := s.setReadDeadline(time.Now().Add(timeout)); err != nil {
		return ErrLink.Wrap(err, "set a deadline")
	}
	defer func() { _ = s.setReadDeadline(time.Time{}) }()
	return s.Receive(m)
}

// setReadDeadline sets a deadline, unless the link is closing and has set one.
func (s *Stream) setReadDeadline(at time.Time) error {
	err := s.stream.SetReadDeadline(at)
	if s.link != nil && s.link.closing.Load() {
		return s.stream.SetReadDeadline(past)
	}
	return err
}

// Close ends the stream.
func (s *Stream) Close() error {
	if s.link != nil {
		s.link.remove(s)
	}
	return s.stream.Close()
}

// CloseWith ends the stream when the context ends. Stop ends the watch.
func (s *Stream) CloseWith(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = s.Close() })
}

// past is a deadline that is over.
var past = time.Unix(1, 0)

// linkConn is the connection under a link. While a session of yamux closes, readers
// of its streams would try again and again without a pause, and keep a single
// processor from ever finishing the close; they are ended first.
type linkConn struct {
	net.Conn
	closing atomic.Bool
	mutex   sync.Mutex
	streams map[*Stream]struct{}
}

func newLinkConn(conn net.Conn) *linkConn {
	return &linkConn{Conn: conn, streams: make(map[*Stream]struct{})}
}

func (c *linkConn) add(s *Stream) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.streams[s] = struct{}{}
	if c.closing.Load() {
		_ = s.stream.SetReadDeadline(past) // It fails only on a closed stream.
	}
}

func (c *linkConn) remove(s *Stream) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.streams, s)
}

// Close is called by the session as soon as it closes, whoever caused it.
func (c *linkConn) Close() error {
	c.closing.Store(true)
	c.mutex.Lock()
	for s := range c.streams {
		_ = s.stream.SetReadDeadline(past) // It fails only on a closed stream.
	}
	c.mutex.Unlock()
	return c.Conn.Close()
}

// Link is a connection to another process that carries many streams. Its
// heartbeats close it when the other end has gone silent.
type Link struct {
	conn    *linkConn
	session *yamux.Session
}

// Dial connects to a process. A nil TLS configuration means plain TCP. Errors
// match ErrLink.
func Dial(ctx context.Context, address netip.AddrPort, config *tls.Config) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := dialConn(ctx, address, config)
	if err != nil {
		return nil, ErrLink.Wrap(err, "dial %s", address)
	}
	return newLink(conn)
}

func newLink(conn net.Conn) (*Link, error) {
	l := &Link{conn: newLinkConn(conn)}
	session, err := yamux.Client(l.conn, sessionConfig())
	if err != nil {
		return nil, ErrLink.Wrap(err, "open a session")
	}
	l.session = session
	return l, nil
}

func dialConn(ctx context.Context, address netip.AddrPort, config *tls.Config) (net.Conn, error) {
	if config == nil {
		return new(net.Dialer).DialContext(ctx, "tcp", address.String())
	}
	return (&tls.Dialer{Config: config}).DialContext(ctx, "tcp", address.String())
}

// Open begins a stream with its first message.
func (l *Link) Open(first *Open) (*Stream, error) {
	conn, err := l.session.Open()
	if err != nil {
		return nil, ErrLink.Wrap(err, "open a stream")
	}
	s := newLinkStream(conn, l.conn)
	if err := s.Send(first); err != nil {
		_ = s.Close()
		return nil, err
	}
	return s, nil
}

// Closed is closed when the link is gone.
func (l *Link) Closed() <-chan struct{} { return l.session.CloseChan() }

// Close ends the link and its streams.
func (l *Link) Close() error { return l.session.Close() }

// Handler serves one stream that another process opened. It closes the stream.
type Handler func(ctx context.Context, first *Open, s *Stream)

// Serve accepts links until the context ends.
func Serve(ctx context.Context, listener net.Listener, handle Handler) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept a peer: %w", err)
		}
		go serveLink(ctx, conn, handle)
	}
}

func serveLink(ctx context.Context, conn net.Conn, handle Handler) {
	under := newLinkConn(conn)
	session, err := yamux.Server(under, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	defer session.Close()
	for {
		accepted, err := session.Accept()
		if err != nil {
			return
		}
		go serveStream(ctx, newLinkStream(accepted, under), handle)
	}
}

func serveStream(ctx context.Context, s *Stream, handle Handler) {
	defer s.Close()
	first := new(Open)
	if err := s.ReceiveWithin(first, writeTimeout); err != nil {
		return
	}
	handle(ctx, first, s)
}

func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.KeepAliveInterval = keepAliveEvery
	config.ConnectionWriteTimeout = writeTimeout
	config.MaxStreamWindowSize = streamWindow
	config.AcceptBacklog = 1024
	config.LogOutput = io.Discard
	return config
}
