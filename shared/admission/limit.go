package admission

import (
	"math"
	"time"

	"chervilswitch.example/shared/fleet"
)

const (
	// gapShare is the fraction of the longest allowed gap that the mean pass may take.
	// Reading prompts lengthens a pass by up to half.
	gapShare = 0.72
	// gapHalfLife is the half-life of the smoothed gaps; a pass takes about 0.1 s.
	gapHalfLife = 150 * time.Millisecond
	// riseHalfLife is the half-life with which the usual ratio rises. Passes that are long
	// until the expert map has followed a shift, in about half a second, raise it little.
	riseHalfLife = 2 * time.Second
	// initialRatio is the ratio of the actual to the modelled pass that is assumed
	// before the first measurement. With an expert map that does not match the demand,
	// a pass takes three times as long.
	initialRatio = 2.2
	// maxRatio bounds the measured ratio, so that a stall does not stop admission.
	maxRatio = 6
	// requestsPerPlainSlot is the number of requests, running or queued at the target,
	// that a plain service, which has no engine, may have for each slot.
	requestsPerPlainSlot = 1
)

// passModel estimates the duration of a group's passes from measured gaps. All ranks of a
// group execute a pass together; it produces one event of each running stream.
type passModel struct {
	// latest is the smoothed ratio of the measured to the modelled pass; 0 before the first
	// measurement. ratio follows it down at once and up slowly.
	latest, ratio float64
	gap           time.Duration // Smoothed gap between events.
	at            time.Time     // Time of the last measurement.
	// lastOutput is when the group last produced output, or received a request while
	// it was idle.
	lastOutput time.Time
	// pausedUntil is when the group receives requests again, after a target reported that
	// it waits for a missing rank.
	pausedUntil time.Time
	// paces holds the paces of all ranks in ascending order; see GroupReport.Paces.
	paces []float64
	// maxUsedPace is the pace of the slowest rank that receives requests.
	maxUsedPace float64
}

// modelledPass returns the duration of a pass on a rank that runs a number of requests,
// without prompts and without imbalance between the experts.
func modelledPass(e *fleet.Engine, running float64) time.Duration {
	context := (e.MeanPromptTokens + e.MeanOutputTokens/2) / 1000
	step := float64(e.Step) + running*(float64(e.StepPerSequence)+context*float64(e.StepPerContext))
	return time.Duration(step * float64(e.Stride))
}

// slowRankDelay returns the time, in nanoseconds, that a slow rank with requests adds to
// every pass of its group.
func slowRankDelay(e *fleet.Engine, pace float64) float64 {
	return max(0, pace-1) * float64(modelledPass(e, 0))
}

// observe updates the estimate with a gap between two events. running is the mean number
// of requests per rank, and pace is the pace of the slowest rank with requests.
func (p *passModel) observe(at time.Time, e *fleet.Engine, gap time.Duration, running, pace float64) {
	p.lastOutput = at
	observed := float64(gap) / float64(modelledPass(e, running))
	if slowDelay := slowRankDelay(e, pace); slowDelay > 0 {
		observed = max(1, (float64(gap)-slowDelay)/float64(modelledPass(e, running)))
	}
	observed = min(maxRatio, observed)
	if p.latest == 0 {
		p.latest, p.ratio, p.gap, p.at = observed, observed, gap, at
		return
	}
	// Streams of one pass report their gaps together, so the weight grows with the
	// time since the last measurement.
	elapsed := max(at.Sub(p.at), time.Millisecond)
	p.latest += weightAfter(elapsed, gapHalfLife) * (observed - p.latest)
	p.ratio = min(p.latest, p.ratio+weightAfter(elapsed, riseHalfLife)*(p.latest-p.ratio))
	p.gap += time.Duration(weightAfter(elapsed, gapHalfLife) * float64(gap-p.gap))
	p.at = at
}

// weightAfter returns the weight of a measurement that follows the last one after a time.
func weightAfter(elapsed, halfLife time.Duration) float64 {
	return 1 - math.Exp2(-float64(elapsed)/float64(halfLife))
}

// plan chooses the pace up to which ranks receive requests and the limit of requests per
// rank, for the highest throughput with events on time. It sets maxUsedPace and returns
// the limit. A pass does not wait for a slow rank without requests, so excluding that
// rank can raise the throughput of the others.
func (p *passModel) plan(e *fleet.Engine, maxGap time.Duration) int {
	bestLimit, bestRate := e.Slots, 0.0
	p.maxUsedPace = 1
	for i, pace := range p.paces {
		if i+1 < len(p.paces) && p.paces[i+1] == pace {
			continue
		}
		limit := p.limit(e, maxGap, pace)
		if rate := float64((i+1)*limit) / p.passDuration(e, float64(limit), pace); rate > bestRate {
			bestLimit, bestRate, p.maxUsedPace = limit, rate, pace
		}
	}
	return bestLimit
}

// limit returns the number of requests that each rank may run if the slowest used rank
// has the given pace.
func (p *passModel) limit(e *fleet.Engine, maxGap time.Duration, pace float64) int {
	base := float64(modelledPass(e, 0))
	perRequest := float64(modelledPass(e, 1)) - base
	if maxGap <= 0 || perRequest <= 0 {
		return e.Slots
	}
	budget := (gapShare*float64(maxGap) - slowRankDelay(e, pace)) / p.currentRatio()
	return min(e.Slots, max(1, int((budget-base)/perRequest)))
}

// passDuration returns the estimated duration of a pass, in nanoseconds, if each used
// rank runs a number of requests and the slowest has the given pace.
func (p *passModel) passDuration(e *fleet.Engine, running, pace float64) float64 {
	return slowRankDelay(e, pace) + p.currentRatio()*float64(modelledPass(e, running))
}

// currentRatio returns the measured ratio, or initialRatio before the first measurement.
func (p *passModel) currentRatio() float64 {
	if p.ratio == 0 {
		return initialRatio
	}
	return p.ratio
}
