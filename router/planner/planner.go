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

// groupInterval is how often the planner looks for new groups of ranks.
const groupInterval = 500 * time.Millisecond

// Planner plans the maps of all groups while its instance is the leader.
type Planner struct {
	// View returns the current view of the deployment.
	View func() *fleet.View
	// SidecarPort is the port on which sidecars listen, at the address of their target.
	SidecarPort uint16
	Logger      log.Interface
	Leadership  *Leadership
	// FencingEnforced reports whether engines refuse orders with old fencing tokens.
	FencingEnforced bool
	// GroupReport is called with the state of all groups whenever it changes, and with an
	// empty state when Run ends.
	GroupReport func(admission.GroupReport)

	mutex sync.Mutex
	// states holds the state by group; published is the last argument of GroupReport.
	states    map[string]groupState
	published admission.GroupReport
}

// groupState is the state of a group that admission uses.
type groupState struct {
	// closed reports whether the group cannot run because a rank is missing.
	closed bool
	// paces holds, by target, how many times slower than usual each slow rank is.
	paces map[string]float64
}

// setState records the state of a group and calls GroupReport if the published state
// changes. It does so under the mutex, so that the last call has the latest state.
func (p *Planner) setState(group string, state groupState) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.states == nil {
		p.states = make(map[string]groupState)
	}
	p.states[group] = state
	groups := admission.GroupReport{Paces: make(map[string]float64)}
	for _, name := range slices.Sorted(maps.Keys(p.states)) {
		if p.states[name].closed {
			groups.Closed = append(groups.Closed, name)
		}
		maps.Copy(groups.Paces, p.states[name].paces)
	}
	changed := !slices.Equal(groups.Closed, p.published.Closed) || !maps.Equal(groups.Paces, p.published.Paces)
	p.published = groups
	if changed {
		events.Log(p.Logger, events.GroupsChanged, log.Fields{"group": group, "closed": groups.Closed, "paces": groups.Paces})
		p.GroupReport(groups)
	}
}

// Run plans for all groups with the leader's token until the context ends.
func (p *Planner) Run(ctx context.Context, token uint64) {
	running := make(map[string]*group)
	ended := make(chan struct{})
	defer func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.states, p.published = nil, admission.GroupReport{}
		p.GroupReport(admission.GroupReport{})
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

// engineOf returns the engine settings of a group's service, or nil.
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

// sidecarAddress returns the address of a target's sidecar.
func (p *Planner) sidecarAddress(t fleet.Target) netip.AddrPort {
	return netip.AddrPortFrom(t.Address.Addr(), p.SidecarPort)
}
