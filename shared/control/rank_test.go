package control

import (
	"slices"
	"testing"

	"chervilswitch.example/shared/platform"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const (
	testRanks = 3
	testSteps = 12
)

// rankMessage is a message in flight to a rank.
type rankMessage struct {
	to    int
	input RankInput
}

// rankGroup connects ranks by a simulated network. Tests choose which messages are
// delivered, and when.
type rankGroup struct {
	ranks        []*Rank
	incarnations []uint64
	inFlight     []rankMessage
	fetches      []rankMessage
	// used is the map of each step that ran; lastRun is the last step of each rank.
	used      map[Position]MapVersion
	lastRun   []Position
	violation string
}

func newRankGroup() *rankGroup {
	g := &rankGroup{used: make(map[Position]MapVersion), lastRun: make([]Position, testRanks)}
	for i := range testRanks {
		g.incarnations = append(g.incarnations, 1)
		g.ranks = append(g.ranks, NewRank(i, 1))
	}
	return g
}

// apply applies an input to a rank and routes the rank's outputs.
func (g *rankGroup) apply(to int, input RankInput) { g.route(to, g.ranks[to].Reduce(input)) }

func (g *rankGroup) route(from int, outputs []RankOutput) {
	for _, o := range outputs {
		switch o := o.(type) {
		case RankSendVote:
			g.inFlight = append(g.inFlight, rankMessage{to: o.To, input: o.Vote})
		case RankRequestVote:
			g.inFlight = append(g.inFlight, rankMessage{to: o.To, input: RankVoteRequested{Proposal: o.Proposal, From: from}})
		case RankFetch:
			g.fetches = append(g.fetches, rankMessage{to: from, input: RankFetched(o)})
		case RankRunStep:
			g.run(from, o)
		}
	}
}

func (g *rankGroup) run(rank int, step RankRunStep) {
	if used, ok := g.used[step.At]; ok && used != step.Map {
		g.violation = "one step ran with two maps"
	}
	g.used[step.At] = step.Map
	g.lastRun[rank] = step.At
}

func (g *rankGroup) propose(p Proposal, to int) {
	g.inFlight = append(g.inFlight, rankMessage{to: to, input: RankProposed{Proposal: p}})
}

func (g *rankGroup) restart(rank int) {
	g.incarnations[rank]++
	g.ranks[rank] = NewRank(rank, g.incarnations[rank])
}

// deliverAll delivers messages and completes fetches until none are left.
func (g *rankGroup) deliverAll() {
	for len(g.inFlight)+len(g.fetches) > 0 {
		messages := append(g.fetches, g.inFlight...)
		g.inFlight, g.fetches = nil, nil
		for _, m := range messages {
			g.apply(m.to, m.input)
		}
	}
}

func (g *rankGroup) form(number uint64, generation uint64, version MapVersion) {
	p := Proposal{
		Fencing: 1, Number: number, Map: version, At: Position{Generation: generation},
		Incarnations: append([]uint64(nil), g.incarnations...),
	}
	for rank := range g.ranks {
		g.propose(p, rank)
	}
	g.deliverAll()
}

func TestGroupFormsAndSwitches(t *testing.T) {
	c := qt.New(t)
	g := newRankGroup()
	g.apply(0, RankStepReady{})
	c.Assert(g.used, qt.HasLen, 0, qt.Commentf("a rank ran a step before its group was formed"))
	g.form(1, 1, 7)
	for rank := range g.ranks {
		g.apply(rank, RankStepReady{})
	}
	c.Assert(g.used[Position{Generation: 1, Step: 0}], qt.Equals, MapVersion(7))
	p := Proposal{Fencing: 1, Number: 2, Map: 8, At: Position{Generation: 1, Step: 3}, Incarnations: []uint64{1, 1, 1}}
	for rank := range g.ranks {
		g.propose(p, rank)
	}
	g.deliverAll()
	for range 4 {
		for rank := range g.ranks {
			g.apply(rank, RankStepReady{})
		}
	}
	c.Assert(g.used[Position{Generation: 1, Step: 2}], qt.Equals, MapVersion(7))
	c.Assert(g.used[Position{Generation: 1, Step: 3}], qt.Equals, MapVersion(8))
	c.Assert(g.violation, qt.Equals, "")
}

func TestRestartBetweenArmingAndSwitchBlocksStep(t *testing.T) {
	c := qt.New(t)
	g := newRankGroup()
	g.form(1, 1, 7)
	p := Proposal{Fencing: 1, Number: 2, Map: 8, At: Position{Generation: 1, Step: 2}, Incarnations: []uint64{1, 1, 1}}
	g.propose(p, 2)
	m := g.inFlight[0]
	g.inFlight = nil
	g.ranks[2].fetched[8] = true
	g.apply(m.to, m.input) // Rank 2 arms, but its votes are lost when it restarts.
	g.inFlight = nil
	g.ranks[0].fetched[8], g.ranks[1].fetched[8] = true, true
	g.apply(0, RankProposed{Proposal: p})
	g.apply(1, RankProposed{Proposal: p})
	g.restart(2)
	g.deliverAll()
	for range 3 {
		g.apply(0, RankStepReady{})
		g.apply(1, RankStepReady{})
		g.deliverAll()
	}
	_, ran := g.used[Position{Generation: 1, Step: 2}]
	c.Assert(ran, qt.IsFalse, qt.Commentf("a rank ran the step although the vote of rank 2 was lost"))
	g.form(3, 2, 7)
	for rank := range g.ranks {
		g.apply(rank, RankStepReady{})
	}
	c.Assert(g.used[Position{Generation: 2, Step: 0}], qt.Equals, MapVersion(7))
}

// TestRanksUnderAdversary checks after every event that no step runs with two maps, and
// at the end that a newly formed group runs steps once messages are delivered again.
func TestRanksUnderAdversary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newRankGroup()
		g.form(1, 1, 1)
		number := uint64(1)
		generation := uint64(1)
		proposedIncarnations := slices.Clone(g.incarnations)
		for range rapid.IntRange(20, 200).Draw(t, "events") {
			rank := rapid.IntRange(0, testRanks-1).Draw(t, "rank")
			switch action := rapid.IntRange(0, 19).Draw(t, "action"); {
			case action < 6:
				g.apply(rank, RankStepReady{})
			case action < 12 && len(g.inFlight) > 0:
				i := rapid.IntRange(0, len(g.inFlight)-1).Draw(t, "message")
				m := g.inFlight[i]
				if !rapid.Bool().Draw(t, "again") {
					g.inFlight = append(g.inFlight[:i:i], g.inFlight[i+1:]...)
				}
				g.apply(m.to, m.input)
			case action < 13 && len(g.inFlight) > 0:
				i := rapid.IntRange(0, len(g.inFlight)-1).Draw(t, "lost")
				g.inFlight = append(g.inFlight[:i:i], g.inFlight[i+1:]...)
			case action < 15 && len(g.fetches) > 0:
				m := g.fetches[0]
				g.fetches = g.fetches[1:]
				g.apply(m.to, m.input)
			case action < 17:
				number++
				step := max(1, g.ranks[rank].Next().Step+uint64(rapid.IntRange(0, 3).Draw(t, "lead")))
				p := Proposal{
					Fencing: 1, Number: number, Map: MapVersion(number), At: Position{Generation: generation, Step: step},
					Incarnations: append([]uint64(nil), g.incarnations...),
				}
				for to := range rapid.IntRange(1, testRanks).Draw(t, "heard") {
					g.propose(p, to)
				}
			case action == 17:
				g.restart(rank)
			case action == 18:
				number++
				generation += uint64(rapid.IntRange(0, 1).Draw(t, "raise"))
				if !slices.Equal(proposedIncarnations, g.incarnations) {
					generation++ // As coordinators do; see TestGenerationIsNotReusedAfterRestart.
					proposedIncarnations = slices.Clone(g.incarnations)
				}
				p := Proposal{
					Fencing: 1, Number: number, Map: MapVersion(number), At: Position{Generation: generation},
					Incarnations: append([]uint64(nil), g.incarnations...),
				}
				for to := range g.ranks {
					g.propose(p, to)
				}
			default:
				g.route(rank, g.ranks[rank].Tick())
			}
			if g.violation != "" {
				t.Fatalf("%s: %v", g.violation, g.used)
			}
		}
		g.inFlight, g.fetches = nil, nil
		g.form(number+1, generation+1, MapVersion(number+1))
		for range testSteps {
			for rank := range g.ranks {
				g.apply(rank, RankStepReady{})
				g.route(rank, g.ranks[rank].Tick())
			}
			g.deliverAll()
		}
		for rank, at := range g.lastRun {
			if at.Generation != generation+1 || at.Step < testSteps/2 {
				t.Fatalf("rank %d is stuck at position %+v", rank, at)
			}
		}
	})
}

func TestCrossedProposalsDoNotDeadlock(t *testing.T) {
	c := qt.New(t)
	g := newRankGroup()
	g.form(1, 1, 7)
	incarnations := []uint64{1, 1, 1}
	first := Proposal{Fencing: 1, Number: 2, Map: 8, At: Position{Generation: 1, Step: 2}, Incarnations: incarnations}
	second := Proposal{Fencing: 1, Number: 3, Map: 9, At: Position{Generation: 1, Step: 2}, Incarnations: incarnations}
	g.ranks[0].fetched[8], g.ranks[1].fetched[9] = true, true
	g.apply(0, RankProposed{Proposal: first}) // Both coordinators fail after one message.
	g.apply(1, RankProposed{Proposal: second})
	for range 4 {
		for rank := range g.ranks {
			g.apply(rank, RankStepReady{})
			g.route(rank, g.ranks[rank].Tick())
		}
		g.deliverAll()
	}
	c.Assert(g.used[Position{Generation: 1, Step: 2}], qt.Equals, MapVersion(7))
	c.Assert(g.lastRun[0].Step >= 2 && g.lastRun[1].Step >= 2, qt.IsTrue)
}

func TestRankPastSwitchStepRefuses(t *testing.T) {
	c := qt.New(t)
	g := newRankGroup()
	g.form(1, 1, 7)
	for range 3 {
		g.apply(2, RankStepReady{}) // Rank 2 runs up to step 3.
	}
	p := Proposal{Fencing: 1, Number: 2, Map: 8, At: Position{Generation: 1, Step: 2}, Incarnations: []uint64{1, 1, 1}}
	for rank := range g.ranks {
		g.ranks[rank].fetched[8] = true
		g.propose(p, rank)
	}
	g.deliverAll()
	for range 4 {
		g.apply(0, RankStepReady{})
		g.apply(1, RankStepReady{})
	}
	c.Assert(g.violation, qt.Equals, "")
	c.Assert(g.used[Position{Generation: 1, Step: 2}], qt.Equals, MapVersion(7))
}

func TestVoteFromLaterIncarnationIsIgnored(t *testing.T) {
	c := qt.New(t)
	g := newRankGroup()
	g.form(1, 1, 7)
	p := Proposal{Fencing: 1, Number: 2, Map: 8, At: Position{Generation: 1, Step: 2}, Incarnations: []uint64{1, 1, 1}}
	g.ranks[0].fetched[8] = true
	g.apply(0, RankProposed{Proposal: p})
	g.apply(0, RankStepReady{})
	g.apply(0, RankStepReady{}) // Rank 0 holds before step 2.
	g.apply(0, RankVoted{Proposal: p.ID(), From: 1, Incarnation: 2, Vote: VoteRefused})
	g.apply(0, RankStepReady{})
	_, ran := g.used[Position{Generation: 1, Step: 2}]
	c.Assert(ran, qt.IsFalse)
}

// TestCompetingSwitchesUnderAdversary checks that no step runs with two maps and that,
// without restarts, ranks continue without a new formation once the messages that they
// resend are delivered.
func TestCompetingSwitchesUnderAdversary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newRankGroup()
		g.form(1, 1, 1)
		for rank := range g.ranks {
			for version := range MapVersion(20) {
				g.ranks[rank].fetched[version] = rapid.IntRange(0, 5).Draw(t, "ready") > 0
			}
		}
		number := uint64(1)
		for range rapid.IntRange(10, 120).Draw(t, "events") {
			rank := rapid.IntRange(0, testRanks-1).Draw(t, "rank")
			switch action := rapid.IntRange(0, 9).Draw(t, "action"); {
			case action < 3:
				g.apply(rank, RankStepReady{})
			case action < 4 && number < 19:
				number++
				step := g.ranks[rank].Next().Step + uint64(rapid.IntRange(0, 2).Draw(t, "lead"))
				p := Proposal{Fencing: 1, Number: number, Map: MapVersion(number), At: Position{Generation: 1, Step: step}, Incarnations: g.incarnations}
				for to := range rapid.IntRange(1, testRanks).Draw(t, "heard") {
					g.propose(p, (to+rank)%testRanks)
				}
			case len(g.inFlight) > 0:
				i := rapid.IntRange(0, len(g.inFlight)-1).Draw(t, "message")
				m := g.inFlight[i]
				g.inFlight = append(g.inFlight[:i:i], g.inFlight[i+1:]...)
				if action < 9 {
					g.apply(m.to, m.input)
				}
			}
			if g.violation != "" {
				t.Fatalf("%s: %v", g.violation, g.used)
			}
		}
		g.inFlight, g.fetches = nil, nil
		rounds := g.lastRun[0].Step + g.lastRun[1].Step + g.lastRun[2].Step + 2*testSteps
		for range rounds {
			for rank := range g.ranks {
				g.apply(rank, RankStepReady{})
				g.route(rank, g.ranks[rank].Tick())
			}
			g.deliverAll()
		}
		for rank, at := range g.lastRun {
			if at.Step < testSteps {
				t.Fatalf("rank %d is stuck at position %+v", rank, at)
			}
		}
	})
}

func TestCompetingFormationsRunOneMap(t *testing.T) {
	c := qt.New(t)
	g := newRankGroup()
	g.form(1, 1, 7)
	incarnations := []uint64{1, 1, 1}
	first := Proposal{Fencing: 1, Number: 2, Map: 8, At: Position{Generation: 2}, Incarnations: incarnations}
	second := Proposal{Fencing: 1, Number: 3, Map: 9, At: Position{Generation: 2}, Incarnations: incarnations}
	for _, rank := range g.ranks {
		rank.fetched[8], rank.fetched[9] = true, true
	}
	for rank, order := range [][]Proposal{{first, second}, {second, first}, {first, second}} {
		g.apply(rank, RankProposed{Proposal: order[0]})
		g.apply(rank, RankProposed{Proposal: order[1]})
	}
	g.deliverAll()
	for range 2 {
		for rank := range g.ranks {
			g.apply(rank, RankStepReady{})
			g.route(rank, g.ranks[rank].Tick())
		}
		g.deliverAll()
	}
	c.Assert(g.violation, qt.Equals, "")
}

// TestCoordinatorWithOlderClaimCanSwitch covers the failure of the coordinator with the
// newest claim, after which one with an older claim takes over.
func TestCoordinatorWithOlderClaimCanSwitch(t *testing.T) {
	c := qt.New(t)
	g := newRankGroup()
	g.form(1, 1, 7)
	incarnations := []uint64{1, 1, 1}
	for i, fencing := range []platform.Offset{9, 3} {
		next := g.ranks[0].Next()
		p := Proposal{Fencing: fencing, Number: 2, Map: MapVersion(8 + i), At: Position{Generation: 1, Step: next.Step + 1}, Incarnations: incarnations}
		for rank := range g.ranks {
			g.propose(p, rank)
		}
		g.deliverAll()
		for range 2 {
			for rank := range g.ranks {
				g.apply(rank, RankStepReady{})
			}
		}
		c.Assert(g.used[p.At], qt.Equals, p.Map)
	}
}
