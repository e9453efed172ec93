package admission

import (
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
	// coldBurst is the burst size of the cold rate, as a fraction of the requests that it
	// allows per second.
	coldBurst = 0.25
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
	connectionFailures int       // Since the last success.
	backoffUntil       time.Time // No requests are sent before this time.
	coldTokens         tokenBucket
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
		t.connectionFailures = 0
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

// exceedsColdRate reports whether this instance has used up its share of the target's
// cold rate. The rate applies to warm targets as well, because a target may become cold
// without reporting it.
func (t *target) exceedsColdRate(at time.Time, rate float64, entryCount int) bool {
	if rate <= 0 {
		return false
	}
	share := rate / float64(max(1, entryCount))
	t.coldTokens.refill(at, share, max(1, share*coldBurst))
	return t.coldTokens.tokens < 1
}
