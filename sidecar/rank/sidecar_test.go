package rank

import (
	"testing"
	"time"

	"chervilswitch.example/shared/ranks"

	qt "github.com/frankban/quicktest"
)

// Each query costs the engine's instance processor time. They are frequent only while the
// rank may be in a switch, whose steps wait for the reports of all ranks.
func TestQueriesAreFrequentInSwitchesOnly(t *testing.T) {
	const interval = 200 * time.Millisecond
	idle := ranks.Report{Open: true, Map: 3, Prepared: 3}
	with := func(change func(r *ranks.Report)) ranks.Report {
		changed := idle
		change(&changed)
		return changed
	}
	for name, test := range map[string]struct {
		report     ranks.Report
		sinceOrder time.Duration // 0 if there was none.
		interval   time.Duration
		pause      time.Duration
	}{
		"idle":            {report: idle, interval: interval, pause: interval},
		"engine is down":  {interval: interval, pause: interval},
		"old order":       {report: idle, sinceOrder: time.Minute, interval: interval, pause: interval},
		"copying":         {report: idle, sinceOrder: settleTime / 2, interval: interval, pause: switchPollInterval},
		"prepared":        {report: with(func(r *ranks.Report) { r.Prepared = 4 }), interval: interval, pause: switchPollInterval},
		"armed":           {report: with(func(r *ranks.Report) { r.Armed = 4 }), interval: interval, pause: switchPollInterval},
		"held":            {report: with(func(r *ranks.Report) { r.Held = true }), interval: interval, pause: switchPollInterval},
		"no interval":     {report: idle, pause: minPollInterval},
		"held, no pause":  {report: with(func(r *ranks.Report) { r.Held = true }), pause: minPollInterval},
		"short intervals": {report: idle, interval: 15 * time.Millisecond, pause: 15 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			s := &Sidecar{}
			if test.sinceOrder > 0 {
				s.lastOrder = time.Now().Add(-test.sinceOrder)
			}
			qt.Assert(t, s.pollPause(test.interval, test.report), qt.Equals, test.pause)
		})
	}
}

// Counts are most of what sidecars and the planner send each other: nothing is sent for an idle
// rank, and what was selected while no counts were sent is in the next ones.
func TestCountsAreSentOnce(t *testing.T) {
	c := qt.New(t)
	w := watcher{}
	c.Check(w.difference([]uint64{5, 0, 7}, 1), qt.IsNil)
	c.Check(w.difference([]uint64{5, 0, 7}, 1), qt.IsNil)
	c.Check(w.difference([]uint64{6, 0, 9}, 1), qt.DeepEquals, []uint32{1, 0, 2})
	c.Check(w.difference([]uint64{1, 0, 1}, 2), qt.IsNil, qt.Commentf("a restart clears the counts"))
	c.Check(w.difference([]uint64{1, 4, 1}, 2), qt.DeepEquals, []uint32{0, 4, 0})
}
