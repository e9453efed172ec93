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

// takeOutBound is the documented time within which new work stops after an operator
// takes a data centre out.
const takeOutBound = 3 * time.Second

func warmModel(w *world, p *process) {
	w.send(p, TargetReport{Boot: "1"})
}

func TestAgentWithoutLogAppliesTakeOutFromPeers(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t)
	w.startAll()
	logDown := map[string]bool{"desk-a": true}
	w.advance(time.Second, logDown, nil)
	w.publish("out", dataCentreEdit("a", true))
	w.advance(takeOutBound, logDown, nil)
	c.Assert(w.submit(w.processes["desk-a"], "r/1", ""), qt.DeepEquals, Verdict{Outcome: OutcomeNotRun, Code: CodeDataCentreOut})
}

func TestIsolatedAgentRefusesWithinBound(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t)
	w.startAll()
	w.publish("out", dataCentreEdit("a", true))
	isolated := map[string]bool{"desk-a": true}
	p := w.processes["desk-a"]
	w.now = w.now.Add(takeOutBound) // It reads no records and receives no heartbeats.
	w.send(p, Tick{})
	c.Assert(w.submit(p, "r/1", "").Code, qt.Equals, CodeGateClosed)
	w.advance(time.Second, isolated, nil)
}

func TestIsolatedDataCentreRefusesAfterTakeOut(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t)
	w.startAll()
	isolated := map[string]bool{"desk-a": true, "entry-a": true, "model-a": true}
	w.publish("out", dataCentreEdit("a", true))
	w.advance(takeOutBound, isolated, isolated)
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
	logDown := make(map[string]bool)
	for name := range w.processes {
		logDown[name] = true
	}
	w.advance(5*time.Second, logDown, nil)
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
	w.config.first = next // All records expired while no process could append.
	w.advance(time.Second, nil, nil)
	c.Assert(w.processes["desk-a"].state.Gate(), qt.Equals, GateFresh)
	p := w.start("desk-b")
	c.Assert(p.state.Gate().Open(), qt.IsFalse, qt.Commentf("a process without the configuration accepted work"))
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

// TestNoNewWorkAfterTakeOut disconnects processes from the log and data centres from
// each other at random, and checks that no data centre admits work later than
// takeOutBound after it was taken out.
func TestNoNewWorkAfterTakeOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.startAll()
		takenOutAt := make(map[string]time.Time)
		logDown, isolated := make(map[string]bool), make(map[string]bool)
		names := sortedKeys(testInventory().Instances)
		for i := range rapid.IntRange(5, 40).Draw(t, "events") {
			centre := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "centre")
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0:
				w.publish(fmt.Sprint("o", i), dataCentreEdit(centre, true))
				if _, out := takenOutAt[centre]; !out {
					takenOutAt[centre] = w.now
				}
			case 1:
				w.publish(fmt.Sprint("b", i), dataCentreEdit(centre, false))
				delete(takenOutAt, centre)
			case 2:
				name := rapid.SampledFrom(names).Draw(t, "cut")
				if len(logDown) < len(names)-1 || logDown[name] { // At least one process reads the log.
					logDown[name] = !logDown[name]
				}
			case 3:
				clear(isolated)
				if rapid.Bool().Draw(t, "island") { // One data centre is disconnected from the others.
					for _, name := range names {
						isolated[name] = testInventory().Instances[name].DataCentre == centre
					}
				}
			default:
				w.advance(time.Duration(rapid.IntRange(1, 8).Draw(t, "quarters"))*250*time.Millisecond, logDown, isolated)
			}
			checkTakenOut(t, w, takenOutAt, logDown, i)
		}
	})
}

func checkTakenOut(t *rapid.T, w *world, takenOutAt map[string]time.Time, logDown map[string]bool, i int) {
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
		at, out := takenOutAt[p.state.self.DataCentre]
		if out && w.now.Sub(at) > takeOutBound {
			t.Fatalf("%s admitted work %s after %s was taken out (processes without the log: %v, gate %s)", name, w.now.Sub(at), p.state.self.DataCentre, logDown, p.state.Gate())
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
	a := w.processes["desk-a"] // It gets a heartbeat, but not the records.
	w.send(a, HeartbeatReceived{RequestedAt: w.now, Beat: b.state.Beat(w.now)})
	c.Assert(a.state.Gate(), qt.Equals, GateBehind)
	c.Assert(w.submit(a, "r/1", "").Outcome, qt.Equals, OutcomeNotRun)
}
