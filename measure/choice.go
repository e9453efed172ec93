package main

import (
	"fmt"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	choiceRate   = 260.0
	choiceTime   = 40 * time.Second
	choiceWarmup = 5 * time.Second
	slowTarget   = 3
	coldTarget   = 7
	turnsColdAt  = 20 * time.Second
)

// choiceFigures are one policy's figures.
type choiceFigures struct {
	P50           spread `json:"p50"`
	P95           spread `json:"p95"`
	P99           spread `json:"p99"`
	SmallP95      spread `json:"smallOrganisationsP95"`
	WorstSlowdown spread `json:"worstOrganisationSlowdown"`
	PrefixHits    spread `json:"prefixHits"`
	Refused       spread `json:"refusedPart"`
	Failed        spread `json:"failedPart"`
	ColdOverload  spread `json:"coldOverload"`
}

// latencies sorts the first-token times of the calls after the warm-up, in
// milliseconds, by organisation.
func (f *fleet) latencies() (all []float64, byOrganisation map[string][]float64) {
	byOrganisation = make(map[string][]float64)
	for _, c := range f.done {
		if c.sentAt < choiceWarmup || c.failed || c.refused || c.firstAt == 0 {
			continue
		}
		ms := float64((c.firstAt - c.sentAt).Microseconds()) / 1e3
		all = append(all, ms)
		byOrganisation[c.organisation] = append(byOrganisation[c.organisation], ms)
	}
	return all, byOrganisation
}

func (f *fleet) part(which func(*call) bool) float64 {
	count := 0
	for _, c := range f.done {
		if which(c) {
			count++
		}
	}
	return float64(count) / float64(max(1, len(f.done)))
}

func runChoice(kind chooser, faults bool) choiceFigures {
	var p50, p95, p99, small, worst, hits, refused, failed, cold []float64
	for seed := range uint64(seeds) {
		f := newFleet(kind, seed)
		if faults {
			f.targets[slowTarget].slow = 3
			f.after(turnsColdAt, func() { f.restart(coldTarget) })
		}
		f.after(time.Second, func() { f.offer(choiceRate, choiceTime) })
		f.run(choiceTime + 5*time.Second)
		all, by := f.latencies()
		p50 = append(p50, quantile(all, 0.5))
		p95 = append(p95, quantile(all, 0.95))
		p99 = append(p99, quantile(all, 0.99))
		slowest, smalls := 0.0, []float64(nil)
		for name, times := range by {
			slowest = max(slowest, quantile(times, 0.95)/quantile(all, 0.5))
			if strings.HasPrefix(name, "small") {
				smalls = append(smalls, times...)
			}
		}
		small = append(small, quantile(smalls, 0.95))
		worst = append(worst, slowest)
		hits = append(hits, float64(f.hits)/float64(f.sent))
		refused = append(refused, f.part(func(c *call) bool { return c.refused }))
		failed = append(failed, f.part(func(c *call) bool { return c.failed }))
		overload := 0
		for _, t := range f.targets {
			overload += t.overload
		}
		cold = append(cold, float64(overload))
	}
	return choiceFigures{
		P50: newSpread(p50), P95: newSpread(p95), P99: newSpread(p99), SmallP95: newSpread(small), WorstSlowdown: newSpread(worst),
		PrefixHits: newSpread(hits), Refused: newSpread(refused), Failed: newSpread(failed), ColdOverload: newSpread(cold),
	}
}

func measureChoice() result {
	t := newTable("case", "policy", "first token p50 ms", "p95 ms", "p99 ms", "small p95 ms", "worst p95 / p50", "prefix hits", "refused", "failed", "cold overload")
	figures := make(map[string]map[string]choiceFigures)
	var p99s []float64
	var names []string
	for _, faults := range []bool{false, true} {
		name := "steady"
		if faults {
			name = "faults"
		}
		figures[name] = make(map[string]choiceFigures)
		for _, c := range choosers {
			x := runChoice(c.kind, faults)
			figures[name][c.name] = x
			t.add(name, c.name, x.P50, x.P95, x.P99, x.SmallP95, x.WorstSlowdown, x.PrefixHits, x.Refused, x.Failed, x.ColdOverload)
			if faults {
				p99s, names = append(p99s, x.P99.Median), append(names, c.name)
			}
		}
	}
	return result{
		name: "Target choice", figures: figures, table: t,
		notes: []string{fmt.Sprintf(
			"%d targets, %d entries, %.0f requests/s for %s in virtual time, %d seeds. Prefill %s, half with a cached prefix, one at a time; decoding %s beside others. Reports are 200 ms late. Faults: one target at a third of its speed, one that restarts cold. Ours are the real reducers of entries and agents; the baselines have no limits.",
			fleetTargets, fleetEntries, choiceRate, choiceTime, seeds, prefillTime, decodeTime)},
		plot: func(file string) error { return plotBars(file, "First token p99 under faults, ms", names, p99s) },
	}
}

func plotBars(file, title string, names []string, values []float64) error {
	p := plot.New()
	p.Title.Text = title
	bars, err := plotter.NewBarChart(plotter.Values(values), vg.Points(30))
	if err != nil {
		return err
	}
	p.Add(bars)
	p.NominalX(names...)
	p.Y.Min = 0
	return p.Save(7*vg.Inch, 4*vg.Inch, file)
}
