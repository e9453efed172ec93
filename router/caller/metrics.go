package caller

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// latencyBuckets cover durations from a fast lookup, 5 ms, to a long stream, 15 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.6, 18)

// metrics are the router's counters and histograms.
type metrics struct {
	scope tally.Scope
	// timeToFirst is the time to a stream's first event; eventGap is the time between
	// consecutive events.
	timeToFirst, eventGap tally.Histogram
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		scope:       scope,
		timeToFirst: scope.Histogram("first_event", latencyBuckets),
		eventGap:    scope.Histogram("event_gap", latencyBuckets),
	}
}

// recordRequest counts a finished request and records its duration by outcome.
func (m metrics) recordRequest(outcome string, took time.Duration) {
	tagged := m.scope.Tagged(map[string]string{"outcome": outcome})
	tagged.Counter("requests").Inc(1)
	tagged.Histogram("request", latencyBuckets).RecordDuration(took)
}

// recordQuarantine counts a change of the quarantine by its kind.
func (m metrics) recordQuarantine(change string) {
	m.scope.Tagged(map[string]string{"change": change}).Counter("quarantine_changes").Inc(1)
}

// recordCut counts a client that was cut off. Clients may come before the metrics are set up.
func (m metrics) recordCut(listener, reason string) {
	if m.scope != nil {
		m.scope.Tagged(map[string]string{"listener": listener, "reason": reason}).Counter("client_cuts").Inc(1)
	}
}
