package admission

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The popular experts change every four seconds, and passes take 2.5 times as long for half a
// second, until the expert map has followed. The load is half of what the group can run with
// usual passes. Streams outlast such a shift, so that refusing new ones does not shorten its
// passes: at most one request in 100 is refused.
func TestShortShiftsRefuseFew(t *testing.T) {
	c := qt.New(t)
	shifts := func(at time.Duration) float64 {
		if at >= 2*time.Second && at%(4*time.Second) < 500*time.Millisecond {
			return 3
		}
		return 1.2
	}
	r := runSimulations(func() simulation {
		return simulation{ranks: 12, perSecond: steady(50), passRatio: shifts, duration: 40 * time.Second, retries: true}
	})
	c.Logf("%s", r)
	c.Assert(share(r.refused, r.submitted) <= 0.01, qt.IsTrue)
	c.Assert(r.abandoned, qt.Equals, 0)
}
