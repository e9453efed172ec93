package control

import (
	"fmt"
	"testing"
	"time"

	"chervilswitch.example/shared/operator"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// testTarget is a target that is cold until it has answered answersToWarm attempts, and
// again after a restart. overload counts the attempts above its cold limit.
type testTarget struct {
	boot     int
	answered int
	running  []AttemptID
	overload int
}

const answersToWarm = 3

func (t *testTarget) cold() bool { return t.answered < answersToWarm }

func (t *testTarget) receive(id AttemptID) {
	if t.cold() && len(t.running) >= coldLimit {
		t.overload++
	}
	t.running = append(t.running, id)
}

// restart drops all running attempts and returns them. The target is cold again.
func (t *testTarget) restart() []AttemptID {
	lost := t.running
	t.boot++
	t.answered, t.running = 0, nil
	return lost
}

func (t *testTarget) report() TargetReport {
	return TargetReport{Boot: fmt.Sprint(t.boot), Running: len(t.running), Cold: t.cold()}
}

func TestColdTargetAdmitsAtMostColdLimit(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(t)
	sim.startAll()
	p := sim.processes["model-a"]
	c.Assert(sim.submit(p, "early", "").Code, qt.Equals, CodeUnknownTargetState, qt.Commentf("no load report was received yet"))
	sim.send(p, TargetReport{Boot: "1", Cold: true})
	for i := range coldLimit {
		c.Assert(sim.submit(p, AttemptID(fmt.Sprint("r", i)), "").Outcome, qt.Equals, OutcomeAdmitted)
	}
	c.Assert(sim.submit(p, "more", "").Code, qt.Equals, CodeBusy)
}

func TestLimitRisesPerAnswerAndResetsWhenSlowOrRestarted(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(t)
	sim.startAll()
	p := sim.processes["model-a"]
	warmModel(sim, p)
	for i := range 2 * warmLimit {
		id := AttemptID(fmt.Sprint("r", i))
		sim.submit(p, id, "")
		sim.send(p, TargetFirstOutput{Attempt: id, Latency: 50 * time.Millisecond, Boot: "1"})
		sim.send(p, TargetFinished{Attempt: id})
	}
	c.Assert(p.state.Load().Limit, qt.Equals, warmLimit)
	sim.submit(p, "slow", "")
	sim.send(p, TargetFirstOutput{Attempt: "slow", Latency: time.Second, Boot: "1"})
	c.Assert(p.state.Load().Limit, qt.Equals, coldLimit, qt.Commentf("the latency grew more than fourfold without a report"))
	sim.send(p, TargetFinished{Attempt: "slow"})
	sim.submit(p, "again", "")
	sim.send(p, TargetFirstOutput{Attempt: "again", Latency: 50 * time.Millisecond, Boot: "2"})
	c.Assert(p.state.Load().Limit, qt.Equals, coldLimit, qt.Commentf("the target restarted"))
}

func TestWorkOfEarlierIncarnationUsesCapacity(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(t)
	sim.startAll()
	p := sim.processes["model-a"]
	sim.send(p, TargetReport{Boot: "1", Running: coldLimit})
	c.Assert(sim.submit(p, "r", "").Code, qt.Equals, CodeBusy)
	sim.send(p, TargetReport{Boot: "1", Running: 0})
	c.Assert(sim.submit(p, "s", "").Outcome, qt.Equals, OutcomeAdmitted)
}

func TestAttemptWithoutReadersStopsOnlyIfIdempotent(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(t)
	sim.startAll()
	model, desk := sim.processes["model-a"], sim.processes["desk-a"]
	warmModel(sim, model)
	sim.submit(model, "m", "")
	sim.submit(desk, "d", "")
	for _, p := range []*process{model, desk} {
		id := p.runs[0]
		sim.send(p, ReadersChanged{Attempt: id, Readers: 1})
		sim.send(p, ReadersChanged{Attempt: id, Readers: 0})
	}
	sim.advance(noReadersGracePeriod+time.Second, nil, nil)
	c.Assert(model.stops, qt.DeepEquals, []AttemptID{"m"})
	c.Assert(desk.stops, qt.HasLen, 0, qt.Commentf("a non-idempotent attempt was stopped"))
}

// TestColdLimitUnderAdversary guards against overloading a cold target: it submits more
// than the target can serve to one agent, while the target restarts without a report
// and load reports are out of date.
func TestColdLimitUnderAdversary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		sim.startAll()
		p := sim.processes["model-a"]
		target := &testTarget{boot: 1}
		reports := []TargetReport{target.report()}
		for i := range rapid.IntRange(20, 200).Draw(t, "events") {
			sim.now = sim.now.Add(20 * time.Millisecond)
			sim.sync(p)
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0, 1, 2, 3:
				id := AttemptID(fmt.Sprint("r", i))
				if sim.submit(p, id, "").Outcome == OutcomeAdmitted {
					target.receive(id)
				}
			case 4, 5, 6:
				if len(target.running) > 0 {
					id := target.running[0]
					target.running = target.running[1:]
					target.answered++
					sim.send(p, TargetFirstOutput{Attempt: id, Latency: 10 * time.Millisecond, Boot: fmt.Sprint(target.boot)})
					sim.send(p, TargetFinished{Attempt: id})
				}
			case 7:
				reports = append(reports, target.report())
				lag := rapid.IntRange(0, min(2, len(reports)-1)).Draw(t, "lag")
				sim.send(p, reports[len(reports)-1-lag])
			case 8:
				for _, id := range target.restart() { // Its connections break.
					sim.send(p, TargetFinished{Attempt: id, Failed: true})
				}
			}
			if target.overload > 0 {
				t.Fatalf("target received %d attempts above its cold limit", target.overload)
			}
			if p.state.agent.running > warmLimit || p.state.agent.awaitingOutput > coldLimit {
				t.Fatalf("%d attempts running, %d of them without output", p.state.agent.running, p.state.agent.awaitingOutput)
			}
		}
	})
}

func TestServiceRulesDecideRepeatable(t *testing.T) {
	c := qt.New(t)
	service := operator.Service{
		NonIdempotent: []operator.RequestRule{{PathPrefix: "/stock"}},
		Idempotent:    []operator.RequestRule{{Method: "POST", PathPrefix: "/lookup"}},
	}
	c.Assert(service.Repeatable("GET", "/stock/7"), qt.IsFalse)
	c.Assert(service.Repeatable("GET", "/stocks"), qt.IsTrue)
	c.Assert(service.Repeatable("POST", "/lookup"), qt.IsTrue)
	c.Assert(service.Repeatable("POST", "/other"), qt.IsFalse)
	c.Assert(service.Repeatable("PUT", "/other"), qt.IsTrue)
}
