package ranks

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// roundRobinMap assigns the experts of each set to the ranks in turn.
func roundRobinMap(sets, ranks, experts int) Map {
	m := make(Map, sets)
	for set := range m {
		m[set] = make([][]int, ranks)
		for expert := range experts {
			m[set][expert%ranks] = append(m[set][expert%ranks], expert)
		}
	}
	return m
}

// skewedDemand returns a demand in which the work of an expert falls with its position
// in a random order, by a power law.
func skewedDemand(random *rand.Rand, sets, experts int) Demand {
	d := make(Demand, sets)
	for set := range d {
		d[set] = make([]float64, experts)
		for place, expert := range random.Perm(experts) {
			d[set][expert] = 1e5 / math.Pow(float64(place+1), 1.1)
		}
	}
	return d
}

// checkMap checks that engines accept a map and the change to it: every rank holds at
// most as many experts as it has places, and none twice; every expert has a copy; and no
// rank copies more experts than allowed.
func checkMap(c *qt.C, before, after Map, experts, places, maxCopies int) {
	copied := make([]int, len(after[0]))
	for set := range after {
		seen := make([]bool, experts)
		for rank, held := range after[set] {
			c.Assert(len(held) <= places, qt.IsTrue)
			sorted := slices.Clone(held)
			slices.Sort(sorted)
			c.Assert(len(slices.Compact(sorted)), qt.Equals, len(held))
			for _, expert := range held {
				seen[expert] = true
				if !slices.Contains(before[set][rank], expert) {
					copied[rank]++
				}
			}
		}
		c.Assert(slices.Contains(seen, false), qt.IsFalse)
	}
	for _, n := range copied {
		c.Assert(n <= maxCopies, qt.IsTrue)
	}
}

// Groups of 8 to 128 ranks come close to even load from any demand that a copy on every
// rank could even out, and no plan copies more experts of a set than an engine takes.
func TestPlansBalanceLoadOfAnyShape(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(5, 5))
	for range 12 {
		ranks, sets := 8<<random.IntN(5), 2+random.IntN(4)
		places := 3 + random.IntN(8)
		experts := max(64, ranks) + random.IntN(64)
		for experts*5/4 > ranks*places { // A quarter more places than experts.
			places++
		}
		demand := skewedDemand(random, sets, experts)
		m := roundRobinMap(sets, ranks, experts)
		p := Planner{Places: places, MaxCopiesPerRank: 4, MaxNewPerSet: 2}
		for range 60 {
			next, _ := p.Improve(m, demand)
			if next == nil {
				break
			}
			checkMap(c, m, next, experts, places, 4)
			for set := range next {
				for rank := range next[set] {
					copied := slices.DeleteFunc(slices.Clone(next[set][rank]), func(expert int) bool { return slices.Contains(m[set][rank], expert) })
					c.Assert(len(copied) <= 2, qt.IsTrue)
				}
			}
			m = next
		}
		c.Check(Skew(m, demand) <= 1.4, qt.IsTrue, qt.Commentf("%d ranks, %d sets, %d experts, %d places: skew %.3f", ranks, sets, experts, places, Skew(m, demand)))
	}
}

// Repeated plans bring the load close to even, and each plan is a valid map that copies
// no more experts than allowed. The cases are group sizes of the present sites and of the
// sites after growth.
func TestRepeatedPlansBalanceLoad(t *testing.T) {
	for _, size := range []struct{ sets, ranks, experts, places, maxCopies, plans int }{
		{3, 12, 96, 11, 1, 12}, {16, 24, 96, 5, 2, 40}, {12, 64, 256, 5, 4, 40},
	} {
		for seed := range uint64(5) {
			c := qt.New(t)
			demand := skewedDemand(rand.New(rand.NewPCG(seed, 3)), size.sets, size.experts)
			m := roundRobinMap(size.sets, size.ranks, size.experts)
			start := Skew(m, demand)
			p := Planner{Places: size.places, MaxCopiesPerRank: size.maxCopies}
			for range size.plans {
				next, saving := p.Improve(m, demand)
				if next == nil {
					break
				}
				c.Assert(saving > 0, qt.IsTrue)
				checkMap(c, m, next, size.experts, size.places, size.maxCopies)
				m = next
			}
			c.Logf("seed %d, %d ranks: skew %.2f to %.2f", seed, size.ranks, start, Skew(m, demand))
			c.Assert(Skew(m, demand) <= 1.4, qt.IsTrue, qt.Commentf("skew %.3f", Skew(m, demand)))
		}
	}
}

// The planner moves load away from a rank that is three times slower than the others.
func TestSlowRankHasLessLoad(t *testing.T) {
	demand := skewedDemand(rand.New(rand.NewPCG(1, 1)), 1, 96)
	m := roundRobinMap(1, 12, 96)
	pace := make([]float64, 12)
	pace[3] = 3
	p := Planner{Places: 11, MaxCopiesPerRank: 1, Pace: pace}
	for range 15 {
		if next, _ := p.Improve(m, demand); next != nil {
			m = next
		}
	}
	b := newMapBuilder(m, demand, nil)
	qt.Assert(t, b.loads[0][3] < 0.6, qt.IsTrue, qt.Commentf("load %.2f", b.loads[0][3]))
}

// When a rank becomes twelve times slower, the planner moves nearly all of its load to
// other ranks within eight plans. Once the rank is back to its usual speed, the load
// becomes even again.
func TestVerySlowRankLosesLoadUntilItRecovers(t *testing.T) {
	for _, size := range []struct{ sets, ranks, experts, places, maxCopies int }{
		{3, 12, 96, 11, 1}, {16, 24, 96, 5, 2},
	} {
		c := qt.New(t)
		demand := skewedDemand(rand.New(rand.NewPCG(2, 2)), size.sets, size.experts)
		m := roundRobinMap(size.sets, size.ranks, size.experts)
		p := Planner{Places: size.places, MaxCopiesPerRank: size.maxCopies}
		plan := func(times int) {
			for range times {
				if next, _ := p.Improve(m, demand); next != nil {
					checkMap(c, m, next, size.experts, size.places, size.maxCopies)
					m = next
				}
			}
		}
		plan(40)
		p.Pace = make([]float64, size.ranks)
		p.Pace[3] = 12
		plan(8)
		b := newMapBuilder(m, demand, nil)
		for set := range m {
			c.Assert(b.loads[set][3] <= 0.15, qt.IsTrue, qt.Commentf("set %d: load %.2f, %v", set, b.loads[set][3], m[set][3]))
		}
		p.Pace = nil
		plan(40)
		c.Assert(Skew(m, demand) <= 1.4, qt.IsTrue, qt.Commentf("skew %.3f", Skew(m, demand)))
	}
}

func BenchmarkImprove(b *testing.B) {
	demand := skewedDemand(rand.New(rand.NewPCG(1, 1)), 16, 96)
	m := roundRobinMap(16, 24, 96)
	p := Planner{Places: 5, MaxCopiesPerRank: 2}
	for b.Loop() {
		p.Improve(m, demand)
	}
}

func BenchmarkImproveLarge(b *testing.B) {
	demand := skewedDemand(rand.New(rand.NewPCG(1, 1)), 12, 256)
	m := roundRobinMap(12, 64, 256)
	p := Planner{Places: 5, MaxCopiesPerRank: 4, MaxNewPerSet: 2}
	for b.Loop() {
		p.Improve(m, demand)
	}
}
