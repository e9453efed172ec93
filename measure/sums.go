package main

import (
	"fmt"

	"chervilswitch.example/shared/control"
)

// wireOverhead is the size in bytes of the IP and TCP headers of one heartbeat exchange:
// the request, the response and one acknowledgement.
const wireOverhead = 3 * 52.0

// Heartbeat requests per second to a source of the configuration and to any other peer.
// They must equal the rates in package peer.
const (
	sourceHeartbeatRate  = 2.0
	contactHeartbeatRate = 1.0
)

// heartbeatRate is the number of heartbeat requests per second that a process sends and
// answers.
type heartbeatRate struct{ sent, answered float64 }

// heartbeatRates computes the heartbeat rates of all processes of the reference
// deployment, with the peer selection that the daemons use.
func heartbeatRates() map[string]heartbeatRate {
	v := newInventory(1, referenceEntries, referenceReplicas)
	all := make(map[string]heartbeatRate)
	for name, instance := range v.Instances {
		self := control.Identity{Instance: name, DataCentre: instance.DataCentre, Role: instance.Role, Service: instance.Service}
		for _, p := range control.Peers(v, self) {
			rate := contactHeartbeatRate
			if p.Source {
				rate = sourceHeartbeatRate
			}
			mine, other := all[name], all[p.Name]
			mine.sent += rate
			other.answered += rate
			all[name], all[p.Name] = mine, other
		}
	}
	return all
}

// busiest returns the highest heartbeat rate among the processes whose names start with
// prefix.
func busiest(all map[string]heartbeatRate, prefix string) heartbeatRate {
	var most heartbeatRate
	for name, rate := range all {
		if len(name) > len(prefix) && name[:len(prefix)] == prefix && rate.sent+rate.answered > most.sent+most.answered {
			most = rate
		}
	}
	return most
}

// budgetTable extrapolates the measured costs to the reference deployment and compares
// them with the limits of each role.
func (c *capacity) budgetTable() *table {
	t := newTable("role", "what", "sum", "value", "limit", "fits", "kind")
	row := func(role, what, sum string, value, limit float64, unit, kind string) {
		fits := "yes"
		if value > limit {
			fits = "NO"
		}
		t.addRow(role, what, sum, formatCell(value)+" "+unit, formatCell(limit)+" "+unit, fits, kind)
	}
	all := heartbeatRates()
	c.addRoleRows(row, "entry", busiest(all, "entry-"), referenceRequestsPerSecond/referenceEntries)
	c.addRoleRows(row, "agent", busiest(all, "replica-"), 0)
	keys := c.keys.valueAt(retainedKeysPerTarget)
	row("agent of a plain service", "memory of keys", fmt.Sprintf("%d keys within the retention", retainedKeysPerTarget), keys, maxMegabytes, "MB", "computed")
	c.addLogRows(row)
	row("everywhere", "a change in force", "read 0.3 s + entry asks 0.5 s + agent asks 0.5 s + a lost try 1 s", 0.3+0.5+0.5+1, 6, "s", "computed")
	row("everywhere", "a change in force, 4 entries, 64 agents", "worst of 5", c.inForce.Values[len(c.inForce.Values)-1], 6, "s", "measured")
	row("coordinator", "planning 60 layers of 32 x 256", "60 x slope", 60*c.plan.valueAt(256)/1e3, 60, "s a window of 60 s", "computed")
	return t
}

// rowFunc adds a row to the budget table.
type rowFunc func(role, what, sum string, value, limit float64, unit, kind string)

// addRoleRows adds the control traffic, processor time and memory of a role. The traffic
// of configuration changes is computed with 1 kB per change.
func (c *capacity) addRoleRows(row rowFunc, role string, heartbeats heartbeatRate, requests float64) {
	rate := heartbeats.sent + heartbeats.answered
	payload := rate * c.exchangeBytes / 1e3
	wire := rate * (c.exchangeBytes + wireOverhead) / 1e3
	changes := referenceChangesPerDay / secondsPerDay
	changeTraffic := changes * 1e3 / 1e3
	row(role, "control traffic", fmt.Sprintf("%.0f questions/s (%.0f sent, %.0f answered) x %.0f B + changes", rate, heartbeats.sent, heartbeats.answered, c.exchangeBytes), payload+changeTraffic, maxKilobytesPerSecond, "KB/s", "computed")
	row(role, "control traffic with IP and TCP headers", fmt.Sprintf("the same + %.0f B each", wireOverhead), wire+changeTraffic, maxKilobytesPerSecond, "KB/s", "computed")
	links := rate / contactHeartbeatRate
	cpuMicros := rate*c.exchangeCPU.valueAt(64)/2 + 20*c.tick.valueAt(16) + requests*c.decide.valueAt(650) + changes*(c.apply.valueAt(referenceOrganisations)+1e3*c.view.valueAt(referenceOrganisations))
	row(role, "processor", "questions, half of both ends + 20 ticks/s + decisions + changes", 100*cpuMicros/1e6, 100*maxCoreFraction, "% of a core", "computed")
	memory := 2*c.memory.valueAt(referenceOrganisations) + links*c.linkMemory.Slope/2/1e3
	row(role, "memory", fmt.Sprintf("state and view + %.0f links, half of both ends", links), memory, maxMegabytes, "MB", "computed")
}

// addLogRows adds the appends to the log and the reads from it.
func (c *capacity) addLogRows(row rowFunc) {
	snapshotParts := float64(referenceOrganisations+referenceEntries+referenceReplicas) / 500
	daily := referenceChangesPerDay + referenceRestartsPerDay + 3*snapshotParts
	row("log", "appends on an ordinary day", "changes + claims of restarts + 3 snapshots", daily/secondsPerDay, maxAppendsPerSecond, "/s", "computed")
	row("log", "claims after a cold start of all daemons", fmt.Sprintf("%d claims at the rate limit", referenceEntries+referenceReplicas), float64(referenceEntries+referenceReplicas)/maxAppendsPerSecond, 6, "s", "computed")
	readers := float64(referenceDataCentres * len(control.LogReaders(newInventory(1, referenceEntries, 0), "dc-0")))
	row("log", "long reads", fmt.Sprintf("%.0f readers, one each 0.3 s", readers), readers/0.3, 1000, "/s", "computed")
	row("log", "bytes of snapshots", "3 a day to each reader", 3*c.snapshot.valueAt(referenceOrganisations)*1e3/secondsPerDay, maxKilobytesPerSecond, "KB/s", "computed")
}
