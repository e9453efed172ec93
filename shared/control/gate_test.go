package control

import (
	"fmt"
	"testing"
	"time"

	"chervilswitch.example/shared/operator"
	"chervilswitch.example/shared/platform"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// takeOutBound is the stated limit on new work after an operator's order.
const takeOutBound = 3 * time.Second

func warmModel(w *world, p *process) {
	w.send(p, TargetReport{Boot: "1"})
}

func TestAgentWithoutLogAppliesTakeOutFromPeers(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t)
	w.startAll()
	cut := map[string]bool{"desk-a": true}
	w.advance(time.Second, cut, nil)
	w.publish("out", dataCentreEdit("a", true))
	w.advance(takeOutBound, cut, nil)
	c.Assert(w.submit(w.processes["desk-a"], "r/1", ""), qt.DeepEquals, Verdict{Outcome: OutcomeNotRun, Code: CodeDataCentreOut})
}

func TestIsolatedAgentRefusesWithinBound(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t)
	w.startAll()
	w.publish("out", dataCentreEdit("a", true))
	alone := map[string]bool{"desk-a": true}
	p := w.processes["desk-a"]
	w.now = w.now.Add(takeOutBound) // It hears nothing.
	w.send(p, Tick{})
	c.Assert(w.submit(p, "r/1", "").Code, qt.Equals, CodeOutOfTouch)
	w.advance(time.Second, alone, nil)
}

func TestIsolatedDataCentreRefusesAfterTakeOut(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t)
	w.startAll()
	island := map[string]bool{"desk-a": true, "entry-a": true, "model-a": true}
	w.publish("out", dataCentreEdit("a", true))
	w.advance(takeOutBound, island, island)
	c.Assert(w.processes["desk-a"].state.Gate(), qt.Equals, GateCutOff)
	c.Assert(w.submit(w.processes["desk-a"], "r/1", "").Outcome, qt.Equals, OutcomeNotRun)
	c.Assert(w.submit(w.processes["desk-b"], "r/2", "").Outcome, qt.Equals, OutcomeAdmitted)
}

func TestLateHeartbeatIsNotFresh(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t)
	w.startAll()
	a, b := w.processes["desk-a"], w.processes["desk-b"]
	asked, beat := w.now, b.state.Beat(w.now)
	w.now = w.now.Add(5 * time.Second)
	w.send(a, HeartbeatReceived{RequestedAt: asked, Beat: beat})
	c.Assert(a.state.Gate().Open(), qt.IsFalse)
}

func TestNewProcessDuringLogOutageAdmits(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t)
	w.startAll()
	instance := testInventory().Instances["desk-c"]
	p := &process{name: "desk-c", verdicts: make(map[AttemptID]Verdict), state: NewState(Identity{
		Instance: "desk-c", DataCentre: instance.DataCentre, Role: instance.Role, Incarnation: 99, Service: testService,
	})}
	w.processes["desk-c"] = p
	down := make(map[string]bool)
	for name := range w.processes {
		down[name] = true
	}
	w.advance(5*time.Second, down, nil)
	c.Assert(p.state.config.Applied(), qt.Equals, w.processes["desk-a"].state.config.Applied())
	c.Assert(p.state.Gate(), qt.Equals, GateOutage)
	c.Assert(w.submit(p, "r/1", "").Outcome, qt.Equals, OutcomeAdmitted)
}

func TestExpiredRecordsAreFetchedFromPeers(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t)
	w.startAll()
	w.advance(time.Second, nil, nil)
	next := platform.Offset(len(w.config.records) + 1)
	w.config.first = next // All records expired while nobody could append.
	w.advance(time.Second, nil, nil)
	c.Assert(w.processes["desk-a"].state.Gate(), qt.Equals, GateFresh)
	p := w.start("desk-b")
	c.Assert(p.state.Gate().Open(), qt.IsFalse, qt.Commentf("it knows nothing and must not work"))
	w.queryAll()
	w.sync(p)
	c.Assert(p.state.Gate(), qt.Equals, GateFresh)
	c.Assert(p.state.config.Inventory().Instances, qt.HasLen, 9)
}

func TestLeavingTargetRefuses(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t)
	w.startAll()
	p := w.processes["model-a"]
	warmModel(w, p)
	c.Assert(w.submit(p, "r/1", "").Outcome, qt.Equals, OutcomeAdmitted)
	w.send(p, InstanceList{Instances: []platform.InstanceState{{Name: "model-a", Leaving: true}}})
	c.Assert(w.submit(p, "r/2", "").Code, qt.Equals, CodeLeaving)
	q := w.processes["model-b"]
	w.send(q, TargetReport{Boot: "1", Leaving: true})
	c.Assert(w.submit(q, "r/3", "").Code, qt.Equals, CodeLeaving)
	d := w.processes["desk-b"]
	w.send(d, DrainStarted{})
	c.Assert(w.submit(d, "r/4", "").Code, qt.Equals, CodeLeaving)
}

func TestSnapshotIsAppendedBeforeRecordsExpire(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t)
	w.startAll()
	w.now = w.now.Add(24*time.Hour/snapshotRetentionDivisor + staggerSlots*snapshotStagger)
	w.sync(w.processes["entry-a"])
	w.send(w.processes["entry-a"], Tick{})
	last, err := DecodeRecord(w.config.records[len(w.config.records)-1].Data)
	c.Assert(err, qt.IsNil)
	c.Assert(last.Kind, qt.Equals, RecordSnapshot)
}

// TestNoNewWorkAfterTakeOut cuts processes off at random and checks that no
// data centre admits work later than the bound after it was taken out.
func TestNoNewWorkAfterTakeOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.startAll()
		accepted := make(map[string]time.Time)
		cut, silent := make(map[string]bool), make(map[string]bool)
		names := sortedKeys(testInventory().Instances)
		for i := range rapid.IntRange(5, 40).Draw(t, "events") {
			centre := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "centre")
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0:
				w.publish(fmt.Sprint("o", i), dataCentreEdit(centre, true))
				if _, out := accepted[centre]; !out {
					accepted[centre] = w.now
				}
			case 1:
				w.publish(fmt.Sprint("b", i), dataCentreEdit(centre, false))
				delete(accepted, centre)
			case 2:
				name := rapid.SampledFrom(names).Draw(t, "cut")
				if len(cut) < len(names)-1 || cut[name] { // Somebody can read the log.
					cut[name] = !cut[name]
				}
			case 3:
				clear(silent)
				if rapid.Bool().Draw(t, "island") { // One data centre is alone.
					for _, name := range names {
						silent[name] = testInventory().Instances[name].DataCentre == centre
					}
				}
			default:
				w.advance(time.Duration(rapid.IntRange(1, 8).Draw(t, "quarters"))*250*time.Millisecond, cut, silent)
			}
			checkTakenOut(t, w, accepted, cut, i)
		}
	})
}

func checkTakenOut(t *rapid.T, w *world, accepted map[string]time.Time, cut map[string]bool, i int) {
	for _, name := range sortedKeys(w.processes) {
		p := w.processes[name]
		if p.state.self.Service != testService {
			continue
		}
		id := AttemptID(fmt.Sprint(name, "/", i))
		if w.submit(p, id, "").Outcome != OutcomeAdmitted {
			continue
		}
		w.send(p, TargetFinished{Attempt: id})
		at, out := accepted[p.state.self.DataCentre]
		if out && w.now.Sub(at) > takeOutBound {
			t.Fatalf("%s admitted work %s after %s was taken out (cut off: %v, gate %s)", name, w.now.Sub(at), p.state.self.DataCentre, cut, p.state.Gate())
		}
	}
}

func TestLiveEntriesExcludesDrainingAndTakenOut(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t)
	w.startAll()
	e := w.processes["entry-a"]
	c.Assert(e.state.LiveEntries(), qt.DeepEquals, []string{"entry-a", "entry-b", "entry-c"})
	w.send(w.processes["entry-b"], DrainStarted{})
	w.publish("out", dataCentreEdit("c", true))
	w.advance(time.Second, nil, nil)
	c.Assert(e.state.LiveEntries(), qt.DeepEquals, []string{"entry-a"})
	w.send(e, DrainStarted{})
	c.Assert(e.state.LiveEntries(), qt.HasLen, 0)
	c.Assert(operator.AddressKeep > 0, qt.IsTrue)
}

func TestGateIsBehindWhenPeerHasNewerRecords(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t)
	w.startAll()
	w.publish("out", dataCentreEdit("a", true))
	b := w.processes["desk-b"]
	w.sync(b)
	a := w.processes["desk-a"] // It hears that there is more, but the records are lost.
	w.send(a, HeartbeatReceived{RequestedAt: w.now, Beat: b.state.Beat(w.now)})
	c.Assert(a.state.Gate(), qt.Equals, GateBehind)
	c.Assert(w.submit(a, "r/1", "").Outcome, qt.Equals, OutcomeNotRun)
}
