package caller

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"chervilswitch.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
)

func TestTargetThatAsksForPauseGetsNoRequestsFromThatInstance(t *testing.T) {
	asked := new(arrivals)
	d := deploy(t, 1, map[string]platformtest.Handler{
		"i-1": func(w *platformtest.ResponseWriter, _ platformtest.Run) {
			asked.record()
			w.RejectNotExecuted(platformtest.Pause("1.5"))
		},
		"i-2": echo, "i-3": echo,
	})
	began := time.Now()
	d.Assert(d.sendPaced("a", 10*time.Millisecond, 2800*time.Millisecond), qt.Equals, 0)
	d.Assert(asked.most(began, 1400*time.Millisecond) <= 1, qt.IsTrue, qt.Commentf("%d arrivals within a pause", asked.most(began, 1400*time.Millisecond)))
	d.Assert(asked.most(began, 3*time.Second) > 0, qt.IsTrue)
}

func TestAllTargetsPauseIsRefusedWithTheTimeThatTheyName(t *testing.T) {
	pausing := func(w *platformtest.ResponseWriter, _ platformtest.Run) {
		w.RejectNotExecuted(platformtest.Pause("60"))
	}
	d := deploy(t, 1, map[string]platformtest.Handler{"i-1": pausing, "i-2": pausing})
	for range 2 {
		d.mustCall(platformtest.Call{Path: idempotentPath, Attempt: "a"})
	}
	began := time.Now()
	refused := d.mustCall(platformtest.Call{Path: idempotentPath, Attempt: "b"})
	d.Assert(refused.status, qt.Equals, http.StatusServiceUnavailable)
	d.Assert(platformtest.RetryAfter(refused.header), qt.Matches, `59\.\d\d`)
	d.Assert(time.Since(began) < 100*time.Millisecond, qt.IsTrue)
	d.Assert(d.runs(), qt.HasLen, 2)
}

func TestTargetThatSaysItLeavesGetsNoRequests(t *testing.T) {
	var leaving atomic.Bool
	d := deploy(t, 2, map[string]platformtest.Handler{
		"i-1": func(w *platformtest.ResponseWriter, r platformtest.Run) {
			if leaving.Load() {
				w.WriteResponse(http.StatusOK, "echo "+r.Attempt, platformtest.Leaving())
				return
			}
			echo(w, r)
		},
		"i-2": echo,
	})
	d.awaitMembership()
	leaving.Store(true)
	d.Assert(d.sendPaced("a", 10*time.Millisecond, 300*time.Millisecond), qt.Equals, 0)
	time.Sleep(500 * time.Millisecond) // Until the other instance has heard of it.
	before := len(d.replicas["i-1"].Runs())
	d.Assert(d.sendPaced("b", 10*time.Millisecond, 500*time.Millisecond), qt.Equals, 0)
	d.Assert(d.replicas["i-1"].Runs(), qt.HasLen, before)
}
