package control

import (
	"slices"
)

// maxBallots bounds the decided proposals that a rank remembers.
const maxBallots = 64

// ballot is one proposal with the votes that this rank knows.
type ballot struct {
	proposal Proposal
	votes    []Vote
}

// Rank decides for one rank of a lock-step group which map each step uses.
// Since a step needs all ranks, asking for unanimity costs nothing extra: a
// proposal holds only if every rank armed it, and an armed rank waits before
// the proposal's position until it knows all votes or one refusal.
//
// Worked example: ranks 0 and 1, a proposal from step 8. Rank 0 arms at step 5,
// runs on to 8 and holds. Rank 1 reached 8 without having heard of it. Rank 0
// asks; rank 1 has not answered, so it must refuse, and both run 8 on the old
// map.
type Rank struct {
	self        int
	incarnation uint64
	// next is the step that has not begun; current is the map in use.
	next        Position
	current     MapVersion
	fetched     map[MapVersion]bool
	ballots     map[ProposalID]*ballot
	ballotOrder []ProposalID
	// open are the armed ballots that are not settled, earliest position first.
	// Only a proposal that forms a later generation may join others there.
	open          []*ballot
	awaitingFetch *ballot
	holding       bool
	outputs       []RankOutput
}

// NewRank gives a rank that has just started: it belongs to no generation and
// runs no step until its group has formed.
func NewRank(self int, incarnation uint64) *Rank {
	return &Rank{
		self:        self,
		incarnation: incarnation,
		fetched:     make(map[MapVersion]bool),
		ballots:     make(map[ProposalID]*ballot),
	}
}

// Next is the position of the step that the rank has not begun.
func (r *Rank) Next() Position { return r.next }

// CurrentMap is the map that the rank uses.
func (r *Rank) CurrentMap() MapVersion { return r.current }

// Reduce applies one input.
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

// Tick asks again for votes that a holding rank lacks.
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
		return // Meant for an earlier incarnation; its group cannot step.
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

// refuseEarlierGeneration refuses a proposal whose weights are awaited when a later generation
// is proposed: the present one can step no more.
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

// canArm tells whether the rank can still promise to hold before a position. It
// does not matter who proposes: a coordinator with an older claim may take over.
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

// voteOnFetched answers a proposal whose weights have arrived.
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
		return // A later incarnation cannot speak for the one that was named.
	}
	if b.votes[in.From] == VoteNone {
		b.votes[in.From] = in.Vote
	}
	r.resolveOpen()
}

// onVoteRequested answers a holder. A rank that has not answered yet must refuse: two
// proposals armed crosswise would else hold each other for good.
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

// onStepReady begins the next step, or holds before it.
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

// refuseLate refuses a proposal whose position came before its weights.
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

// mustHold tells whether the next step must wait: the rank has no generation,
// or an open proposal concerns the step. One that forms a generation ends the
// present one at once.
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

// latestOpen is the open ballot with the latest position, which is settled first.
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

// resolveOpen applies the results of open proposals as soon as they are certain.
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

// adopt uses the map once its position is next. Earlier open proposals concern
// positions that are never reached any more.
func (r *Rank) adopt(b *ballot) {
	at := b.proposal.At
	if at.Generation == r.next.Generation && r.next.Before(at) {
		return
	}
	// A step of an older generation that has begun can never end.
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

// evictBallots drops the oldest decided ballots, never one that is still open.
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
