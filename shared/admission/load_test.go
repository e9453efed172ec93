package admission

import (
	"testing"
	"time"

	"chervilswitch.example/shared/fleet"

	qt "github.com/frankban/quicktest"
)

// plays runs a load with three seeds and adds up what callers got.
func plays(load func() play) (sum playResult) {
	for seed := range uint64(3) {
		p := load()
		r := p.run(seed)
		sum.asked += r.asked
		sum.onTime += r.onTime
		sum.late += r.late
		sum.refused += r.refused
		sum.abandoned += r.abandoned
		sum.worstGap = max(sum.worstGap, r.worstGap)
		sum.longestRefusal = max(sum.longestRefusal, r.longestRefusal)
	}
	return sum
}

// The load of a heavy day: more streams than the group bears, with a map that fits
// badly. Callers get more on time than without a limit, passes keep their time, and
// refusals come early.
func TestOverload(t *testing.T) {
	load := func(unlimited bool) func() play {
		return func() play {
			return play{ranks: 12, perSecond: steady(80), stretch: steady(1.8), length: 30 * time.Second, retries: true, unlimited: unlimited}
		}
	}
	c := qt.New(t)
	limited, unlimited := plays(load(false)), plays(load(true))
	c.Logf("limited: %s\nwithout: %s", limited, unlimited)
	c.Assert(limited.worth() > unlimited.worth(), qt.IsTrue)
	c.Assert(limited.onTime > 4*unlimited.onTime, qt.IsTrue)
	c.Assert(limited.abandoned, qt.Equals, 0)
	// The objective is 500 ms: who is refused later than that waited in vain.
	c.Assert(limited.longestRefusal < playObjective, qt.IsTrue, qt.Commentf("%s", limited.longestRefusal))
}

// The load of a calm day: nothing is refused, and nearly all is on time.
func TestCalmLoad(t *testing.T) {
	c := qt.New(t)
	r := plays(func() play {
		return play{ranks: 12, perSecond: steady(40), stretch: steady(1.3), length: 30 * time.Second, retries: true}
	})
	c.Logf("%s", r)
	c.Assert(r.refused, qt.Equals, 0)
	c.Assert(r.late, qt.Equals, 0)
}

// The popular experts change and passes take longer for two seconds, until a new map
// is in force. The limit follows within a second: afterwards all is as before.
func TestShiftOfDemand(t *testing.T) {
	c := qt.New(t)
	shift := func(at time.Duration) float64 {
		if at > 10*time.Second && at < 12*time.Second {
			return 2.4
		}
		return 1.4
	}
	r := plays(func() play {
		return play{ranks: 12, perSecond: steady(45), stretch: shift, length: 30 * time.Second, retries: true}
	})
	c.Logf("%s", r)
	c.Assert(share(r.onTime, r.asked) > 0.8, qt.IsTrue)
	c.Assert(r.abandoned, qt.Equals, 0)
}

// slowFrom is a pace of the first ranks between two times.
func slowFrom(ranks int, pace float64, from, to time.Duration) func(int, time.Duration) float64 {
	return func(rank int, at time.Duration) float64 {
		if rank < ranks && at >= from && at < to {
			return pace
		}
		return 1
	}
}

// The load of one slow rank, whose own work every pass of its group waits for. It
// gets little work, the others as much as can be on time: callers get far more than
// from a limit that takes long passes for a sign of many requests.
func TestSlowRank(t *testing.T) {
	load := func(untold bool) func() play {
		return func() play {
			return play{
				ranks: 12, perSecond: steady(45), stretch: steady(1.4), length: 30 * time.Second, retries: true,
				pace: slowFrom(1, 4, 5*time.Second, 25*time.Second), untold: untold,
			}
		}
	}
	c := qt.New(t)
	told, untold := plays(load(false)), plays(load(true))
	c.Logf("told: %s\nuntold: %s", told, untold)
	c.Assert(told.onTime > untold.onTime*5/4, qt.IsTrue)
	c.Assert(told.refused < untold.refused, qt.IsTrue)
}

// The load of ranks that turn slow under running streams: the streams go on
// elsewhere, instead of making all events of the group late until they end.
func TestStreamsLeaveSlowRanks(t *testing.T) {
	load := func(fixed bool) func() play {
		return func() play {
			return play{
				ranks: 12, perSecond: steady(40), stretch: steady(1.3), length: 20 * time.Second, retries: true,
				pace: slowFrom(1, 8, 5*time.Second, 12*time.Second), fixed: fixed,
			}
		}
	}
	c := qt.New(t)
	moved, fixed := plays(load(false)), plays(load(true))
	c.Logf("moved: %s\nfixed: %s", moved, fixed)
	c.Assert(moved.onTime > fixed.onTime, qt.IsTrue)
	c.Assert(moved.onTime+moved.late >= fixed.onTime+fixed.late, qt.IsTrue)
	c.Assert(moved.abandoned, qt.Equals, 0)
}

// A stream whose caller has a part of it waits for a target until its deadline: a
// refusal would cut it.
func TestStartedStreamWaits(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	engine := sfaxEngine()
	st := New("a", RetryBudget{Ratio: 0.2, Slack: 92})
	one := []fleet.Target{{ID: "r1", Service: playService, Group: "g", Slots: 12}}
	service := fleet.Service{Name: playService, Engine: &engine}
	st.Reduce(now, ServiceTargets{Service: service, Entries: 1, Targets: one})
	effects := st.Reduce(now, Submit{Request: Request{
		ID: 1, Service: playService, Objective: playObjective, MaxGap: playGap, MaxAttempts: 2, Deadline: now.Add(8 * time.Second), Movable: true,
	}})
	c.Assert(effects, qt.HasLen, 1)
	c.Assert(st.Reduce(now, Retry{ID: 1, MayHaveRun: true, ResponseStarted: true}), qt.HasLen, 0)
	now = now.Add(3 * time.Second)
	c.Assert(st.Reduce(now, Tick{}), qt.HasLen, 0)
	two := append(one, fleet.Target{ID: "r2", Service: playService, Group: "g", Slots: 12})
	effects = st.Reduce(now, ServiceTargets{Service: service, Entries: 1, Targets: two})
	c.Assert(effects, qt.HasLen, 1)
	c.Assert(effects[0].(Dispatch).Target.ID, qt.Equals, "r2")
}

// The load of many very slow ranks: the others serve what they can, and requests are
// refused as early as ever.
func TestManyVerySlowRanks(t *testing.T) {
	load := func(untold bool) func() play {
		return func() play {
			return play{
				ranks: 12, perSecond: steady(45), stretch: steady(1.4), length: 30 * time.Second, retries: true,
				pace: slowFrom(5, 12, 5*time.Second, 14*time.Second), untold: untold,
			}
		}
	}
	c := qt.New(t)
	told, untold := plays(load(false)), plays(load(true))
	c.Logf("told: %s\nuntold: %s", told, untold)
	c.Assert(told.worth() > untold.worth(), qt.IsTrue)
	c.Assert(told.refused < untold.refused, qt.IsTrue)
	c.Assert(told.longestRefusal < playObjective, qt.IsTrue)
}
