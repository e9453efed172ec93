// Package intake bounds what the clients of an HTTP server hold in its process: their
// connections, and the bytes of bodies and responses that are kept for them. While there
// is room, it closes and refuses nothing.
package intake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"chervilswitch.example/shared/fault"
)

const (
	// SmallBytes is what a request may hold to count as small. A part of the room, 1 in
	// smallShare, is for small requests only.
	SmallBytes = 64 << 10
	smallShare = 8
	// patience is how long a client may keep bytes or a connection without an end of its
	// body or of its response before it makes room for others.
	patience = time.Second
	// roomTimeout is how long a body that is being read waits for room.
	roomTimeout = 2 * time.Second
	// recheckInterval is how often a body that waits looks for clients to make room.
	recheckInterval = 100 * time.Millisecond
)

// ErrNoRoom matches the refusal of a request whose body has no room. It has not been sent
// to a target.
var ErrNoRoom = fault.NewSentinel("intake", "noRoom")

// Reason is why a connection was closed or a body was not read to its end.
type Reason string

// The reasons.
const (
	IdleConnection Reason = "idleConnection"
	SilentClient   Reason = "noHead"
	SlowReader     Reason = "slowReader"
	SlowBody       Reason = "slowBody"
	TooMany        Reason = "tooManyConnections"
	NoRoom         Reason = "noRoom"
)

// expiredDeadline is a deadline in the past, which makes reads return at once.
var expiredDeadline = time.Unix(1, 0)

type phase int

// The phases of a connection. Before the first request it is connected; partial heads do
// not change the phase.
const (
	connected phase = iota
	idle
	reading
	serving
	writing
)

// Intake holds the clients of a server. It is safe for concurrent use; fields must not
// change after Attach.
type Intake struct {
	// MaxConnections and MaxBytes are the bounds; zero is no bound.
	MaxConnections int
	MaxBytes       int64
	// CloseActive allows to close connections whose request is being served.
	CloseActive bool
	// Report is called for each connection that is closed and each body that is given up,
	// with the connections and the bytes at that time. It must not block.
	Report func(reason Reason, remote net.Addr, connections int, bytes int64)

	mutex sync.Mutex
	open  map[net.Conn]*Connection
	bytes int64
	// freed is closed when bytes are released; nil while nobody waits.
	freed chan struct{}
}

// Connection is one client's connection. Methods of a nil Connection have no effect and
// allow all.
type Connection struct {
	intake *Intake
	net    net.Conn
	// The mutex of intake protects the rest.
	phase phase
	since time.Time
	bytes int64
	// waits reports whether the body waits for room, not for its client.
	waits   bool
	evicted bool
}

type contextKey struct{}

// Attach makes a server report its connections to the intake.
func (i *Intake) Attach(server *http.Server) {
	i.open = make(map[net.Conn]*Connection)
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, contextKey{}, i.admit(conn))
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		switch state {
		case http.StateActive:
			i.enter(conn, serving)
		case http.StateIdle:
			i.enter(conn, idle)
		case http.StateClosed, http.StateHijacked:
			i.remove(conn)
		case http.StateNew:
		}
	}
}

// From returns the connection of a request's context, nil if its server has no intake.
func From(ctx context.Context) *Connection {
	c, _ := ctx.Value(contextKey{}).(*Connection)
	return c
}

// admit adds a connection. If there are too many, it closes the one that is idle for
// longest, or else the new one.
func (i *Intake) admit(conn net.Conn) *Connection {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	now := time.Now()
	c := &Connection{intake: i, net: conn, since: now}
	if i.MaxConnections > 0 && len(i.open) >= i.MaxConnections {
		if victim, reason := i.leastActive(now); victim != nil {
			i.closeNow(victim, reason)
		} else {
			i.closeNow(c, TooMany)
			return c
		}
	}
	i.open[conn] = c
	return c
}

// leastActive returns the connection to close first.
func (i *Intake) leastActive(now time.Time) (*Connection, Reason) {
	var victim *Connection
	best := 0
	reason := Reason("")
	for _, c := range i.open {
		rank, why := 0, Reason("")
		waited := now.Sub(c.since) > patience
		switch {
		case c.evicted:
		case c.phase == idle:
			rank, why = 4, IdleConnection
		case c.phase == connected:
			rank, why = 3, SilentClient
		case (c.phase == writing || i.CloseActive) && waited:
			rank, why = 2, SlowReader
		case c.phase == reading && waited:
			rank, why = 1, SlowBody
		}
		if rank > best || rank == best && rank > 0 && c.since.Before(victim.since) {
			victim, best, reason = c, rank, why
		}
	}
	return victim, reason
}

// closeNow closes a connection. The request that it carries is not sent to a target.
func (i *Intake) closeNow(c *Connection, reason Reason) {
	c.evicted = true
	_ = c.net.Close() // It fails only on a closed connection.
	delete(i.open, c.net)
	i.report(reason, c)
}

func (i *Intake) report(reason Reason, c *Connection) {
	if i.Report != nil {
		i.Report(reason, c.net.RemoteAddr(), len(i.open), i.bytes)
	}
}

func (i *Intake) enter(conn net.Conn, p phase) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if c := i.open[conn]; c != nil {
		c.phase, c.since = p, time.Now()
	}
}

// enter begins another phase.
func (c *Connection) enter(p phase) {
	if c == nil {
		return
	}
	c.intake.mutex.Lock()
	defer c.intake.mutex.Unlock()
	c.phase, c.since = p, time.Now()
}

func (i *Intake) remove(conn net.Conn) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	delete(i.open, conn)
}

// Usage returns the number of connections and the bytes that are held.
func (i *Intake) Usage() (connections int, bytes int64) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return len(i.open), i.bytes
}

// Begin starts a request. It returns false if the connection was closed to make room: the
// request must not be sent to a target.
func (c *Connection) Begin() bool {
	if c == nil {
		return true
	}
	c.intake.mutex.Lock()
	defer c.intake.mutex.Unlock()
	return !c.evicted
}

// ReadUntil sets the time until which the body must have progressed. The first call begins
// the reading. Errors match ErrNoRoom.
func (c *Connection) ReadUntil(at time.Time) error {
	if c == nil {
		return nil
	}
	c.intake.mutex.Lock()
	defer c.intake.mutex.Unlock()
	if c.evicted {
		return ErrNoRoom.New("the client made room for others")
	}
	if c.phase != reading {
		c.phase, c.since = reading, time.Now()
	}
	_ = c.net.SetReadDeadline(at) // The read fails on a closed connection.
	return nil
}

// EndReading ends the reading of a body that is complete. Errors match ErrNoRoom.
func (c *Connection) EndReading() error {
	if err := c.ReadUntil(time.Time{}); err != nil {
		return err
	}
	c.enter(serving)
	return nil
}

// Grow reserves bytes for a body before they are read. While there is no room, the client
// that has held most bytes for longest makes room, and this one waits. Errors match
// ErrNoRoom.
func (c *Connection) Grow(ctx context.Context, bytes int64) error {
	if c == nil {
		return nil
	}
	end := time.Now().Add(roomTimeout)
	for {
		freed, err := c.tryGrow(bytes)
		if freed == nil || err != nil {
			return err
		}
		timer := time.NewTimer(recheckInterval)
		select {
		case <-freed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil || time.Now().After(end) {
			c.giveUp()
			return ErrNoRoom.New("no room for %d bytes of the body within %s", bytes, roomTimeout)
		}
	}
}

// tryGrow reserves bytes, or returns a channel that is closed when bytes are released.
func (c *Connection) tryGrow(bytes int64) (<-chan struct{}, error) {
	i := c.intake
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if c.evicted {
		return nil, ErrNoRoom.New("the client made room for others")
	}
	c.waits = false
	limit := i.MaxBytes
	if c.bytes+bytes > SmallBytes {
		limit -= limit / smallShare
	}
	// A body that exceeds the room by itself is read while it is the only one.
	if i.MaxBytes <= 0 || i.bytes+bytes <= limit || i.bytes == c.bytes {
		c.bytes += bytes
		i.bytes += bytes
		return nil, nil
	}
	i.makeRoom(time.Now(), patience)
	if c.evicted {
		return nil, ErrNoRoom.New("the client made room for others")
	}
	c.waits = true
	if i.freed == nil {
		i.freed = make(chan struct{})
	}
	return i.freed, nil
}

// makeRoom evicts the client that holds most for longest while it does not finish its body,
// or does not read its response, for a time.
func (i *Intake) makeRoom(now time.Time, unread time.Duration) {
	var victim *Connection
	highest := 0.0
	for _, c := range i.open {
		age := now.Sub(c.since)
		if c.evicted && c.bytes > 0 && unread > 0 {
			return // Its bytes are about to be released.
		}
		mayGo := c.phase == reading && !c.waits && age > patience || c.phase == writing && age > unread
		if c.evicted || !mayGo {
			continue
		}
		if cost := float64(c.bytes) * age.Seconds(); cost > highest {
			victim, highest = c, cost
		}
	}
	switch {
	case victim == nil:
	case victim.phase == reading: // Its request can be refused.
		victim.evicted = true
		_ = victim.net.SetReadDeadline(expiredDeadline) // It fails only on a closed connection.
		i.report(SlowBody, victim)
	default:
		i.closeNow(victim, SlowReader)
	}
}

// giveUp reports that the body has waited in vain.
func (c *Connection) giveUp() {
	i := c.intake
	i.mutex.Lock()
	defer i.mutex.Unlock()
	c.waits = false
	if !c.evicted {
		i.report(NoRoom, c)
	}
}

// Add counts bytes of a response that is held. It does not wait, since its target has done
// the work: clients that do not read make room at once.
func (c *Connection) Add(bytes int64) {
	if c == nil {
		return
	}
	i := c.intake
	i.mutex.Lock()
	defer i.mutex.Unlock()
	c.bytes += bytes
	i.bytes += bytes
	if i.MaxBytes > 0 && i.bytes > i.MaxBytes {
		i.makeRoom(time.Now(), 0)
	}
}

// Writing begins a write to the client, and Written ends it.
func (c *Connection) Writing() {
	c.enter(writing)
}

// Written ends a write to the client.
func (c *Connection) Written() {
	c.enter(serving)
}

// End releases all bytes of a request. What is left of its response is being written.
func (c *Connection) End() {
	if c == nil {
		return
	}
	i := c.intake
	i.mutex.Lock()
	defer i.mutex.Unlock()
	c.phase, c.since = writing, time.Now()
	i.bytes -= c.bytes
	c.bytes, c.waits = 0, false
	if i.freed != nil {
		close(i.freed)
		i.freed = nil
	}
}
