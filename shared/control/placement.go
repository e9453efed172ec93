package control

import (
	"cmp"
	"slices"
)

const (
	// balancedSkew is the ratio of the slowest to the mean rank time at or below
	// which no expert is moved.
	balancedSkew = 1.04
	// splitRounds is the number of passes that balance a split.
	splitRounds = 12
	// maxChangesPerPlan bounds the changes of one plan in a layer.
	maxChangesPerPlan = 96
	// minSquaresReduction is the least fraction by which a change must reduce the
	// sum of squares of the rank times.
	minSquaresReduction = 2e-4
	// maxCandidateRanks is how many of the fastest ranks are tried as destinations.
	maxCandidateRanks = 3
	// maxCandidateExperts is how many of the slowest rank's experts are tried.
	maxCandidateExperts = 4
)

// Placement lists the experts that each rank of a group holds in one layer, indexed
// by rank. An expert may have copies on several ranks, but only one per rank.
type Placement [][]int

// Demand is the load of a layer: the tokens routed to each expert, and the speed of
// each rank relative to the nominal speed, which is 1.
type Demand struct {
	Tokens []float64
	Speed  []float64
}

// Payback weighs the cost of moving experts against the time saved.
type Payback struct {
	// ExpertBytes is the size of one expert's weights in a layer.
	ExpertBytes float64
	// BytesPerStep is the throughput of the weight store, in bytes per step. Zero
	// means that moves are free.
	BytesPerStep float64
	// HorizonSteps is the number of steps within which a move must pay back.
	HorizonSteps float64
	// WindowSteps is the number of steps between two plans.
	WindowSteps float64
}

// NewPlacement distributes experts over ranks round-robin and fills the remaining
// slots with further copies in the same order.
func NewPlacement(ranks, experts, slots int) Placement {
	p := make(Placement, ranks)
	for i := range ranks * slots {
		round, expert := i/experts, i%experts
		rank := (i + round) % ranks // Each round is shifted by one rank, to separate copies.
		if !slices.Contains(p[rank], expert) && len(p[rank]) < slots {
			p[rank] = append(p[rank], expert)
		}
	}
	return p
}

// Clone returns a deep copy of the placement.
func (p Placement) Clone() Placement {
	c := make(Placement, len(p))
	for rank := range p {
		c[rank] = slices.Clone(p[rank])
	}
	return c
}

// Moved counts the expert copies that ranks hold in p but not in from.
func (p Placement) Moved(from Placement) int {
	moved := 0
	for rank := range p {
		for _, expert := range p[rank] {
			if !slices.Contains(from[rank], expert) {
				moved++
			}
		}
	}
	return moved
}

// Split divides each expert's tokens among the ranks that hold it.
type Split struct {
	holders [][]int
	share   [][]float64
	// Time is each rank's time for the layer: its tokens divided by its speed.
	Time []float64
}

// NewSplit divides the tokens to minimise the time of the slowest rank. It starts from
// an even split and, in splitRounds passes, moves tokens between the copies of an
// expert to equalise rank times.
//
// Example: expert 0 has 90 tokens and copies on ranks 0 and 1; expert 1 has 30 tokens
// and is on rank 1 only. An even split gives rank times of 45 and 75. One pass moves
// 15 tokens, after which both ranks take 60.
func NewSplit(p Placement, d Demand) *Split {
	s := NewEvenSplit(p, d)
	for range splitRounds {
		s.balance(d)
	}
	return s
}

// NewEvenSplit gives all copies of an expert the same number of tokens.
func NewEvenSplit(p Placement, d Demand) *Split {
	s := &Split{
		holders: make([][]int, len(d.Tokens)),
		share:   make([][]float64, len(d.Tokens)),
		Time:    make([]float64, len(p)),
	}
	for rank, experts := range p {
		for _, expert := range experts {
			s.holders[expert] = append(s.holders[expert], rank)
		}
	}
	for expert, holders := range s.holders {
		s.share[expert] = make([]float64, len(holders))
		for i, rank := range holders {
			s.share[expert][i] = d.Tokens[expert] / float64(len(holders))
			s.Time[rank] += s.share[expert][i] / d.Speed[rank]
		}
	}
	return s
}

// WithDemand returns the split applied to another demand: each expert's tokens are
// divided among its copies in the same proportions as in s.
func (s *Split) WithDemand(d Demand) *Split {
	served := &Split{holders: s.holders, share: make([][]float64, len(s.share)), Time: make([]float64, len(s.Time))}
	for expert, holders := range s.holders {
		planned := 0.0
		for _, tokens := range s.share[expert] {
			planned += tokens
		}
		served.share[expert] = make([]float64, len(holders))
		for i, rank := range holders {
			fraction := 1 / float64(len(holders))
			if planned > 0 {
				fraction = s.share[expert][i] / planned
			}
			served.share[expert][i] = fraction * d.Tokens[expert]
			served.Time[rank] += served.share[expert][i] / d.Speed[rank]
		}
	}
	return served
}

// balance moves tokens from the slowest to the fastest holder of each expert that
// has more than one copy.
func (s *Split) balance(d Demand) {
	for expert, holders := range s.holders {
		if len(holders) < 2 {
			continue
		}
		slow, fast := 0, 0
		for i, rank := range holders {
			if s.Time[rank] > s.Time[holders[slow]] {
				slow = i
			}
			if s.Time[rank] < s.Time[holders[fast]] {
				fast = i
			}
		}
		s.moveTokens(expert, slow, fast, d)
	}
}

// moveTokens moves enough tokens to equalise the times of two holders, or all that
// the slow one has.
func (s *Split) moveTokens(expert, slow, fast int, d Demand) {
	from, to := s.holders[expert][slow], s.holders[expert][fast]
	gap := s.Time[from] - s.Time[to]
	tokens := min(s.share[expert][slow], gap/(1/d.Speed[from]+1/d.Speed[to]))
	if tokens <= 0 {
		return
	}
	s.share[expert][slow] -= tokens
	s.share[expert][fast] += tokens
	s.Time[from] -= tokens / d.Speed[from]
	s.Time[to] += tokens / d.Speed[to]
}

// Slowest returns the time of the slowest rank.
func (s *Split) Slowest() float64 { return slices.Max(s.Time) }

// Skew returns the ratio of the slowest to the mean rank time, or 1 without load.
func (s *Split) Skew() float64 {
	sum := 0.0
	for _, t := range s.Time {
		sum += t
	}
	if sum == 0 {
		return 1
	}
	return s.Slowest() * float64(len(s.Time)) / sum
}

// LowerBound returns a lower bound of the slowest rank's time under any placement:
// the sum of all tokens divided by the sum of all speeds.
func (d Demand) LowerBound() float64 {
	tokens, speed := 0.0, 0.0
	for _, t := range d.Tokens {
		tokens += t
	}
	for _, v := range d.Speed {
		speed += v
	}
	return tokens / speed
}

// Improve applies single-expert changes to a placement while each one balances the
// rank times further. It returns the result if all changes together pay back within
// the horizon, and the current placement otherwise. A change gives one of the fastest
// ranks a copy of an expert of the slowest rank, either replacing an expert that has
// another copy or in exchange for an expert.
func Improve(current Placement, d Demand, payback Payback) Placement {
	best := current.Clone()
	split := NewSplit(best, d)
	before := split.Slowest()
	for range maxChangesPerPlan {
		if split.Skew() <= balancedSkew {
			break
		}
		next, nextSplit := bestChange(best, split, d)
		if next == nil || nextSplit.Slowest() > split.Slowest() || nextSplit.sumOfSquares() > (1-minSquaresReduction)*split.sumOfSquares() {
			break
		}
		best, split = next, nextSplit
	}
	if !payback.pays((before-split.Slowest())/before, best.Moved(current)) {
		return current
	}
	return best
}

// pays reports whether a saving, as a fraction of each step, outweighs its moves: the
// steps saved within the horizon must exceed the steps that fetching takes.
func (p Payback) pays(saving float64, moved int) bool {
	if p.BytesPerStep == 0 {
		return true
	}
	return saving*p.HorizonSteps > float64(moved)*p.ExpertBytes/p.BytesPerStep
}

// sumOfSquares returns the sum of the squared rank times. Unlike the slowest time, it
// decreases when the load of only one of several equally slow ranks decreases.
func (s *Split) sumOfSquares() float64 {
	sum := 0.0
	for _, t := range s.Time {
		sum += t * t
	}
	return sum
}

// bestChange tries to take load off the slowest rank. It returns the change with the
// lowest sum of squares and its split, or nil if no change is possible.
func bestChange(p Placement, split *Split, d Demand) (Placement, *Split) {
	order := ranksByTime(split.Time)
	slow := order[len(order)-1]
	var best Placement
	var bestSplit *Split
	consider := func(change Placement) {
		s := NewSplit(change, d)
		if bestSplit == nil || s.sumOfSquares() < bestSplit.sumOfSquares() {
			best, bestSplit = change, s
		}
	}
	for _, fast := range order[:min(maxCandidateRanks, len(order)-1)] {
		for _, expert := range heaviestExperts(p[slow], split, slow) {
			if slices.Contains(p[fast], expert) {
				continue
			}
			if i, ok := cheapestCopy(p[fast], split, d); ok {
				consider(withReplacement(p, fast, i, expert))
			}
			if i, ok := lightestExpert(p, split, fast, slow); ok {
				consider(withExchange(p, slow, expert, fast, i))
			}
		}
	}
	return best, bestSplit
}

// ranksByTime lists the ranks in ascending order of their times.
func ranksByTime(times []float64) []int {
	order := make([]int, len(times))
	for rank := range order {
		order[rank] = rank
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(times[a], times[b]) })
	return order
}

// heaviestExperts lists the experts with the most tokens on a rank, in descending
// order.
func heaviestExperts(experts []int, split *Split, rank int) []int {
	sorted := slices.Clone(experts)
	slices.SortFunc(sorted, func(a, b int) int {
		return cmp.Or(cmp.Compare(split.tokensOn(b, rank), split.tokensOn(a, rank)), a-b)
	})
	return sorted[:min(maxCandidateExperts, len(sorted))]
}

// tokensOn returns the tokens of an expert that a rank processes.
func (s *Split) tokensOn(expert, rank int) float64 {
	i := slices.Index(s.holders[expert], rank)
	if i < 0 {
		return 0
	}
	return s.share[expert][i]
}

// cheapestCopy returns the index of the expert that has another copy and the fewest
// tokens per copy.
func cheapestCopy(experts []int, split *Split, d Demand) (int, bool) {
	found, least := -1, 0.0
	for i, expert := range experts {
		copies := len(split.holders[expert])
		if copies < 2 {
			continue
		}
		if cost := d.Tokens[expert] / float64(copies); found < 0 || cost < least {
			found, least = i, cost
		}
	}
	return found, found >= 0
}

// lightestExpert returns the index of the expert with the fewest tokens on a rank,
// among those that the other rank lacks.
func lightestExpert(p Placement, split *Split, rank, other int) (int, bool) {
	found, least := -1, 0.0
	for i, expert := range p[rank] {
		if slices.Contains(p[other], expert) {
			continue
		}
		if tokens := split.tokensOn(expert, rank); found < 0 || tokens < least {
			found, least = i, tokens
		}
	}
	return found, found >= 0
}

func withReplacement(p Placement, rank, i, expert int) Placement {
	c := p.Clone()
	c[rank][i] = expert
	return c
}

func withExchange(p Placement, slow, expert, fast, i int) Placement {
	c := p.Clone()
	j := slices.Index(c[slow], expert)
	c[slow][j], c[fast][i] = c[fast][i], c[slow][j]
	return c
}

// GreedyPlacement plans without regard to a current placement. It adds copies of the
// expert with the most tokens per copy until the slots are full, and then assigns the
// copies, heaviest first, to the rank that would finish earliest.
func GreedyPlacement(ranks, slots int, d Demand) Placement {
	copies := make([]int, len(d.Tokens))
	for i := range copies {
		copies[i] = 1
	}
	for range ranks*slots - len(d.Tokens) {
		most := -1
		for expert := range copies {
			if copies[expert] < ranks && (most < 0 || d.Tokens[expert]/float64(copies[expert]) > d.Tokens[most]/float64(copies[most])) {
				most = expert
			}
		}
		copies[most]++
	}
	order := make([]int, 0, ranks*slots)
	for expert, count := range copies {
		for range count {
			order = append(order, expert)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(d.Tokens[b]/float64(copies[b]), d.Tokens[a]/float64(copies[a])), a-b)
	})
	return pack(order, copies, ranks, slots, d)
}

func pack(order, copies []int, ranks, slots int, d Demand) Placement {
	p := make(Placement, ranks)
	times := make([]float64, ranks)
	for _, expert := range order {
		tokens := d.Tokens[expert] / float64(copies[expert])
		best := -1
		for rank := range p {
			if len(p[rank]) == slots || slices.Contains(p[rank], expert) {
				continue
			}
			if best < 0 || times[rank]+tokens/d.Speed[rank] < times[best]+tokens/d.Speed[best] {
				best = rank
			}
		}
		if best < 0 {
			continue // Every rank with a free slot already has a copy.
		}
		p[best] = append(p[best], expert)
		times[best] += tokens / d.Speed[best]
	}
	return p
}
