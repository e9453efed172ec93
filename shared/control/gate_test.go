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

func warmModel(sim *simulation, p *process) {
	sim.send(p, TargetReport{Boot: "1"})
}

func TestAgentWithoutLogAppliesTakeOutFromPeers(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(t)
	sim.startAll()
	logDown := map[string]bool{"desk-a": true}
	sim.advance(time.Second, logDown, nil)
	sim.publish("out", dataCentreEdit("a", true))
	sim.advance(takeOutBound, logDown, nil)
	c.Assert(sim.submit(sim.processes["desk-a"], "r/1", ""), qt.DeepEquals, Verdict{Outcome: OutcomeNotRun, Code: CodeDataCentreOut})
}

func TestIsolatedAgentRefusesWithinBound(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(t)
	sim.startAll()
	sim.publish("out", dataCentreEdit("a", true))
	isolated := map[string]bool{"desk-a": true}
	p := sim.processes["desk-a"]
	sim.now = sim.now.Add(takeOutBound) // It reads no records and receives no heartbeats.
	sim.send(p, Tick{})
	c.Assert(sim.submit(p, "r/1", "").Code, qt.Equals, CodeGateClosed)
	sim.advance(time.Second, isolated, nil)
}

func TestIsolatedDataCentreRefusesAfterTakeOut(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(t)
	sim.startAll()
	isolated := map[string]bool{"desk-a": true, "entry-a": true, "model-a": true}
	sim.publish("out", dataCentreEdit("a", true))
	sim.advance(takeOutBound, isolated, isolated)
	c.Assert(sim.processes["desk-a"].state.Gate(), qt.Equals, GateCutOff)
	c.Assert(sim.submit(sim.processes["desk-a"], "r/1", "").Outcome, qt.Equals, OutcomeNotRun)
	c.Assert(sim.submit(sim.processes["desk-b"], "r/2", "").Outcome, qt.Equals, OutcomeAdmitted)
}

func TestLateHeartbeatIsNotFresh(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(t)
	sim.startAll()
	a, b := sim.processes["desk-a"], sim.processes["desk-b"]
	requestedAt, heartbeat := sim.now, b.state.Heartbeat(sim.now)
	sim.now = sim.now.Add(5 * time.Second)
	sim.send(a, HeartbeatReceived{RequestedAt: requestedAt, Heartbeat: heartbeat})
	c.Assert(a.state.Gate().Open(), qt.IsFalse)
}

func TestNewProcessDuringLogOutageAdmits(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(t)
	sim.startAll()
	instance := testInventory().Instances["desk-c"]
	p := &process{name: "desk-c", verdicts: make(map[AttemptID]Verdict), state: NewState(Identity{
		Instance: "desk-c", DataCentre: instance.DataCentre, Role: instance.Role, Incarnation: 99, Service: testService,
	})}
	sim.processes["desk-c"] = p
	logDown := make(map[string]bool)
	for name := range sim.processes {
		logDown[name] = true
	}
	sim.advance(5*time.Second, logDown, nil)
	c.Assert(p.state.config.Applied(), qt.Equals, sim.processes["desk-a"].state.config.Applied())
	c.Assert(p.state.Gate(), qt.Equals, GateOutage)
	c.Assert(sim.submit(p, "r/1", "").Outcome, qt.Equals, OutcomeAdmitted)
}

func TestExpiredRecordsAreFetchedFromPeers(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(t)
	sim.startAll()
	sim.advance(time.Second, nil, nil)
	next := platform.Offset(len(sim.config.records) + 1)
	sim.config.first = next // All records expired while no process could append.
	sim.advance(time.Second, nil, nil)
	c.Assert(sim.processes["desk-a"].state.Gate(), qt.Equals, GateFresh)
	p := sim.start("desk-b")
	c.Assert(p.state.Gate().Open(), qt.IsFalse, qt.Commentf("a process without the configuration accepted work"))
	sim.queryAll()
	sim.sync(p)
	c.Assert(p.state.Gate(), qt.Equals, GateFresh)
	c.Assert(p.state.config.Inventory().Instances, qt.HasLen, 9)
}

func TestLeavingTargetRefuses(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(t)
	sim.startAll()
	p := sim.processes["model-a"]
	warmModel(sim, p)
	c.Assert(sim.submit(p, "r/1", "").Outcome, qt.Equals, OutcomeAdmitted)
	sim.send(p, InstanceList{Instances: []platform.InstanceState{{Name: "model-a", Leaving: true}}})
	c.Assert(sim.submit(p, "r/2", "").Code, qt.Equals, CodeLeaving)
	q := sim.processes["model-b"]
	sim.send(q, TargetReport{Boot: "1", Leaving: true})
	c.Assert(sim.submit(q, "r/3", "").Code, qt.Equals, CodeLeaving)
	d := sim.processes["desk-b"]
	sim.send(d, DrainStarted{})
	c.Assert(sim.submit(d, "r/4", "").Code, qt.Equals, CodeLeaving)
}

func TestSnapshotIsAppendedBeforeRecordsExpire(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(t)
	sim.startAll()
	sim.now = sim.now.Add(24*time.Hour/snapshotRetentionDivisor + staggerSlots*snapshotStagger)
	sim.sync(sim.processes["entry-a"])
	sim.send(sim.processes["entry-a"], Tick{})
	last, err := DecodeRecord(sim.config.records[len(sim.config.records)-1].Data)
	c.Assert(err, qt.IsNil)
	c.Assert(last.Kind, qt.Equals, RecordSnapshot)
}

// TestNoNewWorkAfterTakeOut disconnects processes from the log and data centres from
// each other at random, and checks that no data centre admits work later than
// takeOutBound after it was taken out.
func TestNoNewWorkAfterTakeOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		sim.startAll()
		takenOutAt := make(map[string]time.Time)
		logDown, isolated := make(map[string]bool), make(map[string]bool)
		names := sortedKeys(testInventory().Instances)
		for i := range rapid.IntRange(5, 40).Draw(t, "events") {
			centre := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "centre")
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0:
				sim.publish(fmt.Sprint("o", i), dataCentreEdit(centre, true))
				if _, out := takenOutAt[centre]; !out {
					takenOutAt[centre] = sim.now
				}
			case 1:
				sim.publish(fmt.Sprint("b", i), dataCentreEdit(centre, false))
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
				sim.advance(time.Duration(rapid.IntRange(1, 8).Draw(t, "quarters"))*250*time.Millisecond, logDown, isolated)
			}
			checkTakenOut(t, sim, takenOutAt, logDown, i)
		}
	})
}

func checkTakenOut(t *rapid.T, sim *simulation, takenOutAt map[string]time.Time, logDown map[string]bool, i int) {
	for _, name := range sortedKeys(sim.processes) {
		p := sim.processes[name]
		if p.state.self.Service != testService {
			continue
		}
		id := AttemptID(fmt.Sprint(name, "/", i))
		if sim.submit(p, id, "").Outcome != OutcomeAdmitted {
			continue
		}
		sim.send(p, TargetFinished{Attempt: id})
		at, out := takenOutAt[p.state.self.DataCentre]
		if out && sim.now.Sub(at) > takeOutBound {
			t.Fatalf("%s admitted work %s after %s was taken out (processes without the log: %v, gate %s)", name, sim.now.Sub(at), p.state.self.DataCentre, logDown, p.state.Gate())
		}
	}
}

func TestLiveEntriesExcludesDrainingAndTakenOut(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(t)
	sim.startAll()
	e := sim.processes["entry-a"]
	c.Assert(e.state.LiveEntries(), qt.DeepEquals, []string{"entry-a", "entry-b", "entry-c"})
	sim.send(sim.processes["entry-b"], DrainStarted{})
	sim.publish("out", dataCentreEdit("c", true))
	sim.advance(time.Second, nil, nil)
	c.Assert(e.state.LiveEntries(), qt.DeepEquals, []string{"entry-a"})
	sim.send(e, DrainStarted{})
	c.Assert(e.state.LiveEntries(), qt.HasLen, 0)
	c.Assert(operator.AddressKeep > 0, qt.IsTrue)
}

func TestGateIsBehindWhenPeerHasNewerRecords(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(t)
	sim.startAll()
	sim.publish("out", dataCentreEdit("a", true))
	b := sim.processes["desk-b"]
	sim.sync(b)
	a := sim.processes["desk-a"] // It gets a heartbeat, but not the records.
	sim.send(a, HeartbeatReceived{RequestedAt: sim.now, Heartbeat: b.state.Heartbeat(sim.now)})
	c.Assert(a.state.Gate(), qt.Equals, GateBehind)
	c.Assert(sim.submit(a, "r/1", "").Outcome, qt.Equals, OutcomeNotRun)
}
