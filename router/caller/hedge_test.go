package caller

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"chervilswitch.example/platform/platformtest"
	"chervilswitch.example/shared/admission"

	qt "github.com/frankban/quicktest"
)

// longTimeout is the timeout of idempotent requests: an attempt that nobody cancels ends after
// attemptShare of it.
const longTimeout = 30 * time.Second

// deployHedged starts an instance with second attempts after 60 ms, and two replicas. The
// first of them that receives a request uses one handler, the second another.
func deployHedged(t *testing.T, first, second platformtest.Handler) *deployment {
	var received atomic.Int32
	handler := func(w *platformtest.ResponseWriter, r platformtest.Run) {
		if received.Add(1) == 1 {
			first(w, r)
			return
		}
		second(w, r)
	}
	d := deploy(t, 1, map[string]platformtest.Handler{"i-1": handler, "i-2": handler})
	routes := testRoutes("svc")
	routes[0].Timeout = longTimeout
	d.store.PutConfiguration(platformtest.Configuration(2, routes, map[string]string{testKey: "org"}))
	core := d.routers[0].core
	d.eventually("the timeout is in force", func() bool { return core.ConfigurationVersion() == 2 })
	core.HandleEvent(admission.HedgeLimit{Share: 1})
	for range 32 {
		core.HandleEvent(admission.AttemptResult{Service: "svc", TimeToFirstOutput: 30 * time.Millisecond})
	}
	return d
}

// stream sends three events.
func stream(w *platformtest.ResponseWriter, _ platformtest.Run) {
	w.StartStream()
	for id := range 3 {
		w.WriteEvent(id + 1)
	}
	w.EndStream()
	w.Close()
}

// untilClosed returns a handler that sends nothing until its connection is closed.
func untilClosed(closed chan<- struct{}) platformtest.Handler {
	return func(w *platformtest.ResponseWriter, _ platformtest.Run) {
		_, _ = w.Conn.Read(make([]byte, 1))
		closed <- struct{}{}
		w.Close()
	}
}

// The second attempt gives output first: its response is forwarded whole, and the first one
// is cancelled.
func TestSecondAttemptWinsAndFirstIsCancelled(t *testing.T) {
	for path, answer := range map[string]platformtest.Handler{idempotentPath: echo, streamPath: stream} {
		t.Run(path, func(t *testing.T) {
			closed := make(chan struct{}, 2)
			d := deployHedged(t, untilClosed(closed), answer)
			began := time.Now()
			a := d.mustCall(platformtest.Call{Path: path, Attempt: "a"})
			<-closed
			d.Assert(time.Since(began).Seconds() < attemptShare/2*longTimeout.Seconds(), qt.IsTrue)
			d.Assert(a.status, qt.Equals, http.StatusOK)
			d.Assert(a.cut, qt.IsFalse)
			d.Assert(platformtest.Signed(a.header), qt.IsTrue)
			if path == idempotentPath {
				d.Assert(a.body, qt.Equals, "echo a")
			} else {
				d.Assert(strings.Count(a.body, "id:"), qt.Equals, 3, qt.Commentf("%s", a.body))
			}
			d.Assert(d.replicas["i-1"].Runs(), qt.HasLen, 1)
			d.Assert(d.replicas["i-2"].Runs(), qt.HasLen, 1)
			d.eventually("no request runs", func() bool { return len(d.routers[0].core.Running()) == 0 })
		})
	}
}

// The second attempt fails while the first one runs: the caller gets the response of the
// first.
func TestFailedSecondAttemptDoesNotShow(t *testing.T) {
	for name, fail := range map[string]platformtest.Handler{
		"reset": func(w *platformtest.ResponseWriter, _ platformtest.Run) { w.Reset() },
		"error": func(w *platformtest.ResponseWriter, _ platformtest.Run) {
			w.WriteResponse(http.StatusInternalServerError, "no")
		},
		"rejected": func(w *platformtest.ResponseWriter, _ platformtest.Run) { w.RejectNotExecuted() },
	} {
		t.Run(name, func(t *testing.T) {
			failed := make(chan struct{})
			d := deployHedged(t, func(w *platformtest.ResponseWriter, r platformtest.Run) {
				<-failed
				time.Sleep(50 * time.Millisecond) // The failure arrives first.
				echo(w, r)
			}, func(w *platformtest.ResponseWriter, r platformtest.Run) {
				fail(w, r)
				close(failed)
			})
			a := d.mustCall(platformtest.Call{Path: idempotentPath, Attempt: "a"})
			d.Assert(a.status, qt.Equals, http.StatusOK)
			d.Assert(a.body, qt.Equals, "echo a")
			d.Assert(d.runs(), qt.HasLen, 2)
		})
	}
}

// A caller that leaves cancels both attempts.
func TestCallerThatLeavesCancelsBothAttempts(t *testing.T) {
	closed := make(chan struct{}, 2)
	ctx, leave := context.WithCancel(context.Background())
	d := deployHedged(t, untilClosed(closed), func(w *platformtest.ResponseWriter, r platformtest.Run) {
		leave()
		untilClosed(closed)(w, r)
	})
	_, err := d.call(ctx, platformtest.Call{Path: streamPath, Attempt: "a"})
	d.Assert(err, qt.IsNotNil)
	<-closed
	<-closed
	d.eventually("no request runs", func() bool { return len(d.routers[0].core.Running()) == 0 })
}

// A request that may run once gets no second attempt, however slow the first one is.
func TestNonIdempotentRequestGetsNoSecondAttempt(t *testing.T) {
	d := deployHedged(t, func(w *platformtest.ResponseWriter, r platformtest.Run) {
		time.Sleep(300 * time.Millisecond)
		echo(w, r)
	}, echo)
	d.Assert(d.mustCall(platformtest.Call{Path: nonIdempotentPath, Attempt: "a"}).status, qt.Equals, http.StatusOK)
	d.Assert(d.runs(), qt.HasLen, 1)
}

func TestHedgeShareIsChecked(t *testing.T) {
	c := qt.New(t)
	for share, valid := range map[float64]bool{-0.1: false, 0: true, 0.02: true, 1: true, 1.1: false} {
		o := Options{HedgeShare: share}
		c.Assert(strings.Contains(o.check().Error(), "hedgeShare"), qt.Equals, !valid)
	}
}
