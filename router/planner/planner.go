package planner

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"chervilswitch.example/shared/fleet"

	"github.com/apex/log"
)

// groupInterval is how often new groups of ranks are looked for.
const groupInterval = 500 * time.Millisecond

// Planner plans the maps of all groups while it holds the duty.
type Planner struct {
	// View gives what is known of the deployment.
	View func() *fleet.View
	// SidecarPort is where sidecars listen, beside their targets.
	SidecarPort uint16
	Logger      log.Interface
	Duty        *Duty
	// Fenced tells that engines refuse orders with old fencing tokens.
	Fenced bool
	// Closed is called with the services whose group waits for a rank, whenever
	// they change.
	Closed func(services []string)

	mutex  sync.Mutex
	closed map[string]bool // By group.
}

// setClosed notes whether a group waits for a rank.
func (p *Planner) setClosed(group string, closed bool) {
	p.mutex.Lock()
	changed := p.closed[group] != closed
	if p.closed == nil {
		p.closed = make(map[string]bool)
	}
	p.closed[group] = closed
	var services []string
	for name, isClosed := range p.closed {
		if members := p.View().Members[name]; isClosed && len(members) > 0 {
			services = append(services, members[0].Service)
		}
	}
	p.mutex.Unlock()
	if changed {
		p.Closed(services)
	}
}

// Run works on all groups until the context ends.
func (p *Planner) Run(ctx context.Context, token uint64) {
	running := make(map[string]*group)
	ended := make(chan struct{})
	defer func() {
		p.mutex.Lock()
		p.closed = nil
		p.mutex.Unlock()
		p.Closed(nil)
	}()
	count := 0
	for ctx.Err() == nil {
		view := p.View()
		for name, members := range view.Members {
			engine := engineOf(view, members)
			if engine == nil || engine.Sets == 0 {
				continue
			}
			g, ok := running[name]
			if !ok {
				g = newGroup(p, name, token, *engine)
				running[name] = g
				count++
				go func() {
					defer func() { ended <- struct{}{} }()
					g.run(ctx)
				}()
			}
			g.setMembers(members)
		}
		select {
		case <-ctx.Done():
		case <-time.After(groupInterval):
		}
	}
	for range count {
		<-ended
	}
}

// engineOf is the engine of a group's service, or nil.
func engineOf(view *fleet.View, members []fleet.Target) *fleet.Engine {
	if view.Configuration == nil || len(members) == 0 {
		return nil
	}
	s := view.Configuration.Services[members[0].Service]
	if s == nil {
		return nil
	}
	return s.Engine
}

// sidecarOf is the address of the sidecar beside a target.
func (p *Planner) sidecarOf(t fleet.Target) netip.AddrPort {
	return netip.AddrPortFrom(t.Address.Addr(), p.SidecarPort)
}
