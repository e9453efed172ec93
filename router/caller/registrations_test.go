package caller

import (
	"encoding/json"
	"testing"
	"time"

	"chervilswitch.example/platform/platformtest"
	"chervilswitch.example/shared/fleet"

	qt "github.com/frankban/quicktest"
)

// Registrations of replaced instances stayed for good. Once they outnumbered the live ones,
// an instance that started went on sharing its limits with them, and refused what it could
// have sent.
func TestRegistrationsOfGoneInstancesAreRemoved(t *testing.T) {
	d := deploy(t, 2, map[string]platformtest.Handler{"i-1": echo})
	d.awaitMembership()
	gone := fleet.Instance{Name: "entry-x", DataCentre: "dc-a", Incarnation: 1, Callers: freeAddresses(d.C, 1)[0], Peers: freeAddresses(d.C, 1)[0]}
	value, err := json.Marshal(gone)
	d.Assert(err, qt.IsNil)
	d.store.Put("keyed.entries", gone.Name, value)
	for _, r := range d.routers {
		d.eventually("the registration is known", func() bool { return len(r.entries.Silent(0)) == 2 })
	}
	const silence = 2 * time.Second // Live instances are heard several times in it.
	time.Sleep(silence)
	d.Assert(d.routers[0].entries.Silent(silence), qt.DeepEquals, []string{gone.Name})
	d.routers[0].removeSilent(t.Context(), silence)
	for _, r := range d.routers {
		d.eventually("the instance is forgotten", func() bool { return len(r.entries.Silent(0)) == 1 })
	}
	d.Assert(d.store.Newest("keyed.entries", gone.Name), qt.HasLen, 0)
	d.awaitMembership()
}

// An instance that was cut off from the leader for long, and not gone, registers again.
func TestInstanceWhoseRegistrationIsRemovedRegistersAgain(t *testing.T) {
	d := deploy(t, 2, map[string]platformtest.Handler{"i-1": echo})
	d.awaitMembership()
	name := d.routers[1].options.Instance
	registered := func() bool { return len(d.store.Newest("keyed.entries", name)) > 0 }
	d.eventually("the instance is registered", registered)
	d.store.Put("keyed.entries", name, nil)
	d.Assert(registered(), qt.IsFalse)
	d.eventually("the instance is registered again", registered)
	d.awaitMembership()
}
