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
	// shown is when the group last showed anything, or began to have something to do.
	shown time.Time
	// paces lists how many times slower than usual the ranks are, fastest first.
	paces []float64
	// used is the pace of the slowest rank that is given requests.
	used float64
}

// modelled is the pass of a rank with a number of requests, without the experts'
// imbalance and without prompts.
func modelled(e *fleet.Engine, running float64) time.Duration {
	context := (e.MeanPromptTokens + e.MeanOutputTokens/2) / 1000
	step := float64(e.Step) + running*(float64(e.StepPerSequence)+context*float64(e.StepPerContext))
	return time.Duration(step * float64(e.Stride))
}

// delay is what a slow rank with requests of its own adds to every pass.
func delay(e *fleet.Engine, pace float64) float64 {
	return max(0, pace-1) * float64(modelled(e, 0))
}

// measure takes a pause between two events while ranks had so many requests each,
// and the slowest of those that had any was at a pace.
func (p *passModel) measure(at time.Time, e *fleet.Engine, gap time.Duration, running, pace float64) {
	p.shown = at
	seen := float64(gap) / float64(modelled(e, running))
	if slow := delay(e, pace); slow > 0 {
		seen = max(1, (float64(gap)-slow)/float64(modelled(e, running)))
	}
	seen = min(maxStretch, seen)
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

// plan chooses which ranks are given requests, by their pace, and how many each of
// them may run so that events come in time. A pass does not wait for a slow rank
// that has no requests: leaving it out serves more if the others have room.
func (p *passModel) plan(e *fleet.Engine, maxGap time.Duration) int {
	best, bestRate := e.Slots, 0.0
	p.used = 1
	for i, pace := range p.paces {
		if i+1 < len(p.paces) && p.paces[i+1] == pace {
			continue
		}
		limit := p.limit(e, maxGap, pace)
		if rate := float64((i+1)*limit) / p.pass(e, float64(limit), pace); rate > bestRate {
			best, bestRate, p.used = limit, rate, pace
		}
	}
	return best
}

// limit is how many requests a rank may run if none is slower than a pace.
func (p *passModel) limit(e *fleet.Engine, maxGap time.Duration, pace float64) int {
	base := float64(modelled(e, 0))
	perRequest := float64(modelled(e, 1)) - base
	if maxGap <= 0 || perRequest <= 0 {
		return e.Slots
	}
	budget := (gapShare*float64(maxGap) - delay(e, pace)) / p.factor()
	return min(e.Slots, max(1, int((budget-base)/perRequest)))
}

// pass is how long a pass takes with a number of requests on each rank that is used.
func (p *passModel) pass(e *fleet.Engine, running, pace float64) float64 {
	return delay(e, pace) + p.factor()*float64(modelled(e, running))
}

func (p *passModel) factor() float64 {
	if p.stretch == 0 {
		return startStretch
	}
	return p.stretch
}
