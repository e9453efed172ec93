package control

import (
	"fmt"
	"testing"
	"time"

	"chervilswitch.example/shared/platform"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestKeyedRetryIsRedirectedOrJoined(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(t)
	sim.startAll()
	a, b := sim.processes["desk-a"], sim.processes["desk-b"]
	sim.submit(a, "r/1", "org/k")
	c.Assert(a.runs, qt.HasLen, 0, qt.Commentf("the attempt ran before its intent was read back"))
	sim.sync(a)
	c.Assert(a.runs, qt.DeepEquals, []AttemptID{"r/1"})
	sim.sync(b)
	c.Assert(sim.submit(b, "r/2", "org/k"), qt.DeepEquals, Verdict{Outcome: OutcomeMoved, Code: CodeDuplicateAttempt, Owner: "desk-a"})
	sim.submit(a, "r/3", "org/k")
	c.Assert(a.joins["r/3"], qt.Equals, AttemptID("r/1"))
	c.Assert(a.runs, qt.HasLen, 1)
}

func TestRetryAfterReplacementIsUnknown(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(t)
	sim.startAll()
	old := sim.processes["desk-a"]
	sim.submit(old, "r/1", "org/k")
	sim.sync(old)
	replacement := sim.start("desk-a")
	sim.queryAll()
	sim.sync(replacement)
	c.Assert(sim.submit(replacement, "r/2", "org/k").Outcome, qt.Equals, OutcomeUnknown)
	b := sim.processes["desk-b"]
	sim.sync(b)
	c.Assert(sim.submit(b, "r/3", "org/k").Outcome, qt.Equals, OutcomeUnknown)
	c.Assert(append(replacement.runs, b.runs...), qt.HasLen, 0)
}

func TestPausedAgentRefusesOnceSuperseded(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(t)
	sim.startAll()
	old := sim.processes["desk-a"]
	sim.now = sim.now.Add(10 * time.Second) // The process was paused; its evidence is stale.
	c.Assert(sim.submit(old, "r/1", "").Code, qt.Equals, CodeGateClosed)
	sim.start("desk-a")
	sim.sync(old)
	c.Assert(sim.submit(old, "r/2", ""), qt.DeepEquals, Verdict{Outcome: OutcomeNotRun, Code: CodeSuperseded})
}

func TestFencingRequiresNewestClaim(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(t)
	sim.startAll()
	old := sim.processes["model-a"]
	before, allowed := old.state.FencingToken()
	c.Assert(allowed, qt.IsTrue)
	sim.now = sim.now.Add(10 * time.Second) // Its evidence became stale while it was paused.
	sim.send(old, Tick{})
	_, allowed = old.state.FencingToken()
	c.Assert(allowed, qt.IsFalse, qt.Commentf("the target does not check the fencing token, so the agent must"))
	replacement := sim.start("model-a")
	after, allowed := replacement.state.FencingToken()
	c.Assert(allowed, qt.IsTrue)
	c.Assert(after > before, qt.IsTrue)
	sim.sync(old)
	_, allowed = old.state.FencingToken()
	c.Assert(allowed, qt.IsFalse)
}

func TestLateClaimDoesNotSupersede(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(t)
	sim.holdAppends = true
	slow := sim.start("desk-a") // Its claim has not taken effect yet.
	sim.now = sim.now.Add(time.Second)
	fast := sim.start("desk-a")
	c.Assert(sim.pending, qt.HasLen, 2)
	sim.commit(1)
	sim.commit(0)
	sim.sync(fast)
	sim.sync(slow)
	c.Assert(fast.state.Superseded(), qt.IsFalse)
	c.Assert(fast.state.claimed, qt.IsTrue)
}

func TestIncarnationExceedsNewestClaim(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(t)
	sim.next = 1000 // The clock of the first process is ahead.
	sim.start("desk-a")
	sim.next = 10
	p := sim.start("desk-a")
	sim.sync(p)
	c.Assert(p.state.claimed, qt.IsTrue)
	c.Assert(p.state.self.Incarnation > 1000, qt.IsTrue)
}

func TestLateIntentDoesNotRunRefusedAttempt(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(t)
	sim.startAll()
	a := sim.processes["desk-a"]
	sim.holdAppends = true
	sim.submit(a, "r/1", "org/k")
	sim.advance(intentTimeout+500*time.Millisecond, nil, nil)
	c.Assert(a.verdicts["r/1"], qt.DeepEquals, Verdict{Outcome: OutcomeNotRun, Code: CodeLogUnavailable})
	sim.holdAppends = false
	sim.commitAll()
	sim.sync(a)
	c.Assert(a.runs, qt.HasLen, 0, qt.Commentf("an attempt ran after its verdict was notRun"))
	sim.submit(a, "r/2", "org/k")
	c.Assert(a.runs, qt.DeepEquals, []AttemptID{"r/2"}, qt.Commentf("the agent owns the key and has not run it"))
}

func TestLogOutageRefusesOnlyKeyedAttempts(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(t)
	sim.startAll()
	logDown := make(map[string]bool)
	for name := range sim.processes {
		logDown[name] = true
	}
	sim.advance(5*time.Second, logDown, nil)
	a := sim.processes["desk-a"]
	c.Assert(a.state.Gate(), qt.Equals, GateOutage)
	c.Assert(sim.submit(a, "r/1", "org/k"), qt.DeepEquals, Verdict{Outcome: OutcomeNotRun, Code: CodeLogUnavailable})
	c.Assert(sim.submit(a, "r/2", "").Outcome, qt.Equals, OutcomeAdmitted)
}

func TestKeyReusedForAnotherRequestIsRefused(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(t)
	sim.startAll()
	a := sim.processes["desk-a"]
	sim.submit(a, "r/1", "org/k")
	sim.sync(a)
	sim.send(a, AttemptSubmitted{Submission: Submission{Attempt: "r/2", Incarnation: a.state.self.Incarnation, Method: "POST", Path: "/deposits", Key: "org/k", Fingerprint: 2}})
	c.Assert(a.verdicts["r/2"], qt.DeepEquals, Verdict{Outcome: OutcomeNotRun, Code: CodeKeyReused})
}

func TestAttachToUnseenAttemptRefusesItPermanently(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(t)
	sim.startAll()
	a := sim.processes["desk-a"]
	sim.send(a, AttachRequested{Attempt: "r/1", Incarnation: a.state.self.Incarnation})
	c.Assert(a.verdicts["r/1"], qt.DeepEquals, Verdict{Outcome: OutcomeNotRun, Code: CodeNeverSeen})
	sim.submit(a, "r/1", "") // The submission arrives after the query.
	c.Assert(a.runs, qt.HasLen, 0)
	sim.send(a, AttachRequested{Attempt: "r/2", Incarnation: a.state.self.Incarnation - 1})
	c.Assert(a.verdicts["r/2"].Outcome, qt.Equals, OutcomeUnknown, qt.Commentf("the agent cannot know the attempts of an earlier incarnation"))
}

// TestOnceUnderAdversary guards against a key that runs twice: keys are retried at any
// agent while appends are late, duplicated or lost, and agents are paused, replaced and
// disconnected from the log.
func TestOnceUnderAdversary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		sim.startAll()
		sim.holdAppends = true
		all := []*process{sim.processes["desk-a"], sim.processes["desk-b"], sim.processes["desk-c"]}
		for i := range rapid.IntRange(10, 80).Draw(t, "events") {
			p := all[rapid.IntRange(0, len(all)-1).Draw(t, "process")]
			switch rapid.IntRange(0, 11).Draw(t, "action") {
			case 0, 1, 2, 3:
				key := rapid.SampledFrom([]string{"k1", "k2", ""}).Draw(t, "key")
				sim.submit(p, AttemptID(fmt.Sprint(key, "/", i)), key)
			case 4, 5:
				sim.sync(p)
			case 6:
				if len(sim.pending) > 0 {
					sim.commit(rapid.IntRange(0, len(sim.pending)-1).Draw(t, "append"))
				}
			case 7:
				if len(sim.pending) > 0 { // The append takes effect now and once more later.
					sim.pending = append(sim.pending, sim.pending[0])
					sim.commit(0)
				}
			case 8:
				sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "milliseconds")) * time.Millisecond)
				sim.send(p, Tick{})
			case 9:
				all = append(all, sim.start(p.name)) // The old process continues to run.
			case 10:
				sim.send(p, AttachRequested{Attempt: AttemptID(fmt.Sprint("k1/", i+1)), Incarnation: p.state.self.Incarnation})
			case 11:
				if len(p.runs) > 0 {
					sim.send(p, TargetFinished{Attempt: p.runs[0]})
				}
			}
			checkOnce(t, all)
		}
	})
}

// checkOnce fails if a key or an attempt ran twice, or if an attempt ran whose verdict
// is notRun.
func checkOnce(t *rapid.T, all []*process) {
	runsByKey := make(map[string]int)
	runsByAttempt := make(map[AttemptID]int)
	for _, p := range all {
		for _, id := range p.runs {
			runsByAttempt[id]++
			if key := p.state.agent.runs[id].submission.Key; key != "" {
				runsByKey[key]++
			}
			if v := p.verdicts[id]; v.Outcome == OutcomeNotRun {
				t.Fatalf("attempt %s ran at %s but has the verdict %+v", id, p.name, v)
			}
		}
	}
	for key, count := range runsByKey {
		if count > 1 {
			t.Fatalf("key %s ran %d times", key, count)
		}
	}
	for id, count := range runsByAttempt {
		if count > 1 {
			t.Fatalf("attempt %s ran %d times", id, count)
		}
	}
}

func TestIntentAppendsAreSpacedByInterval(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(t)
	sim.startAll()
	a := sim.processes["desk-a"]
	before := len(sim.intents.records)
	sim.send(a, AttemptSubmitted{Submission: Submission{Attempt: "x", Incarnation: a.state.self.Incarnation, Key: "x", Method: "POST"}})
	sim.send(a, AttemptSubmitted{Submission: Submission{Attempt: "y", Incarnation: a.state.self.Incarnation, Key: "y", Method: "POST"}})
	sim.now = sim.now.Add(intentInterval)
	sim.send(a, Tick{})
	c.Assert(len(sim.intents.records)-before, qt.Equals, 2)
	var keys int
	for _, r := range sim.intents.records[before:] {
		intent, err := DecodeIntent(r.Data)
		c.Assert(err, qt.IsNil)
		keys += len(intent.Keys)
	}
	c.Assert(keys, qt.Equals, 2)
	c.Assert(platform.IntentStream(testService), qt.Equals, platform.Stream("intents-desk"))
}
