package ranks

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// All ranks run each pass with the same map, although orders get lost or are executed
// late, leaders stop or pause, and ranks restart.
func TestAdversaryNeverSplitsMaps(t *testing.T) {
	switches := 0
	for seed := range uint64(150) {
		s := newSimulation(seed, 2+int(seed%5), true)
		if violation := s.run(4000, true); violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
		switches += s.switches
	}
	qt.Assert(t, switches > 1000, qt.IsTrue, qt.Commentf("%d switches", switches))
}

// Engines that ignore fencing tokens are protected by the highest tokens that the
// sidecars store and by the expected sequence of each order.
func TestAdversaryWithoutFencing(t *testing.T) {
	for seed := range uint64(60) {
		s := newSimulation(seed, 3, false)
		if violation := s.run(4000, true); violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
	}
}

// After faults end, passes and switches continue: no rank stays held or armed.
func TestSwitchesResumeAfterFaults(t *testing.T) {
	for seed := range uint64(60) {
		s := newSimulation(seed, 4, true)
		c := qt.New(t)
		c.Assert(s.run(2000, true), qt.Equals, "", qt.Commentf("seed %d", seed))
		last := s.planners[len(s.planners)-1]
		last.dead, last.paused = false, 0
		s.lossRate = 0
		before, step := s.switches, s.step
		c.Assert(s.run(3000, false), qt.Equals, "")
		c.Assert(s.switches > before+3, qt.IsTrue, qt.Commentf("seed %d: %d switches, phase %s, step %d", seed, s.switches-before, last.switcher.Phase(), s.step))
		c.Assert(s.step > step+100, qt.IsTrue, qt.Commentf("seed %d: %d passes, phase %s", seed, s.step-step, last.switcher.Phase()))
	}
}

// Without faults, switches complete and none is aborted.
func TestSwitchWithoutFaults(t *testing.T) {
	s := newSimulation(1, 12, true)
	s.lossRate = 0
	c := qt.New(t)
	c.Assert(s.run(2000, false), qt.Equals, "")
	c.Assert(s.switches >= 10, qt.IsTrue, qt.Commentf("%d switches", s.switches))
	c.Assert(s.aborted, qt.Equals, 0)
}

func TestEveryPhaseHasAName(t *testing.T) {
	for p := idle; p <= releasing; p++ {
		qt.Assert(t, fmt.Sprint(p), qt.Not(qt.Equals), "")
	}
}
