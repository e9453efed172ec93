package entries

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"chervilswitch.example/router/core"
	"chervilswitch.example/shared/admission"
	"chervilswitch.example/shared/fleet"
	"chervilswitch.example/shared/peer"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
)

// emptyCore is a Core without state.
type emptyCore struct{}

func (emptyCore) ApplyRecords([]fleet.Record, string) bool { return false }
func (emptyCore) HandleEvent(admission.Event)              {}
func (emptyCore) Running() map[string]int                  { return nil }
func (emptyCore) End(fleet.Topic) fleet.Position           { return fleet.Position{} }
func (emptyCore) ConfirmedAt() time.Time                   { return time.Time{} }
func (emptyCore) ConfirmVersion(uint64, time.Time)         {}
func (emptyCore) ChangesAfter(fleet.Topic, uint64, fleet.Position, time.Time) core.Changes {
	return core.Changes{Complete: true}
}
func (emptyCore) ConfigurationVersion() uint64 { return 0 }
func (emptyCore) NewerConfiguration(uint64, time.Time) (fleet.Record, bool) {
	return fleet.Record{}, false
}
func (emptyCore) TargetLimitsSince(uint64) ([]admission.TargetLimit, uint64) {
	return nil, 0
}
func (emptyCore) Demand() []admission.ServiceDemand                            { return nil }
func (emptyCore) TargetNoticesSince(uint64) ([]admission.TargetNotice, uint64) { return nil, 0 }
func (emptyCore) CrashEvidence(uint64) (admission.CrashEvidence, uint64) {
	return admission.CrashEvidence{}, 0
}

// lockingCore is an emptyCore whose methods take the lock of a membership, as another
// goroutine may do that holds the core's.
type lockingCore struct {
	emptyCore
	membership *Membership
}

func (l *lockingCore) End(fleet.Topic) fleet.Position {
	l.membership.Broadcast()
	return fleet.Position{}
}

// A membership that called the core while it held its own lock, and a core that held its
// lock while it requested a broadcast, waited for each other for good.
func TestCoreIsCalledWithoutTheLock(t *testing.T) {
	const callTimeout = 5 * time.Second
	state := &lockingCore{}
	m := NewMembership(t.Context(), fleet.Instance{Name: "entry-a"}, state, &log.Logger{Handler: discard.Default})
	state.membership = m
	sent := make(chan *peer.EntryUpdate, 1)
	go func() { sent <- m.stateFor(&member{}) }()
	select {
	case <-sent:
	case <-time.After(callTimeout):
		t.Fatal("no state message: the membership is locked while the core is called")
	}
}

// sharingCore is an emptyCore that keeps the instances that share limits.
type sharingCore struct {
	emptyCore
	sharing chan []string
}

func (s *sharingCore) HandleEvent(e admission.Event) {
	if instances, ok := e.(admission.EntryInstances); ok {
		s.sharing <- instances.Names
	}
}

// An instance that took itself for the only one until it had heard of the others sent the
// whole rate of each target. It knows them when they are listed, or have had time to connect.
func TestInstancesThatShareLimitsAreListedFirst(t *testing.T) {
	for name, listedAfter := range map[string]time.Duration{"listed": 300 * time.Millisecond, "store unavailable": 5 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				closed, cancelLinks := context.WithCancel(t.Context())
				cancelLinks() // No links are wanted.
				state := &sharingCore{sharing: make(chan []string, 8)}
				m := NewMembership(closed, instance(0), state, &log.Logger{Handler: discard.Default})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				began := time.Now()
				go m.Watch(ctx)
				go func() {
					time.Sleep(min(listedAfter, learnTime/2))
					m.Register(instance(1))
					time.Sleep(listedAfter - time.Since(began))
					m.Listed()
				}()
				c.Assert(m.Known(), qt.IsFalse)
				c.Assert(<-state.sharing, qt.DeepEquals, []string{instance(0).Name, instance(1).Name})
				if listedAfter < learnTime {
					c.Assert(time.Since(began), qt.Equals, listedAfter)
				} else {
					c.Assert(time.Since(began) <= learnTime+stateInterval, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
				}
				synctest.Wait()
				c.Assert(m.Known(), qt.IsTrue)
				time.Sleep(listedAfter) // The other goroutine ends.
			})
		})
	}
}

// newMembership returns the membership of an instance that has applied the state
// messages of others.
func newMembership(ctx context.Context, name string, others ...*peer.EntryUpdate) *Membership {
	address := netip.MustParseAddrPort("127.0.0.1:1")
	m := NewMembership(ctx, fleet.Instance{Name: name, Incarnation: 1, Peers: address}, emptyCore{}, &log.Logger{Handler: discard.Default})
	for _, state := range others {
		state.Incarnation = 1
		m.Register(fleet.Instance{Name: state.Instance, Incarnation: 1, Peers: address})
		m.applyState(state, &inbound{})
	}
	return m
}

// The live instance with the lowest name claims leadership. An instance whose claims do
// not reach the store must not block the others.
func TestLiveInstanceWithLowestNameLeads(t *testing.T) {
	for name, row := range map[string]struct {
		own    uint64
		others []*peer.EntryUpdate
		leads  bool
	}{
		"alone":                             {leads: true},
		"lower name":                        {others: []*peer.EntryUpdate{{Instance: "a"}}},
		"higher name":                       {others: []*peer.EntryUpdate{{Instance: "c"}}, leads: true},
		"lower name, unable":                {others: []*peer.EntryUpdate{{Instance: "a", Unable: true}}, leads: true},
		"lower name, stopping":              {others: []*peer.EntryUpdate{{Instance: "a", Stopping: true}}, leads: true},
		"lower name, unable, holds a token": {others: []*peer.EntryUpdate{{Instance: "a", Unable: true, Duty: 3}}},
		"other holds a lower token":         {own: 5, others: []*peer.EntryUpdate{{Instance: "a", Duty: 3}}, leads: true},
		"deposed":                           {own: 3, others: []*peer.EntryUpdate{{Instance: "c", Duty: 5}}},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			qt.Assert(t, newMembership(ctx, "b", row.others...).Leads(row.own), qt.Equals, row.leads)
		})
	}
}

// An instance keeps its share of limits for expireAfter, so that one that was cut off and
// the others do not exceed them together.
func TestSharesOfSilentInstances(t *testing.T) {
	others := func(names ...string) (states []*peer.EntryUpdate) {
		for _, name := range names {
			states = append(states, &peer.EntryUpdate{Instance: name})
		}
		return states
	}
	for name, row := range map[string]struct {
		silent, stopping []string
		silence          time.Duration
		shares           []string
	}{
		"all heard":                        {silence: 0, shares: []string{"a", "b", "c", "d", "e"}},
		"a minority is silent for a while": {silent: []string{"a", "e"}, silence: 5 * time.Second, shares: []string{"a", "b", "c", "d", "e"}},
		"a minority is silent for long":    {silent: []string{"a", "e"}, silence: 20 * time.Second, shares: []string{"b", "c", "d"}},
		"the majority is silent for long":  {silent: []string{"a", "c", "e"}, silence: 20 * time.Second, shares: []string{"a", "b", "c", "d", "e"}},
		"all others are silent for long":   {silent: []string{"a", "c", "d", "e"}, silence: time.Minute, shares: []string{"a", "b", "c", "d", "e"}},
		"one is stopping":                  {stopping: []string{"d"}, shares: []string{"a", "b", "c", "d", "e"}},
		"one has stopped":                  {stopping: []string{"d"}, silent: []string{"d"}, silence: 3 * time.Second, shares: []string{"a", "b", "c", "e"}},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			m := newMembership(ctx, "b", others("a", "c", "d", "e")...)
			for name, mb := range m.members {
				if slices.Contains(row.silent, name) {
					mb.received = mb.received.Add(-row.silence)
					mb.lastSeen = mb.received
				}
				mb.stopping = slices.Contains(row.stopping, name)
			}
			m.mutex.Lock()
			defer m.mutex.Unlock()
			qt.Assert(t, m.sharingInstances(time.Now()), qt.DeepEquals, row.shares)
		})
	}
}
