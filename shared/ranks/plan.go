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
	// maxReceivers bounds the ranks of a set that are considered for another copy: those
	// with the least load.
	maxReceivers = 24
	// minGain is the time that one more copy must save, as a fraction of the mean time
	// over all sets. Below it the copying costs more than the copy saves while it is in
	// use. In groups of more than minGainRanks ranks it falls with their number: more
	// ranks copy at the same time.
	minGain      = 0.012
	minGainRanks = 24
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
	// MaxNewPerSet is how many experts a rank may copy for one switch in a set; 0 is no
	// limit.
	MaxNewPerSet int
	// Pace is the relative time of each rank, as in Report; ranks beyond its length
	// run at their usual speed.
	Pace []float64
}

// mapBuilder holds a map that is being changed and the resulting loads.
type mapBuilder struct {
	experts Map
	copies  [][]int     // Number of copies by set and expert.
	holders [][][]int   // Ranks by set and expert.
	loads   [][]float64 // By set and rank: the work of the rank's copies times its pace.
	work    Demand      // Scaled so that the mean work of a set's ranks is 1.
	pace    []float64
	slow    bool // Any rank is slower than usual.

	// planned and copied count the experts that ranks copy: by rank, and by set and rank.
	planned []int
	copied  [][]int
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
	b := &mapBuilder{
		experts: m.Clone(), work: make(Demand, len(m)), loads: make([][]float64, len(m)), copies: make([][]int, len(m)), pace: pace,
		holders: make([][][]int, len(m)), copied: make([][]int, len(m)), planned: make([]int, len(m[0])),
		slow: slices.ContainsFunc(pace, func(p float64) bool { return p > 1 }),
	}
	for set := range m {
		b.holders[set], b.copied[set] = make([][]int, len(d[set])), make([]int, len(m[set]))
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
		for rank, experts := range m[set] {
			for _, expert := range experts {
				b.copies[set][expert]++
				b.holders[set][expert] = append(b.holders[set][expert], rank)
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
type change struct {
	set, rank int
	add, drop int // -1 is none.
	// partner is the rank that gives its copy of add away and gets drop, if any, instead;
	// -1 is none.
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
	found := make([]change, len(current)) // The best change of each set, valid unless stale.
	stale := make([]bool, len(current))
	for set := range stale {
		stale[set] = true
	}
	changed := p.relieveSlowRanks(b)
	threshold := minGain * min(1, minGainRanks/float64(len(current[0]))) * before / float64(len(current))
	for {
		bestChange := change{}
		for set := range found {
			if stale[set] || !p.allowed(b, found[set]) {
				found[set], stale[set] = p.bestChange(b, current, set), false
			}
			if found[set].gain > bestChange.gain {
				bestChange = found[set]
			}
		}
		if bestChange.gain < threshold {
			break
		}
		b.apply(bestChange)
		stale[bestChange.set] = true
		changed = true
	}
	if !changed {
		return nil, 0
	}
	p.relieveSlowRanks(b)
	return b.experts, 1 - b.cost()/before
}

// allowed reports whether the ranks of a change may still copy an expert. It is also true
// for the empty change.
func (p *Planner) allowed(b *mapBuilder, c change) bool {
	return c.gain == 0 || p.mayCopy(b, c.set, c.rank) && (c.partner < 0 || c.drop < 0 || p.mayCopy(b, c.set, c.partner))
}

// mayCopy reports whether a rank may copy another expert in a set.
func (p *Planner) mayCopy(b *mapBuilder, set, rank int) bool {
	return b.planned[rank] < p.MaxCopiesPerRank && (p.MaxNewPerSet <= 0 || b.copied[set][rank] < p.MaxNewPerSet)
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
		if after := b.powerSumWithout(sum, set, rank, expert); after < lowest {
			found, lowest = expert, after
		}
	}
	return found
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
func (p *Planner) bestChange(b *mapBuilder, origin Map, set int) change {
	search := newSetSearch(b, set)
	receivers := p.receivers(b, set)
	droppable := make([][]int, len(receivers))
	for i, rank := range receivers {
		droppable[i] = p.droppable(b, origin, set, rank)
	}
	for _, add := range b.hottest(set) {
		search.addCopies(add, receivers, droppable)
	}
	p.moves(search, origin, receivers)
	p.swaps(search, origin)
	return search.best
}

// receivers returns the ranks of a set that may copy an expert, at most maxReceivers, by
// load.
func (p *Planner) receivers(b *mapBuilder, set int) []int {
	var ranks []int
	for rank := range b.loads[set] {
		if p.mayCopy(b, set, rank) {
			ranks = append(ranks, rank)
		}
	}
	slices.SortFunc(ranks, func(x, y int) int { return cmp.Or(cmp.Compare(b.loads[set][x], b.loads[set][y]), x-y) })
	return ranks[:min(maxReceivers, len(ranks))]
}

// setSearch compares the changes of one set by the sum of the eighth powers of its loads.
type setSearch struct {
	b       *mapBuilder
	set     int
	loads   []float64
	powers  []float64 // The eighth powers of loads.
	sum     float64   // The sum of powers.
	current float64   // The smoothed maximum of loads.
	holds   []bool    // By rank: it holds the expert that addCopies considers.
	best    change
}

func newSetSearch(b *mapBuilder, set int) *setSearch {
	s := &setSearch{b: b, set: set, loads: b.loads[set], powers: make([]float64, len(b.loads[set])), holds: make([]bool, len(b.loads[set])), best: change{partner: -1}}
	for rank, load := range s.loads {
		s.powers[rank] = eighthPower(load)
		s.sum += s.powers[rank]
	}
	s.current = eighthRoot(s.sum)
	return s
}

// consider keeps a change if it saves more time per copied expert than the best one. sum is
// the sum of the powers after it.
func (s *setSearch) consider(c change, sum float64, copies int) {
	if gain := (s.current - eighthRoot(max(sum, 0))) / float64(copies); gain > s.best.gain {
		c.set, c.gain = s.set, gain
		s.best = c
	}
}

// addCopies considers another copy of an expert on each of the receivers, in a free place
// or instead of an expert that it may drop.
func (s *setSearch) addCopies(add int, receivers []int, droppable [][]int) {
	b := s.b
	after := b.loadPerCopy(s.set, add, 1)
	less := after - b.loadPerCopy(s.set, add, 0)
	sum := s.sum
	for _, holder := range b.holders[s.set][add] {
		s.holds[holder] = true
		sum += eighthPower(s.loads[holder]+less*b.paceOf(holder)) - s.powers[holder]
	}
	bestSum, best := math.Inf(1), change{}
	for i, rank := range receivers {
		if s.holds[rank] {
			continue
		}
		for _, drop := range droppable[i] {
			if total := sum + s.replaceDelta(rank, drop, after, less); total < bestSum {
				bestSum, best = total, change{rank: rank, add: add, drop: drop, partner: -1}
			}
		}
	}
	for _, holder := range b.holders[s.set][add] {
		s.holds[holder] = false
	}
	if !math.IsInf(bestSum, 1) {
		s.consider(best, bestSum, 1)
	}
}

// replaceDelta returns how much the sum of the powers changes when a rank gets a copy of
// the expert that addCopies considers, of the given work, and drops another expert unless
// drop is -1. less is the change of the work of the expert's other copies.
func (s *setSearch) replaceDelta(rank, drop int, work, less float64) float64 {
	b := s.b
	if drop < 0 {
		return eighthPower(s.loads[rank]+work*b.paceOf(rank)) - s.powers[rank]
	}
	dropped := b.loadPerCopy(s.set, drop, 0)
	more := b.loadPerCopy(s.set, drop, -1) - dropped
	delta := eighthPower(s.loads[rank]+(work-dropped)*b.paceOf(rank)) - s.powers[rank]
	for _, holder := range b.holders[s.set][drop] {
		switch pace := b.paceOf(holder); {
		case holder == rank:
		case s.holds[holder]:
			delta += eighthPower(s.loads[holder]+(less+more)*pace) - eighthPower(s.loads[holder]+less*pace)
		default:
			delta += eighthPower(s.loads[holder]+more*pace) - s.powers[holder]
		}
	}
	return delta
}

// busiest returns the most loaded rank.
func (s *setSearch) busiest() int {
	busiest := 0
	for rank, load := range s.loads {
		if load > s.loads[busiest] {
			busiest = rank
		}
	}
	return busiest
}

// moves considers moving a copy from the most loaded rank to a free place of a receiver.
func (p *Planner) moves(s *setSearch, origin Map, receivers []int) {
	b, busiest := s.b, s.busiest()
	bestSum, best := math.Inf(1), change{}
	for _, rank := range receivers {
		if rank == busiest || len(b.experts[s.set][rank]) >= p.Places {
			continue
		}
		rest := s.sum - s.powers[busiest] - s.powers[rank]
		for _, expert := range b.experts[s.set][busiest] {
			if slices.Contains(b.experts[s.set][rank], expert) || !slices.Contains(origin[s.set][busiest], expert) {
				continue
			}
			work := b.loadPerCopy(s.set, expert, 0)
			sum := rest + eighthPower(s.loads[busiest]-work*b.paceOf(busiest)) + eighthPower(s.loads[rank]+work*b.paceOf(rank))
			if sum < bestSum {
				bestSum, best = sum, change{rank: rank, add: expert, drop: -1, partner: busiest}
			}
		}
	}
	if !math.IsInf(bestSum, 1) {
		s.consider(best, bestSum, 1)
	}
}

// swaps considers swaps of two experts between the most loaded rank and another rank. Both
// ranks copy one expert. Experts that this plan added are not moved again.
func (p *Planner) swaps(s *setSearch, origin Map) {
	b, busiest := s.b, s.busiest()
	if !p.mayCopy(b, s.set, busiest) {
		return
	}
	bestSum, best := math.Inf(1), change{}
	for rank := range s.loads {
		if rank == busiest || s.loads[rank] >= s.loads[busiest] || !p.mayCopy(b, s.set, rank) {
			continue
		}
		rest := s.sum - s.powers[busiest] - s.powers[rank]
		for _, heavy := range b.experts[s.set][busiest] {
			if slices.Contains(b.experts[s.set][rank], heavy) || !slices.Contains(origin[s.set][busiest], heavy) {
				continue
			}
			for _, light := range b.experts[s.set][rank] {
				moved := b.loadPerCopy(s.set, heavy, 0) - b.loadPerCopy(s.set, light, 0)
				if moved <= 0 || slices.Contains(b.experts[s.set][busiest], light) || !slices.Contains(origin[s.set][rank], light) {
					continue
				}
				sum := rest + eighthPower(s.loads[busiest]-moved*b.paceOf(busiest)) + eighthPower(s.loads[rank]+moved*b.paceOf(rank))
				if sum < bestSum {
					bestSum, best = sum, change{rank: rank, add: heavy, drop: light, partner: busiest}
				}
			}
		}
	}
	if !math.IsInf(bestSum, 1) {
		s.consider(best, bestSum, 2)
	}
}

// hottest returns the experts whose copies take the most time, measured on the slowest
// rank that holds one, in descending order; at most maxCandidates.
func (b *mapBuilder) hottest(set int) []int {
	hot := make([]int, 0, maxCandidates+1)
	times := make([]float64, 0, maxCandidates+1)
	for expert := range b.work[set] {
		time := b.loadPerCopy(set, expert, 0) * b.slowestHolder(set, expert)
		if len(hot) == maxCandidates && time <= times[maxCandidates-1] {
			continue
		}
		at, _ := slices.BinarySearchFunc(times, time, func(element, target float64) int {
			if element >= target {
				return -1
			}
			return 1
		})
		hot, times = slices.Insert(hot, at, expert), slices.Insert(times, at, time)
		hot, times = hot[:min(maxCandidates, len(hot))], times[:min(maxCandidates, len(times))]
	}
	return hot
}

// slowestHolder returns the pace of the slowest rank that holds an expert, at least 1.
func (b *mapBuilder) slowestHolder(set, expert int) float64 {
	slowest := 1.0
	if !b.slow {
		return slowest
	}
	for _, rank := range b.holders[set][expert] {
		slowest = max(slowest, b.paceOf(rank))
	}
	return slowest
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

// powerSumWithout returns the sum of the eighth powers of a set's loads after a rank drops
// an expert. sum is the value before it.
func (b *mapBuilder) powerSumWithout(sum float64, set, rank, drop int) float64 {
	dropped := b.loadPerCopy(set, drop, 0)
	more := b.loadPerCopy(set, drop, -1) - dropped
	for _, holder := range b.holders[set][drop] {
		load, delta := b.loads[set][holder], more
		if holder == rank {
			delta = -dropped
		}
		sum += eighthPower(load+delta*b.paceOf(holder)) - eighthPower(load)
	}
	return max(sum, 0)
}

// apply makes a change and updates the loads of its set.
func (b *mapBuilder) apply(c change) {
	if c.partner >= 0 {
		b.remove(c.set, c.partner, c.add)
		b.place(c.set, c.partner, c.drop)
	}
	b.remove(c.set, c.rank, c.drop)
	b.place(c.set, c.rank, c.add)
	for rank, experts := range b.experts[c.set] {
		b.loads[c.set][rank] = 0
		for _, expert := range experts {
			b.loads[c.set][rank] += b.loadPerCopy(c.set, expert, 0) * b.paceOf(rank)
		}
	}
}

// remove takes an expert from a rank unless it is -1.
func (b *mapBuilder) remove(set, rank, expert int) {
	if expert < 0 {
		return
	}
	b.copies[set][expert]--
	b.experts[set][rank] = without(b.experts[set][rank], expert)
	b.holders[set][expert] = without(b.holders[set][expert], rank)
}

// place makes a rank copy an expert unless it is -1.
func (b *mapBuilder) place(set, rank, expert int) {
	if expert < 0 {
		return
	}
	b.copies[set][expert]++
	b.planned[rank]++
	b.copied[set][rank]++
	b.experts[set][rank] = append(b.experts[set][rank], expert)
	b.holders[set][expert] = append(b.holders[set][expert], rank)
}

// without removes the first occurrence of an element, which the list must contain.
func without(list []int, element int) []int {
	at := slices.Index(list, element)
	return slices.Delete(list, at, at+1)
}
