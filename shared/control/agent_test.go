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

func (g *testTarget) cold() bool { return g.answered < answersToWarm }

func (g *testTarget) receive(id AttemptID) {
	if g.cold() && len(g.running) >= coldLimit {
		g.overload++
	}
	g.running = append(g.running, id)
}

// restart drops all running attempts and returns them. The target is cold again.
func (g *testTarget) restart() []AttemptID {
	lost := g.running
	g.boot++
	g.answered, g.running = 0, nil
	return lost
}

func (g *testTarget) report() TargetReport {
	return TargetReport{Boot: fmt.Sprint(g.boot), Running: len(g.running), Cold: g.cold()}
}

func TestColdTargetAdmitsAtMostColdLimit(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t)
	w.startAll()
	p := w.processes["model-a"]
	c.Assert(w.submit(p, "early", "").Code, qt.Equals, CodeUnknownTargetState, qt.Commentf("no load report was received yet"))
	w.send(p, TargetReport{Boot: "1", Cold: true})
	for i := range coldLimit {
		c.Assert(w.submit(p, AttemptID(fmt.Sprint("r", i)), "").Outcome, qt.Equals, OutcomeAdmitted)
	}
	c.Assert(w.submit(p, "more", "").Code, qt.Equals, CodeBusy)
}

func TestLimitRisesPerAnswerAndResetsWhenSlowOrRestarted(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t)
	w.startAll()
	p := w.processes["model-a"]
	warmModel(w, p)
	for i := range 2 * warmLimit {
		id := AttemptID(fmt.Sprint("r", i))
		w.submit(p, id, "")
		w.send(p, TargetFirstOutput{Attempt: id, Latency: 50 * time.Millisecond, Boot: "1"})
		w.send(p, TargetFinished{Attempt: id})
	}
	c.Assert(p.state.Load().Limit, qt.Equals, warmLimit)
	w.submit(p, "slow", "")
	w.send(p, TargetFirstOutput{Attempt: "slow", Latency: time.Second, Boot: "1"})
	c.Assert(p.state.Load().Limit, qt.Equals, coldLimit, qt.Commentf("the latency grew more than fourfold without a report"))
	w.send(p, TargetFinished{Attempt: "slow"})
	w.submit(p, "again", "")
	w.send(p, TargetFirstOutput{Attempt: "again", Latency: 50 * time.Millisecond, Boot: "2"})
	c.Assert(p.state.Load().Limit, qt.Equals, coldLimit, qt.Commentf("the target restarted"))
}

func TestWorkOfEarlierIncarnationUsesCapacity(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t)
	w.startAll()
	p := w.processes["model-a"]
	w.send(p, TargetReport{Boot: "1", Running: coldLimit})
	c.Assert(w.submit(p, "r", "").Code, qt.Equals, CodeBusy)
	w.send(p, TargetReport{Boot: "1", Running: 0})
	c.Assert(w.submit(p, "s", "").Outcome, qt.Equals, OutcomeAdmitted)
}

func TestUnwatchedAttemptStopsOnlyIfIdempotent(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t)
	w.startAll()
	model, desk := w.processes["model-a"], w.processes["desk-a"]
	warmModel(w, model)
	w.submit(model, "m", "")
	w.submit(desk, "d", "")
	for _, p := range []*process{model, desk} {
		id := p.runs[0]
		w.send(p, ReadersChanged{Attempt: id, Readers: 1})
		w.send(p, ReadersChanged{Attempt: id, Readers: 0})
	}
	w.advance(unwatchedGrace+time.Second, nil, nil)
	c.Assert(model.stops, qt.DeepEquals, []AttemptID{"m"})
	c.Assert(desk.stops, qt.HasLen, 0, qt.Commentf("a non-idempotent attempt was stopped"))
}

// TestColdLimitUnderAdversary guards against overloading a cold target: it submits more
// than the target can serve to one agent, while the target restarts without a report
// and load reports are out of date.
func TestColdLimitUnderAdversary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.startAll()
		p := w.processes["model-a"]
		target := &testTarget{boot: 1}
		reports := []TargetReport{target.report()}
		for i := range rapid.IntRange(20, 200).Draw(t, "events") {
			w.now = w.now.Add(20 * time.Millisecond)
			w.sync(p)
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0, 1, 2, 3:
				id := AttemptID(fmt.Sprint("r", i))
				if w.submit(p, id, "").Outcome == OutcomeAdmitted {
					target.receive(id)
				}
			case 4, 5, 6:
				if len(target.running) > 0 {
					id := target.running[0]
					target.running = target.running[1:]
					target.answered++
					w.send(p, TargetFirstOutput{Attempt: id, Latency: 10 * time.Millisecond, Boot: fmt.Sprint(target.boot)})
					w.send(p, TargetFinished{Attempt: id})
				}
			case 7:
				reports = append(reports, target.report())
				lag := rapid.IntRange(0, min(2, len(reports)-1)).Draw(t, "lag")
				w.send(p, reports[len(reports)-1-lag])
			case 8:
				for _, id := range target.restart() { // Its connections break.
					w.send(p, TargetFinished{Attempt: id, Failed: true})
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
