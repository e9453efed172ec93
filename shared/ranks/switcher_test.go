package ranks

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Every pass runs with one map on all ranks, whatever becomes of orders, holders of
// the duty and ranks.
func TestAdversaryNeverSplitsMaps(t *testing.T) {
	switches := 0
	for seed := range uint64(150) {
		w := newWorld(seed, 2+int(seed%5), true)
		if broken := w.run(4000, true); broken != "" {
			t.Fatalf("seed %d: %s", seed, broken)
		}
		switches += w.switches
	}
	qt.Assert(t, switches > 1000, qt.IsTrue, qt.Commentf("%d switches", switches))
}

// Engines that ignore fencing tokens are protected by the sidecars' memory and by
// the expected sequence.
func TestAdversaryWithoutFencing(t *testing.T) {
	for seed := range uint64(60) {
		w := newWorld(seed, 3, false)
		if broken := w.run(4000, true); broken != "" {
			t.Fatalf("seed %d: %s", seed, broken)
		}
	}
}

// Once faults end, switches go on: nothing stays held or armed for good.
func TestSwitchesGoOnAfterFaults(t *testing.T) {
	for seed := range uint64(60) {
		w := newWorld(seed, 4, true)
		c := qt.New(t)
		c.Assert(w.run(2000, true), qt.Equals, "", qt.Commentf("seed %d", seed))
		last := w.planners[len(w.planners)-1]
		last.dead, last.paused = false, 0
		w.loss = 0
		before, step := w.switches, w.step
		c.Assert(w.run(3000, false), qt.Equals, "")
		c.Assert(w.switches > before+3, qt.IsTrue, qt.Commentf("seed %d: %d switches, phase %s, step %d", seed, w.switches-before, last.switcher.Phase(), w.step))
		c.Assert(w.step > step+100, qt.IsTrue, qt.Commentf("seed %d: %d passes, phase %s", seed, w.step-step, last.switcher.Phase()))
	}
}

// A switch without faults holds the group for a few passes at most.
func TestSwitchWithoutFaults(t *testing.T) {
	w := newWorld(1, 12, true)
	w.loss = 0
	c := qt.New(t)
	c.Assert(w.run(2000, false), qt.Equals, "")
	c.Assert(w.switches >= 10, qt.IsTrue, qt.Commentf("%d switches", w.switches))
	c.Assert(w.undone, qt.Equals, 0)
}

func TestPhasesHaveNames(t *testing.T) {
	for p := idle; p <= releasing; p++ {
		qt.Assert(t, fmt.Sprint(p), qt.Not(qt.Equals), "")
	}
}
