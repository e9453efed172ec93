package admission

import (
	"testing"
	"time"

	"chervilswitch.example/shared/fleet"

	qt "github.com/frankban/quicktest"
)

// newGroupState returns a reducer with one group of ranks.
func newGroupState(now time.Time, slots int, ranks ...string) *State {
	engine := testEngine()
	engine.Slots = slots
	update := ServiceTargets{Service: fleet.Service{Name: testService, Engine: &engine}}
	for _, id := range ranks {
		update.Targets = append(update.Targets, fleet.Target{ID: id, Service: testService, Group: "g", Slots: slots})
	}
	st := New("entry-a", "a", RetryBudget{Ratio: 0.2, Slack: 92})
	st.Reduce(now, update)
	return st
}

// A group restarts under load, for instance after a power failure. Waiting and new
// requests are refused at once, with a retry delay after which the group can be up again.
// If they were queued, they would expire.
func TestGroupDownRefusesAtOnce(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	st := newGroupState(now, 12, "r1", "r2")
	submit := func(id RequestID) []Effect {
		return st.Reduce(now, Submit{Request: Request{
			ID: id, Service: testService, Objective: testObjective, MaxGap: testMaxGap, MaxAttempts: 2, Deadline: now.Add(8 * time.Second),
		}})
	}
	dispatched := 0
	waiting := RequestID(0)
	for id := RequestID(1); waiting == 0; id++ {
		switch effects := submit(id); {
		case len(effects) == 0:
			waiting = id
		default:
			_, ok := effects[0].(Dispatch)
			c.Assert(ok, qt.IsTrue)
			dispatched++
		}
	}
	effects := st.Reduce(now, AttemptResult{Service: testService, Target: "r1", Outcome: GroupDown})
	c.Assert(effects, qt.HasLen, 1)
	refused := effects[0].(Refuse)
	c.Assert(refused.ID, qt.Equals, waiting)
	c.Assert(refused.Reason, qt.Equals, GroupClosed)
	now = now.Add(100 * time.Millisecond)
	second := submit(1000)
	c.Assert(second, qt.HasLen, 1)
	c.Assert(second[0].(Refuse).RetryAfter >= time.Second, qt.IsTrue)
	// Requests are dispatched again after the pause; they show whether the group is up.
	now = now.Add(groupPause)
	for id := RequestID(1); id <= RequestID(dispatched); id++ {
		st.Reduce(now, Finish{ID: id})
	}
	afterPause := submit(1001)
	c.Assert(afterPause, qt.HasLen, 1)
	_, ok := afterPause[0].(Dispatch)
	c.Assert(ok, qt.IsTrue)
}

// A frozen rank stops the output of its whole group, which then counts as stalled. A
// group that is idle, or has just received its first request, is not stalled.
func TestStalledReportsGroupWithoutOutput(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	st := newGroupState(now, 12, "r1", "r2")
	now = now.Add(time.Minute)
	c.Assert(st.Stalled(now, testService, "r1"), qt.IsFalse)
	effects := st.Reduce(now, Submit{Request: Request{
		ID: 1, Service: testService, Objective: testObjective, MaxGap: testMaxGap, MaxAttempts: 2, Deadline: now.Add(8 * time.Second),
	}})
	c.Assert(effects, qt.HasLen, 1)
	c.Assert(st.Stalled(now, testService, "r1"), qt.IsFalse)
	now = now.Add(stallTimeout + time.Millisecond)
	c.Assert(st.Stalled(now, testService, "r2"), qt.IsTrue)
	for _, output := range []Event{
		AttemptResult{Service: testService, Target: "r1", Outcome: Good, TimeToFirstOutput: 200 * time.Millisecond},
		StreamGap{Service: testService, Target: "r1", Gap: 900 * time.Millisecond},
	} {
		st.Reduce(now, output)
		c.Assert(st.Stalled(now, testService, "r2"), qt.IsFalse)
		now = now.Add(stallTimeout + time.Millisecond)
		c.Assert(st.Stalled(now, testService, "r2"), qt.IsTrue)
	}
}

// Two ranks of a group are slow. A stream that is moved off one of them must not be
// dispatched to the other, even if the remaining ranks are full.
func TestRetriesAvoidSlowRanks(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	st := newGroupState(now, 1, "r1", "r2", "r3")
	targetOf := make(map[RequestID]string)
	for id := RequestID(1); id <= 3; id++ {
		effects := st.Reduce(now, Submit{Request: Request{
			ID: id, Service: testService, Objective: testObjective, MaxGap: testMaxGap, MaxAttempts: 2, Deadline: now.Add(8 * time.Second), Movable: true,
		}})
		targetOf[id] = effects[0].(Dispatch).Target.ID
	}
	st.Reduce(now, Finish{ID: 2})
	effects := st.Reduce(now, GroupReport{Instance: "p", Paces: map[string]float64{targetOf[1]: 20, targetOf[2]: 20}})
	c.Assert(effects, qt.DeepEquals, []Effect{Move{ID: 1}})
	effects = st.Reduce(now, Retry{ID: 1, MayHaveRun: true, ResponseStarted: true})
	c.Assert(effects, qt.HasLen, 1)
	c.Assert(effects[0].(Dispatch).Target.ID, qt.Equals, targetOf[3])
}

// One of two groups waits for a missing rank. The other one serves the service's requests,
// also those that the first one could not run.
func TestOpenGroupServesWhileAnotherIsClosed(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	engine := testEngine()
	update := ServiceTargets{Service: fleet.Service{Name: testService, Engine: &engine}}
	for _, id := range []string{"a1", "a2", "b1", "b2"} {
		update.Targets = append(update.Targets, fleet.Target{ID: id, Service: testService, Group: id[:1], Slots: 12})
	}
	st := New("entry-a", "a", RetryBudget{Ratio: 0.2, Slack: 92})
	st.Reduce(now, update)
	next := RequestID(0)
	submit := func() (Dispatch, bool) {
		next++
		effects := st.Reduce(now, Submit{Request: Request{ID: next, Service: testService, Objective: testObjective, MaxGap: testMaxGap, MaxAttempts: 2, Deadline: now.Add(8 * time.Second)}})
		c.Assert(effects, qt.HasLen, 1)
		d, ok := effects[0].(Dispatch)
		return d, ok
	}
	first, _ := submit()
	st.Reduce(now, AttemptResult{ID: first.ID, Service: testService, Target: first.Target.ID, Outcome: GroupDown})
	effects := st.Reduce(now, Retry{ID: first.ID})
	c.Assert(effects, qt.HasLen, 1)
	c.Assert(effects[0].(Dispatch).Target.Group, qt.Not(qt.Equals), first.Target.Group)
	now = now.Add(groupPause)
	st.Reduce(now, GroupReport{Instance: "p", Closed: []string{"a"}})
	for range 4 {
		d, ok := submit()
		c.Assert(ok, qt.IsTrue)
		c.Assert(d.Target.Group, qt.Equals, "b")
	}
	st.Reduce(now, GroupReport{Instance: "p", Closed: []string{"a", "b"}})
	_, ok := submit()
	c.Assert(ok, qt.IsFalse)
	st.Reduce(now, PeerLost{Peer: "p"})
	_, ok = submit()
	c.Assert(ok, qt.IsTrue)
}
