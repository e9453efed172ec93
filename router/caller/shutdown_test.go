package caller

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"chervilswitch.example/platform/platformtest"
	"chervilswitch.example/shared/settings"

	qt "github.com/frankban/quicktest"
)

// A request that starts while the instance stops must be able to finish, whatever its kind.
func TestStoppingInstanceStartsWhatCanFinish(t *testing.T) {
	began := time.Now()
	stop := plannedStop{began: began, grace: 8 * time.Second}
	for name, test := range map[string]struct {
		after, left time.Duration
		starts      bool
	}{
		"short":                      {left: time.Second, starts: true},
		"short, late":                {after: 6 * time.Second, left: time.Second, starts: true},
		"short, too late":            {after: 7 * time.Second, left: time.Second},
		"long":                       {left: 8 * time.Second},
		"long, just short enough":    {after: time.Second, left: 6600 * time.Millisecond, starts: true},
		"after the end":              {after: 8 * time.Second, left: time.Millisecond},
		"just before the answer end": {after: 7500 * time.Millisecond, left: 90 * time.Millisecond, starts: true},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, stop.mayStart(began.Add(test.after+test.left)), qt.Equals, test.starts)
		})
	}
}

// stopWithin begins the planned stop of the first instance, with a grace period.
func (d *deployment) stopWithin(grace time.Duration) {
	options := *d.routers[0].current.Load()
	options.GracePeriod = settings.Duration(grace)
	d.routers[0].current.Store(&options)
	d.stops[0]()
	d.eventually("the instance stops", d.routers[0].isStopping)
}

// Requests that came late in the grace period were sent to targets and cut off at its end.
// They are refused, on new connections and on kept ones, and have not run.
func TestStoppingInstanceRefusesWhatCannotFinish(t *testing.T) {
	const grace = 3 * time.Second
	d := deploy(t, 1, map[string]platformtest.Handler{"i-1": func(w *platformtest.ResponseWriter, r platformtest.Run) {
		if r.Body != "long" {
			echo(w, r)
			return
		}
		time.Sleep(2 * grace)
	}})
	kept := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	send := func(client *http.Client, c platformtest.Call) result {
		d.Helper()
		d.client = client
		return d.mustCall(c)
	}
	d.Assert(send(kept, platformtest.Call{Path: nonIdempotentPath, Attempt: "before"}).status, qt.Equals, http.StatusOK)
	d.stopWithin(grace)
	time.Sleep(grace / 4)
	for name, client := range map[string]*http.Client{"kept": kept, "new": {Transport: &http.Transport{DisableCompression: true}}} {
		for _, path := range []string{nonIdempotentPath, streamPath} {
			a := send(client, platformtest.Call{Path: path, Attempt: name + path, Body: "long"})
			d.Check(a.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s connection, path %s", name, path))
			d.Check(platformtest.RetryAfter(a.header), qt.Not(qt.Equals), "")
		}
	}
	d.Check(d.runs(), qt.HasLen, 1, qt.Commentf("refused requests have run"))
	a := send(kept, platformtest.Call{Path: nonIdempotentPath, Attempt: "short", Left: 500 * time.Millisecond})
	d.Check(a.status, qt.Equals, http.StatusOK)
}

// What is still in flight at the end of the grace period is answered, not cut off.
func TestStoppingInstanceAnswersWhatIsLeft(t *testing.T) {
	const grace = time.Second
	d := deploy(t, 1, map[string]platformtest.Handler{"i-1": func(w *platformtest.ResponseWriter, _ platformtest.Run) {
		time.Sleep(2 * grace)
		w.Close()
	}})
	type answer struct {
		result
		err error
	}
	paths := []string{nonIdempotentPath, streamPath}
	answers := make(chan answer, len(paths))
	for i, path := range paths {
		go func() {
			a, err := d.call(context.Background(), platformtest.Call{Path: path, Attempt: strconv.Itoa(i)})
			answers <- answer{a, err}
		}()
	}
	d.eventually("the requests run", func() bool { return len(d.runs()) == len(paths) })
	d.stopWithin(grace)
	for range paths {
		a := <-answers
		d.Assert(a.err, qt.IsNil)
		d.Check(a.status, qt.Equals, http.StatusBadGateway)
		d.Check(a.cut, qt.IsFalse)
	}
}
