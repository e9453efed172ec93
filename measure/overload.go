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
	// fleetCapacity is what the targets' decoding lets through: slots over time.
	fleetCapacity  = fleetTargets * fleetWarm / 0.42
	overloadTime   = 20 * time.Second
	overloadTail   = 10 * time.Second
	overloadDiesAt = 10 * time.Second
	callerRetries  = 3
)

var overloadLevels = []float64{0.5, 0.8, 1, 1.5, 2, 3}

// overloadFigures are the figures at one level of offered load.
type overloadFigures struct {
	Level    float64 `json:"level"`
	Goodput  spread  `json:"goodput"`
	FirstTry spread  `json:"inTimeOfFirstTry"`
	Attempts spread  `json:"attemptsPerRequest"`
	Recovery spread  `json:"inTimeAfterLoadFell"`
}

// runOverload counts answers whose first token came in time, by second of load.
func runOverload(kind chooser, level float64) overloadFigures {
	var goodput, firstTry, attempts, recovery []float64
	for seed := range uint64(seeds) {
		f := newFleet(kind, seed)
		f.retries = callerRetries
		f.after(overloadDiesAt, func() { f.targets[0].dead = true })
		f.after(time.Second, func() { f.offer(level*fleetCapacity, overloadTime) })
		f.after(overloadTime, func() { f.offer(fleetCapacity/2, overloadTime+overloadTail) })
		f.run(overloadTime + overloadTail + 5*time.Second)
		good, first, attempted, tries, after, afterGood := 0, 0, 0, 0, 0, 0
		for _, c := range f.done {
			attempted += c.attempts
			tries += c.tries
			ok := !c.failed && !c.refused && c.firstAt-c.triedAt <= inTime && c.firstAt > 0
			if c.triedAt < overloadTime && ok {
				good++
				if c.tries == 1 {
					first++
				}
			}
			if c.sentAt > overloadTime+overloadTail/2 {
				after++
				if ok {
					afterGood++
				}
			}
		}
		goodput = append(goodput, float64(good)/(overloadTime-time.Second).Seconds())
		firstTry = append(firstTry, float64(first)/(overloadTime-time.Second).Seconds())
		attempts = append(attempts, float64(attempted)/float64(max(1, tries)))
		recovery = append(recovery, float64(afterGood)/float64(max(1, after)))
	}
	return overloadFigures{Level: level, Goodput: newSpread(goodput), FirstTry: newSpread(firstTry), Attempts: newSpread(attempts), Recovery: newSpread(recovery)}
}

func measureOverload() result {
	t := newTable("policy", "offered / capacity", "answers in time /s", "of these at the first try", "attempts a submission", "in time after load fell")
	figures := make(map[string][]overloadFigures)
	for _, c := range choosers {
		if c.name != "ours" && c.name != "roundRobin" && c.name != "powerOfTwo" {
			continue
		}
		for _, level := range overloadLevels {
			x := runOverload(c.kind, level)
			figures[c.name] = append(figures[c.name], x)
			t.add(c.name, level, x.Goodput, x.FirstTry, x.Attempts, x.Recovery)
		}
	}
	return result{
		name: "Overload and retry storms", figures: figures, table: t,
		notes: []string{fmt.Sprintf(
			"Offered load as a part of %.0f requests/s for %s, then half of capacity for %s. One target dies at %s. Callers send again up to %d times what failed or was refused. In time is a first token within %s of the submission that was answered; a refusal says at once when to submit again. Attempts count what was sent to a target or its agent, for each submission of a caller.",
			fleetCapacity, overloadTime, overloadTail, overloadDiesAt, callerRetries, inTime)},
		plot: func(file string) error { return plotOverload(file, figures) },
	}
}

func plotOverload(file string, figures map[string][]overloadFigures) error {
	p := plot.New()
	p.Title.Text = "Answers in time under overload"
	p.X.Label.Text = "offered / capacity"
	p.Y.Label.Text = "answers in time /s"
	p.Y.Min = 0
	var lines []any
	for _, c := range choosers {
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
