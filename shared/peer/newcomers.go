package peer

import (
	"sync"
	"time"
)

const (
	// newcomerTimeout is how long a link may be open before its first message has arrived.
	newcomerTimeout = 10 * time.Second
	// newcomerPatience is how long a link may hold bytes without a message before it is
	// closed for the bytes of others.
	newcomerPatience = time.Second
	// newcomerRecheck is how often a link that waits looks for bytes to be released.
	newcomerRecheck = 50 * time.Millisecond
	// maxNewcomerRead bounds one read of a link from which no message has arrived.
	maxNewcomerRead = 16 << 10
)

// Limits bounds what the clients of a listener hold before one of their messages has
// arrived whole: whoever sends one is another instance. Zero fields set no bound.
type Limits struct {
	Links int
	Bytes int64
	// Report is called for each link that is closed, with the number of such links and
	// their bytes. It must not block.
	Report func(reason string, links int, bytes int64)
}

// newcomers are the links of a listener from which no message has arrived.
type newcomers struct {
	Limits
	mutex sync.Mutex
	links map[*linkConn]*newcomer
	bytes int64
}

type newcomer struct {
	since time.Time
	bytes int64
	timer *time.Timer
}

func newNewcomers(l Limits) *newcomers {
	return &newcomers{Limits: l, links: make(map[*linkConn]*newcomer)}
}

// admit adds a link. If there are too many, it closes the oldest.
func (n *newcomers) admit(conn *linkConn) *linkConn {
	if n.Links <= 0 && n.Bytes <= 0 {
		return conn
	}
	conn.newcomers.Store(n)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.Links > 0 && len(n.links) >= n.Links {
		n.closeLink(n.oldest(), "tooManyLinks")
	}
	n.links[conn] = &newcomer{since: time.Now(), timer: time.AfterFunc(newcomerTimeout, func() {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		if n.links[conn] != nil {
			n.closeLink(conn, "noMessage")
		}
	})}
	return conn
}

func (n *newcomers) oldest() *linkConn {
	var oldest *linkConn
	for conn, link := range n.links {
		if oldest == nil || link.since.Before(n.links[oldest].since) {
			oldest = conn
		}
	}
	return oldest
}

// closeLink closes a link. The caller holds the mutex.
func (n *newcomers) closeLink(conn *linkConn, reason string) {
	n.drop(conn)
	_ = conn.Conn.Close() // It fails only on a closed connection. Its session ends with the next read.
	if n.Report != nil {
		n.Report(reason, len(n.links), n.bytes)
	}
}

// drop removes a link. The caller holds the mutex.
func (n *newcomers) drop(conn *linkConn) {
	link := n.links[conn]
	if link == nil {
		return
	}
	link.timer.Stop()
	n.bytes -= link.bytes
	delete(n.links, conn)
}

// waitForRoom returns when the bytes of all links are within the bound.
func (n *newcomers) waitForRoom() {
	for !n.makeRoom() {
		time.Sleep(newcomerRecheck)
	}
}

// makeRoom reports whether there is room. If there is none, it closes the oldest link
// unless all are young.
func (n *newcomers) makeRoom() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.Bytes <= 0 || n.bytes < n.Bytes {
		return true
	}
	oldest := n.oldest()
	if time.Since(n.links[oldest].since) > newcomerPatience {
		n.closeLink(oldest, "noRoom")
	}
	return n.bytes < n.Bytes
}

// Read reads from the connection, and waits for room if no message has arrived yet.
func (c *linkConn) Read(buffer []byte) (int, error) {
	n := c.newcomers.Load()
	if n == nil {
		return c.Conn.Read(buffer)
	}
	n.waitForRoom()
	count, err := c.Conn.Read(buffer[:min(len(buffer), maxNewcomerRead)])
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if link := n.links[c]; link != nil {
		link.bytes += int64(count)
		n.bytes += int64(count)
	}
	return count, err
}

// prove ends the limits of a link: it belongs to another instance, or has ended.
func (c *linkConn) prove() {
	n := c.newcomers.Swap(nil)
	if n == nil {
		return
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.drop(c)
}
