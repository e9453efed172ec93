package core

import (
	"testing"
	"time"

	"chervilswitch.example/shared/admission"
	"chervilswitch.example/shared/fleet"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
)

// callTimeout is many times what any call takes.
const callTimeout = 5 * time.Second

// Callbacks that ran under the core's mutex took another one that is held while the core is
// called. A crash of a target under load then stopped all requests of an instance for good.
func TestCallbacksMayUseTheCore(t *testing.T) {
	now := time.Now()
	crash := admission.CrashReport{Target: "i-1", Incarnation: 1, At: now, Reporter: "entry-b", Begun: []string{"part"}}
	limit := admission.TargetLimit{Target: "i-1", Incarnation: 1, PerSecond: 5, At: now}
	for name, test := range map[string]struct {
		change func(c *Core)
		called string
	}{
		"a target crashed": {called: "quarantine", change: func(c *Core) {
			c.HandleEvent(admission.CrashEvidence{Reports: []admission.CrashReport{crash}})
		}},
		"a target named a limit": {called: "limit", change: func(c *Core) {
			c.HandleEvent(admission.ResponseHead{Limit: limit})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			called := make(chan string, 1)
			var c *Core
			use := func(callback string) {
				c.End(fleet.TargetTopic)
				called <- callback
			}
			c = New(Options{
				Instance: "entry-a", Logger: &log.Logger{Handler: discard.Default},
				QuarantineChanged:  func(admission.QuarantineChanged) { use("quarantine") },
				TargetLimitChanged: func() { use("limit") },
			})
			go test.change(c)
			select {
			case callback := <-called:
				qt.Assert(t, callback, qt.Equals, test.called)
			case <-time.After(callTimeout):
				t.Fatal("the callback did not return: the core is locked while it runs")
			}
		})
	}
}
