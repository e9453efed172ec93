package ranks

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// shiftDemand gives a share of the experts of each set each other's work.
func shiftDemand(random *rand.Rand, d Demand, share float64) {
	for set := range d {
		var moved []int
		for expert := range d[set] {
			if random.Float64() < share {
				moved = append(moved, expert)
			}
		}
		before := make([]float64, len(moved))
		for i, expert := range moved {
			before[i] = d[set][expert]
		}
		for i, from := range random.Perm(len(moved)) {
			d[set][moved[i]] = before[from]
		}
	}
}

// shiftLoad is a group whose demand shifts, and how its maps follow.
type shiftLoad struct {
	sets, ranks, experts, places int
	planner                      Planner
	copyTime                     time.Duration // For one expert.
	switchTime                   time.Duration // For hold, arm and go.
	planTime                     time.Duration // Between a switch and the next plan.
	share                        float64       // Of the experts whose work changes at a shift.
	gap                          time.Duration // Between two shifts.
}

// play returns the mean skew over some shifts after the first one, and the mean in the last
// half second before each next shift.
func (l shiftLoad) play(c *qt.C, seed uint64, shifts int) (mean, settled float64) {
	const tick = 100 * time.Millisecond // About one pass.
	keep := math.Exp2(-1 / 4.5)         // The planner's half-life is 4.5 passes.
	random := rand.New(rand.NewPCG(seed, 7))
	demand := skewedDemand(random, l.sets, l.experts)
	seen := make(Demand, l.sets)
	for set := range seen {
		seen[set] = make([]float64, l.experts)
	}
	m := roundRobinMap(l.sets, l.ranks, l.experts)
	var next Map
	var readyAt, planAt time.Duration
	sum, count, settledSum, settledCount := 0.0, 0.0, 0.0, 0.0
	for now := time.Duration(0); now < time.Duration(shifts)*l.gap; now += tick {
		if now > 0 && now%l.gap == 0 {
			shiftDemand(random, demand, l.share)
		}
		for set := range seen {
			for expert := range seen[set] {
				seen[set][expert] = seen[set][expert]*keep + demand[set][expert]
			}
		}
		if next != nil && now >= readyAt {
			m, next, planAt = next, nil, now+l.planTime
		}
		if next == nil && now >= planAt {
			found, _ := l.planner.Improve(m, seen)
			if found == nil {
				planAt = now + l.planTime
			} else {
				checkMap(c, m, found, l.experts, l.places, l.planner.MaxCopiesPerRank)
				next, readyAt = found, now+time.Duration(mostCopied(m, found))*l.copyTime+l.switchTime
			}
		}
		if now >= l.gap {
			sum, count = sum+Skew(m, demand), count+1
			if now%l.gap >= l.gap-500*time.Millisecond {
				settledSum, settledCount = settledSum+Skew(m, demand), settledCount+1
			}
		}
	}
	return sum / count, settledSum / settledCount
}

// mostCopied returns the most experts that a rank copies for a map.
func mostCopied(before, after Map) int {
	most := make([]int, len(after[0]))
	for set := range after {
		for rank := range after[set] {
			for _, expert := range after[set][rank] {
				if !slices.Contains(before[set][rank], expert) {
					most[rank]++
				}
			}
		}
	}
	return slices.Max(most)
}

// Demand shifts each 4 s and counts follow it with a delay. In the last half second before
// the next shift the maps have caught up. With the time between plans that a search of 80 ms
// needed at 64 ranks, they had not.
func TestMapsFollowShiftingDemand(t *testing.T) {
	c := qt.New(t)
	for _, l := range []shiftLoad{
		{
			sets: 12, ranks: 64, experts: 256, places: 5, planner: Planner{Places: 5, MaxCopiesPerRank: 4, MaxNewPerSet: 2},
			copyTime: 38 * time.Millisecond, switchTime: 200 * time.Millisecond, planTime: 200 * time.Millisecond, share: 0.79, gap: 4 * time.Second,
		},
		{
			sets: 16, ranks: 24, experts: 96, places: 5, planner: Planner{Places: 5, MaxCopiesPerRank: 4, MaxNewPerSet: 2},
			copyTime: 76 * time.Millisecond, switchTime: 200 * time.Millisecond, planTime: 100 * time.Millisecond, share: 0.7, gap: 4 * time.Second,
		},
	} {
		for seed := range uint64(2) {
			mean, settled := l.play(c, seed, 4)
			c.Logf("%d ranks, seed %d: mean skew %.2f, before the next shift %.2f", l.ranks, seed, mean, settled)
			c.Check(settled <= 1.4, qt.IsTrue, qt.Commentf("%d ranks: skew %.3f", l.ranks, settled))
		}
	}
}
