package caller

import (
	"testing"

	"chervilswitch.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
)

// Targets learn the priority of requests where routes differ in it; a stream that resumes at
// another target is one more urgent. Where all are alike, they learn none. Requests without an
// organisation have the route's priority.
func TestTargetsLearnUrgency(t *testing.T) {
	for priority, urgencies := range map[int][2]string{0: {"", ""}, 2: {"2", "1"}} {
		handler := cutAfterTwoEvents(streamEvents(1, 4))
		d := deploy(t, 1, map[string]platformtest.Handler{"i-1": handler, "i-2": handler})
		routes := testRoutes("svc")
		routes[2].Priority, routes[2].Anonymous = priority, true
		d.store.PutConfiguration(platformtest.Configuration(2, routes, map[string]string{testKey: "org"}))
		d.eventually("the change has been applied", func() bool { return d.routers[0].core.View().Configuration.Version == 2 })
		d.Assert(d.mustCall(platformtest.Call{Path: streamPath, Attempt: "a", Key: "unknown"}).body, qt.Equals, expectedStream(1, 4))
		d.Assert(d.runs(), qt.HasLen, 2)
		for _, run := range d.runs() {
			i := 0
			if run.LastEvent != "" {
				i = 1
			}
			d.Check(run.Urgency, qt.Equals, urgencies[i])
		}
	}
}
