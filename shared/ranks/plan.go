package ranks

import (
	"cmp"
	"math"
	"slices"
)

const (
	// maxCandidates bounds the experts of a set that are considered for another copy.
	// They are those whose copies take the most time; the others cannot dominate a
	// rank's load.
	maxCandidates = 20
	// minGain is the time that one more copy must save, as a fraction of the mean time
	// over all sets. Below it the copying costs more than the copy saves while it is in
	// use.
	minGain = 0.012
)

// Demand is the work of each expert, indexed by set and expert.
type Demand [][]float64

// Planner finds small changes to a map that lower the time of a pass, which is the
// sum over all sets of the load of the most loaded rank. The copies of an expert share
// its work evenly.
type Planner struct {
	// Places is the maximum number of experts that a rank holds in a set.
	Places int
	// MaxCopiesPerRank is how many experts a rank may copy for one switch, over all sets.
	MaxCopiesPerRank int
	// Pace is the relative time of each rank, as in Report; ranks beyond its length
	// run at their usual speed.
	Pace []float64
}

// mapBuilder holds a map that is being changed and the resulting loads.
type mapBuilder struct {
	experts Map
	copies  [][]int     // Number of copies by set and expert.
	loads   [][]float64 // By set and rank: the work of the rank's copies times its pace.
	work    Demand      // Scaled so that the mean work of a set's ranks is 1.
	pace    []float64
}

// Skew returns the ratio of the highest to the mean rank load, averaged over sets.
func Skew(m Map, d Demand) float64 {
	b := newMapBuilder(m, d, nil)
	sum := 0.0
	for set := range b.loads {
		sum += slices.Max(b.loads[set])
	}
	return sum / float64(max(1, len(b.loads)))
}

// newMapBuilder returns a builder that starts from a copy of the map.
func newMapBuilder(m Map, d Demand, pace []float64) *mapBuilder {
	b := &mapBuilder{experts: m.Clone(), work: make(Demand, len(m)), loads: make([][]float64, len(m)), copies: make([][]int, len(m)), pace: pace}
	for set := range m {
		sum := 0.0
		for _, w := range d[set] {
			sum += w
		}
		scale := float64(len(m[set])) / max(sum, 1)
		b.work[set] = make([]float64, len(d[set]))
		b.copies[set] = make([]int, len(d[set]))
		b.loads[set] = make([]float64, len(m[set]))
		for expert, w := range d[set] {
			b.work[set][expert] = w * scale
		}
		for _, experts := range m[set] {
			for _, expert := range experts {
				b.copies[set][expert]++
			}
		}
		for rank, experts := range m[set] {
			for _, expert := range experts {
				b.loads[set][rank] += b.loadPerCopy(set, expert, 0) * b.paceOf(rank)
			}
		}
	}
	return b
}

// paceOf returns the factor by which a rank is slower than usual, at least 1.
func (b *mapBuilder) paceOf(rank int) float64 {
	if rank < len(b.pace) && b.pace[rank] > 1 {
		return b.pace[rank]
	}
	return 1
}

// loadPerCopy returns the work of one copy after extraCopies are added to the expert.
func (b *mapBuilder) loadPerCopy(set, expert, extraCopies int) float64 {
	return b.work[set][expert] / float64(max(1, b.copies[set][expert]+extraCopies))
}

// change adds an expert to a rank, removes one from it, or replaces one by another.
// With a partner, the two ranks swap the experts.
type change struct {
	set, rank int
	add, drop int // -1 is none.
	// partner is the rank that holds add before the swap and drop after it, or -1.
	partner int
	// gain is the saved time per copied expert.
	gain float64
}

// Improve returns a map that suits the demand better than the current one, and the
// fraction of the experts' time that it saves. The map is nil if no change is worth its
// cost.
func (p *Planner) Improve(current Map, d Demand) (Map, float64) {
	b := newMapBuilder(current, d, p.Pace)
	before := b.cost()
	budget := make([]int, len(current[0]))
	for rank := range budget {
		budget[rank] = p.MaxCopiesPerRank
	}
	found := make([]change, len(current)) // The best change of each set, valid unless stale.
	stale := make([]bool, len(current))
	for set := range stale {
		stale[set] = true
	}
	changed := p.relieveSlowRanks(b)
	for {
		bestChange := change{}
		for set := range found {
			if stale[set] || !withinBudget(found[set], budget) {
				found[set], stale[set] = p.bestChange(b, current, budget, set), false
			}
			if found[set].gain > bestChange.gain {
				bestChange = found[set]
			}
		}
		if bestChange.gain < minGain*before/float64(len(current)) {
			break
		}
		b.apply(bestChange)
		stale[bestChange.set] = true
		budget[bestChange.rank]--
		if bestChange.partner >= 0 {
			budget[bestChange.partner]--
		}
		changed = true
	}
	if !changed {
		return nil, 0
	}
	p.relieveSlowRanks(b)
	return b.experts, 1 - b.cost()/before
}

// relieveSlowRanks removes copies from slow ranks if other ranks hold the same experts
// and the removal saves time. It copies nothing. Later plans fill the places again once
// the rank is back to its usual speed.
func (p *Planner) relieveSlowRanks(b *mapBuilder) (changed bool) {
	for set, loads := range b.loads {
		for rank := range loads {
			if b.paceOf(rank) == 1 {
				continue
			}
			for drop := p.worstCopy(b, set, rank); drop >= 0; drop = p.worstCopy(b, set, rank) {
				b.apply(change{set: set, rank: rank, add: -1, drop: drop, partner: -1})
				changed = true
			}
		}
	}
	return changed
}

// worstCopy returns the expert whose removal from a rank saves the most time, or -1 if
// no removal saves any. An expert with a single copy is never removed.
func (p *Planner) worstCopy(b *mapBuilder, set, rank int) int {
	sum := 0.0
	for _, load := range b.loads[set] {
		sum += eighthPower(load)
	}
	found, lowest := -1, sum
	for _, expert := range b.experts[set][rank] {
		if b.copies[set][expert] < 2 {
			continue
		}
		if after := b.powerSumAfter(sum, set, rank, -1, expert); after < lowest {
			found, lowest = expert, after
		}
	}
	return found
}

// withinBudget reports whether the ranks of a change may still copy an expert. It is
// also true for the empty change.
func withinBudget(c change, budget []int) bool {
	return c.gain == 0 || budget[c.rank] > 0 && (c.partner < 0 || budget[c.partner] > 0)
}

// cost returns the sum over all sets of the smoothed maximum load.
func (b *mapBuilder) cost() float64 {
	sum := 0.0
	for set := range b.loads {
		sum += smoothMax(b.loads[set])
	}
	return sum
}

// smoothMax approximates the maximum load by the 8-norm. Unlike the maximum, it also
// falls when only one of several equally loaded ranks gets less work.
func smoothMax(loads []float64) float64 {
	sum := 0.0
	for _, load := range loads {
		sum += eighthPower(load)
	}
	return eighthRoot(sum)
}

// eighthRoot returns the eighth root of x.
func eighthRoot(x float64) float64 { return math.Sqrt(math.Sqrt(math.Sqrt(x))) }

// eighthPower returns the eighth power of x.
func eighthPower(x float64) float64 {
	x *= x
	x *= x
	return x * x
}

// bestChange returns the change of a set that saves the most time per copied expert.
func (p *Planner) bestChange(b *mapBuilder, origin Map, budget []int, set int) change {
	bestChange := change{partner: -1}
	sum := 0.0
	for _, load := range b.loads[set] {
		sum += eighthPower(load)
	}
	current := smoothMax(b.loads[set])
	hot := b.hottest(set)
	for rank, left := range budget {
		if left == 0 {
			continue
		}
		droppable := p.droppable(b, origin, set, rank)
		for _, add := range hot {
			if slices.Contains(b.experts[set][rank], add) {
				continue
			}
			for _, drop := range droppable {
				gain := current - eighthRoot(b.powerSumAfter(sum, set, rank, add, drop))
				if gain > bestChange.gain {
					bestChange = change{set: set, rank: rank, add: add, drop: drop, partner: -1, gain: gain}
				}
			}
		}
	}
	if bestSwap := p.bestSwap(b, origin, budget, set); bestSwap.gain > bestChange.gain {
		return bestSwap
	}
	return bestChange
}

// bestSwap returns the best swap of two experts between the most loaded rank and
// another rank. Both ranks copy one expert, so the gain is halved. Experts that this
// plan added are not moved again.
func (p *Planner) bestSwap(b *mapBuilder, origin Map, budget []int, set int) change {
	best := change{partner: -1}
	loads := b.loads[set]
	busiest := 0
	for rank := range loads {
		if loads[rank] > loads[busiest] {
			busiest = rank
		}
	}
	if budget[busiest] == 0 {
		return best
	}
	sum := 0.0
	for _, load := range loads {
		sum += eighthPower(load)
	}
	current := eighthRoot(sum)
	for rank, left := range budget {
		if left == 0 || rank == busiest || loads[rank] >= loads[busiest] {
			continue
		}
		rest := sum - eighthPower(loads[busiest]) - eighthPower(loads[rank])
		for _, heavy := range b.experts[set][busiest] {
			if slices.Contains(b.experts[set][rank], heavy) || !slices.Contains(origin[set][busiest], heavy) {
				continue
			}
			for _, light := range b.experts[set][rank] {
				if slices.Contains(b.experts[set][busiest], light) || !slices.Contains(origin[set][rank], light) {
					continue
				}
				moved := b.loadPerCopy(set, heavy, 0) - b.loadPerCopy(set, light, 0)
				if moved <= 0 {
					continue
				}
				after := eighthRoot(rest + eighthPower(loads[busiest]-moved*b.paceOf(busiest)) + eighthPower(loads[rank]+moved*b.paceOf(rank)))
				if gain := (current - after) / 2; gain > best.gain {
					best = change{set: set, rank: rank, add: heavy, drop: light, partner: busiest, gain: gain}
				}
			}
		}
	}
	return best
}

// hottest returns the experts whose copies take the most time, measured on the slowest
// rank that holds one, in descending order.
func (b *mapBuilder) hottest(set int) []int {
	order := make([]int, len(b.work[set]))
	times := make([]float64, len(order))
	for expert := range order {
		order[expert], times[expert] = expert, b.loadPerCopy(set, expert, 0)
	}
	for rank, experts := range b.experts[set] {
		for _, expert := range experts {
			times[expert] = max(times[expert], b.loadPerCopy(set, expert, 0)*b.paceOf(rank))
		}
	}
	slices.SortFunc(order, func(x, y int) int { return cmp.Or(cmp.Compare(times[y], times[x]), x-y) })
	return order[:min(maxCandidates, len(order))]
}

// droppable returns the experts that a rank may replace in a set: -1 if it has a free
// place, otherwise up to two experts whose other copies have the least work after the
// removal. Copies that this plan added are excluded.
func (p *Planner) droppable(b *mapBuilder, origin Map, set, rank int) []int {
	held := b.experts[set][rank]
	if len(held) < p.Places {
		return []int{-1}
	}
	var spare []int
	for _, expert := range held {
		if b.copies[set][expert] > 1 && slices.Contains(origin[set][rank], expert) {
			spare = append(spare, expert)
		}
	}
	workPerRemainingCopy := func(expert int) float64 { return b.loadPerCopy(set, expert, -1) }
	slices.SortFunc(spare, func(x, y int) int { return cmp.Or(cmp.Compare(workPerRemainingCopy(x), workPerRemainingCopy(y)), x-y) })
	return spare[:min(2, len(spare))]
}

// powerSumAfter returns the sum of the eighth powers of a set's loads after a change.
// sum is the value before it; add or drop is -1 if there is none.
func (b *mapBuilder) powerSumAfter(sum float64, set, rank, add, drop int) float64 {
	loads := b.loads[set]
	var addBefore, addAfter float64
	if add >= 0 {
		addBefore, addAfter = b.loadPerCopy(set, add, 0), b.loadPerCopy(set, add, 1)
	}
	var dropBefore, dropAfter float64
	if drop >= 0 {
		dropBefore, dropAfter = b.loadPerCopy(set, drop, 0), b.loadPerCopy(set, drop, -1)
	}
	for r, experts := range b.experts[set] {
		delta := 0.0
		switch {
		case r == rank:
			delta = addAfter - dropBefore
		default:
			if add >= 0 && slices.Contains(experts, add) {
				delta += addAfter - addBefore
			}
			if drop >= 0 && slices.Contains(experts, drop) {
				delta += dropAfter - dropBefore
			}
		}
		if delta != 0 {
			sum += eighthPower(loads[r]+delta*b.paceOf(r)) - eighthPower(loads[r])
		}
	}
	return max(sum, 0)
}

// apply makes a change and updates the loads of its set.
func (b *mapBuilder) apply(c change) {
	b.replace(c.set, c.rank, c.drop, c.add)
	if c.partner >= 0 {
		b.replace(c.set, c.partner, c.add, c.drop)
	}
	for rank, experts := range b.experts[c.set] {
		b.loads[c.set][rank] = 0
		for _, expert := range experts {
			b.loads[c.set][rank] += b.loadPerCopy(c.set, expert, 0) * b.paceOf(rank)
		}
	}
}

// replace puts the expert add on a rank and removes drop from it; either is -1 if there
// is none.
func (b *mapBuilder) replace(set, rank, drop, add int) {
	held := b.experts[set][rank]
	if drop >= 0 {
		at := slices.Index(held, drop)
		held = slices.Delete(held, at, at+1)
		b.copies[set][drop]--
	}
	if add >= 0 {
		held = append(held, add)
		b.copies[set][add]++
	}
	b.experts[set][rank] = held
}
