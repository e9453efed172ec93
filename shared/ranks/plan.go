package ranks

import (
	"cmp"
	"math"
	"slices"
)

const (
	// candidates is how many experts of a set, those with the most work a copy,
	// are tried for another copy; the others cannot be a rank's largest part.
	candidates = 20
	// leastGain is the least part of a set's time that one more copy must save.
	// Below it the copying costs more than it saves in its time.
	leastGain = 0.012
)

// Demand is the work of each expert: by set, then by expert.
type Demand [][]float64

// Planner finds maps with a few changes that lower the time of a pass: the sum,
// over sets, of the most loaded rank's part. Copies of an expert share its work
// evenly.
type Planner struct {
	// Places is how many experts a rank holds in a set, at most.
	Places int
	// MaxCopiesPerRank is how many experts a rank may copy for one switch, over all sets.
	MaxCopiesPerRank int
	// Pace is each rank's slowness; empty means that all are at their usual speed.
	Pace []float64
}

// board is a map under change with the loads that follow from it.
type board struct {
	experts Map
	copies  [][]int     // By set and expert.
	loads   [][]float64 // By set and rank, where 1 is the mean.
	work    Demand      // Scaled so that a set's mean rank load is 1.
	pace    []float64
}

// Skew is the most loaded rank's part over the mean, averaged over sets.
func Skew(m Map, d Demand) float64 {
	b := newBoard(m, d, nil)
	sum := 0.0
	for set := range b.loads {
		sum += slices.Max(b.loads[set])
	}
	return sum / float64(max(1, len(b.loads)))
}

func newBoard(m Map, d Demand, pace []float64) *board {
	b := &board{experts: m.Clone(), work: make(Demand, len(m)), loads: make([][]float64, len(m)), copies: make([][]int, len(m)), pace: pace}
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
				b.loads[set][rank] += b.share(set, expert, 0) * b.slowness(rank)
			}
		}
	}
	return b
}

func (b *board) slowness(rank int) float64 {
	if rank < len(b.pace) && b.pace[rank] > 1 {
		return b.pace[rank]
	}
	return 1
}

// share is the work of one copy if the number of copies changes.
func (b *board) share(set, expert, more int) float64 {
	return b.work[set][expert] / float64(max(1, b.copies[set][expert]+more))
}

// change is one expert more on a rank, in the place of another or in a free one.
type change struct {
	set, rank int
	add, drop int // drop is -1 for a free place.
	// giver exchanges the two experts with the rank; -1 if it keeps its copy.
	giver int
	// gain is the time saved for each expert that is copied.
	gain float64
}

// Improve changes a map for the demand, and returns the new map with the part of
// the experts' time that it saves. The map is nil if no change pays.
func (p *Planner) Improve(current Map, d Demand) (Map, float64) {
	b := newBoard(current, d, p.Pace)
	before := b.cost()
	budget := make([]int, len(current[0]))
	for rank := range budget {
		budget[rank] = p.MaxCopiesPerRank
	}
	found := make([]change, len(current)) // The best change of each set.
	stale := make([]bool, len(current))
	for set := range stale {
		stale[set] = true
	}
	changed := p.relieve(b)
	for {
		best := change{}
		for set := range found {
			if stale[set] || !allowed(found[set], budget) {
				found[set], stale[set] = p.best(b, current, budget, set), false
			}
			if found[set].gain > best.gain {
				best = found[set]
			}
		}
		if best.gain < leastGain*before/float64(len(current)) {
			break
		}
		b.apply(best)
		stale[best.set] = true
		budget[best.rank]--
		if best.giver >= 0 {
			budget[best.giver]--
		}
		changed = true
	}
	if !changed {
		return nil, 0
	}
	p.relieve(b)
	return b.experts, 1 - b.cost()/before
}

// relieve takes copies off slow ranks where others hold the same experts. It copies
// nothing; the places are filled again when the rank is back to its usual speed.
func (p *Planner) relieve(b *board) (changed bool) {
	for set, loads := range b.loads {
		for rank := range loads {
			if b.slowness(rank) == 1 {
				continue
			}
			for drop := p.leastUse(b, set, rank); drop >= 0; drop = p.leastUse(b, set, rank) {
				b.apply(change{set: set, rank: rank, add: -1, drop: drop, giver: -1})
				changed = true
			}
		}
	}
	return changed
}

// leastUse is the expert of a rank whose copy costs most time, or -1 if every one
// saves some.
func (p *Planner) leastUse(b *board, set, rank int) int {
	sum := 0.0
	for _, load := range b.loads[set] {
		sum += power(load)
	}
	found, least := -1, sum
	for _, expert := range b.experts[set][rank] {
		if b.copies[set][expert] < 2 {
			continue
		}
		if after := b.powersAfter(sum, set, rank, -1, expert); after < least {
			found, least = expert, after
		}
	}
	return found
}

// allowed reports whether the ranks of a change may still copy an expert.
func allowed(c change, budget []int) bool {
	return c.gain == 0 || budget[c.rank] > 0 && (c.giver < 0 || budget[c.giver] > 0)
}

// cost is the sum of each set's smoothed largest load.
func (b *board) cost() float64 {
	sum := 0.0
	for set := range b.loads {
		sum += smoothMax(b.loads[set])
	}
	return sum
}

// smoothMax is close to the largest load, and falls also when one of several
// equally loaded ranks is relieved.
func smoothMax(loads []float64) float64 {
	sum := 0.0
	for _, load := range loads {
		sum += power(load)
	}
	return root(sum)
}

// root is the eighth root.
func root(x float64) float64 { return math.Sqrt(math.Sqrt(math.Sqrt(x))) }

// power is the eighth power.
func power(x float64) float64 {
	x *= x
	x *= x
	return x * x
}

// best finds the change of a set that saves most for each expert that is copied.
func (p *Planner) best(b *board, origin Map, budget []int, set int) change {
	best := change{giver: -1}
	sum := 0.0
	for _, load := range b.loads[set] {
		sum += power(load)
	}
	current := smoothMax(b.loads[set])
	hot := b.hottest(set)
	for rank, left := range budget {
		if left == 0 {
			continue
		}
		drops := p.drops(b, origin, set, rank)
		for _, add := range hot {
			if slices.Contains(b.experts[set][rank], add) {
				continue
			}
			for _, drop := range drops {
				gain := current - root(b.powersAfter(sum, set, rank, add, drop))
				if gain > best.gain {
					best = change{set: set, rank: rank, add: add, drop: drop, giver: -1, gain: gain}
				}
			}
		}
	}
	if exchange := p.exchange(b, origin, budget, set); exchange.gain > best.gain {
		return exchange
	}
	return best
}

// exchange finds the best exchange of single copies between the most loaded rank
// and another one. It copies two experts.
func (p *Planner) exchange(b *board, origin Map, budget []int, set int) change {
	best := change{giver: -1}
	loads := b.loads[set]
	slow := 0
	for rank := range loads {
		if loads[rank] > loads[slow] {
			slow = rank
		}
	}
	if budget[slow] == 0 {
		return best
	}
	sum := 0.0
	for _, load := range loads {
		sum += power(load)
	}
	current := root(sum)
	for rank, left := range budget {
		if left == 0 || rank == slow || loads[rank] >= loads[slow] {
			continue
		}
		rest := sum - power(loads[slow]) - power(loads[rank])
		for _, heavy := range b.experts[set][slow] {
			if slices.Contains(b.experts[set][rank], heavy) || !slices.Contains(origin[set][slow], heavy) {
				continue
			}
			for _, light := range b.experts[set][rank] {
				if slices.Contains(b.experts[set][slow], light) || !slices.Contains(origin[set][rank], light) {
					continue
				}
				moved := b.share(set, heavy, 0) - b.share(set, light, 0)
				if moved <= 0 {
					continue
				}
				after := root(rest + power(loads[slow]-moved*b.slowness(slow)) + power(loads[rank]+moved*b.slowness(rank)))
				if gain := (current - after) / 2; gain > best.gain {
					best = change{set: set, rank: rank, add: heavy, drop: light, giver: slow, gain: gain}
				}
			}
		}
	}
	return best
}

// hottest lists the experts whose copies take most time, by the slowest rank that
// holds one.
func (b *board) hottest(set int) []int {
	order := make([]int, len(b.work[set]))
	times := make([]float64, len(order))
	for expert := range order {
		order[expert], times[expert] = expert, b.share(set, expert, 0)
	}
	for rank, experts := range b.experts[set] {
		for _, expert := range experts {
			times[expert] = max(times[expert], b.share(set, expert, 0)*b.slowness(rank))
		}
	}
	slices.SortFunc(order, func(x, y int) int { return cmp.Or(cmp.Compare(times[y], times[x]), x-y) })
	return order[:min(candidates, len(order))]
}

// drops lists what a rank may give up in a set: a free place, or else the two
// copies whose loss moves the least work. A copy that this plan added stays.
func (p *Planner) drops(b *board, origin Map, set, rank int) []int {
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
	moved := func(expert int) float64 { return b.share(set, expert, -1) }
	slices.SortFunc(spare, func(x, y int) int { return cmp.Or(cmp.Compare(moved(x), moved(y)), x-y) })
	return spare[:min(2, len(spare))]
}

// powersAfter is the sum of the loads' powers after a change; add or drop is -1 if
// there is none.
func (b *board) powersAfter(sum float64, set, rank, add, drop int) float64 {
	loads := b.loads[set]
	var addBefore, addAfter float64
	if add >= 0 {
		addBefore, addAfter = b.share(set, add, 0), b.share(set, add, 1)
	}
	var dropBefore, dropAfter float64
	if drop >= 0 {
		dropBefore, dropAfter = b.share(set, drop, 0), b.share(set, drop, -1)
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
			sum += power(loads[r]+delta*b.slowness(r)) - power(loads[r])
		}
	}
	return max(sum, 0)
}

// apply makes a change.
func (b *board) apply(c change) {
	b.replace(c.set, c.rank, c.drop, c.add)
	if c.giver >= 0 {
		b.replace(c.set, c.giver, c.add, c.drop)
	}
	for rank, experts := range b.experts[c.set] {
		b.loads[c.set][rank] = 0
		for _, expert := range experts {
			b.loads[c.set][rank] += b.share(c.set, expert, 0) * b.slowness(rank)
		}
	}
}

// replace puts an expert on a rank, in the place of another one or in a free one;
// add is -1 to leave the place free.
func (b *board) replace(set, rank, drop, add int) {
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
