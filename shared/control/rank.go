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
	next    Position
	current MapVersion
	ready   map[MapVersion]bool
	ballots map[ProposalID]*ballot
	order   []ProposalID
	// open are the armed ballots that are not settled, earliest position first.
	// Only a proposal that forms a later generation may join others there.
	open     []*ballot
	waiting  *ballot
	holding  bool
	outgoing []RankOutput
}

// NewRank gives a rank that has just started: it belongs to no generation and
// runs no step until its group has formed.
func NewRank(self int, incarnation uint64) *Rank {
	return &Rank{
		self:        self,
		incarnation: incarnation,
		ready:       make(map[MapVersion]bool),
		ballots:     make(map[ProposalID]*ballot),
	}
}

// Next is the position of the step that the rank has not begun.
func (r *Rank) Next() Position { return r.next }

// Current is the map that the rank uses.
func (r *Rank) Current() MapVersion { return r.current }

// Reduce applies one input.
func (r *Rank) Reduce(input RankInput) []RankOutput {
	r.outgoing = nil
	switch in := input.(type) {
	case RankProposed:
		r.onProposed(in.Proposal)
	case RankFetched:
		r.ready[in.Map] = true
		r.answerWaiting()
	case RankVoted:
		r.onVoted(in)
	case RankAsked:
		r.onAsked(in)
	case RankReached:
		r.onReached()
	}
	return r.outgoing
}

// Tick asks again for votes that a holding rank lacks.
func (r *Rank) Tick() []RankOutput {
	r.outgoing = nil
	if r.mustHold() {
		r.askMissing()
	}
	return r.outgoing
}

func (r *Rank) out(o RankOutput) { r.outgoing = append(r.outgoing, o) }

func (r *Rank) onProposed(p Proposal) {
	if r.self >= len(p.Incarnations) || p.Incarnations[r.self] != r.incarnation {
		return // Meant for an earlier incarnation; its group cannot step.
	}
	b := r.ballot(p)
	if b.votes[r.self] != VoteNone {
		r.tellAll(b)
		return
	}
	r.giveWay(&p)
	if !r.mayArm(&p) {
		r.vote(b, VoteRefused)
		return
	}
	if !r.ready[p.Map] {
		r.waiting = b
		r.out(RankFetch{Map: p.Map})
		return
	}
	r.arm(b)
}

// giveWay refuses a proposal whose weights are awaited when a later generation
// is proposed: the present one can step no more.
func (r *Rank) giveWay(p *Proposal) {
	b := r.waiting
	if b == nil || p.At.Generation <= b.proposal.At.Generation {
		return
	}
	r.waiting = nil
	if b.votes[r.self] == VoteNone {
		r.vote(b, VoteRefused)
	}
}

// mayArm tells whether the rank can still promise to hold before a position. It
// does not matter who proposes: a coordinator with an older claim may take over.
func (r *Rank) mayArm(p *Proposal) bool {
	if !r.next.Before(p.At) {
		return false
	}
	if r.waiting != nil && r.waiting.proposal.ID() != p.ID() {
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
	r.waiting = nil
	r.vote(b, VoteArmed)
	r.settle()
}

func (r *Rank) vote(b *ballot, v Vote) {
	b.votes[r.self] = v
	r.tellAll(b)
}

func (r *Rank) tellAll(b *ballot) {
	for rank := range b.votes {
		if rank != r.self {
			r.tell(b, rank)
		}
	}
}

func (r *Rank) tell(b *ballot, rank int) {
	r.out(RankTell{To: rank, Vote: RankVoted{
		Proposal: b.proposal.ID(), From: r.self, Incarnation: r.incarnation, Vote: b.votes[r.self],
	}})
}

// answerWaiting answers a proposal whose weights have arrived.
func (r *Rank) answerWaiting() {
	b := r.waiting
	if b == nil || !r.ready[b.proposal.Map] {
		return
	}
	if b.votes[r.self] != VoteNone {
		r.waiting = nil
		return
	}
	if !r.mayArm(&b.proposal) {
		r.waiting = nil
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
	r.settle()
}

// onAsked answers a holder. A rank that has not answered yet must refuse: two
// proposals armed crosswise would else hold each other for good.
func (r *Rank) onAsked(in RankAsked) {
	p := in.Proposal
	if r.self >= len(p.Incarnations) || p.Incarnations[r.self] != r.incarnation {
		return
	}
	b := r.ballot(p)
	if b.votes[r.self] == VoteNone {
		if r.waiting == b {
			r.waiting = nil
		}
		r.vote(b, VoteRefused)
		return
	}
	r.tell(b, in.From)
}

// onReached begins the next step, or holds before it.
func (r *Rank) onReached() {
	r.refuseReached()
	r.settle()
	r.holding = true
	if r.mustHold() {
		r.out(RankHold{At: r.next})
		r.askMissing()
		return
	}
	r.begin()
}

// refuseReached refuses a proposal whose position came before its weights.
func (r *Rank) refuseReached() {
	b := r.waiting
	if b == nil || r.next.Before(b.proposal.At) {
		return
	}
	r.waiting = nil
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
	b := r.top()
	if b == nil {
		return false
	}
	at := b.proposal.At
	return at.Generation > r.next.Generation || !r.next.Before(at)
}

// top is the open ballot with the latest position, which is settled first.
func (r *Rank) top() *ballot {
	if len(r.open) == 0 {
		return nil
	}
	return r.open[len(r.open)-1]
}

func (r *Rank) begin() {
	r.holding = false
	r.out(RankGo{At: r.next, Map: r.current})
	r.next.Step++
}

// settle applies the results of open proposals as soon as they are certain.
func (r *Rank) settle() {
	for b := r.top(); b != nil && slices.Contains(b.votes, VoteRefused); b = r.top() {
		r.open = r.open[:len(r.open)-1]
	}
	if b := r.top(); b != nil && !slices.Contains(b.votes, VoteNone) {
		r.adopt(b)
	}
	if r.holding && !r.mustHold() {
		r.begin()
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

func (r *Rank) askMissing() {
	b := r.top()
	if b == nil {
		return
	}
	for rank, v := range b.votes {
		if v == VoteNone {
			r.out(RankAsk{To: rank, Proposal: b.proposal})
		}
	}
}

func (r *Rank) ballot(p Proposal) *ballot {
	if b, ok := r.ballots[p.ID()]; ok {
		return b
	}
	b := &ballot{proposal: p, votes: make([]Vote, len(p.Incarnations))}
	r.ballots[p.ID()] = b
	r.order = append(r.order, p.ID())
	r.forget()
	return b
}

// forget drops the oldest decided ballots, never one that is still open.
func (r *Rank) forget() {
	for len(r.order) > maxBallots {
		oldest := r.ballots[r.order[0]]
		if slices.Contains(r.open, oldest) || oldest == r.waiting {
			return
		}
		delete(r.ballots, r.order[0])
		r.order = r.order[1:]
	}
}
