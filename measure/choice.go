package main

import (
	"fmt"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Load and faults of the measurement. choiceRate is in requests per second; requests
// sent during choiceWarmup do not count towards the latencies.
const (
	choiceRate      = 260.0
	choiceDuration  = 40 * time.Second
	choiceWarmup    = 5 * time.Second
	slowTarget      = 3
	restartedTarget = 7
	restartAt       = 20 * time.Second
)

// choiceFigures holds the figures of one policy. Latencies are in milliseconds.
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

// latencies returns the times to the first token of successful calls after the
// warm-up, in milliseconds, overall and by organisation.
func (f *fleet) latencies() (all []float64, byOrganisation map[string][]float64) {
	byOrganisation = make(map[string][]float64)
	for _, c := range f.done {
		if c.sentAt < choiceWarmup || c.failed || c.refused || c.firstTokenAt == 0 {
			continue
		}
		ms := float64((c.firstTokenAt - c.sentAt).Microseconds()) / 1e3
		all = append(all, ms)
		byOrganisation[c.organisation] = append(byOrganisation[c.organisation], ms)
	}
	return all, byOrganisation
}

// fraction returns the fraction of finished calls for which matches returns true.
func (f *fleet) fraction(matches func(*call) bool) float64 {
	count := 0
	for _, c := range f.done {
		if matches(c) {
			count++
		}
	}
	return float64(count) / float64(max(1, len(f.done)))
}

// runChoice simulates a policy with each seed, either without faults or with a slow
// target and one that restarts.
func runChoice(policy targetPolicy, faults bool) choiceFigures {
	var p50, p95, p99, small, worst, prefixHits, refused, failed, cold []float64
	for seed := range uint64(seeds) {
		f := newFleet(policy, seed)
		if faults {
			f.targets[slowTarget].slowdown = 3
			f.after(restartAt, func() { f.restart(restartedTarget) })
		}
		f.after(time.Second, func() { f.generateLoad(choiceRate, choiceDuration) })
		f.run(choiceDuration + 5*time.Second)
		all, by := f.latencies()
		p50 = append(p50, quantile(all, 0.5))
		p95 = append(p95, quantile(all, 0.95))
		p99 = append(p99, quantile(all, 0.99))
		slowest, smallLatencies := 0.0, []float64(nil)
		for name, times := range by {
			slowest = max(slowest, quantile(times, 0.95)/quantile(all, 0.5))
			if strings.HasPrefix(name, "small") {
				smallLatencies = append(smallLatencies, times...)
			}
		}
		small = append(small, quantile(smallLatencies, 0.95))
		worst = append(worst, slowest)
		prefixHits = append(prefixHits, float64(f.prefixHits)/float64(f.sent))
		refused = append(refused, f.fraction(func(c *call) bool { return c.refused }))
		failed = append(failed, f.fraction(func(c *call) bool { return c.failed }))
		coldOverload := 0
		for _, t := range f.targets {
			coldOverload += t.coldOverload
		}
		cold = append(cold, float64(coldOverload))
	}
	return choiceFigures{
		P50: newSpread(p50), P95: newSpread(p95), P99: newSpread(p99), SmallP95: newSpread(small), WorstSlowdown: newSpread(worst),
		PrefixHits: newSpread(prefixHits), Refused: newSpread(refused), Failed: newSpread(failed), ColdOverload: newSpread(cold),
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
		for _, c := range targetPolicies {
			x := runChoice(c.policy, faults)
			figures[name][c.name] = x
			t.addRow(name, c.name, x.P50, x.P95, x.P99, x.SmallP95, x.WorstSlowdown, x.PrefixHits, x.Refused, x.Failed, x.ColdOverload)
			if faults {
				p99s, names = append(p99s, x.P99.Median), append(names, c.name)
			}
		}
	}
	return result{
		name: "Target choice", figures: figures, table: t,
		notes: []string{fmt.Sprintf(
			"%d targets, %d entries, %.0f requests/s for %s in virtual time, %d seeds. Prefill %s, half with a cached prefix, one at a time; decoding %s beside others. Reports are 200 ms late. Faults: one target at a third of its speed, one that restarts cold. Ours are the real reducers of entries and agents; the baselines have no limits.",
			fleetTargets, fleetEntries, choiceRate, choiceDuration, seeds, prefillTime, decodeTime)},
		plot: func(file string) error { return plotBars(file, "First token p99 under faults, ms", names, p99s) },
	}
}

// plotBars writes a bar chart as an image file.
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
