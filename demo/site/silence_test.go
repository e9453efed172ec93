package site

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"chervilswitch.example/standin/plain"

	qt "github.com/frankban/quicktest"
)

// silentNetwork forwards connections. Those that are open when it forgets them
// carry nothing from then on and are never closed; new ones work.
type silentNetwork struct {
	mutex     sync.Mutex
	forgotten chan struct{}
}

func (n *silentNetwork) forget() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	close(n.forgotten)
	n.forgotten = make(chan struct{})
}

// between listens in front of an address.
func (n *silentNetwork) between(t *testing.T) func(netip.AddrPort) netip.AddrPort {
	return func(target netip.AddrPort) netip.AddrPort {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { listener.Close() })
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go n.carry(t, conn, target)
			}
		}()
		return listener.Addr().(*net.TCPAddr).AddrPort()
	}
}

func (n *silentNetwork) carry(t *testing.T, conn net.Conn, target netip.AddrPort) {
	t.Cleanup(func() { conn.Close() })
	other, err := net.Dial("tcp", target.String())
	if err != nil {
		conn.Close()
		return
	}
	t.Cleanup(func() { other.Close() })
	n.mutex.Lock()
	forgotten := n.forgotten
	n.mutex.Unlock()
	go copyUntil(forgotten, conn, other)
	go copyUntil(forgotten, other, conn)
}

// copyUntil copies until the connection is forgotten; it closes nothing then.
func copyUntil(forgotten chan struct{}, to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		select {
		case <-forgotten:
			return
		default:
		}
		if count > 0 {
			_, _ = to.Write(buffer[:count]) // The other direction sees a broken connection.
		}
		if err != nil {
			to.Close()
			return
		}
	}
}

func TestStreamIsCompleteAfterConnectionBlackhole(t *testing.T) {
	c := qt.New(t)
	network := &silentNetwork{forgotten: make(chan struct{})}
	s := startSite(t, func(o *Options) {
		o.Engine.Step, o.Between = 20*time.Millisecond, network.between(t)
	})
	const tokens = 100
	r := send(t, s, "entry-0", "POST", "/v1/chat/completions", chat(tokens, true))
	reader := bufio.NewReader(r.Body)
	_, err := readEvent(reader)
	c.Assert(err, qt.IsNil)
	network.forget()
	rest, err := io.ReadAll(reader)
	c.Assert(err, qt.IsNil)
	c.Assert(strings.Count(string(rest), "data: "), qt.Equals, tokens, qt.Commentf("all but the first token, and the end"))
	received := 0
	for _, e := range s.Engines {
		received += e.Counts().Received
	}
	c.Assert(received, qt.Equals, 1)
}

func TestDepositRunsOnceAfterConnectionBlackhole(t *testing.T) {
	c := qt.New(t)
	network := &silentNetwork{forgotten: make(chan struct{})}
	s := startSite(t, func(o *Options) {
		o.PlainDelay, o.Between = 300*time.Millisecond, network.between(t)
	})
	done := make(chan *http.Response)
	go func() {
		done <- send(t, s, "entry-0", "POST", "/services/order-desk/deposits", "amount=5", "Idempotency-Key", "k", plain.OperationHeader, "d1")
	}()
	deadline := time.Now().Add(settleWithin)
	for s.Ledger.Runs()["d1"] == 0 {
		c.Assert(time.Now().Before(deadline), qt.IsTrue)
		time.Sleep(time.Millisecond)
	}
	network.forget() // The deposit is running; its answer cannot come over this connection.
	r := <-done
	c.Assert(r.StatusCode, qt.Equals, http.StatusOK)
	c.Assert(readAll(t, r), qt.Contains, "amount=5")
	c.Assert(s.Ledger.Runs()["d1"], qt.Equals, 1)
}
