package admission

import (
	"math"
	"time"

	"chervilswitch.example/shared/fleet"
)

const (
	// failureWeight is the weight of the latest attempt in a target's share of failures.
	failureWeight = 0.2
	// failurePenalty is the penalty, in running requests, of a target that always
	// fails.
	failurePenalty = 12
	// minBackoff and maxBackoff bound the exponential backoff after failed
	// connections.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 3 * time.Second
	// misplacedBackoff is the backoff of a target if another one listens at its address.
	// Its registration is corrected within the heartbeat interval.
	misplacedBackoff = 5 * time.Second
	// fullBackoff is the backoff of a target that was full.
	fullBackoff = 100 * time.Millisecond
	// latencyWeight is the weight of the latest time to first output.
	latencyWeight = 0.2
)

// target is the state of a target on this instance.
type target struct {
	fleet.Target
	running int     // Requests of this instance.
	pace    float64 // At least 1; see GroupReport.Paces.
	// failures is the smoothed share of failed attempts.
	failures float64
	// timeToFirstOutput is smoothed; 0 before the first measurement.
	timeToFirstOutput  time.Duration
	measuredAt         time.Time // When timeToFirstOutput was last measured.
	connectionFailures int       // Since the last success.
	backoffUntil       time.Time // No requests are sent before this time.
	// outstanding is the work of this instance's requests.
	outstanding outstanding
	// notice holds what the target's responses say about the requests that it wants.
	notice *knownNotice
	// coldRate and namedRate are the shares of the service's cold rate and of the limit
	// that the target names.
	coldRate, namedRate rateShare
}

// recordResult updates the target with the result of an attempt.
func (t *target) recordResult(at time.Time, e AttemptResult) {
	failed := 0.0
	switch e.Outcome {
	case Failed, Broken, Unreachable:
		failed = 1
	}
	t.failures += failureWeight * (failed - t.failures)
	switch e.Outcome {
	case Good:
		t.connectionFailures, t.measuredAt = 0, at
		if t.timeToFirstOutput == 0 {
			t.timeToFirstOutput = e.TimeToFirstOutput
		}
		t.timeToFirstOutput += time.Duration(latencyWeight * float64(e.TimeToFirstOutput-t.timeToFirstOutput))
	case Broken, Unreachable:
		t.backOff(at, min(maxBackoff, minBackoff<<min(t.connectionFailures, 4)))
		t.connectionFailures++
	case Misplaced:
		t.backOff(at, misplacedBackoff)
	case Full:
		t.backOff(at, fullBackoff)
	}
}

// backOff extends the target's backoff to d from now on.
func (t *target) backOff(at time.Time, d time.Duration) {
	if until := at.Add(d); until.After(t.backoffUntil) {
		t.backoffUntil = until
	}
}

// rateWait returns how long this instance must wait until it may send a request to t, the
// i-th target of a service: 0 if it may, noToken if it has no share of a rate. The cold
// rate applies to warm targets as well, because a target may become cold without
// reporting it.
func (st *State) rateWait(at time.Time, s *service, t *target, i int) time.Duration {
	wait := time.Duration(0)
	if s.ColdRate > 0 {
		t.coldRate.update(at, coldRateBound, s.ColdRate, &st.entries, s, i)
		wait = t.coldRate.wait(at)
	}
	limit := st.limits.perSecond(t)
	if limit == 0 {
		if t.namedRate.rate > 0 {
			t.namedRate = rateShare{}
		}
		return wait
	}
	t.namedRate.update(at, namedRateBound, limit, &st.entries, s, i)
	return max(wait, t.namedRate.wait(at))
}

// updateShares updates the shares of the rates of all targets of a service.
func (st *State) updateShares(at time.Time, s *service) {
	for i, id := range s.targetIDs {
		st.rateWait(at, s, s.targets[id], i)
	}
}

// takeTokens counts a request against the target's rates.
func (t *target) takeTokens() {
	for _, r := range []*rateShare{&t.coldRate, &t.namedRate} {
		if r.rate > 0 {
			r.tokens.take()
		}
	}
}

// lowestRate returns this instance's share of the target's rates in requests per second.
func (t *target) lowestRate() float64 {
	lowest := math.Inf(1)
	for _, r := range []*rateShare{&t.coldRate, &t.namedRate} {
		if r.rate > 0 {
			lowest = min(lowest, r.perSecond)
		}
	}
	return lowest
}
