package admission

import (
	"math"
	"time"

	"chervilswitch.example/shared/fleet"
)

const (
	// gapShare is the part of the longest allowed pause that the mean pass may
	// take. Prompts that are read in a pass lengthen it by up to half.
	gapShare = 0.72
	// gapHalfLife smooths the measured pauses; a pass takes about 0.1 s.
	gapHalfLife = 400 * time.Millisecond
	// startStretch is how many times longer than its model a pass is assumed to be
	// before any was measured: maps that fit nobody's requests triple it.
	startStretch = 2.2
	// maxStretch bounds the stretch; stalls are not a reason to admit nothing.
	maxStretch = 6
	// plainDepth is how many requests a slot of a plain service may have, run and
	// queued at the target.
	plainDepth = 1
)

// passModel estimates how long passes of a service's engines take.
type passModel struct {
	// stretch is the measured pass over the modelled one; 0 before any measurement.
	stretch float64
	gap     time.Duration
	at      time.Time
}

// modelled is the pass of a rank with a number of requests, without the experts'
// imbalance and without prompts.
func modelled(e *fleet.Engine, running float64) time.Duration {
	context := (e.UsualPrompt + e.UsualAnswer/2) / 1000
	step := float64(e.Step) + running*(float64(e.StepPerSequence)+context*float64(e.StepPerContext))
	return time.Duration(step * float64(e.Stride))
}

// measure takes a pause between two events while ranks had so many requests each.
func (p *passModel) measure(at time.Time, e *fleet.Engine, gap time.Duration, running float64) {
	seen := min(maxStretch, float64(gap)/float64(modelled(e, running)))
	if p.stretch == 0 {
		p.stretch, p.gap, p.at = seen, gap, at
		return
	}
	// Pauses of streams on the same pass come together; each counts for its time.
	weight := 1 - math.Exp2(-float64(max(at.Sub(p.at), time.Millisecond))/float64(gapHalfLife))
	p.stretch += weight * (seen - p.stretch)
	p.gap += time.Duration(weight * float64(gap-p.gap))
	p.at = at
}

// limit is how many requests a rank may run so that events come in time.
func (p *passModel) limit(e *fleet.Engine, maxGap time.Duration) int {
	if maxGap <= 0 {
		return e.Slots
	}
	stretch := p.stretch
	if stretch == 0 {
		stretch = startStretch
	}
	budget := gapShare * float64(maxGap) / stretch
	base := float64(modelled(e, 0))
	perRequest := float64(modelled(e, 1)) - base
	if perRequest <= 0 {
		return e.Slots
	}
	return min(e.Slots, max(1, int((budget-base)/perRequest)))
}
