package caller

import (
	"net/http"
	"testing"
	"time"

	"chervilswitch.example/platform/platformtest"

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
