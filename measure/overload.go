package main

import (
	"fmt"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	// fleetCapacity is the fleet's throughput in requests per second: its slots divided
	// by the 0.42 s of prefillTime and decodeTime.
	fleetCapacity    = fleetTargets * fleetWarmLimit / 0.42
	overloadDuration = 20 * time.Second
	recoveryDuration = 10 * time.Second
	targetFailsAt    = 10 * time.Second
	callerRetries    = 3
)

// overloadLevels are multiples of fleetCapacity.
var overloadLevels = []float64{0.5, 0.8, 1, 1.5, 2, 3}

// overloadFigures holds the figures at one level of offered load. Rates are per second.
type overloadFigures struct {
	Level    float64 `json:"level"`
	Goodput  spread  `json:"goodput"`
	FirstTry spread  `json:"inTimeOfFirstTry"`
	Attempts spread  `json:"attemptsPerRequest"`
	Recovery spread  `json:"inTimeAfterLoadFell"`
}

// runOverload simulates an overload during which a target fails, followed by load at
// half of the capacity. It counts the responses whose first token met the latency
// objective.
func runOverload(policy targetPolicy, level float64) overloadFigures {
	var goodput, firstTry, attempts, recovery []float64
	for seed := range uint64(seeds) {
		f := newFleet(policy, seed)
		f.retries = callerRetries
		f.after(targetFailsAt, func() { f.targets[0].dead = true })
		f.after(time.Second, func() { f.generateLoad(level*fleetCapacity, overloadDuration) })
		f.after(overloadDuration, func() { f.generateLoad(fleetCapacity/2, overloadDuration+recoveryDuration) })
		f.run(overloadDuration + recoveryDuration + 5*time.Second)
		good, first, attempted, submissions, after, afterGood := 0, 0, 0, 0, 0, 0
		for _, c := range f.done {
			attempted += c.attempts
			submissions += c.submissions
			ok := !c.failed && !c.refused && c.firstTokenAt-c.submittedAt <= firstTokenObjective && c.firstTokenAt > 0
			if c.submittedAt < overloadDuration && ok {
				good++
				if c.submissions == 1 {
					first++
				}
			}
			if c.sentAt > overloadDuration+recoveryDuration/2 {
				after++
				if ok {
					afterGood++
				}
			}
		}
		goodput = append(goodput, float64(good)/(overloadDuration-time.Second).Seconds())
		firstTry = append(firstTry, float64(first)/(overloadDuration-time.Second).Seconds())
		attempts = append(attempts, float64(attempted)/float64(max(1, submissions)))
		recovery = append(recovery, float64(afterGood)/float64(max(1, after)))
	}
	return overloadFigures{Level: level, Goodput: newSpread(goodput), FirstTry: newSpread(firstTry), Attempts: newSpread(attempts), Recovery: newSpread(recovery)}
}

func measureOverload() result {
	t := newTable("policy", "offered / capacity", "answers in time /s", "of these at the first try", "attempts a submission", "in time after load fell")
	figures := make(map[string][]overloadFigures)
	for _, c := range targetPolicies {
		if c.name != "ours" && c.name != "roundRobin" && c.name != "powerOfTwo" {
			continue
		}
		for _, level := range overloadLevels {
			x := runOverload(c.policy, level)
			figures[c.name] = append(figures[c.name], x)
			t.addRow(c.name, level, x.Goodput, x.FirstTry, x.Attempts, x.Recovery)
		}
	}
	return result{
		name: "Overload and retry storms", figures: figures, table: t,
		notes: []string{fmt.Sprintf(
			"Offered load as a part of %.0f requests/s for %s, then half of capacity for %s. One target dies at %s. Callers send again up to %d times what failed or was refused. In time is a first token within %s of the submission that was answered; a refusal says at once when to submit again. Attempts count what was sent to a target or its agent, for each submission of a caller.",
			fleetCapacity, overloadDuration, recoveryDuration, targetFailsAt, callerRetries, firstTokenObjective)},
		plot: func(file string) error { return plotOverload(file, figures) },
	}
}

// plotOverload plots the goodput of each policy over the offered load.
func plotOverload(file string, figures map[string][]overloadFigures) error {
	p := plot.New()
	p.Title.Text = "Answers in time under overload"
	p.X.Label.Text = "offered / capacity"
	p.Y.Label.Text = "answers in time /s"
	p.Y.Min = 0
	var lines []any
	for _, c := range targetPolicies {
		points := make(plotter.XYs, 0, len(figures[c.name]))
		for _, x := range figures[c.name] {
			points = append(points, plotter.XY{X: x.Level, Y: x.Goodput.Median})
		}
		if len(points) > 0 {
			lines = append(lines, c.name, points)
		}
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(7*vg.Inch, 4*vg.Inch, file)
}
