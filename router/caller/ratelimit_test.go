package caller

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chervilswitch.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
)

// arrivals records when requests reached a target.
type arrivals struct {
	mutex sync.Mutex
	times []time.Time
}

func (a *arrivals) record() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.times = append(a.times, time.Now())
}

// most returns the largest number of arrivals within a window that begins at or after a
// time.
func (a *arrivals) most(from time.Time, window time.Duration) int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	largest := 0
	for i, first := range a.times {
		count := 0
		for _, at := range a.times[i:] {
			if !first.Before(from) && at.Sub(first) < window {
				count++
			}
		}
		largest = max(largest, count)
	}
	return largest
}

// sendPaced sends idempotent requests to all instances in turn for a duration, and
// returns the number of those that were not answered with status 200.
func (d *deployment) sendPaced(prefix string, interval, duration time.Duration) int {
	var failed atomic.Int64
	var callers sync.WaitGroup
	for i := range int(duration / interval) {
		instance := d.routers[i%len(d.routers)]
		callers.Go(func() {
			a, err := d.callInstance(context.Background(), instance, platformtest.Call{Path: idempotentPath, Attempt: prefix + strconv.Itoa(i)})
			if err != nil || a.status != http.StatusOK {
				failed.Add(1)
			}
		})
		time.Sleep(interval)
	}
	callers.Wait()
	return int(failed.Load())
}

func TestLimitThatTargetNamesHoldsOverAllInstances(t *testing.T) {
	const (
		perSecond = 2.0
		window    = 4 * time.Second
		allowed   = 1.5*perSecond*4 + 5
		interval  = 20 * time.Millisecond
	)
	var limited atomic.Bool
	var received arrivals
	limiting := func(w *platformtest.ResponseWriter, r platformtest.Run) {
		received.record()
		if limited.Load() {
			w.WriteResponse(http.StatusOK, "echo "+r.Attempt, platformtest.RateLimit(perSecond))
			return
		}
		echo(w, r)
	}
	slower := func(w *platformtest.ResponseWriter, r platformtest.Run) {
		time.Sleep(5 * time.Millisecond) // The limited target is preferred.
		echo(w, r)
	}
	d := deploy(t, 3, map[string]platformtest.Handler{"i-1": limiting, "i-2": slower})
	d.awaitMembership()
	limited.Store(true)
	failed := d.sendPaced("first", interval, time.Second)
	from := time.Now()
	failed += d.sendPaced("limited", interval, window)
	d.Check(failed, qt.Equals, 0) // The other target has room for all requests.
	count := received.most(from, window)
	d.Check(count <= int(allowed), qt.IsTrue, qt.Commentf("%d requests in %s, %g allowed", count, window, allowed))
	d.Check(count >= int(perSecond*window.Seconds()/2), qt.IsTrue, qt.Commentf("%d requests in %s", count, window))

	limited.Store(false)
	d.sendPaced("reported", interval, 3*time.Second)
	from = time.Now()
	d.sendPaced("unlimited", interval, time.Second)
	count = received.most(from, time.Second)
	d.Check(count > int(allowed), qt.IsTrue, qt.Commentf("%d requests in a second without a limit", count))
}
