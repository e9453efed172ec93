package admission

import (
	"time"

	"chervilswitch.example/shared/fleet"
)

const (
	// failureWeight smooths the outcomes of attempts on a target.
	failureWeight = 0.2
	// failurePenalty is how many running requests a target that always fails is
	// worth in a choice.
	failurePenalty = 12
	// minBackoff and maxBackoff bound how long a target is left alone after
	// connections to it failed.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 3 * time.Second
	// misplacedBackoff is how long a target is left alone whose address belongs to
	// another; its registration is corrected within the heartbeats' interval.
	misplacedBackoff = 5 * time.Second
	// fullBackoff is how long a target that was full is left alone.
	fullBackoff = 100 * time.Millisecond
	// slowWeight smooths the times to the first output.
	slowWeight = 0.2
	// coldBurst is the part of a second's cold requests that may come at once.
	coldBurst = 0.25
)

// target is what this instance knows of a target.
type target struct {
	fleet.Target
	running int
	pace    float64 // How many times slower than usual it is.
	// failures is the smoothed share of attempts that failed.
	failures float64
	// first is the smoothed time to the first output.
	first    time.Duration
	misses   int
	resting  time.Time // Until when it is left alone.
	coldRate bucket
}

// note takes the outcome of an attempt.
func (t *target) note(at time.Time, e AttemptResult) {
	bad := 0.0
	switch e.Outcome {
	case Failed, Broken, Unreachable:
		bad = 1
	}
	t.failures += failureWeight * (bad - t.failures)
	switch e.Outcome {
	case Good:
		t.misses = 0
		if t.first == 0 {
			t.first = e.TimeToFirstOutput
		}
		t.first += time.Duration(slowWeight * float64(e.TimeToFirstOutput-t.first))
	case Broken, Unreachable:
		t.rest(at, min(maxBackoff, minBackoff<<min(t.misses, 4)))
		t.misses++
	case Misplaced:
		t.rest(at, misplacedBackoff)
	case Full:
		t.rest(at, fullBackoff)
	}
}

func (t *target) rest(at time.Time, d time.Duration) {
	if until := at.Add(d); until.After(t.resting) {
		t.resting = until
	}
}

// cold reports whether a cold target has no room left in this instance's share.
// The limit holds for warm targets as well: a target may turn cold without notice.
func (t *target) cold(at time.Time, rate float64, entries int) bool {
	if rate <= 0 {
		return false
	}
	share := rate / float64(max(1, entries))
	t.coldRate.refill(at, share, max(1, share*coldBurst))
	return t.coldRate.tokens < 1
}
