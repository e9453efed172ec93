package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"chervilswitch.example/shared/control"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Parameters of the synthetic traces and their groups. The logarithm of an expert's
// popularity follows a mean-reverting random walk with steps of standard deviation
// drift per window. With suddenChangeProbability per window the order of popularity
// changes. redundancy is the fraction of slots beyond one per expert.
const (
	windows                 = 240
	stepsPerWindow          = 100
	redundancy              = 0.125
	tokensPerStep           = 8192
	zipfExponent            = 0.8
	drift                   = 0.03
	suddenChangeProbability = 0.02
	stragglerSpeed          = 1 / 1.5
	expertBytes             = 44e6
	// storeBytesPerStep corresponds to 2 GB/s at 59 ms per step.
	storeBytesPerStep = 2e9 * 0.059
	// horizonSteps is the time within which moving an expert must pay off.
	horizonSteps = 30 * stepsPerWindow
)

// skewCase is a group of ranks with the kind of trace that it serves.
type skewCase struct {
	name      string
	ranks     int
	experts   int
	straggler bool
	// flat gives all experts the same mean popularity; shuffled shuffles the order of
	// popularity in each window.
	flat, shuffled bool
}

var skewCases = []skewCase{
	{name: "8 ranks, 64 experts", ranks: 8, experts: 64},
	{name: "8 ranks, 64 experts, straggler", ranks: 8, experts: 64, straggler: true},
	{name: "32 ranks, 256 experts", ranks: 32, experts: 256},
	{name: "32 ranks, 256 experts, straggler", ranks: 32, experts: 256, straggler: true},
	{name: "flat, 8 ranks", ranks: 8, experts: 64, flat: true},
	{name: "wild, 8 ranks", ranks: 8, experts: 64, shuffled: true},
}

// The placement policies under comparison: the initial placement throughout, a new plan
// from scratch in each window, and the planner of package control.
const (
	policyStatic   = "static"
	policyFullPlan = "fullPlan"
	policyPlanner  = "ours"
)

// skewFigures holds the figures of one policy on one trace.
type skewFigures struct {
	P50              spread `json:"p50"`
	P95              spread `json:"p95"`
	P99              spread `json:"p99"`
	OverBound        spread `json:"timeOverLowerBoundP95"`
	BytesMoved       spread `json:"bytesMoved"`
	SwitchPauseSteps int    `json:"switchPauseSteps"`
	PlanMicros       spread `json:"planMicros"`
}

// slots returns the number of expert slots on each rank.
func (s skewCase) slots() int {
	return int(math.Ceil(float64(s.experts) * (1 + redundancy) / float64(s.ranks)))
}

// speeds returns the relative speed of each rank.
func (s skewCase) speeds() []float64 {
	speeds := make([]float64, s.ranks)
	for i := range speeds {
		speeds[i] = 1
	}
	if s.straggler {
		speeds[s.ranks/2] = stragglerSpeed
	}
	return speeds
}

// trace returns, for each window, the number of tokens per step for each expert.
func (s skewCase) trace(seed uint64) [][]float64 {
	random := rand.New(rand.NewPCG(seed, 1))
	order := random.Perm(s.experts)
	walk := make([]float64, s.experts)
	all := make([][]float64, windows)
	for w := range all {
		if s.shuffled || random.Float64() < suddenChangeProbability {
			s.shuffle(order, random)
		}
		all[w] = s.window(order, walk, w, random)
	}
	return all
}

// shuffle changes the order of popularity with random swaps: a tenth as many as there
// are experts, or as many if shuffled is set.
func (s skewCase) shuffle(order []int, random *rand.Rand) {
	swaps := s.experts / 10
	if s.shuffled {
		swaps = s.experts
	}
	for range swaps {
		i, j := random.IntN(s.experts), random.IntN(s.experts)
		order[i], order[j] = order[j], order[i]
	}
}

// window returns the tokens per step for each expert in window w, and advances walk.
func (s skewCase) window(order []int, walk []float64, w int, random *rand.Rand) []float64 {
	weights := make([]float64, s.experts)
	sum := 0.0
	for i := range weights {
		walk[i] += drift * random.NormFloat64()
		walk[i] *= 0.99
		periodicSwing := 0.2 * math.Sin(2*math.Pi*(float64(w)/48+float64(i)/float64(s.experts)))
		weights[i] = math.Exp(walk[i] + periodicSwing)
		if !s.flat {
			weights[i] *= math.Pow(1+float64(order[i]), -zipfExponent)
		}
		sum += weights[i]
	}
	for i := range weights {
		weights[i] *= tokensPerStep / sum
	}
	return weights
}

// policyRun is the state of one policy during a trace.
type policyRun struct {
	policy    string
	group     skewCase
	placement control.Placement
	planner   control.Planner
	moved     int
	planTime  []float64
}

// plan returns the split to use in the next window, given the tokens per expert in the
// last one.
func (p *policyRun) plan(observed []float64) *control.Split {
	speeds := p.group.speeds()
	demand := control.Demand{Tokens: observed, Speed: speeds}
	started := time.Now()
	next := p.placement
	switch p.policy {
	case policyFullPlan:
		next = control.GreedyPlacement(p.group.ranks, p.group.slots(), demand)
	case policyPlanner:
		split := p.planner.Plan(observed, speeds, control.Payback{ExpertBytes: expertBytes, BytesPerStep: storeBytesPerStep, HorizonSteps: horizonSteps, WindowSteps: stepsPerWindow})
		p.planTime = append(p.planTime, float64(time.Since(started).Microseconds()))
		p.moved += p.planner.Placement.Moved(p.placement)
		p.placement = p.planner.Placement
		return split
	}
	p.moved += next.Moved(p.placement)
	p.placement = next
	split := control.NewSplit(next, demand)
	p.planTime = append(p.planTime, float64(time.Since(started).Microseconds()))
	return split
}

// replay runs the policy over a trace. It returns for each window but the first the
// skew, and the time of the slowest rank divided by its lower bound.
func (p *policyRun) replay(trace [][]float64) (skews, over []float64) {
	p.planner.Placement = p.placement
	split := control.NewEvenSplit(p.placement, control.Demand{Tokens: trace[0], Speed: p.group.speeds()})
	for w := 1; w < len(trace); w++ {
		if p.policy != policyStatic {
			split = p.plan(trace[w-1])
		}
		demand := control.Demand{Tokens: trace[w], Speed: p.group.speeds()}
		actual := split.WithDemand(demand)
		skews = append(skews, actual.Skew())
		over = append(over, actual.Slowest()/demand.LowerBound())
	}
	return skews, over
}

// run replays the traces of all seeds with a policy.
func (s skewCase) run(policy string) skewFigures {
	var p50, p95, p99, over, bytes, micros []float64
	for seed := range uint64(seeds) {
		p := &policyRun{policy: policy, group: s, placement: control.NewPlacement(s.ranks, s.experts, s.slots())}
		skews, overBound := p.replay(s.trace(seed))
		p50 = append(p50, quantile(skews, 0.5))
		p95 = append(p95, quantile(skews, 0.95))
		p99 = append(p99, quantile(skews, 0.99))
		over = append(over, quantile(overBound, 0.95))
		bytes = append(bytes, float64(p.moved)*expertBytes)
		micros = append(micros, quantile(p.planTime, 0.5))
	}
	return skewFigures{
		P50: newSpread(p50), P95: newSpread(p95), P99: newSpread(p99), OverBound: newSpread(over),
		BytesMoved: newSpread(bytes), PlanMicros: newSpread(micros), SwitchPauseSteps: countHeldSteps(s.ranks),
	}
}

// countHeldSteps counts the steps, summed over the ranks, that ranks delay during a
// switch in the usual case: messages take less than a step, and the weights are already
// loaded.
func countHeldSteps(ranks int) int {
	group := make([]*control.Rank, ranks)
	incarnations := make([]uint64, ranks)
	for i := range group {
		incarnations[i] = 1
		group[i] = control.NewRank(i, 1)
	}
	held := 0
	deliver := func(from int, outputs []control.RankOutput) []func() []control.RankOutput {
		var later []func() []control.RankOutput
		for _, o := range outputs {
			switch o := o.(type) {
			case control.RankSendVote:
				later = append(later, func() []control.RankOutput { return group[o.To].Reduce(o.Vote) })
			case control.RankRequestVote:
				later = append(later, func() []control.RankOutput {
					return group[o.To].Reduce(control.RankVoteRequested{Proposal: o.Proposal, From: from})
				})
			case control.RankHoldStep:
				held++
			}
		}
		return later
	}
	propose := func(p control.Proposal) {
		var queue []func() []control.RankOutput
		for i := range group {
			group[i].Reduce(control.RankFetched{Map: p.Map})
			queue = append(queue, deliver(i, group[i].Reduce(control.RankProposed{Proposal: p}))...)
		}
		for len(queue) > 0 {
			next := queue[0]
			queue = append(queue[1:], deliver(0, next())...)
		}
	}
	propose(control.Proposal{Fencing: 1, Number: 1, Map: 1, At: control.Position{Generation: 1}, Incarnations: incarnations})
	for step := range uint64(20) {
		if step == 5 {
			propose(control.Proposal{Fencing: 1, Number: 2, Map: 2, At: control.Position{Generation: 1, Step: 8}, Incarnations: incarnations})
		}
		for i := range group {
			deliver(i, group[i].Reduce(control.RankStepReady{}))
		}
	}
	return held
}

func measureSkew() result {
	t := newTable("trace", "policy", "skew p50", "skew p95", "skew p99", "time over bound p95", "GB moved", "steps held", "plan us")
	figures := make(map[string]map[string]skewFigures)
	for _, s := range skewCases {
		figures[s.name] = make(map[string]skewFigures)
		for _, policy := range []string{policyStatic, policyFullPlan, policyPlanner} {
			f := s.run(policy)
			figures[s.name][policy] = f
			gigabytes := spread{Median: f.BytesMoved.Median / 1e9, Min: f.BytesMoved.Min / 1e9, Max: f.BytesMoved.Max / 1e9}
			t.addRow(s.name, policy, f.P50, f.P95, f.P99, f.OverBound, gigabytes, f.SwitchPauseSteps, f.PlanMicros)
		}
	}
	return result{
		name: "Step-time skew and the cost of rebalancing", figures: figures, table: t,
		notes: []string{fmt.Sprintf(
			"%d windows of %d steps, %d seeds; popularity Zipf %.1f with drift, an hourly swing and sudden changes; %.1f%% redundant slots; one expert is %.0f MB. Skew is the slowest over the mean rank time of a window whose plan was made from the windows before. The bound spreads all tokens over all speeds, which no placement beats.",
			windows, stepsPerWindow, seeds, zipfExponent, 100*redundancy, expertBytes/1e6)},
		plot: func(file string) error { return plotSkew(file) },
	}
}

// plotSkew plots the skew of each policy over time on one trace.
func plotSkew(file string) error {
	s := skewCases[2]
	p := plot.New()
	p.Title.Text = "Slowest over mean rank time, " + s.name
	p.X.Label.Text = "window"
	p.Y.Label.Text = "skew"
	var lines []any
	for _, policy := range []string{policyStatic, policyFullPlan, policyPlanner} {
		run := &policyRun{policy: policy, group: s, placement: control.NewPlacement(s.ranks, s.experts, s.slots())}
		skews, _ := run.replay(s.trace(0))
		points := make(plotter.XYs, len(skews))
		for i, skew := range skews {
			points[i] = plotter.XY{X: float64(i), Y: skew}
		}
		lines = append(lines, policy, points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(8*vg.Inch, 4*vg.Inch, file)
}
