package main

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// keepAliveTime is the shortest time after which the client's keep-alive of the store (1 s, then
// two probes) finds out that an idle connection is dead. The kernel answers probes to a proxy, so
// the proxy resets the connection instead.
const keepAliveTime = 2 * time.Second

// proxy relays connections to an address. Its open connections can go silent for good, and
// it can be cut for a time.
type proxy struct {
	address, target netip.AddrPort

	mutex sync.Mutex
	open  map[*relay]bool
	// healed is closed while the proxy is not cut.
	healed chan struct{}
}

// relay is one connection through a proxy.
type relay struct {
	proxy     *proxy
	near, far net.Conn
	mutex     sync.Mutex
	silent    bool
	// unacked reports whether the client has sent bytes since. Its kernel then sends them again
	// and makes no probes.
	unacked bool
}

func startProxy(target netip.AddrPort) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{
		address: netip.MustParseAddrPort(listener.Addr().String()), target: target,
		open: make(map[*relay]bool), healed: make(chan struct{}),
	}
	close(p.healed)
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(near)
		}
	}()
	return p, nil
}

// silence makes all connections that are open now silent, and returns their number. Those over
// which the client sends nothing are reset after keepAliveTime.
func (p *proxy) silence() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for r := range p.open {
		r.mutex.Lock()
		r.silent = true
		r.mutex.Unlock()
		time.AfterFunc(keepAliveTime, r.probe)
	}
	return len(p.open)
}

// probe resets a silent connection over which the client has sent nothing.
func (r *relay) probe() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if tcp, ok := r.near.(*net.TCPConn); ok && !r.unacked {
		_ = tcp.SetLinger(0)
		_ = tcp.Close()
	}
}

// cut holds back all bytes until heal, like a partition that drops packets.
func (p *proxy) cut() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.healed = make(chan struct{})
}

func (p *proxy) heal() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	close(p.healed)
}

// waitHealed returns when the proxy is not cut.
func (p *proxy) waitHealed() {
	p.mutex.Lock()
	healed := p.healed
	p.mutex.Unlock()
	<-healed
}

func (p *proxy) serve(near net.Conn) {
	p.waitHealed()
	far, err := net.Dial("tcp", p.target.String())
	if err != nil {
		_ = near.Close()
		return
	}
	r := &relay{proxy: p, near: near, far: far}
	p.mutex.Lock()
	p.open[r] = true
	p.mutex.Unlock()
	var both sync.WaitGroup
	both.Go(func() { r.copy(far, near) })
	both.Go(func() { r.copy(near, far) })
	both.Wait()
	_ = near.Close()
	_ = far.Close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.open, r)
}

// copy relays what one end sends until it ends. A silent relay drops all bytes, and the end
// of a connection.
func (r *relay) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		r.proxy.waitHealed()
		r.mutex.Lock()
		silent := r.silent
		r.unacked = r.unacked || silent && from == r.near && n > 0
		r.mutex.Unlock()
		if n > 0 && !silent {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err == nil {
			continue
		}
		if tcp, ok := to.(*net.TCPConn); ok && err == io.EOF && !silent {
			_ = tcp.CloseWrite()
		}
		return
	}
}
