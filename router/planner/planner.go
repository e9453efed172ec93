package planner

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"chervilswitch.example/shared/admission"
	"chervilswitch.example/shared/events"
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
	Leadership  *Leadership
	// FencingEnforced tells that engines refuse orders with old fencing tokens.
	FencingEnforced bool
	// Groups is called whenever it changes how the groups do.
	Groups func(admission.Groups)

	mutex sync.Mutex
	// By group, and what was told of them.
	states map[string]groupState
	told   admission.Groups
}

// groupState is what admission needs to know of a group.
type groupState struct {
	service string
	// closed tells that the group waits for a rank.
	closed bool
	paces  map[string]float64
}

// setState notes how a group does. Groups is called under the mutex, so that what is
// told last is what is known last.
func (p *Planner) setState(group string, state groupState) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.states == nil {
		p.states = make(map[string]groupState)
	}
	p.states[group] = state
	groups := admission.Groups{Paces: make(map[string]float64)}
	for _, name := range slices.Sorted(maps.Keys(p.states)) {
		if p.states[name].closed {
			groups.Closed = append(groups.Closed, p.states[name].service)
		}
		maps.Copy(groups.Paces, p.states[name].paces)
	}
	changed := !slices.Equal(groups.Closed, p.told.Closed) || !maps.Equal(groups.Paces, p.told.Paces)
	p.told = groups
	if changed {
		events.Log(p.Logger, events.GroupsChanged, log.Fields{"group": group, "closed": groups.Closed, "paces": groups.Paces})
		p.Groups(groups)
	}
}

// Run works on all groups until the context ends.
func (p *Planner) Run(ctx context.Context, token uint64) {
	running := make(map[string]*group)
	ended := make(chan struct{})
	defer func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.states, p.told = nil, admission.Groups{}
		p.Groups(admission.Groups{})
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
