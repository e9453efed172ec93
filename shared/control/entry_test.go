package control

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// newEntrySimulation returns a simulation and its entry-a, which has heartbeats of three
// model targets that can accept requests.
func newEntrySimulation(t *testing.T) (*simulation, *process) {
	sim := newSimulation(t)
	sim.startAll()
	for _, name := range []string{"model-a", "model-b", "model-c"} {
		warmModel(sim, sim.processes[name])
	}
	sim.queryAll()
	return sim, sim.processes["entry-a"]
}

func modelRequest(id string) Request {
	return Request{ID: RequestID(id), Organisation: "o", Service: testModel, Idempotent: true, Replayable: true}
}

func (sm *simulation) sendVerdict(p *process, f Forward, v Verdict) {
	sm.send(p, VerdictReceived{Request: f.Request, Attempt: f.Attempt, Verdict: v, Load: Load{Limit: warmLimit, Credit: 2}})
}

func TestRefusedRequestIsRetriedAtAnotherTarget(t *testing.T) {
	c := qt.New(t)
	sim, e := newEntrySimulation(t)
	for range 10 { // The retry budget of ten earlier requests allows one retry.
		e.state.entry.retryBudget += retryBudgetPerRequest
	}
	sim.send(e, RequestArrived{Request: modelRequest("o/1")})
	c.Assert(e.forwards, qt.HasLen, 1)
	sim.sendVerdict(e, e.forwards[0], Verdict{Outcome: OutcomeNotRun, Code: CodeBusy})
	c.Assert(e.forwards, qt.HasLen, 2)
	c.Assert(e.forwards[1].Target, qt.Not(qt.Equals), e.forwards[0].Target)
	c.Assert(e.forwards[1].Attempt, qt.Not(qt.Equals), e.forwards[0].Attempt)
	sim.sendVerdict(e, e.forwards[0], Verdict{Outcome: OutcomeUnknown, Code: CodeTargetLost})
	c.Assert(e.failures, qt.HasLen, 0, qt.Commentf("the late verdict of an earlier attempt was applied"))
}

func TestUnknownOutcomeIsRetriedOnlyIfIdempotent(t *testing.T) {
	c := qt.New(t)
	sim, e := newEntrySimulation(t)
	e.state.entry.retryBudget = maxRetryBudget
	sim.send(e, RequestArrived{Request: Request{ID: "o/d", Service: testService}})
	sim.sendVerdict(e, e.forwards[0], Verdict{Outcome: OutcomeUnknown, Code: CodeTargetLost})
	c.Assert(e.failures["o/d"], qt.DeepEquals, Failure{Outcome: OutcomeUnknown, Code: CodeTargetLost})
	sim.send(e, RequestArrived{Request: modelRequest("o/m")})
	sim.sendVerdict(e, e.forwards[1], Verdict{Outcome: OutcomeUnknown, Code: CodeTargetLost})
	c.Assert(e.forwards, qt.HasLen, 3)
	sim.send(e, AttemptFirstOutput{Request: "o/m", Attempt: e.forwards[2].Attempt})
	sim.sendVerdict(e, e.forwards[2], Verdict{Outcome: OutcomeUnknown, Code: CodeTargetLost})
	c.Assert(e.failures["o/m"].Outcome, qt.Equals, OutcomeUnknown, qt.Commentf("part of the response had reached the caller"))
}

func TestRetriesStayWithinBudget(t *testing.T) {
	c := qt.New(t)
	sim, e := newEntrySimulation(t)
	const requests = 500
	for i := range requests {
		id := fmt.Sprint("o/", i)
		sim.send(e, RequestArrived{Request: modelRequest(id)})
		for sent := 0; sent < len(e.forwards); sent++ {
			f := e.forwards[sent]
			if f.Request == RequestID(id) {
				sim.sendVerdict(e, f, Verdict{Outcome: OutcomeNotRun, Code: CodeBusy})
			}
		}
		sim.queryAll()
		sim.send(e, Tick{})
	}
	c.Assert(len(e.forwards) <= requests*11/10, qt.IsTrue, qt.Commentf("%d attempts for %d requests", len(e.forwards), requests))
}

func TestDisconnectedAttemptIsReattached(t *testing.T) {
	c := qt.New(t)
	sim, e := newEntrySimulation(t)
	sim.send(e, RequestArrived{Request: Request{ID: "o/d", Service: testService}})
	f := e.forwards[0]
	sim.send(e, AttemptDisconnected{Request: f.Request, Attempt: f.Attempt})
	c.Assert(e.reattaches, qt.HasLen, 1)
	c.Assert(e.reattaches[0].Attempt, qt.Equals, f.Attempt)
	c.Assert(e.reattaches[0].Incarnation, qt.Equals, f.Incarnation)
	sim.advance(reattachWindow+time.Second, nil, nil)
	c.Assert(e.failures["o/d"], qt.DeepEquals, Failure{Outcome: OutcomeUnknown, Code: CodeLinkLost})
	c.Assert(e.forwards, qt.HasLen, 1)
}

func TestAttemptWithoutVerdictIsReattached(t *testing.T) {
	c := qt.New(t)
	sim, e := newEntrySimulation(t)
	sim.send(e, RequestArrived{Request: Request{ID: "o/d", Service: testService}})
	sim.advance(verdictTimeout+time.Second, nil, nil)
	c.Assert(len(e.reattaches) > 0, qt.IsTrue)
}

func TestEntryAvoidsTargetsInTakenOutDataCentre(t *testing.T) {
	c := qt.New(t)
	sim, e := newEntrySimulation(t)
	sim.publish("out", dataCentreEdit("a", true))
	sim.advance(time.Second, nil, nil)
	for i := range 20 {
		sim.send(e, RequestArrived{Request: modelRequest(fmt.Sprint("o/", i))})
		sim.queryAll()
	}
	c.Assert(len(e.forwards) > 0, qt.IsTrue)
	for _, f := range e.forwards {
		c.Assert(f.Target, qt.Not(qt.Equals), "model-a")
	}
}

func TestQueueOrdersByPriorityThenOrganisation(t *testing.T) {
	c := qt.New(t)
	var q fairQueue
	for i := range 30 {
		q.push(0, "large", 1, queued{id: RequestID(fmt.Sprint("l", i))})
	}
	q.push(0, "small", 1, queued{id: "s"})
	q.push(5, "urgent", 1, queued{id: "u"})
	first, _ := q.pop()
	second, _ := q.pop()
	third, _ := q.pop()
	c.Assert(first.id, qt.Equals, RequestID("u"))
	c.Assert(second.id, qt.Equals, RequestID("l0"))
	c.Assert(third.id, qt.Equals, RequestID("s"), qt.Commentf("an organisation waited for the whole queue of another"))
}

func TestLoadedCachedTargetLosesToIdleTarget(t *testing.T) {
	c := qt.New(t)
	candidates := []Candidate{
		{Name: "cached", Limit: 8, Running: 8, Allowed: 4, FirstOutput: time.Second, Usable: true, Local: true},
		{Name: "idle", Limit: 8, Allowed: 4, FirstOutput: 100 * time.Millisecond, Usable: true, Local: true},
	}
	c.Assert(Choose(candidates, 1, 0, 0).Target, qt.Equals, 1)
	candidates[0].Running, candidates[0].FirstOutput = 0, 100*time.Millisecond
	c.Assert(Choose(candidates, 1, 0, 0).Reason, qt.Equals, "cachedPrefix")
	candidates[1].Allowed = 0
	c.Assert(Choose(candidates, 1, -1, 1).Target, qt.Equals, -1, qt.Commentf("the only free target was excluded"))
}

func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{10, 65, 650} {
		candidates := make([]Candidate, count)
		for i := range candidates {
			candidates[i] = Candidate{Limit: 16, Running: i % 16, Allowed: 4, FirstOutput: 100 * time.Millisecond, Usable: true}
		}
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				Choose(candidates, uint64(i), i%count, 0)
			}
		})
	}
}
