package caller

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"chervilswitch.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
)

// refuseFirst returns a handler that refuses the first request and passes the others to
// another handler.
func refuseFirst(next platformtest.Handler) platformtest.Handler {
	var served atomic.Int32
	return func(w *platformtest.ResponseWriter, r platformtest.Run) {
		if served.Add(1) == 1 {
			w.RejectNotExecuted()
			return
		}
		next(w, r)
	}
}

// refuseAs writes a refusal with an attempt ID.
func refuseAs(w *platformtest.ResponseWriter, attempt string) {
	own := w.Attempt
	w.Attempt = attempt
	w.RejectNotExecuted()
	w.Attempt = own
}

// A faulty target writes an earlier refusal once more on a kept connection. Nobody is told
// that a request has not run that the target runs, and none runs twice.
func TestRefusalWrittenTwiceIsNoAnswerToLaterRequests(t *testing.T) {
	work := 20 * time.Millisecond
	for name, test := range map[string]struct {
		second  string // The attempt ID of the second request; that of the first is "a".
		handler platformtest.Handler
		// lost is set where no answer can be told from the copy; it must not be a refusal.
		lost bool
	}{
		"with the earlier ID, while the request runs": {second: "b", handler: func(w *platformtest.ResponseWriter, r platformtest.Run) {
			refuseAs(w, "a")
			time.Sleep(work)
			echo(w, r)
		}},
		"without an ID, while the request runs": {second: "b", handler: func(w *platformtest.ResponseWriter, r platformtest.Run) {
			refuseAs(w, "")
			time.Sleep(work)
			echo(w, r)
		}},
		"with the earlier ID, together with the answer": {second: "b", handler: func(w *platformtest.ResponseWriter, r platformtest.Run) {
			time.Sleep(work)
			refuseAs(w, "a")
			echo(w, r)
		}},
		"caller repeats its ID": {second: "a", handler: func(w *platformtest.ResponseWriter, r platformtest.Run) {
			if !w.IsFirstRequest() {
				refuseAs(w, "a")
			}
			time.Sleep(work)
			echo(w, r)
		}},
		"with the ID of the request that was answered": {second: "b", lost: true, handler: func(w *platformtest.ResponseWriter, r platformtest.Run) {
			time.Sleep(work)
			w.Batch(func() {
				refuseAs(w, "b")
				echo(w, r)
			})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			d := deploy(t, 1, map[string]platformtest.Handler{"i-1": refuseFirst(test.handler)})
			d.Assert(d.mustCall(platformtest.Call{Path: nonIdempotentPath, Attempt: "a"}).status, qt.Equals, http.StatusServiceUnavailable)
			time.Sleep(100 * time.Millisecond) // The target's backoff ends.
			a := d.mustCall(platformtest.Call{Path: nonIdempotentPath, Attempt: test.second})
			if test.lost {
				d.Assert(a.status, qt.Equals, http.StatusBadGateway)
			} else {
				d.Assert(a.status, qt.Equals, http.StatusOK, qt.Commentf("%s", a.body))
				d.Assert(a.body, qt.Equals, "echo "+test.second)
			}
			d.Assert(d.runs(), qt.HasLen, 2) // The refused one and this one.
		})
	}
}

// The copy arrives on the idle connection, before another request is sent.
func TestRefusalOnIdleConnectionEndsIt(t *testing.T) {
	d := deploy(t, 1, map[string]platformtest.Handler{"i-1": refuseFirst(func(w *platformtest.ResponseWriter, r platformtest.Run) {
		echo(w, r)
		time.Sleep(10 * time.Millisecond)
		refuseAs(w, "a")
	})})
	d.Assert(d.mustCall(platformtest.Call{Path: nonIdempotentPath, Attempt: "a"}).status, qt.Equals, http.StatusServiceUnavailable)
	for _, attempt := range []string{"b", "c", "d"} {
		time.Sleep(100 * time.Millisecond)
		d.Assert(d.mustCall(platformtest.Call{Path: nonIdempotentPath, Attempt: attempt}).body, qt.Equals, "echo "+attempt)
	}
	d.Assert(d.runs(), qt.HasLen, 4)
}

// The copy arrives between two events of a stream, whose bytes it spoils. The stream
// continues elsewhere; callers see none of it.
func TestRefusalInsideStreamIsNotForwarded(t *testing.T) {
	var spoiled atomic.Bool
	handler := func(w *platformtest.ResponseWriter, r platformtest.Run) {
		if !spoiled.CompareAndSwap(false, true) {
			streamEvents(1, 4)(w, r)
			return
		}
		w.StartStream()
		w.WriteEvent(1)
		refuseAs(w, "earlier")
		w.WriteEvent(2)
		w.EndStream()
	}
	d := deploy(t, 1, map[string]platformtest.Handler{"i-1": handler, "i-2": handler})
	a := d.mustCall(platformtest.Call{Path: streamPath, Attempt: "b"})
	d.Assert(a.cut, qt.IsFalse)
	d.Assert(a.body, qt.Equals, expectedStream(1, 4))
}
