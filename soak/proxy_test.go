package soak

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// mode is the treatment of the bytes that pass through a proxy.
type mode int

const (
	modePass mode = iota
	modeDelay
	// modeReset resets existing and new connections.
	modeReset
	// modeDropResponses drops the bytes from the upstream.
	modeDropResponses
	// modeDropAll drops all bytes and keeps the connections open.
	modeDropAll
	modeCount
)

const (
	proxyDelay       = 60 * time.Millisecond
	proxyBufferBytes = 4 << 10
)

// proxy is a TCP proxy between a process and its upstream that injects network faults.
type proxy struct {
	listener net.Listener
	upstream netip.AddrPort

	mutex sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

// newProxy starts a proxy to an upstream on a free loopback port.
func newProxy(upstream netip.AddrPort) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, upstream: upstream, conns: make(map[net.Conn]bool)}
	go p.run()
	return p, nil
}

func (p *proxy) address() netip.AddrPort { return netip.MustParseAddrPort(p.listener.Addr().String()) }

// setMode changes the mode. The mode modeReset also closes all connections.
func (p *proxy) setMode(m mode) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.mode = m
	if m == modeReset {
		p.closeAll()
	}
}

// closeAll resets all connections. The caller holds the mutex.
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

func (p *proxy) currentMode() mode {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.mode
}

func (p *proxy) run() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == modeReset {
			_ = client.Close()
			continue
		}
		go p.relay(client)
	}
}

// relay connects a client to the upstream until both directions have ended.
func (p *proxy) relay(client net.Conn) {
	upstream, err := net.Dial("tcp", p.upstream.String())
	if err != nil {
		_ = client.Close()
		return
	}
	p.mutex.Lock()
	p.conns[client], p.conns[upstream] = true, true
	p.mutex.Unlock()
	var group sync.WaitGroup
	group.Go(func() { p.forward(upstream, client, modeDropAll) })
	group.Go(func() { p.forward(client, upstream, modeDropResponses) })
	group.Wait()
	p.mutex.Lock()
	delete(p.conns, client)
	delete(p.conns, upstream)
	p.mutex.Unlock()
}

// forward copies bytes between two connections. Once it has seen a mode of dropFrom or
// above, it drops all further bytes, since the byte stream has a gap.
func (p *proxy) forward(to, from net.Conn, dropFrom mode) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, proxyBufferBytes)
	dropped := false
	for {
		n, err := from.Read(buffer)
		m := p.currentMode()
		if m == modeDelay {
			time.Sleep(proxyDelay)
		}
		dropped = dropped || m >= dropFrom
		if n > 0 && !dropped {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if dropped {
				_, _ = io.Copy(io.Discard, to) // The connection stays open until the receiver closes it.
			}
			return
		}
	}
}
