package control

import "chervilswitch.example/shared/platform"

// MapVersion names one expert map of a group.
type MapVersion uint64

// Position is a step of a group. Each time the group forms anew, after a rank
// restarted, it begins another generation at step zero.
type Position struct {
	Generation uint64 `json:"generation"`
	Step       uint64 `json:"step"`
}

// Before reports whether one position comes before another.
func (p Position) Before(other Position) bool {
	if p.Generation != other.Generation {
		return p.Generation < other.Generation
	}
	return p.Step < other.Step
}

// Proposal asks all ranks of a group to use a map from a position on. The first
// position of a later generation forms the group anew.
type Proposal struct {
	// Fencing is the offset of the proposer's claim; Number tells its proposals apart.
	Fencing platform.Offset `json:"fencing"`
	Number  uint64          `json:"number"`
	Map     MapVersion      `json:"map"`
	At      Position        `json:"at"`
	// Incarnations names each rank's incarnation, by rank.
	Incarnations []uint64 `json:"incarnations"`
}

// ProposalID tells proposals apart.
type ProposalID struct {
	Fencing platform.Offset
	Number  uint64
}

// ID is the proposal's identity.
func (p *Proposal) ID() ProposalID { return ProposalID{Fencing: p.Fencing, Number: p.Number} }

// Vote is a rank's answer to a proposal, given once.
type Vote int

// The votes.
const (
	VoteNone Vote = iota
	VoteArmed
	VoteRefused
)

// RankInput is what reaches a rank. The set is closed.
type RankInput interface{ rankInput() }

// RankProposed is a proposal from a coordinator.
type RankProposed struct{ Proposal Proposal }

// RankFetched says that a map's weights are ready beside the old ones.
type RankFetched struct{ Map MapVersion }

// RankVoted is another rank's vote. Incarnation is the voter's.
type RankVoted struct {
	Proposal    ProposalID
	From        int
	Incarnation uint64
	Vote        Vote
}

// RankVoteRequested is the last call of a rank that holds for a proposal.
type RankVoteRequested struct {
	Proposal Proposal
	From     int
}

// RankStepReady says that the engine wants to begin the rank's next step.
type RankStepReady struct{}

func (RankProposed) rankInput()      {}
func (RankFetched) rankInput()       {}
func (RankVoted) rankInput()         {}
func (RankVoteRequested) rankInput() {}
func (RankStepReady) rankInput()     {}

// RankOutput is what a rank wants done. The set is closed.
type RankOutput interface{ rankOutput() }

// RankFetch asks for a map's weights.
type RankFetch struct{ Map MapVersion }

// RankSendVote sends this rank's vote to another rank.
type RankSendVote struct {
	To   int
	Vote RankVoted
}

// RankRequestVote sends the last call to another rank.
type RankRequestVote struct {
	To       int
	Proposal Proposal
}

// RankRunStep lets the engine run a step on a map.
type RankRunStep struct {
	At  Position
	Map MapVersion
}

// RankHoldStep keeps the engine before a step.
type RankHoldStep struct{ At Position }

func (RankFetch) rankOutput()       {}
func (RankSendVote) rankOutput()    {}
func (RankRequestVote) rankOutput() {}
func (RankRunStep) rankOutput()     {}
func (RankHoldStep) rankOutput()    {}
