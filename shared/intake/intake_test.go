package intake

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// attach returns an intake and a function that opens connections of clients; their other
// ends are returned as well.
func attach(t *testing.T, i *Intake) func() (*Connection, net.Conn) {
	server := &http.Server{}
	i.Attach(server)
	return func() (*Connection, net.Conn) {
		ours, theirs := net.Pipe()
		t.Cleanup(func() {
			_ = ours.Close()
			_ = theirs.Close()
		})
		ctx := server.ConnContext(context.Background(), ours)
		server.ConnState(ours, http.StateActive)
		return From(ctx), theirs
	}
}

func isClosed(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	return !errors.As(err, &timeout) || !timeout.Timeout()
}

// Many large bodies that do not end leave room for small ones, and make room for others
// after a while; requests that were refused have not been sent.
func TestBodiesThatDoNotEndMakeRoom(t *testing.T) {
	c := qt.New(t)
	i := &Intake{MaxBytes: 1 << 20}
	open := attach(t, i)
	first, _ := open()
	second, _ := open()
	for _, client := range []*Connection{first, second} {
		c.Assert(client.ReadUntil(time.Now().Add(time.Hour)), qt.IsNil)
	}
	c.Assert(first.Grow(t.Context(), 600<<10), qt.IsNil)
	small, _ := open()
	c.Assert(small.Grow(t.Context(), SmallBytes), qt.IsNil)
	c.Assert(small.EndReading(), qt.IsNil)
	first.since = first.since.Add(-time.Minute)
	waits := make(chan error, 1)
	go func() { waits <- second.Grow(t.Context(), 600<<10) }()
	for first.Begin() {
		time.Sleep(time.Millisecond) // The other one waits for longer than this takes.
	}
	c.Assert(first.EndReading(), qt.ErrorIs, ErrNoRoom)
	first.End()
	c.Assert(<-waits, qt.IsNil)
	second.End()
	small.End()
	_, bytes := i.Usage()
	c.Assert(bytes, qt.Equals, int64(0))
}

// Bodies that all wait for each other end: those that find no room are refused.
func TestBodiesThatWaitForEachOtherAreRefused(t *testing.T) {
	c := qt.New(t)
	open := attach(t, &Intake{MaxBytes: 1 << 20})
	ended := make(chan error)
	for range 2 {
		client, _ := open()
		c.Assert(client.Grow(t.Context(), 400<<10), qt.IsNil)
		go func() {
			err := client.Grow(t.Context(), 400<<10)
			client.End()
			ended <- err
		}()
	}
	refused := 0
	for range 2 {
		if err := <-ended; err != nil {
			c.Assert(err, qt.ErrorIs, ErrNoRoom)
			refused++
		}
	}
	c.Assert(refused > 0, qt.IsTrue)
}

// A body that exceeds the room by itself is read while it is the only one.
func TestSingleBodyIsRead(t *testing.T) {
	open := attach(t, &Intake{MaxBytes: 1 << 10})
	client, _ := open()
	qt.Assert(t, client.Grow(t.Context(), 1<<20), qt.IsNil)
}

func TestLongestIdleConnectionIsClosedFirst(t *testing.T) {
	c := qt.New(t)
	i := &Intake{MaxConnections: 3}
	open := attach(t, i)
	idleFirst, itsEnd := open()
	idleLater, otherEnd := open()
	served, servedEnd := open()
	idleFirst.enter(idle)
	time.Sleep(2 * time.Millisecond)
	idleLater.enter(idle)
	_, newEnd := open()
	c.Check(isClosed(itsEnd), qt.IsTrue)
	c.Check(idleFirst.Begin(), qt.IsFalse)
	for _, end := range []net.Conn{otherEnd, servedEnd, newEnd} {
		c.Check(isClosed(end), qt.IsFalse)
	}
	idleLater.enter(serving)
	_, refusedEnd := open()
	c.Check(isClosed(refusedEnd), qt.IsTrue) // The others' requests are being served.
	c.Check(served.Begin(), qt.IsTrue)
}
