package admission

import (
	"testing"
	"time"

	"chervilswitch.example/shared/fleet"

	qt "github.com/frankban/quicktest"
)

// groupOf gives a reducer that knows one group of ranks.
func groupOf(now time.Time, slots int, ranks ...string) *State {
	engine := sfaxEngine()
	engine.Slots = slots
	known := ServiceTargets{Service: fleet.Service{Name: playService, Engine: &engine}, Entries: 1}
	for _, id := range ranks {
		known.Targets = append(known.Targets, fleet.Target{ID: id, Service: playService, Group: "g", Slots: slots})
	}
	st := New("a", RetryBudget{Ratio: 0.2, Slack: 92})
	st.Reduce(now, known)
	return st
}

// The load of a group that restarts under traffic, as after a loss of power: what
// waits or comes while the group is down is refused at once, to come back when it
// can be up again, instead of queueing for it.
func TestGroupDownRefusesAtOnce(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	st := groupOf(now, 12, "r1", "r2")
	ask := func(id RequestID) []Effect {
		return st.Reduce(now, Submit{Request: Request{
			ID: id, Service: playService, Objective: playObjective, MaxGap: playGap, MaxAttempts: 2, Deadline: now.Add(8 * time.Second),
		}})
	}
	dispatched := 0
	waiting := RequestID(0)
	for id := RequestID(1); waiting == 0; id++ {
		switch effects := ask(id); {
		case len(effects) == 0:
			waiting = id
		default:
			_, ok := effects[0].(Dispatch)
			c.Assert(ok, qt.IsTrue)
			dispatched++
		}
	}
	effects := st.Reduce(now, AttemptResult{Service: playService, Target: "r1", Outcome: GroupDown})
	c.Assert(effects, qt.HasLen, 1)
	refused := effects[0].(Refuse)
	c.Assert(refused.ID, qt.Equals, waiting)
	c.Assert(refused.Reason, qt.Equals, GroupClosed)
	now = now.Add(100 * time.Millisecond)
	again := ask(1000)
	c.Assert(again, qt.HasLen, 1)
	c.Assert(again[0].(Refuse).RetryAfter >= time.Second, qt.IsTrue)
	// After the pause a request finds out whether the group is back.
	now = now.Add(groupPause)
	for id := RequestID(1); id <= RequestID(dispatched); id++ {
		st.Reduce(now, Finish{ID: id})
	}
	back := ask(1001)
	c.Assert(back, qt.HasLen, 1)
	_, ok := back[0].(Dispatch)
	c.Assert(ok, qt.IsTrue)
}

// The load of a frozen rank: its whole group shows nothing. A group that is idle, or
// has just been given its first request, is not stalled.
func TestStalledGroup(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	st := groupOf(now, 12, "r1", "r2")
	now = now.Add(time.Minute)
	c.Assert(st.Stalled(now, playService, "r1"), qt.IsFalse)
	effects := st.Reduce(now, Submit{Request: Request{
		ID: 1, Service: playService, Objective: playObjective, MaxGap: playGap, MaxAttempts: 2, Deadline: now.Add(8 * time.Second),
	}})
	c.Assert(effects, qt.HasLen, 1)
	c.Assert(st.Stalled(now, playService, "r1"), qt.IsFalse)
	now = now.Add(stallTime + time.Millisecond)
	c.Assert(st.Stalled(now, playService, "r2"), qt.IsTrue)
	for _, shown := range []Event{
		AttemptResult{Service: playService, Target: "r1", Outcome: Good, TimeToFirstOutput: 200 * time.Millisecond},
		StreamGap{Service: playService, Target: "r1", Gap: 900 * time.Millisecond},
	} {
		st.Reduce(now, shown)
		c.Assert(st.Stalled(now, playService, "r2"), qt.IsFalse)
		now = now.Add(stallTime + time.Millisecond)
		c.Assert(st.Stalled(now, playService, "r2"), qt.IsTrue)
	}
}

// The load of two slow ranks under streams: a stream that leaves one of them does not go
// to the other, however full the rest is.
func TestRepeatsAvoidSlowRanks(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	st := groupOf(now, 1, "r1", "r2", "r3")
	at := make(map[RequestID]string)
	for id := RequestID(1); id <= 3; id++ {
		effects := st.Reduce(now, Submit{Request: Request{
			ID: id, Service: playService, Objective: playObjective, MaxGap: playGap, MaxAttempts: 2, Deadline: now.Add(8 * time.Second), Movable: true,
		}})
		at[id] = effects[0].(Dispatch).Target.ID
	}
	st.Reduce(now, Finish{ID: 2})
	effects := st.Reduce(now, Groups{Instance: "p", Paces: map[string]float64{at[1]: 20, at[2]: 20}})
	c.Assert(effects, qt.DeepEquals, []Effect{Move{ID: 1}})
	effects = st.Reduce(now, Retry{ID: 1, MayHaveRun: true, ResponseStarted: true})
	c.Assert(effects, qt.HasLen, 1)
	c.Assert(effects[0].(Dispatch).Target.ID, qt.Equals, at[3])
}
