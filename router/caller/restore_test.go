package caller

import (
	"net/http"
	"testing"
	"time"

	"chervilswitch.example/platform/platformtest"
	"chervilswitch.example/shared/fleet"

	qt "github.com/frankban/quicktest"
)

// configure publishes a configuration in which only the given key is valid.
func (d *deployment) configure(version int, key string) {
	d.store.PutConfiguration(platformtest.Configuration(version, testRoutes("svc"), map[string]string{key: "org"}))
}

// awaitVersion waits until all instances use a version of the configuration.
func (d *deployment) awaitVersion(version uint64) {
	for _, r := range d.routers {
		d.eventually("the version is in force", func() bool { return r.core.View().Configuration.Version == version })
	}
}

func TestConfigurationAcknowledgedAfterRestoreIsInForce(t *testing.T) {
	for name, rewrites := range map[string]int{"at a lower offset": 1, "at the same offset": 2, "at a higher offset": 3} {
		t.Run(name, func(t *testing.T) {
			d := deploy(t, 2, map[string]platformtest.Handler{"i-1": echo})
			copied := d.store.Copy()
			d.configure(3, "k3")
			d.configure(5, "k5")
			d.awaitVersion(5)
			d.store.Restore(copied)
			for range rewrites - 1 {
				d.configure(5, "k5")
			}
			d.configure(7, "k7")
			d.awaitVersion(7)
			for _, r := range d.routers {
				accepted, err := d.callInstance(t.Context(), r, platformtest.Call{Path: nonIdempotentPath, Attempt: "a", Key: "k7"})
				d.Assert(err, qt.IsNil)
				d.Assert(accepted.status, qt.Equals, http.StatusOK)
			}
		})
	}
}

func TestRestoredCopyDoesNotRevertConfiguration(t *testing.T) {
	d := deploy(t, 1, map[string]platformtest.Handler{"i-1": echo})
	copied := d.store.Copy()
	d.configure(5, "k5")
	d.awaitVersion(5)
	d.store.Restore(copied)
	time.Sleep(time.Second)
	d.awaitVersion(5)
	d.startInstance(t)
	d.eventually("the new instance receives what the store has lost", func() bool {
		c := d.routers[1].core.View().Configuration
		return c != nil && c.Version == 5
	})
}

// The read of a topic that has as many records as before waits for another one.
func TestRestoreThatOneTopicShowsEndsReadsOfTheOthers(t *testing.T) {
	d := deploy(t, 1, map[string]platformtest.Handler{"i-1": echo})
	copied := d.store.Copy()
	d.configure(5, "k5")
	d.awaitVersion(5)
	d.store.Restore(copied)
	d.configure(7, "k7")
	began := time.Now()
	d.awaitVersion(7)
	d.Assert(time.Since(began) < 1500*time.Millisecond, qt.IsTrue, qt.Commentf("in force after %s", time.Since(began)))
}

// served reports whether the first instance serves a request.
func (d *deployment) served() bool {
	return d.mustCall(platformtest.Call{Path: nonIdempotentPath, Attempt: "a"}).status == http.StatusOK
}

func TestEvacuationThatRestoreLosesStaysInForceUntilWrittenAgain(t *testing.T) {
	for name, again := range map[string]bool{"written again": true, "not written again": false} {
		t.Run(name, func(t *testing.T) {
			d := deploy(t, 1, map[string]platformtest.Handler{"i-1": echo})
			copied := d.store.Copy()
			d.store.Evacuate("dc-a", true)
			d.eventually("the data centre is evacuated", func() bool { return !d.served() })
			d.store.Restore(copied)
			d.store.PutTarget("i-1", d.replicas["i-1"].Registration("svc", "dc-a", "ready"))
			rewrite := time.Now().Add(time.Second)
			for time.Now().Before(rewrite) {
				d.Assert(d.served(), qt.IsFalse)
				time.Sleep(10 * time.Millisecond)
			}
			if !again {
				d.eventually("the evacuation ends", d.served)
				return
			}
			d.store.Evacuate("dc-a", true)
			for time.Since(rewrite) < 2*time.Second {
				d.Assert(d.served(), qt.IsFalse)
				time.Sleep(10 * time.Millisecond)
			}
			d.store.Evacuate("dc-a", false)
			d.eventually("the evacuation ends", d.served)
		})
	}
}

func TestTargetsThatRestoreLosesHaveTimeToRegister(t *testing.T) {
	d := deploy(t, 1, map[string]platformtest.Handler{"i-1": echo})
	known := func() int { return len(d.routers[0].core.View().Targets["svc"]) }
	copied := d.store.Copy()
	d.startReplica(t, "i-2", echo)
	d.eventually("the target is in use", func() bool { return known() == 2 })
	d.store.Restore(copied)
	for began := time.Now(); time.Since(began) < 1500*time.Millisecond; time.Sleep(10 * time.Millisecond) {
		d.Assert(known(), qt.Equals, 2)
	}
	d.eventually("a target that does not register is gone", func() bool { return known() == 1 })
}

func TestTargetThatRestoreShowsAsReadyGetsNoRequests(t *testing.T) {
	d := deploy(t, 1, map[string]platformtest.Handler{"i-1": echo, "i-2": echo, "i-3": echo})
	known := func() int { return len(d.routers[0].core.View().Targets["svc"]) }
	copied := d.store.Copy()
	d.store.PutTarget("i-1", d.replicas["i-1"].Registration("svc", "dc-a", "draining"))
	d.store.PutTarget("i-2", nil)
	d.eventually("one target is draining and one is gone", func() bool { return known() == 1 })
	d.store.Restore(copied)
	for began := time.Now(); time.Since(began) < 3*time.Second; time.Sleep(10 * time.Millisecond) {
		d.Assert(known(), qt.Equals, 1)
	}
	d.store.PutTarget("i-1", d.replicas["i-1"].Registration("svc", "dc-a", "ready"))
	d.eventually("a target that registers again is in use", func() bool { return known() == 2 })
}

func TestOwnRecordsThatRestoreLosesAreWrittenAgain(t *testing.T) {
	var d *deployment
	handlers := make(map[string]platformtest.Handler)
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		handlers[id] = crashOnPart("bad", func() { d.replicas[id].Close() })
	}
	d = deploy(t, 1, handlers)
	keys := func() (keys []string) {
		listing, err := d.routers[0].store.List(t.Context(), fleet.EntryTopic)
		d.Assert(err, qt.IsNil)
		for _, r := range listing.Records {
			keys = append(keys, r.Key)
		}
		return keys
	}
	d.store.Restore(platformtest.StoreCopy{}) // Also of a copy from before the start.
	d.eventually("the registration is written again", func() bool { return len(keys()) == 1 })
	copied := d.store.Copy()
	d.mustCall(platformtest.Call{Path: streamPath, Attempt: "a", Prompt: "bad:9,own:5"})
	d.eventually("the crash is stored", func() bool { return len(keys()) == 2 })
	written := keys()
	d.store.Restore(copied)
	d.eventually("the crash is written again", func() bool { return len(keys()) == 2 })
	d.Assert(keys(), qt.DeepEquals, written)
}
