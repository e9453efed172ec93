package soak

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// mode is what a proxy does to the bytes that pass.
type mode int

const (
	passing mode = iota
	delaying
	// resetting ends connections, old and new.
	resetting
	// oneWay loses what the far end answers.
	oneWay
	// silent loses everything and ends nothing.
	silent
	modes
)

const (
	proxyDelay = 60 * time.Millisecond
	proxyChunk = 4 << 10
)

// proxy stands between a process and what it connects to.
type proxy struct {
	listener net.Listener
	far      netip.AddrPort

	mutex sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

func newProxy(far netip.AddrPort) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, far: far, conns: make(map[net.Conn]bool)}
	go p.run()
	return p, nil
}

func (p *proxy) address() netip.AddrPort { return netip.MustParseAddrPort(p.listener.Addr().String()) }

func (p *proxy) set(m mode) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.mode = m
	if m == resetting {
		p.closeAll()
	}
}

// closeAll ends all connections; the mutex is held.
func (p *proxy) closeAll() {
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closeAll()
}

func (p *proxy) now() mode {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.mode
}

func (p *proxy) run() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.now() == resetting {
			_ = near.Close()
			continue
		}
		go p.join(near)
	}
}

func (p *proxy) join(near net.Conn) {
	far, err := net.Dial("tcp", p.far.String())
	if err != nil {
		_ = near.Close()
		return
	}
	p.mutex.Lock()
	p.conns[near], p.conns[far] = true, true
	p.mutex.Unlock()
	var group sync.WaitGroup
	group.Go(func() { p.copy(far, near, silent) })
	group.Go(func() { p.copy(near, far, oneWay) })
	group.Wait()
	p.mutex.Lock()
	delete(p.conns, near)
	delete(p.conns, far)
	p.mutex.Unlock()
}

// copy passes bytes on; from a mode on, it loses them, and the connection is of no
// more use.
func (p *proxy) copy(to, from net.Conn, losesFrom mode) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, proxyChunk)
	lost := false
	for {
		n, err := from.Read(buffer)
		m := p.now()
		if m == delaying {
			time.Sleep(proxyDelay)
		}
		lost = lost || m >= losesFrom
		if n > 0 && !lost {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if lost {
				_, _ = io.Copy(io.Discard, to) // Stays open until the other end is tired of it.
			}
			return
		}
	}
}
