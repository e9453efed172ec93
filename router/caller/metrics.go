package caller

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// latencyBuckets span a fast lookup to the longest stream.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.6, 18)

// metrics are the router's counters and histograms.
type metrics struct {
	scope tally.Scope
	// first is the time to a stream's first event, and gap that between events.
	first, gap tally.Histogram
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		scope: scope,
		first: scope.Histogram("first_event", latencyBuckets),
		gap:   scope.Histogram("event_gap", latencyBuckets),
	}
}

// ended counts a request by its outcome.
func (m metrics) ended(outcome string, took time.Duration) {
	tagged := m.scope.Tagged(map[string]string{"outcome": outcome})
	tagged.Counter("requests").Inc(1)
	tagged.Histogram("request", latencyBuckets).RecordDuration(took)
}
