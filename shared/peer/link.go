package peer

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"chervilswitch.example/shared/fault"
	"chervilswitch.example/shared/wait"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

const (
	// maxMessageBytes is the maximum size of a message.
	maxMessageBytes = 16 << 20
	dialTimeout     = time.Second
	// keepAliveInterval is the interval of the pings that detect that a link is dead.
	// On a link that is polled for the peer's state, a late response detects it sooner.
	keepAliveInterval = 10 * time.Second
	// writeTimeout is the time after which a write to a link that accepts no data
	// fails.
	writeTimeout      = 2 * time.Second
	streamWindowBytes = 1 << 20
)

var (
	// ErrLink matches errors of a link or stream to another process.
	ErrLink = fault.NewSentinel("peer", "link")
)

// Stream carries one exchange of messages over a link or a connection.
type Stream struct {
	stream net.Conn
	reader *bufio.Reader
	link   *linkConn // nil if the stream has a connection of its own.
}

// NewStream creates a stream that exchanges messages over a connection.
func NewStream(conn net.Conn) *Stream {
	return &Stream{stream: conn, reader: bufio.NewReader(conn)}
}

// newLinkStream creates a stream over one of the yamux streams of a link.
func newLinkStream(conn net.Conn, link *linkConn) *Stream {
	s := NewStream(conn)
	s.link = link
	link.add(s)
	return s
}

// Send writes one message. Errors match ErrLink.
func (s *Stream) Send(m proto.Message) error {
	if err := s.stream.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return ErrLink.Wrap(err, "set the write deadline")
	}
	if _, err := protodelim.MarshalTo(s.stream, m); err != nil {
		return ErrLink.Wrap(err, "send")
	}
	return nil
}

// Receive reads one message. Errors match ErrLink, and also io.EOF if the sender closed
// the stream between two messages.
func (s *Stream) Receive(m proto.Message) error {
	if err := s.receive(m); err != nil {
		return ErrLink.Wrap(err, "receive")
	}
	return nil
}

// receive reads one message. The buffer of a long one grows with the bytes that have
// arrived, not with the length that the sender has announced.
func (s *Stream) receive(m proto.Message) error {
	size, err := binary.ReadUvarint(s.reader)
	if err != nil {
		return err
	}
	if size > maxMessageBytes {
		return &protodelim.SizeTooLargeError{Size: size, MaxSize: maxMessageBytes}
	}
	if int(size) <= s.reader.Size() {
		raw, err := s.reader.Peek(int(size))
		if err != nil {
			return noEOF(err)
		}
		err = proto.Unmarshal(raw, m)
		_, _ = s.reader.Discard(int(size)) // These bytes are buffered.
		return err
	}
	var buffer bytes.Buffer
	if _, err := io.CopyN(&buffer, s.reader, int64(size)); err != nil {
		return noEOF(err)
	}
	return proto.Unmarshal(buffer.Bytes(), m)
}

// noEOF returns the error of a read inside a message.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// ReceiveWithin reads one message within a timeout. Errors match ErrLink.
func (s *Stream) ReceiveWithin(m proto.Message, timeout time.Duration) error {
	if err := s.setReadDeadline(time.Now().Add(timeout)); err != nil {
		return ErrLink.Wrap(err, "set the read deadline")
	}
	defer func() { _ = s.setReadDeadline(time.Time{}) }()
	return s.Receive(m)
}

// setReadDeadline sets the read deadline. If the link is closing, it restores the
// expired deadline that the close has set.
func (s *Stream) setReadDeadline(at time.Time) error {
	err := s.stream.SetReadDeadline(at)
	if s.link != nil && s.link.closing.Load() {
		return s.stream.SetReadDeadline(expiredDeadline)
	}
	return err
}

// Close closes the stream.
func (s *Stream) Close() error {
	if s.link != nil {
		s.link.remove(s)
	}
	return s.stream.Close()
}

// CloseOnDone closes the stream when the context ends, unless stop is called before.
func (s *Stream) CloseOnDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = s.Close() })
}

// expiredDeadline is a deadline in the past, which makes reads return at once.
var expiredDeadline = time.Unix(1, 0)

// linkConn is the connection under a link. While a yamux session closes, the readers of
// its streams retry in a busy loop, which can prevent the close from completing on a
// machine with one processor. Close therefore ends the readers first.
type linkConn struct {
	net.Conn
	closing atomic.Bool
	// newcomers counts the link until a message has arrived; nil for links that were
	// dialled, and afterwards.
	newcomers atomic.Pointer[newcomers]
	mutex     sync.Mutex
	streams   map[*Stream]struct{}
}

func newLinkConn(conn net.Conn) *linkConn {
	return &linkConn{Conn: conn, streams: make(map[*Stream]struct{})}
}

func (c *linkConn) add(s *Stream) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.streams[s] = struct{}{}
	if c.closing.Load() {
		_ = s.stream.SetReadDeadline(expiredDeadline) // It fails only on a closed stream.
	}
}

func (c *linkConn) remove(s *Stream) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.streams, s)
}

// Close ends the readers of the streams and closes the connection. The session calls it
// as soon as it closes, for any cause.
func (c *linkConn) Close() error {
	c.closing.Store(true)
	c.mutex.Lock()
	for s := range c.streams {
		_ = s.stream.SetReadDeadline(expiredDeadline) // It fails only on a closed stream.
	}
	c.mutex.Unlock()
	return c.Conn.Close()
}

// Link is a connection to another process that carries many streams. It closes when the
// other process no longer responds to keep-alive pings.
type Link struct {
	conn    *linkConn
	session *yamux.Session
}

// Dial connects to a process. A nil TLS configuration selects plain TCP. Errors match
// ErrLink.
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
		return nil, ErrLink.Wrap(err, "open a yamux session")
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

// Open opens a stream and sends its first message. Errors match ErrLink.
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

// Closed returns a channel that is closed when the link is closed.
func (l *Link) Closed() <-chan struct{} { return l.session.CloseChan() }

// Close closes the link and its streams.
func (l *Link) Close() error { return l.session.Close() }

// Handler serves one stream that another process opened. The stream is closed when the
// handler returns.
type Handler func(ctx context.Context, first *Open, s *Stream)

// acceptRetryInterval is the pause after a connection could not be accepted.
const acceptRetryInterval = 50 * time.Millisecond

// Serve accepts links and passes their streams to the handler until the context ends. It
// goes on after errors that pass, such as a lack of descriptors, and returns others.
func Serve(ctx context.Context, listener net.Listener, handle Handler) error {
	return Limits{}.Serve(ctx, listener, handle)
}

// Serve is Serve within the limits.
func (l Limits) Serve(ctx context.Context, listener net.Listener, handle Handler) error {
	guard := newNewcomers(l)
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if isTemporary(err) {
			wait.Sleep(ctx, acceptRetryInterval)
			continue
		}
		if err != nil {
			return fmt.Errorf("accept a connection from a peer: %w", err)
		}
		go serveLink(ctx, guard.admit(newLinkConn(conn)), handle)
	}
}

// isTemporary reports whether an error of Accept says nothing about the listener: resources
// are short, or the peer has gone.
func isTemporary(err error) bool {
	for _, passing := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}

func serveLink(ctx context.Context, tracked *linkConn, handle Handler) {
	defer tracked.prove()
	session, err := yamux.Server(tracked, sessionConfig())
	if err != nil {
		_ = tracked.Close()
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
		go serveStream(ctx, newLinkStream(accepted, tracked), handle)
	}
}

func serveStream(ctx context.Context, s *Stream, handle Handler) {
	defer s.Close()
	first := new(Open)
	if err := s.ReceiveWithin(first, writeTimeout); err != nil {
		return
	}
	if first.GetKind() != nil && s.link != nil {
		s.link.prove()
	}
	handle(ctx, first, s)
}

func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.KeepAliveInterval = keepAliveInterval
	config.ConnectionWriteTimeout = writeTimeout
	config.MaxStreamWindowSize = streamWindowBytes
	config.AcceptBacklog = 1024
	config.LogOutput = io.Discard
	return config
}
