package caller

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"chervilswitch.example/platform/platformtest"
	"chervilswitch.example/router/store"
	"chervilswitch.example/shared/wait"

	qt "github.com/frankban/quicktest"
)

// The store refuses all readers of a large fleet, and serves the checkers. These know a draining
// target within the 2 s of the shortest bound, the readers within a second more, and all know a
// new configuration within it.
func TestChangesAreKnownWhileReadersAreRefused(t *testing.T) {
	const instances, readers, bound = 10, 2, 2 * time.Second
	d := deploy(t, 0, map[string]platformtest.Handler{"i-1": echo, "i-2": echo})
	var refused atomic.Bool
	proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if refused.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		d.store.ServeHTTP(w, r)
	}))
	t.Cleanup(proxy.Close)
	direct := d.storeAddress
	d.storeAddress = netip.MustParseAddrPort(proxy.Listener.Addr().String())
	for range readers {
		d.startInstance(t)
	}
	d.storeAddress = direct
	for range instances - readers {
		d.startInstance(t)
	}
	go func() { // A target's heartbeats.
		for wait.Sleep(t.Context(), 100*time.Millisecond) {
			d.store.PutTarget("i-2", d.replicas["i-2"].Registration("svc", "dc-a", "ready"))
		}
	}()
	d.awaitMembership()
	for _, r := range d.routers[readers:] {
		d.eventually("an instance is a covered checker", func() bool {
			return r.storePace() == store.CheckerPace && time.Since(r.storeCoverage().TargetsAt) < time.Second
		})
	}
	time.Sleep(bound) // The checkers' reads at their start are over.
	refused.Store(true)
	time.Sleep(bound / 4)
	d.store.PutTarget("i-1", d.replicas["i-1"].Registration("svc", "dc-a", "draining"))
	began := time.Now()
	await := func(routers []*Router, bound time.Duration) {
		for _, r := range routers {
			d.eventually("the target is known to drain", func() bool { return len(r.core.View().Targets["svc"]) == 1 })
		}
		d.Check(time.Since(began) < bound, qt.IsTrue)
		d.Logf("%d instances know after %s", len(routers), time.Since(began))
	}
	await(d.routers[readers:], bound)
	await(d.routers[:readers], bound+time.Second)
	d.configure(5, "k5")
	began = time.Now()
	d.awaitVersion(5)
	d.Check(time.Since(began) < bound, qt.IsTrue, qt.Commentf("after %s", time.Since(began)))
}
