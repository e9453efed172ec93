package caller

import (
	"net/http"
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
