package control

import (
	"fmt"
	"testing"

	"chervilswitch.example/shared/operator"

	qt "github.com/frankban/quicktest"
)

// newGroupSimulation starts one entry and the agents of a group of two ranks. The returned
// function reports a state of both ranks to the entry and returns its proposals.
func newGroupSimulation(t *testing.T) (*simulation, *process, func(RankState) []Propose) {
	sim := newSimulation(t)
	v := testInventory()
	edits := []operator.Edit{{
		Key:   operator.Key{Collection: operator.Groups, Name: "g"},
		Value: []byte(`{"service":"assistant","ranks":2,"layers":1,"experts":4,"slots":2,"map":5}`),
	}}
	for rank, name := range []string{"model-a", "model-b"} {
		value := fmt.Sprintf(`{"dataCentre":%q,"role":"agent","peer":"10.0.0.1:9","service":"assistant","group":"g","ranks":[%d]}`, v.Instances[name].DataCentre, rank)
		edits = append(edits, operator.Edit{Key: operator.Key{Collection: operator.Instances, Name: name}, Value: []byte(value)})
	}
	sim.publish("group", edits...)
	for _, name := range []string{"model-a", "model-b"} {
		sim.start(name)
	}
	e := sim.start("entry-a")
	report := func(state RankState) []Propose {
		sim.now = sim.now.Add(proposeInterval)
		sim.sync(e)
		for rank, name := range []string{"model-a", "model-b"} {
			state.Rank, state.Incarnation = rank, sim.processes[name].state.self.Incarnation
			sim.send(e, HeartbeatReceived{RequestedAt: sim.now, Heartbeat: Heartbeat{
				Instance: name, DataCentre: v.Instances[name].DataCentre, Role: operator.RoleAgent, Incarnation: state.Incarnation,
				EvidenceAge: -1, Ranks: []RankState{state},
			}})
		}
		sim.send(e, Tick{})
		var proposals []Propose
		for _, effect := range e.history[len(e.history)-1].effects {
			if p, ok := effect.(Propose); ok {
				proposals = append(proposals, p)
			}
		}
		return proposals
	}
	return sim, e, report
}

func TestCoordinatorFormsGroupThenStaysIdle(t *testing.T) {
	c := qt.New(t)
	_, _, report := newGroupSimulation(t)
	forms := report(RankState{})
	c.Assert(forms, qt.HasLen, 2)
	c.Assert(forms[0].Proposal.At.Step, qt.Equals, uint64(0))
	c.Assert(forms[0].Proposal.Map, qt.Equals, MapVersion(5))
	c.Assert(report(RankState{Next: Position{Generation: 1, Step: 9}, Map: 5}), qt.HasLen, 0)
}

func TestLeadGrowsUntilRanksArmInTime(t *testing.T) {
	c := qt.New(t)
	_, _, report := newGroupSimulation(t)
	leadSteps := uint64(0)
	for i := range uint64(6) {
		next := Position{Generation: 1, Step: 1000 * i}
		proposals := report(RankState{Next: next, Map: 4}) // The ranks passed the step before they could arm.
		c.Assert(proposals, qt.HasLen, 2)
		c.Assert(proposals[0].Proposal.At.Step-next.Step > leadSteps, qt.IsTrue)
		leadSteps = proposals[0].Proposal.At.Step - next.Step
	}
	c.Assert(leadSteps > 1000, qt.IsTrue)
	c.Assert(report(RankState{Next: Position{Generation: 1, Step: 9000}, Map: 5}), qt.HasLen, 0)
	again := report(RankState{Next: Position{Generation: 1, Step: 9000}, Map: 4})
	c.Assert(again[0].Proposal.At.Step, qt.Equals, uint64(9000+minLeadSteps))
}

// TestGenerationIsNotReusedAfterRestart restarts all ranks and the coordinator, so that
// no process remembers earlier generations. The next generation must still be later,
// because it is derived from the log offset.
func TestGenerationIsNotReusedAfterRestart(t *testing.T) {
	c := qt.New(t)
	sim, _, report := newGroupSimulation(t)
	before := report(RankState{})[0].Proposal
	for _, name := range []string{"model-a", "model-b"} {
		sim.start(name)
	}
	sim.now = sim.now.Add(proposeInterval)
	e := sim.start("entry-a") // It has no record of the earlier proposal.
	for rank, name := range []string{"model-a", "model-b"} {
		p := sim.processes[name]
		heartbeat := p.state.Heartbeat(sim.now)
		heartbeat.Ranks = []RankState{{Rank: rank, Incarnation: p.state.self.Incarnation}}
		sim.send(e, HeartbeatReceived{RequestedAt: sim.now, Heartbeat: heartbeat})
	}
	sim.sync(e)
	sim.send(e, Tick{})
	var after Proposal
	for _, s := range e.history {
		for _, effect := range s.effects {
			if p, ok := effect.(Propose); ok {
				after = p.Proposal
			}
		}
	}
	c.Assert(after.Incarnations, qt.HasLen, 2)
	c.Assert(after.At.Generation > before.At.Generation, qt.IsTrue)
}

func TestUnclaimedIncarnationGetsNoProposal(t *testing.T) {
	c := qt.New(t)
	sim, e, _ := newGroupSimulation(t)
	for rank, name := range []string{"model-a", "model-b"} {
		sim.send(e, HeartbeatReceived{RequestedAt: sim.now, Heartbeat: Heartbeat{
			Instance: name, Role: operator.RoleAgent, Incarnation: 999, EvidenceAge: -1,
			Ranks: []RankState{{Rank: rank, Incarnation: 999}},
		}})
	}
	sim.send(e, Tick{})
	for _, effect := range e.history[len(e.history)-1].effects {
		_, proposed := effect.(Propose)
		c.Assert(proposed, qt.IsFalse)
	}
}

func TestAdoptedMapsAreLoggedOnce(t *testing.T) {
	c := qt.New(t)
	s := NewState(Identity{})
	var reasons []string
	for _, step := range []RankRunStep{
		{At: Position{Generation: 1}, Map: 1}, {At: Position{Generation: 1, Step: 1}, Map: 1},
		{At: Position{Generation: 1, Step: 2}, Map: 2}, {At: Position{Generation: 1, Step: 3}, Map: 2},
		{At: Position{Generation: 2}, Map: 2},
	} {
		s.effects = nil
		s.emitRank(0, []RankOutput{step})
		for _, effect := range s.effects {
			if d, ok := effect.(LogDecision); ok {
				reasons = append(reasons, d.Reason)
			}
		}
	}
	c.Assert(reasons, qt.DeepEquals, []string{"formed", "switched", "formed"})
}

// TestNegativeRanksAreIgnored guards against out-of-range indexes: peers send ranks as
// signed numbers.
func TestNegativeRanksAreIgnored(t *testing.T) {
	c := qt.New(t)
	sim, e, report := newGroupSimulation(t)
	model := sim.processes["model-a"].state.self
	sim.send(e, HeartbeatReceived{RequestedAt: sim.now, Heartbeat: Heartbeat{
		Instance: "model-a", Role: operator.RoleAgent, Incarnation: model.Incarnation, EvidenceAge: -1,
		Ranks: []RankState{{Rank: -1, Incarnation: model.Incarnation}},
	}})
	sim.now = sim.now.Add(heartbeatWindow / 2)
	sim.send(e, Tick{})
	c.Assert(report(RankState{}), qt.HasLen, 2)
	g := newRankGroup()
	g.form(1, 1, 7)
	g.apply(0, RankVoted{Proposal: ProposalID{Fencing: 1, Number: 1}, From: -1, Incarnation: 1, Vote: VoteRefused})
	c.Assert(g.ranks[0].CurrentMap(), qt.Equals, MapVersion(7))
}
