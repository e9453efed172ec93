package control

import (
	"cmp"
	"slices"
)

const (
	// balancedSkew is the slowest over the mean rank time at which nothing is moved.
	balancedSkew = 1.04
	// splitRounds is how often the split among copies is improved.
	splitRounds = 12
	// maxChangesPerPlan bounds the changes that one plan makes in a layer.
	maxChangesPerPlan = 96
	// minSquaresReduction is the least part by which a change must lower the sum of the
	// squares of the ranks' times.
	minSquaresReduction = 2e-4
	// maxCandidateRanks is how many of the fastest ranks are tried.
	maxCandidateRanks = 3
	// maxCandidateExperts is how many experts of the slowest rank are tried.
	maxCandidateExperts = 4
)

// Placement says which experts each rank of a group holds in one layer, by rank.
// An expert may stand on several ranks, once on each.
type Placement [][]int

// Demand is what a layer must serve: the tokens of each expert and the speed of
// each rank, where one is the usual speed.
type Demand struct {
	Tokens []float64
	Speed  []float64
}

// Payback weighs a move's cost against what it saves.
type Payback struct {
	// ExpertBytes is the size of one expert's weights in a layer.
	ExpertBytes float64
	// BytesPerStep is what the weight store lets through in the time of one step.
	BytesPerStep float64
	// HorizonSteps is the horizon within which a move must pay.
	HorizonSteps float64
	// WindowSteps is the time from one plan to the next.
	WindowSteps float64
}

// NewPlacement spreads experts over ranks in turn, and fills the other slots
// with second copies in the same order.
func NewPlacement(ranks, experts, slots int) Placement {
	p := make(Placement, ranks)
	for i := range ranks * slots {
		round, expert := i/experts, i%experts
		rank := (i + round) % ranks // A second copy goes to the next rank.
		if !slices.Contains(p[rank], expert) && len(p[rank]) < slots {
			p[rank] = append(p[rank], expert)
		}
	}
	return p
}

// Clone copies the placement.
func (p Placement) Clone() Placement {
	c := make(Placement, len(p))
	for rank := range p {
		c[rank] = slices.Clone(p[rank])
	}
	return c
}

// Moved counts the experts that a rank holds in one placement and not in the other.
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

// Split is how each expert's tokens are divided among the ranks that hold it.
type Split struct {
	holders [][]int
	share   [][]float64
	// Time is each rank's time for the layer: its tokens over its speed.
	Time []float64
}

// NewSplit divides the tokens so that the slowest rank is as fast as the
// placement lets it be, by moving tokens between an expert's copies round by
// round towards equal times.
//
// Worked example: expert 0 has 90 tokens and stands on ranks 0 and 1; expert 1
// has 30 and stands on rank 1. An even split gives 45 and 75; one round moves 15
// tokens and both ranks take 60.
func NewSplit(p Placement, d Demand) *Split {
	s := NewEvenSplit(p, d)
	for range splitRounds {
		s.balance(d)
	}
	return s
}

// NewEvenSplit gives each copy of an expert the same tokens.
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

// WithDemand gives the times when other tokens come than the split was made for,
// with each expert's tokens divided in the same proportions.
func (s *Split) WithDemand(d Demand) *Split {
	served := &Split{holders: s.holders, share: make([][]float64, len(s.share)), Time: make([]float64, len(s.Time))}
	for expert, holders := range s.holders {
		planned := 0.0
		for _, tokens := range s.share[expert] {
			planned += tokens
		}
		served.share[expert] = make([]float64, len(holders))
		for i, rank := range holders {
			part := 1 / float64(len(holders))
			if planned > 0 {
				part = s.share[expert][i] / planned
			}
			served.share[expert][i] = part * d.Tokens[expert]
			served.Time[rank] += served.share[expert][i] / d.Speed[rank]
		}
	}
	return served
}

// balance evens out the holders of each expert that has more than one copy.
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

// moveTokens moves as many tokens as make two holders' times equal.
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

// Slowest is the time of the slowest rank.
func (s *Split) Slowest() float64 { return slices.Max(s.Time) }

// Skew is the slowest over the mean rank time.
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

// LowerBound is the least time that any placement gives the slowest rank: all
// tokens spread over all speeds.
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

// Improve changes a placement by single experts, as long as each change evens
// out the ranks' times, and returns the result if all of it pays back within the
// horizon. A change gives one of the fastest ranks a copy of an expert of the
// slowest rank, in place of one that can be spared or exchanged.
func Improve(current Placement, d Demand, pay Payback) Placement {
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
	if !pay.pays((before-split.Slowest())/before, best.Moved(current)) {
		return current
	}
	return best
}

// pays tells whether a saving, as a part of each step, is worth its moves: the
// steps it saves within the horizon against the steps that the fetch takes.
func (p Payback) pays(part float64, moved int) bool {
	if p.BytesPerStep == 0 {
		return true
	}
	return part*p.HorizonSteps > float64(moved)*p.ExpertBytes/p.BytesPerStep
}

// sumOfSquares is the sum of the squares of the ranks' times: unlike the slowest
// time, it falls with each of several equally slow ranks that is relieved.
func (s *Split) sumOfSquares() float64 {
	sum := 0.0
	for _, t := range s.Time {
		sum += t * t
	}
	return sum
}

// bestChange tries the changes that relieve the slowest rank.
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

// ranksByTime lists the ranks, fastest first.
func ranksByTime(times []float64) []int {
	order := make([]int, len(times))
	for rank := range order {
		order[rank] = rank
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(times[a], times[b]) })
	return order
}

// heaviestExperts lists a rank's experts with the most tokens there.
func heaviestExperts(experts []int, split *Split, rank int) []int {
	sorted := slices.Clone(experts)
	slices.SortFunc(sorted, func(a, b int) int {
		return cmp.Or(cmp.Compare(split.tokensOn(b, rank), split.tokensOn(a, rank)), a-b)
	})
	return sorted[:min(maxCandidateExperts, len(sorted))]
}

// tokensOn is the tokens of an expert on a rank.
func (s *Split) tokensOn(expert, rank int) float64 {
	i := slices.Index(s.holders[expert], rank)
	if i < 0 {
		return 0
	}
	return s.share[expert][i]
}

// cheapestCopy finds the expert with another copy whose loss costs least.
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

// lightestExpert finds the expert of a rank with the fewest tokens that another rank lacks.
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

// GreedyPlacement plans from nothing: it copies the experts with the most tokens
// a copy until the slots are full, and gives each copy, heaviest first, to the
// rank that is done soonest.
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
			continue // Every rank with room has a copy already.
		}
		p[best] = append(p[best], expert)
		times[best] += tokens / d.Speed[best]
	}
	return p
}
