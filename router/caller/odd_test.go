package caller

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	"chervilswitch.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
)

// putOddRecords writes records as another writer may leave them among those of the targets
// and of the entry instances.
func (d *deployment) putOddRecords() {
	valid := func(change func(registration map[string]any)) map[string]any {
		registration := d.replicas["i-1"].RankRegistration("svc", "dc-a", "g", 0, 1)
		change(registration)
		return registration
	}
	d.store.Put("keyed.servers", "nested", []byte(strings.Repeat("[", 100_000)))
	d.store.Put("keyed.servers", "nestedField", []byte(`{"service":`+strings.Repeat(`{"a":`, 30_000)+"1"+strings.Repeat("}", 30_001)))
	d.store.Put("keyed.servers", "number", []byte(`{"service":"svc","slots":1e308}`))
	d.store.PutTarget("port0", valid(func(r map[string]any) { r["address"] = "127.0.0.1:0" }))
	d.store.PutTarget("port65536", valid(func(r map[string]any) { r["address"] = "127.0.0.1:65536" }))
	d.store.PutTarget("born", valid(func(r map[string]any) { r["born"] = uint64(1<<64 - 1) }))
	d.store.PutTarget("slots", valid(func(r map[string]any) { r["slots"] = 1 << 40 }))
	d.store.PutTarget("size", valid(func(r map[string]any) { r["size"] = -1 }))
	d.store.PutTarget("\xff\xfe", valid(func(map[string]any) {}))
	d.store.PutTarget("line\r\nTenant: forged", valid(func(map[string]any) {}))
	d.store.Put("keyed.op", "evacuate/\xff", []byte("{}"))
	d.store.Put("keyed.entries", "nested", []byte(strings.Repeat("[", 100_000)))
	d.store.Put("keyed.entries", "entry-a", []byte(`{"name":"entry-a","incarnation":18446744073709551615,"callers":"127.0.0.1:0","peers":"127.0.0.1:0"}`))
	d.store.Put("keyed.entries", "crash/x", []byte(`{"parts":`+strings.Repeat("[", 100_000)))
}

// Odd records neither stop the instances nor hide the records after them, also from an
// instance that starts when they are there, and from those that learn from peers.
func TestOddRecordsStopNobody(t *testing.T) {
	d := deploy(t, 2, map[string]platformtest.Handler{"i-1": echo})
	d.awaitMembership()
	d.putOddRecords()
	d.startReplica(t, "i-2", echo)
	served := func() {
		d.Helper()
		for _, r := range d.routers {
			d.eventually("both targets are known", func() bool { return len(r.core.View().Targets["svc"]) == 2 })
			for range 3 {
				a, err := d.callInstance(t.Context(), r, platformtest.Call{Path: nonIdempotentPath, Attempt: "a"})
				d.Assert(err, qt.IsNil)
				d.Assert(a.status, qt.Equals, http.StatusOK, qt.Commentf("%s", a.body))
			}
		}
	}
	served()
	time.Sleep(2 * time.Second) // Longer than an instance counts as live without messages.
	d.awaitMembership()
	for _, r := range d.routers {
		d.seeds = append(d.seeds, r.options.Peers)
	}
	d.store.SetFault(platformtest.Unavailable)
	d.startInstance(t)
	served()
	d.store.SetFault(platformtest.NoFault)
	d.startInstance(t)
	served()
	d.awaitMembership()
}

// A record that its writer repeats with each heartbeat is logged once.
func TestUnreadableRecordIsLoggedOnce(t *testing.T) {
	logged := &bytes.Buffer{}
	d := deployWithLog(t, logged, 1, map[string]platformtest.Handler{"i-1": echo})
	for range 5 {
		d.store.Put("keyed.servers", "odd", []byte(`{"slots":1e308}`))
		time.Sleep(600 * time.Millisecond)
	}
	d.stops[0]()
	d.Assert(<-d.ended[0], qt.IsNil)
	d.ended[0] <- nil // The clean-up waits for it as well.
	d.Assert(strings.Count(logged.String(), `"key":"odd"`), qt.Equals, 1, qt.Commentf("%s", logged))
}
