package main

import (
	"context"
	"fmt"
	"time"

	"chervilswitch.example/demo/site"
	"chervilswitch.example/operate/desk"
	"chervilswitch.example/shared/operator"
	"chervilswitch.example/shared/platform"
	"chervilswitch.example/standin/engine"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
)

const (
	moveReplicas        = 12
	moveWarmLimit       = 8
	moveColdLimit       = 4
	moveBeforeDuration  = 3 * time.Second
	moveOutDuration     = 5 * time.Second
	moveBackDuration    = 5 * time.Second
	shareSampleInterval = 250 * time.Millisecond
	movedDataCentre     = "sfax-b"
	// steadyShare is the fraction of its fair share of requests at which a returned
	// data centre counts as steady.
	steadyShare = 0.8
)

// moveFigures holds the figures at one load level. Latencies are in milliseconds.
type moveFigures struct {
	Level                   string `json:"level"`
	Lost                    spread `json:"lost"`
	NotRunButRan            spread `json:"notRunButRan"`
	RanTwice                spread `json:"ranTwice"`
	ColdOverload            spread `json:"coldOverload"`
	LastNewWorkAfterSeconds spread `json:"lastNewWorkAfterSeconds"`
	FirstTokenP95Before     spread `json:"firstTokenP95Before"`
	FirstTokenP95During     spread `json:"firstTokenP95During"`
	FirstTokenP95After      spread `json:"firstTokenP95After"`
	Refused                 spread `json:"refused"`
	SecondsToSteady         spread `json:"secondsToSteady"`
}

// moveRun holds the figures of one run.
type moveRun struct {
	lost, notRunButRan, ranTwice, coldOverload, lastNewWork float64
	before, during, after, refused, steady                  float64
}

// measureMove takes a data centre of a deployment out and brings it back, at several
// load levels.
func measureMove(ctx context.Context) (result, error) {
	t := newTable("load of what remains", "lost", "not run but ran", "ran twice", "cold overload", "last new work s", "p95 before ms", "during", "after", "refused", "s to steady")
	var all []moveFigures
	slots := float64(moveReplicas * 2 / 3 * moveWarmLimit)
	for _, level := range []float64{0.6, 0.9} {
		var runs []moveRun
		for range seeds {
			run, err := moveOnce(ctx, int(level*slots))
			if err != nil {
				return result{}, err
			}
			runs = append(runs, run)
		}
		f := newMoveFigures(fmt.Sprintf("%.0f%%", 100*level), runs)
		all = append(all, f)
		t.addRow(f.Level, f.Lost, f.NotRunButRan, f.RanTwice, f.ColdOverload, f.LastNewWorkAfterSeconds,
			f.FirstTokenP95Before, f.FirstTokenP95During, f.FirstTokenP95After, f.Refused, f.SecondsToSteady)
	}
	return result{
		name: "A data centre leaves and returns", figures: all, table: t,
		notes: []string{
			fmt.Sprintf("The real daemons on loopback: 4 entries, %d replicas, 3 order desks, 3 data centres; %d runs each. Callers send one request after another; their number is the part of the slots of the two data centres that remain.", moveReplicas, seeds),
			"Not run: the baselines of this measurement (take-out by health checks alone, and our policy without ramp-up).",
		},
	}, nil
}

func newMoveFigures(level string, runs []moveRun) moveFigures {
	summarize := func(f func(moveRun) float64) spread {
		values := make([]float64, len(runs))
		for i, r := range runs {
			values[i] = f(r)
		}
		return newSpread(values)
	}
	return moveFigures{
		Level:                   level,
		Lost:                    summarize(func(r moveRun) float64 { return r.lost }),
		NotRunButRan:            summarize(func(r moveRun) float64 { return r.notRunButRan }),
		RanTwice:                summarize(func(r moveRun) float64 { return r.ranTwice }),
		ColdOverload:            summarize(func(r moveRun) float64 { return r.coldOverload }),
		LastNewWorkAfterSeconds: summarize(func(r moveRun) float64 { return r.lastNewWork }),
		FirstTokenP95Before:     summarize(func(r moveRun) float64 { return r.before }),
		FirstTokenP95During:     summarize(func(r moveRun) float64 { return r.during }),
		FirstTokenP95After:      summarize(func(r moveRun) float64 { return r.after }),
		Refused:                 summarize(func(r moveRun) float64 { return r.refused }),
		SecondsToSteady:         summarize(func(r moveRun) float64 { return r.steady }),
	}
}

// moveOnce takes the data centre out and brings it back once, under the load of a number
// of callers.
func moveOnce(ctx context.Context, callers int) (moveRun, error) {
	var run moveRun
	s, err := site.Start(ctx, site.Options{
		Entries: 4, Replicas: moveReplicas, Plains: 3, ColdLimit: moveColdLimit, WarmLimit: moveWarmLimit,
		Engine:      engine.Options{Step: 20 * time.Millisecond, Prefill: 20 * time.Millisecond, CachedPrefixes: 8, ReportLag: 200 * time.Millisecond},
		AddressKeep: time.Second, Logger: &log.Logger{Handler: discard.Default, Level: log.InfoLevel},
	})
	if err != nil {
		return run, err
	}
	defer s.Close()
	if err := s.AwaitReady(ctx); err != nil {
		return run, err
	}
	load := site.NewLoadGenerator(s)
	load.Start(ctx, callers)
	time.Sleep(moveBeforeDuration) // Let the targets warm up.
	run.before = phaseP95(load, moveBeforeDuration)
	accepted, err := setDataCentreOut(ctx, s, true)
	if err != nil {
		return run, err
	}
	run.during = phaseP95(load, moveOutDuration)
	run.lastNewWork = max(0, lastReceivedAt(s).Sub(accepted).Seconds())
	if _, err := setDataCentreOut(ctx, s, false); err != nil {
		return run, err
	}
	load.Reset()
	run.steady = secondsToSteady(s)
	time.Sleep(moveBackDuration - time.Duration(run.steady*float64(time.Second)))
	run.after = milliseconds(load.Stats().FirstTokenP95)
	load.Stop()
	run.collectCounts(s, load)
	return run, nil
}

func (r *moveRun) collectCounts(s *site.Site, load *site.LoadGenerator) {
	stats := load.Stats()
	twice, notRunButRan := load.CheckDeposits()
	r.lost, r.refused = float64(stats.Unknown+stats.Mixed), float64(stats.NotRun)
	r.ranTwice, r.notRunButRan = float64(twice), float64(notRunButRan)
	for _, e := range s.Engines {
		r.coldOverload += float64(e.Counts().ColdOverload)
	}
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1e3 }

// phaseP95 waits for the duration of a phase and returns its 95th percentile of the time
// to the first token, in milliseconds.
func phaseP95(load *site.LoadGenerator, phase time.Duration) float64 {
	load.Reset()
	time.Sleep(phase)
	return milliseconds(load.Stats().FirstTokenP95)
}

// setDataCentreOut takes the data centre out or brings it back, and returns the time at
// which the change was accepted.
func setDataCentreOut(ctx context.Context, s *site.Site, out bool) (time.Time, error) {
	p := desk.NewPublisher(platform.NewClient(s.Platform, nil))
	if err := p.Refresh(ctx); err != nil {
		return time.Time{}, err
	}
	edit, err := desk.DataCentreOutEdit(movedDataCentre, p.Config().Inventory().DataCentres[movedDataCentre], out)
	if err != nil {
		return time.Time{}, err
	}
	_, err = p.Publish(ctx, "measure", []operator.Edit{edit})
	return time.Now(), err
}

// lastReceivedAt returns the time at which the moved data centre received its last
// request.
func lastReceivedAt(s *site.Site) time.Time {
	var last time.Time
	for name, e := range s.Engines {
		if at := e.Counts().LastReceived; s.Inventory.Instances[name].DataCentre == movedDataCentre && at.After(last) {
			last = at
		}
	}
	return last
}

// secondsToSteady waits until the returned data centre receives steadyShare of its fair
// share of requests, and returns the time waited, at most about moveBackDuration.
func secondsToSteady(s *site.Site) float64 {
	started := time.Now()
	moved, all := countReceived(s)
	for time.Since(started) < moveBackDuration-shareSampleInterval {
		time.Sleep(shareSampleInterval)
		movedNow, allNow := countReceived(s)
		share := float64(movedNow-moved) / float64(max(1, allNow-all))
		if share >= steadyShare/float64(len(site.DataCentres)) {
			break
		}
		moved, all = movedNow, allNow
	}
	return time.Since(started).Seconds()
}

// countReceived returns the number of requests received by the moved data centre and by
// all.
func countReceived(s *site.Site) (moved, all int) {
	for name, e := range s.Engines {
		count := e.Counts().Received
		all += count
		if s.Inventory.Instances[name].DataCentre == movedDataCentre {
			moved += count
		}
	}
	return moved, all
}
