package control

import "chervilswitch.example/shared/platform"

// MapVersion identifies an expert map of a group.
type MapVersion uint64

// Position identifies a step of a group. Each time the group forms again, such as
// after a rank restarted, it begins a later generation at step zero.
type Position struct {
	Generation uint64 `json:"generation"`
	Step       uint64 `json:"step"`
}

// Before reports whether p precedes other.
func (p Position) Before(other Position) bool {
	if p.Generation != other.Generation {
		return p.Generation < other.Generation
	}
	return p.Step < other.Step
}

// Proposal asks all ranks of a group to use a map from a position on. A proposal at
// step zero of a later generation forms the group again.
type Proposal struct {
	// Fencing is the fencing token of the proposer; Number is unique among its
	// proposals.
	Fencing platform.Offset `json:"fencing"`
	Number  uint64          `json:"number"`
	Map     MapVersion      `json:"map"`
	At      Position        `json:"at"`
	// Incarnations lists the incarnation of each rank, indexed by rank.
	Incarnations []uint64 `json:"incarnations"`
}

// ProposalID identifies a proposal.
type ProposalID struct {
	Fencing platform.Offset
	Number  uint64
}

// ID returns the proposal's identifier.
func (p *Proposal) ID() ProposalID { return ProposalID{Fencing: p.Fencing, Number: p.Number} }

// Vote is a rank's final answer to a proposal.
type Vote int

// The votes.
const (
	VoteNone Vote = iota
	VoteArmed
	VoteRefused
)

// RankInput is an input of a Rank. The set of implementations is closed.
type RankInput interface{ rankInput() }

// RankProposed delivers a coordinator's proposal.
type RankProposed struct{ Proposal Proposal }

// RankFetched reports that a map's weights are loaded, in addition to the current
// ones.
type RankFetched struct{ Map MapVersion }

// RankVoted delivers another rank's vote. Incarnation is that of the voter.
type RankVoted struct {
	Proposal    ProposalID
	From        int
	Incarnation uint64
	Vote        Vote
}

// RankVoteRequested asks for this rank's vote. The sender is holding before the
// proposal's position, so a rank that has not voted yet must refuse.
type RankVoteRequested struct {
	Proposal Proposal
	From     int
}

// RankStepReady reports that the engine is ready to begin the rank's next step.
type RankStepReady struct{}

func (RankProposed) rankInput()      {}
func (RankFetched) rankInput()       {}
func (RankVoted) rankInput()         {}
func (RankVoteRequested) rankInput() {}
func (RankStepReady) rankInput()     {}

// RankOutput is an action requested by a Rank. The set of implementations is closed.
type RankOutput interface{ rankOutput() }

// RankFetch requests a map's weights.
type RankFetch struct{ Map MapVersion }

// RankSendVote sends this rank's vote to another rank.
type RankSendVote struct {
	To   int
	Vote RankVoted
}

// RankRequestVote asks another rank for its vote. See RankVoteRequested.
type RankRequestVote struct {
	To       int
	Proposal Proposal
}

// RankRunStep orders the engine to run a step with a map.
type RankRunStep struct {
	At  Position
	Map MapVersion
}

// RankHoldStep reports that the rank holds before a step. The engine starts no step
// without RankRunStep.
type RankHoldStep struct{ At Position }

func (RankFetch) rankOutput()       {}
func (RankSendVote) rankOutput()    {}
func (RankRequestVote) rankOutput() {}
func (RankRunStep) rankOutput()     {}
func (RankHoldStep) rankOutput()    {}
