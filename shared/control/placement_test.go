package control

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func uniform(count int, value float64) []float64 {
	return slices.Repeat([]float64{value}, count)
}

// TestPlansKeepEveryExpert checks that no plan drops an expert, exceeds a rank's slots
// or places an expert twice on a rank, and that an improved placement is not slower
// than the one it replaces.
func TestPlansKeepEveryExpert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.IntRange(2, 8).Draw(t, "ranks")
		slots := rapid.IntRange(3, 10).Draw(t, "slots")
		experts := rapid.IntRange(slots, ranks*slots-ranks).Draw(t, "experts")
		d := Demand{Speed: uniform(ranks, 1)}
		for range experts {
			d.Tokens = append(d.Tokens, rapid.Float64Range(0, 1000).Draw(t, "tokens"))
		}
		d.Speed[0] = rapid.Float64Range(0.5, 1).Draw(t, "speed")
		start := NewPlacement(ranks, experts, slots)
		improved := Improve(start, d, Payback{})
		for _, p := range []Placement{start, improved, GreedyPlacement(ranks, slots, d)} {
			checkPlacement(t, p, experts, slots)
		}
		if NewSplit(improved, d).Slowest() > NewSplit(start, d).Slowest() {
			t.Fatalf("the improved placement is slower than the current one")
		}
		if NewSplit(improved, d).Slowest() < d.LowerBound()*(1-1e-9) {
			t.Fatalf("the improved placement is faster than the lower bound")
		}
	})
}

func checkPlacement(t *rapid.T, p Placement, experts, slots int) {
	held := make(map[int]bool)
	for rank, on := range p {
		if len(on) > slots {
			t.Fatalf("rank %d holds %d experts in %d slots", rank, len(on), slots)
		}
		unique := slices.Compact(slices.Sorted(slices.Values(on)))
		if len(unique) != len(on) {
			t.Fatalf("rank %d holds an expert twice: %v", rank, on)
		}
		for _, expert := range on {
			held[expert] = true
		}
	}
	if len(held) != experts {
		t.Fatalf("%d of %d experts are placed", len(held), experts)
	}
}

func TestNothingMovesWithoutPayback(t *testing.T) {
	c := qt.New(t)
	d := Demand{Tokens: append(uniform(63, 100), 1500), Speed: uniform(8, 1)}
	start := NewPlacement(8, 64, 9)
	expensive := Payback{ExpertBytes: 1e9, BytesPerStep: 1, HorizonSteps: 1000}
	c.Assert(Improve(start, d, expensive).Moved(start), qt.Equals, 0)
	c.Assert(Improve(start, d, Payback{}).Moved(start) > 0, qt.IsTrue)
	balanced := Demand{Tokens: uniform(64, 100), Speed: uniform(8, 1)}
	c.Assert(Improve(start, balanced, Payback{}).Moved(start), qt.Equals, 0)
}

func BenchmarkImprove(b *testing.B) {
	const ranks, experts, slots = 32, 256, 9
	d := Demand{Speed: uniform(ranks, 1)}
	for i := range experts {
		d.Tokens = append(d.Tokens, 10000/float64(1+i))
	}
	start := NewPlacement(ranks, experts, slots)
	b.ReportAllocs()
	for range b.N {
		Improve(start, d, Payback{})
	}
}
