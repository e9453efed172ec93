package control

import (
	"slices"
)

// maxBallots bounds the proposals that a rank remembers, unless the oldest is still
// undecided.
const maxBallots = 64

// ballot is a proposal and its known votes, indexed by rank.
type ballot struct {
	proposal Proposal
	votes    []Vote
}

// Rank decides which expert map each step of one rank in a lock-step group uses.
// A proposal takes effect only if every rank has armed it, that is, voted for it.
// Requiring unanimity does not reduce availability, because a step needs all ranks
// anyway. An armed rank holds before the proposal's position until it has all votes
// or one refusal.
//
// Example: ranks 0 and 1, and a proposal for step 8. Rank 0 arms at step 5, runs up to
// step 8 and holds. Rank 1 reaches step 8 without having received the proposal. Rank 0
// requests its vote; rank 1 has not voted and so must refuse, and both run step 8 with
// the old map.
type Rank struct {
	self        int
	incarnation uint64
	// next is the next step to begin; current is the map in use.
	next        Position
	current     MapVersion
	fetched     map[MapVersion]bool
	ballots     map[ProposalID]*ballot
	ballotOrder []ProposalID
	// open lists the armed ballots that are undecided, earliest position first.
	// Only a proposal that forms a later generation may be added to a non-empty list.
	open          []*ballot
	awaitingFetch *ballot
	holding       bool
	outputs       []RankOutput
}

// NewRank returns the state of a rank that has just started. It belongs to no
// generation and runs no step until its group has formed.
func NewRank(self int, incarnation uint64) *Rank {
	return &Rank{
		self:        self,
		incarnation: incarnation,
		fetched:     make(map[MapVersion]bool),
		ballots:     make(map[ProposalID]*ballot),
	}
}

// Next returns the position of the next step to begin.
func (r *Rank) Next() Position { return r.next }

// CurrentMap returns the version of the map in use.
func (r *Rank) CurrentMap() MapVersion { return r.current }

// Reduce applies one input and returns the resulting actions.
func (r *Rank) Reduce(input RankInput) []RankOutput {
	r.outputs = nil
	switch in := input.(type) {
	case RankProposed:
		r.onProposed(in.Proposal)
	case RankFetched:
		r.fetched[in.Map] = true
		r.voteOnFetched()
	case RankVoted:
		r.onVoted(in)
	case RankVoteRequested:
		r.onVoteRequested(in)
	case RankStepReady:
		r.onStepReady()
	}
	return r.outputs
}

// Tick requests missing votes again while the rank must hold.
func (r *Rank) Tick() []RankOutput {
	r.outputs = nil
	if r.mustHold() {
		r.requestMissingVotes()
	}
	return r.outputs
}

func (r *Rank) emit(o RankOutput) { r.outputs = append(r.outputs, o) }

func (r *Rank) onProposed(p Proposal) {
	if r.self >= len(p.Incarnations) || p.Incarnations[r.self] != r.incarnation {
		return // Addressed to another incarnation; a group that includes it cannot run steps.
	}
	b := r.ballot(p)
	if b.votes[r.self] != VoteNone {
		r.broadcastVote(b)
		return
	}
	r.refuseEarlierGeneration(&p)
	if !r.canArm(&p) {
		r.vote(b, VoteRefused)
		return
	}
	if !r.fetched[p.Map] {
		r.awaitingFetch = b
		r.emit(RankFetch{Map: p.Map})
		return
	}
	r.arm(b)
}

// refuseEarlierGeneration refuses the proposal that is waiting for its weights if p is
// of a later generation, since the earlier generation can run no further steps.
func (r *Rank) refuseEarlierGeneration(p *Proposal) {
	b := r.awaitingFetch
	if b == nil || p.At.Generation <= b.proposal.At.Generation {
		return
	}
	r.awaitingFetch = nil
	if b.votes[r.self] == VoteNone {
		r.vote(b, VoteRefused)
	}
}

// canArm reports whether the rank can still commit to hold before the proposal's
// position. The proposer's fencing token does not matter, because a coordinator with
// an older claim may take over.
func (r *Rank) canArm(p *Proposal) bool {
	if !r.next.Before(p.At) {
		return false
	}
	if r.awaitingFetch != nil && r.awaitingFetch.proposal.ID() != p.ID() {
		return false
	}
	if p.At.Generation == r.next.Generation {
		return r.next.Generation > 0 && len(r.open) == 0
	}
	if p.At.Step != 0 {
		return false
	}
	for _, b := range r.open {
		if p.At.Generation <= b.proposal.At.Generation {
			return false
		}
	}
	return true
}

func (r *Rank) arm(b *ballot) {
	r.open = append(r.open, b)
	r.awaitingFetch = nil
	r.vote(b, VoteArmed)
	r.resolveOpen()
}

func (r *Rank) vote(b *ballot, v Vote) {
	b.votes[r.self] = v
	r.broadcastVote(b)
}

func (r *Rank) broadcastVote(b *ballot) {
	for rank := range b.votes {
		if rank != r.self {
			r.sendVote(b, rank)
		}
	}
}

func (r *Rank) sendVote(b *ballot, rank int) {
	r.emit(RankSendVote{To: rank, Vote: RankVoted{
		Proposal: b.proposal.ID(), From: r.self, Incarnation: r.incarnation, Vote: b.votes[r.self],
	}})
}

// voteOnFetched votes on the proposal that was waiting for its weights, once they are
// loaded.
func (r *Rank) voteOnFetched() {
	b := r.awaitingFetch
	if b == nil || !r.fetched[b.proposal.Map] {
		return
	}
	if b.votes[r.self] != VoteNone {
		r.awaitingFetch = nil
		return
	}
	if !r.canArm(&b.proposal) {
		r.awaitingFetch = nil
		r.vote(b, VoteRefused)
		return
	}
	r.arm(b)
}

func (r *Rank) onVoted(in RankVoted) {
	b, ok := r.ballots[in.Proposal]
	if !ok || in.From < 0 || in.From >= len(b.votes) || b.proposal.Incarnations[in.From] != in.Incarnation {
		return // A later incarnation cannot vote for the one that the proposal names.
	}
	if b.votes[in.From] == VoteNone {
		b.votes[in.From] = in.Vote
	}
	r.resolveOpen()
}

// onVoteRequested replies to a rank that is holding. A rank that has not voted yet must
// refuse; otherwise two ranks that armed different proposals could deadlock.
func (r *Rank) onVoteRequested(in RankVoteRequested) {
	p := in.Proposal
	if r.self >= len(p.Incarnations) || p.Incarnations[r.self] != r.incarnation {
		return
	}
	b := r.ballot(p)
	if b.votes[r.self] == VoteNone {
		if r.awaitingFetch == b {
			r.awaitingFetch = nil
		}
		r.vote(b, VoteRefused)
		return
	}
	r.sendVote(b, in.From)
}

// onStepReady runs the next step or holds before it.
func (r *Rank) onStepReady() {
	r.refuseLate()
	r.resolveOpen()
	r.holding = true
	if r.mustHold() {
		r.emit(RankHoldStep{At: r.next})
		r.requestMissingVotes()
		return
	}
	r.runStep()
}

// refuseLate refuses a proposal whose position is reached before its weights are
// loaded.
func (r *Rank) refuseLate() {
	b := r.awaitingFetch
	if b == nil || r.next.Before(b.proposal.At) {
		return
	}
	r.awaitingFetch = nil
	if b.votes[r.self] == VoteNone {
		r.vote(b, VoteRefused)
	}
}

// mustHold reports whether the next step must wait, because the rank has no generation
// or the latest open proposal applies to the step. A proposal that forms a later
// generation stops the current one immediately.
func (r *Rank) mustHold() bool {
	if r.next.Generation == 0 {
		return true
	}
	b := r.latestOpen()
	if b == nil {
		return false
	}
	at := b.proposal.At
	return at.Generation > r.next.Generation || !r.next.Before(at)
}

// latestOpen returns the open ballot with the latest position, which is resolved first,
// or nil.
func (r *Rank) latestOpen() *ballot {
	if len(r.open) == 0 {
		return nil
	}
	return r.open[len(r.open)-1]
}

func (r *Rank) runStep() {
	r.holding = false
	r.emit(RankRunStep{At: r.next, Map: r.current})
	r.next.Step++
}

// resolveOpen drops the latest open proposals while they are refused and adopts the
// latest one if all ranks have armed it. It then runs the step that was held, unless
// it must still wait.
func (r *Rank) resolveOpen() {
	for b := r.latestOpen(); b != nil && slices.Contains(b.votes, VoteRefused); b = r.latestOpen() {
		r.open = r.open[:len(r.open)-1]
	}
	if b := r.latestOpen(); b != nil && !slices.Contains(b.votes, VoteNone) {
		r.adopt(b)
	}
	if r.holding && !r.mustHold() {
		r.runStep()
	}
}

// adopt switches to the proposal's position and map, unless the position is still
// ahead in the current generation. It discards all other open proposals, whose
// positions can no longer be reached.
func (r *Rank) adopt(b *ballot) {
	at := b.proposal.At
	if at.Generation == r.next.Generation && r.next.Before(at) {
		return
	}
	// A step that began in an earlier generation never completes, so no RankStepReady
	// will follow it.
	r.holding = r.holding || at.Generation > r.next.Generation
	r.open = nil
	r.next = at
	r.current = b.proposal.Map
}

func (r *Rank) requestMissingVotes() {
	b := r.latestOpen()
	if b == nil {
		return
	}
	for rank, v := range b.votes {
		if v == VoteNone {
			r.emit(RankRequestVote{To: rank, Proposal: b.proposal})
		}
	}
}

func (r *Rank) ballot(p Proposal) *ballot {
	if b, ok := r.ballots[p.ID()]; ok {
		return b
	}
	b := &ballot{proposal: p, votes: make([]Vote, len(p.Incarnations))}
	r.ballots[p.ID()] = b
	r.ballotOrder = append(r.ballotOrder, p.ID())
	r.evictBallots()
	return b
}

// evictBallots drops the oldest ballots above maxBallots. It stops at a ballot that is
// open or waiting for weights.
func (r *Rank) evictBallots() {
	for len(r.ballotOrder) > maxBallots {
		oldest := r.ballots[r.ballotOrder[0]]
		if slices.Contains(r.open, oldest) || oldest == r.awaitingFetch {
			return
		}
		delete(r.ballots, r.ballotOrder[0])
		r.ballotOrder = r.ballotOrder[1:]
	}
}
