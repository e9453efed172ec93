package admission

import (
	"testing"
	"time"

	"chervilswitch.example/shared/fleet"

	qt "github.com/frankban/quicktest"
)

// runSimulations runs a load with three seeds and adds up the results.
func runSimulations(load func() simulation) (sum simulationResult) {
	for seed := range uint64(3) {
		p := load()
		r := p.run(seed)
		sum.submitted += r.submitted
		sum.onTime += r.onTime
		sum.late += r.late
		sum.refused += r.refused
		sum.abandoned += r.abandoned
		sum.worstGap = max(sum.worstGap, r.worstGap)
		sum.longestRefusal = max(sum.longestRefusal, r.longestRefusal)
	}
	return sum
}

// More streams arrive than the group can run, and the expert map does not match them.
// Without a limit, passes become so long that most events are late. With it, more
// responses are on time and refusals are early.
func TestOverloadRefusesEarly(t *testing.T) {
	load := func(unlimited bool) func() simulation {
		return func() simulation {
			return simulation{ranks: 12, perSecond: steady(80), passRatio: steady(1.8), duration: 30 * time.Second, retries: true, unlimited: unlimited}
		}
	}
	c := qt.New(t)
	limited, unlimited := runSimulations(load(false)), runSimulations(load(true))
	c.Logf("limited: %s\nunlimited: %s", limited, unlimited)
	c.Assert(limited.utility() > unlimited.utility(), qt.IsTrue)
	c.Assert(limited.onTime > 4*unlimited.onTime, qt.IsTrue)
	c.Assert(limited.abandoned, qt.Equals, 0)
	// A refusal after the objective of 500 ms would make the wait useless.
	c.Assert(limited.longestRefusal < testObjective, qt.IsTrue, qt.Commentf("%s", limited.longestRefusal))
}

// Under a moderate load no request is refused and no response is late.
func TestModerateLoadIsOnTime(t *testing.T) {
	c := qt.New(t)
	r := runSimulations(func() simulation {
		return simulation{ranks: 12, perSecond: steady(40), passRatio: steady(1.3), duration: 30 * time.Second, retries: true}
	})
	c.Logf("%s", r)
	c.Assert(r.refused, qt.Equals, 0)
	c.Assert(r.late, qt.Equals, 0)
}

// The popular experts change, and passes take longer for two seconds until a new expert
// map applies. The limit recovers within a second afterwards.
func TestLimitRecoversAfterDemandShift(t *testing.T) {
	c := qt.New(t)
	shift := func(at time.Duration) float64 {
		if at > 10*time.Second && at < 12*time.Second {
			return 2.4
		}
		return 1.4
	}
	r := runSimulations(func() simulation {
		return simulation{ranks: 12, perSecond: steady(45), passRatio: shift, duration: 30 * time.Second, retries: true}
	})
	c.Logf("%s", r)
	c.Assert(share(r.onTime, r.submitted) > 0.8, qt.IsTrue)
	c.Assert(r.abandoned, qt.Equals, 0)
}

// slowFrom returns a function that gives the first ranks a pace between two times.
func slowFrom(ranks int, pace float64, from, to time.Duration) func(int, time.Duration) float64 {
	return func(rank int, at time.Duration) float64 {
		if rank < ranks && at >= from && at < to {
			return pace
		}
		return 1
	}
}

// Every pass of a group waits for its slowest rank. If the paces are reported, the slow
// rank receives few requests and the others as many as can be on time. Otherwise the
// model attributes long passes to the number of requests, and more are refused.
func TestSlowRankGetsFewerRequests(t *testing.T) {
	load := func(pacesHidden bool) func() simulation {
		return func() simulation {
			return simulation{
				ranks: 12, perSecond: steady(45), passRatio: steady(1.4), duration: 30 * time.Second, retries: true,
				pace: slowFrom(1, 4, 5*time.Second, 25*time.Second), pacesHidden: pacesHidden,
			}
		}
	}
	c := qt.New(t)
	reported, pacesHidden := runSimulations(load(false)), runSimulations(load(true))
	c.Logf("paces reported: %s\npaces hidden: %s", reported, pacesHidden)
	c.Assert(reported.onTime > pacesHidden.onTime*5/4, qt.IsTrue)
	c.Assert(reported.refused < pacesHidden.refused, qt.IsTrue)
}

// A rank becomes slow while it runs streams. The streams continue at other ranks;
// otherwise all events of the group would be late until they end.
func TestStreamsMoveOffSlowRanks(t *testing.T) {
	load := func(immovable bool) func() simulation {
		return func() simulation {
			return simulation{
				ranks: 12, perSecond: steady(40), passRatio: steady(1.3), duration: 20 * time.Second, retries: true,
				pace: slowFrom(1, 8, 5*time.Second, 12*time.Second), immovable: immovable,
			}
		}
	}
	c := qt.New(t)
	moved, immovable := runSimulations(load(false)), runSimulations(load(true))
	c.Logf("moved: %s\nimmovable: %s", moved, immovable)
	c.Assert(moved.onTime > immovable.onTime, qt.IsTrue)
	c.Assert(moved.onTime+moved.late >= immovable.onTime+immovable.late, qt.IsTrue)
	c.Assert(moved.abandoned, qt.Equals, 0)
}

// A stream whose caller has received a part of it waits for a target until its deadline,
// because a refusal would cut it off.
func TestStartedStreamWaitsUntilDeadline(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	engine := testEngine()
	st := New("entry-a", "a", RetryBudget{Ratio: 0.2, Slack: 92})
	one := []fleet.Target{{ID: "r1", Service: testService, Group: "g", Slots: 12}}
	service := fleet.Service{Name: testService, Engine: &engine}
	st.Reduce(now, ServiceTargets{Service: service, Targets: one})
	effects := st.Reduce(now, Submit{Request: Request{
		ID: 1, Service: testService, Objective: testObjective, MaxGap: testMaxGap, MaxAttempts: 2, Deadline: now.Add(8 * time.Second), Movable: true,
	}})
	c.Assert(effects, qt.HasLen, 1)
	c.Assert(st.Reduce(now, Retry{ID: 1, MayHaveRun: true, ResponseStarted: true}), qt.HasLen, 0)
	now = now.Add(3 * time.Second)
	c.Assert(st.Reduce(now, Tick{}), qt.HasLen, 0)
	two := append(one, fleet.Target{ID: "r2", Service: testService, Group: "g", Slots: 12})
	effects = st.Reduce(now, ServiceTargets{Service: service, Targets: two})
	c.Assert(effects, qt.HasLen, 1)
	c.Assert(effects[0].(Dispatch).Target.ID, qt.Equals, "r2")
}

// Many ranks are very slow. The others serve as much as they can, and the remaining
// requests are refused as early as without slow ranks.
func TestVerySlowRanksKeepRefusalsEarly(t *testing.T) {
	load := func(pacesHidden bool) func() simulation {
		return func() simulation {
			return simulation{
				ranks: 12, perSecond: steady(45), passRatio: steady(1.4), duration: 30 * time.Second, retries: true,
				pace: slowFrom(5, 12, 5*time.Second, 14*time.Second), pacesHidden: pacesHidden,
			}
		}
	}
	c := qt.New(t)
	reported, pacesHidden := runSimulations(load(false)), runSimulations(load(true))
	c.Logf("paces reported: %s\npaces hidden: %s", reported, pacesHidden)
	c.Assert(reported.utility() > pacesHidden.utility(), qt.IsTrue)
	c.Assert(reported.refused < pacesHidden.refused, qt.IsTrue)
	c.Assert(reported.longestRefusal < testObjective, qt.IsTrue)
}
