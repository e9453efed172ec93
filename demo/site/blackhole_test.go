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

// blackholeProxy forwards connections. After a call to blackhole the connections that
// are open carry no data and are never closed; new ones work.
type blackholeProxy struct {
	mutex      sync.Mutex
	blackholed chan struct{}
}

// blackhole stops the traffic on the connections that are open now.
func (p *blackholeProxy) blackhole() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	close(p.blackholed)
	p.blackholed = make(chan struct{})
}

// proxy returns a function for Options.Between that listens in front of an address and
// returns the proxy's address.
func (p *blackholeProxy) proxy(t *testing.T) func(netip.AddrPort) netip.AddrPort {
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
				go p.forward(t, conn, target)
			}
		}()
		return listener.Addr().(*net.TCPAddr).AddrPort()
	}
}

func (p *blackholeProxy) forward(t *testing.T, conn net.Conn, target netip.AddrPort) {
	t.Cleanup(func() { conn.Close() })
	targetConn, err := net.Dial("tcp", target.String())
	if err != nil {
		conn.Close()
		return
	}
	t.Cleanup(func() { targetConn.Close() })
	p.mutex.Lock()
	blackholed := p.blackholed
	p.mutex.Unlock()
	go copyUntil(blackholed, conn, targetConn)
	go copyUntil(blackholed, targetConn, conn)
}

// copyUntil copies until blackholed is closed, and then returns without closing the
// connections. Otherwise it closes to at the end of from.
func copyUntil(blackholed chan struct{}, to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		select {
		case <-blackholed:
			return
		default:
		}
		if count > 0 {
			_, _ = to.Write(buffer[:count]) // A broken connection ends the copy of the other direction.
		}
		if err != nil {
			to.Close()
			return
		}
	}
}

func TestStreamIsCompleteAfterConnectionBlackhole(t *testing.T) {
	c := qt.New(t)
	network := &blackholeProxy{blackholed: make(chan struct{})}
	s := startSite(t, func(o *Options) {
		o.Engine.Step, o.Between = 20*time.Millisecond, network.proxy(t)
	})
	const tokens = 100
	r := send(t, s, "entry-0", "POST", "/v1/chat/completions", chatBody(tokens, true))
	reader := bufio.NewReader(r.Body)
	_, err := readEvent(reader)
	c.Assert(err, qt.IsNil)
	network.blackhole()
	rest, err := io.ReadAll(reader)
	c.Assert(err, qt.IsNil)
	c.Assert(strings.Count(string(rest), "data: "), qt.Equals, tokens, qt.Commentf("all tokens except the first, and the end marker"))
	received := 0
	for _, e := range s.Engines {
		received += e.Counts().Received
	}
	c.Assert(received, qt.Equals, 1)
}

func TestDepositRunsOnceAfterConnectionBlackhole(t *testing.T) {
	c := qt.New(t)
	network := &blackholeProxy{blackholed: make(chan struct{})}
	s := startSite(t, func(o *Options) {
		o.PlainDelay, o.Between = 300*time.Millisecond, network.proxy(t)
	})
	done := make(chan *http.Response)
	go func() {
		done <- send(t, s, "entry-0", "POST", "/services/order-desk/deposits", "amount=5", "Idempotency-Key", "k", plain.OperationHeader, "d1")
	}()
	deadline := time.Now().Add(testTimeout)
	for s.Ledger.Runs()["d1"] == 0 {
		c.Assert(time.Now().Before(deadline), qt.IsTrue)
		time.Sleep(time.Millisecond)
	}
	network.blackhole() // The deposit is running; its response is lost on this connection.
	r := <-done
	c.Assert(r.StatusCode, qt.Equals, http.StatusOK)
	c.Assert(readAll(t, r), qt.Contains, "amount=5")
	c.Assert(s.Ledger.Runs()["d1"], qt.Equals, 1)
}
