package admission

import (
	"fmt"
	"testing"
	"time"

	"chervilswitch.example/shared/fleet"

	qt "github.com/frankban/quicktest"
)

// newStates returns the reducers of several entry instances, which know only the number
// of instances and nothing of each other's requests.
func newStates(entries int, service fleet.Service, targets ...fleet.Target) []*State {
	var states []*State
	names := make([]string, entries)
	for i := range names {
		names[i] = fmt.Sprintf("entry-%03d", i)
	}
	for _, name := range names {
		st := New(name, "a", RetryBudget{Ratio: 0.2, Slack: 92})
		st.Reduce(time.Unix(50, 0), EntryInstances{Names: names})
		st.Reduce(time.Unix(50, 0), ServiceTargets{Service: service, Targets: targets})
		states = append(states, st)
	}
	return states
}

// All targets of a data centre restart at the same time and are cold. All instances
// together send a cold target no more requests per second than its cold rate allows.
func TestColdRateIsSharedByInstances(t *testing.T) {
	const coldRate = 38.0
	service := fleet.Service{Name: testService, ColdRate: coldRate}
	for _, row := range []struct{ entries, targets, perSecond int }{{1, 1, 1000}, {4, 1, 1000}, {17, 1, 1000}, {370, 100, 40}} {
		c := qt.New(t)
		var targets []fleet.Target
		for i := range row.targets {
			targets = append(targets, fleet.Target{ID: fmt.Sprintf("t%03d", i), Service: testService, Slots: 10000})
		}
		sent := make(map[string]int)
		for _, st := range newStates(row.entries, service, targets...) {
			at := time.Unix(50, 0)
			for i := range row.perSecond {
				at = at.Add(time.Second / time.Duration(row.perSecond))
				effects := st.Reduce(at, Submit{Request: Request{ID: RequestID(i + 1), Service: testService, MaxAttempts: 1}})
				for _, e := range append(effects, st.Reduce(at, Tick{})...) {
					if d, ok := e.(Dispatch); ok {
						sent[d.Target.ID]++
						st.Reduce(at, Finish{ID: d.ID})
					}
				}
			}
		}
		c.Assert(sent, qt.HasLen, row.targets)
		for id, count := range sent {
			c.Assert(float64(count) <= coldRate*1.5+5, qt.IsTrue, qt.Commentf("%d instances sent %d to %s", row.entries, count, id))
			c.Assert(float64(count) >= coldRate/2, qt.IsTrue, qt.Commentf("%d instances sent %d to %s", row.entries, count, id))
		}
	}
}

// All attempts fail, as on targets that accept requests but fail to serve them, and each
// request retries as often as it may. All instances together stay within the budget.
func TestRetriesStayWithinBudget(t *testing.T) {
	service := fleet.Service{Name: testService}
	var targets []fleet.Target
	for i := range 6 {
		targets = append(targets, fleet.Target{ID: fmt.Sprint(i), Service: testService, Slots: 10000})
	}
	for _, entries := range []int{1, 4} {
		retries, requests := 0, 0
		for _, st := range newStates(entries, service, targets...) {
			at := time.Unix(60, 0)
			for i := range 300 {
				at = at.Add(30 * time.Millisecond)
				id := RequestID(i + 1)
				requests++
				effects := st.Reduce(at, Submit{Request: Request{ID: id, Service: testService, MaxAttempts: 3}})
				for len(effects) > 0 {
					if _, ok := effects[0].(Dispatch); !ok {
						break
					}
					effects = st.Reduce(at, Retry{ID: id, MayHaveRun: true})
					if len(effects) > 0 {
						if _, dispatched := effects[0].(Dispatch); dispatched {
							retries++
						}
					}
				}
			}
		}
		allowed := 0.2*float64(requests) + 92
		qt.Assert(t, float64(retries) <= allowed, qt.IsTrue, qt.Commentf("%d retries, %.0f allowed", retries, allowed))
	}
}

// A lower priority number goes first. Within a priority, organisations are served
// round-robin, so that one with many requests cannot starve the others.
func TestQueueOrdersByPriorityAndOrganisation(t *testing.T) {
	c := qt.New(t)
	var q queue
	for i, row := range []struct {
		organisation string
		priority     int
	}{{"large", 1}, {"large", 1}, {"large", 1}, {"small", 1}, {"urgent", 0}} {
		q.push(&activeRequest{request: Request{ID: RequestID(i + 1), Organisation: row.organisation, Priority: row.priority}})
	}
	c.Assert(q.ahead(0), qt.Equals, 1)
	c.Assert(q.ahead(1), qt.Equals, 5)
	var order []RequestID
	for q.length > 0 {
		order = append(order, q.take(func(*activeRequest) bool { return true }).request.ID)
	}
	c.Assert(order, qt.DeepEquals, []RequestID{5, 1, 4, 2, 3})
}

// The loads of peers are summed by target and removed with the peer.
func TestPeerLoadsAreSummedPerTarget(t *testing.T) {
	c := qt.New(t)
	l := newPeerLoads()
	l.set("p", map[string]int{"a": 2, "b": 1})
	l.set("q", map[string]int{"a": 3})
	c.Assert(l.total("a"), qt.Equals, 5)
	l.set("p", map[string]int{"a": 1})
	c.Assert(l.total("a"), qt.Equals, 4)
	c.Assert(l.total("b"), qt.Equals, 0)
	l.set("p", nil)
	l.set("q", nil)
	c.Assert(l.total("a"), qt.Equals, 0)
	c.Assert(l.sums, qt.HasLen, 0)
}

// largeState returns the reducer of an instance in a large deployment: ranks in groups of
// 24, and peers that each run requests on some of them.
func largeState(targets, peers int) *State {
	engine := testEngine()
	st := New("entry-a", "a", RetryBudget{Ratio: 0.2, Slack: 234})
	all := ServiceTargets{Service: fleet.Service{Name: testService, Engine: &engine}}
	for i := range targets {
		all.Targets = append(all.Targets, fleet.Target{ID: fmt.Sprintf("r%03d", i), Service: testService, Group: fmt.Sprint(i / 24), Slots: 10})
	}
	st.Reduce(time.Unix(50, 0), all)
	for p := range peers {
		running := make(map[string]int)
		for i := p % 7; i < targets; i += peers {
			running[all.Targets[i].ID] = 1
		}
		st.Reduce(time.Unix(50, 0), PeerLoad{Peer: fmt.Sprint(p), Running: running})
	}
	return st
}

// deploymentSizes holds the numbers of targets and peers of the present sites, of the
// sites after growth and of the largest required deployment.
var deploymentSizes = []struct{ targets, peers int }{{12, 3}, {72, 16}, {650, 369}}

func BenchmarkSubmit(b *testing.B) {
	for _, size := range deploymentSizes {
		b.Run(fmt.Sprintf("%dtargets", size.targets), func(b *testing.B) {
			st, at := largeState(size.targets, size.peers), time.Unix(60, 0)
			for id := RequestID(1); b.Loop(); id++ {
				st.Reduce(at, Submit{Request: Request{
					ID: id, Service: testService, MaxGap: testMaxGap, Objective: testObjective, Deadline: at.Add(8 * time.Second), MaxAttempts: 2,
				}})
				st.Reduce(at, Finish{ID: id})
			}
		})
	}
}

func BenchmarkStreamGap(b *testing.B) {
	for _, size := range deploymentSizes {
		b.Run(fmt.Sprintf("%dtargets", size.targets), func(b *testing.B) {
			st, at := largeState(size.targets, size.peers), time.Unix(60, 0)
			for b.Loop() {
				at = at.Add(time.Millisecond)
				st.Reduce(at, StreamGap{Service: testService, Target: "r005", Gap: 50 * time.Millisecond})
			}
		})
	}
}

func BenchmarkPeerLoad(b *testing.B) {
	for _, size := range deploymentSizes {
		b.Run(fmt.Sprintf("%dtargets", size.targets), func(b *testing.B) {
			st, at := largeState(size.targets, size.peers), time.Unix(60, 0)
			running := map[string]int{"r001": 1, "r003": 1, "r005": 2}
			for b.Loop() {
				st.Reduce(at, PeerLoad{Peer: "1", Running: running})
			}
		})
	}
}
