package main

import (
	"fmt"

	"chervilswitch.example/shared/control"
)

// wireOverhead is the bytes of IP and TCP headers that one question adds: its
// packet, the answer's and one acknowledgement.
const wireOverhead = 3 * 52.0

// The rates at which processes ask, as in package peer.
const (
	sourceAsks  = 2.0
	contactAsks = 1.0
)

// questions are how many questions a second one process sends and answers.
type questions struct{ sent, answered float64 }

// countQuestions works out every process's questions at the letter's size from
// the rule that the daemons use.
func countQuestions() map[string]questions {
	v := inventoryOf(1, aimEntries, aimReplicas)
	all := make(map[string]questions)
	for name, instance := range v.Instances {
		self := control.Identity{Instance: name, DataCentre: instance.DataCentre, Role: instance.Role, Service: instance.Service}
		for _, p := range control.Peers(v, self) {
			rate := contactAsks
			if p.Source {
				rate = sourceAsks
			}
			mine, other := all[name], all[p.Name]
			mine.sent += rate
			other.answered += rate
			all[name], all[p.Name] = mine, other
		}
	}
	return all
}

// busiest is the process of a role with the most questions.
func busiest(all map[string]questions, prefix string) questions {
	var most questions
	for name, q := range all {
		if len(name) > len(prefix) && name[:len(prefix)] == prefix && q.sent+q.answered > most.sent+most.answered {
			most = q
		}
	}
	return most
}

// sumTable works out each role at the letter's size from the slopes.
func (c *capacity) sumTable() *table {
	t := newTable("role", "what", "sum", "value", "limit", "fits", "kind")
	row := func(role, what, sum string, value, limit float64, unit, kind string) {
		fits := "yes"
		if value > limit {
			fits = "NO"
		}
		t.add(role, what, sum, text(value)+" "+unit, text(limit)+" "+unit, fits, kind)
	}
	all := countQuestions()
	c.roleRows(row, "entry", busiest(all, "entry-"), aimRequests/aimEntries)
	c.roleRows(row, "agent", busiest(all, "replica-"), 0)
	keys := c.keys.at(keysKeptPerTarget)
	row("agent of a plain service", "memory of keys", fmt.Sprintf("%d keys within the retention", keysKeptPerTarget), keys, aimMegabytes, "MB", "computed")
	c.logRows(row)
	row("everywhere", "a change in force", "read 0.3 s + entry asks 0.5 s + agent asks 0.5 s + a lost try 1 s", 0.3+0.5+0.5+1, 6, "s", "computed")
	row("everywhere", "a change in force, 4 entries, 64 agents", "worst of 5", c.inForce.Values[len(c.inForce.Values)-1], 6, "s", "measured")
	row("coordinator", "planning 60 layers of 32 x 256", "60 x slope", 60*c.plan.at(256)/1e3, 60, "s a window of 60 s", "computed")
	return t
}

type rowFunc func(role, what, sum string, value, limit float64, unit, kind string)

// roleRows sums control traffic, processor time and memory of a role.
func (c *capacity) roleRows(row rowFunc, role string, q questions, requests float64) {
	rate := q.sent + q.answered
	payload := rate * c.exchangeBytes / 1e3
	wire := rate * (c.exchangeBytes + wireOverhead) / 1e3
	changes := aimChangesDay / secondsPerDay
	news := changes * 1e3 / 1e3
	row(role, "control traffic", fmt.Sprintf("%.0f questions/s (%.0f sent, %.0f answered) x %.0f B + changes", rate, q.sent, q.answered, c.exchangeBytes), payload+news, aimKilobytes, "KB/s", "computed")
	row(role, "control traffic with IP and TCP headers", fmt.Sprintf("the same + %.0f B each", wireOverhead), wire+news, aimKilobytes, "KB/s", "computed")
	links := rate / contactAsks
	micros := rate*c.exchangeCPU.at(64)/2 + 20*c.tick.at(16) + requests*c.decide.at(650) + changes*(c.apply.at(aimOrganisations)+1e3*c.view.at(aimOrganisations))
	row(role, "processor", "questions, half of both ends + 20 ticks/s + decisions + changes", 100*micros/1e6, 100*aimCorePart, "% of a core", "computed")
	memory := 2*c.memory.at(aimOrganisations) + links*c.linkMemory.Slope/2/1e3
	row(role, "memory", fmt.Sprintf("state and view + %.0f links, half of both ends", links), memory, aimMegabytes, "MB", "computed")
}

// logRows sums the log's appends and reads.
func (c *capacity) logRows(row rowFunc) {
	snapshotParts := float64(aimOrganisations+aimEntries+aimReplicas) / 500
	daily := aimChangesDay + aimRestartsDay + 3*snapshotParts
	row("log", "appends on an ordinary day", "changes + claims of restarts + 3 snapshots", daily/secondsPerDay, aimAppends, "/s", "computed")
	row("log", "claims after a cold start of all daemons", fmt.Sprintf("%d claims at the rate limit", aimEntries+aimReplicas), float64(aimEntries+aimReplicas)/aimAppends, 6, "s", "computed")
	readers := float64(aimDataCentres * len(control.Readers(inventoryOf(1, aimEntries, 0), "dc-0")))
	row("log", "long reads", fmt.Sprintf("%.0f readers, one each 0.3 s", readers), readers/0.3, 1000, "/s", "computed")
	row("log", "bytes of snapshots", "3 a day to each reader", 3*c.snapshot.at(aimOrganisations)*1e3/secondsPerDay, aimKilobytes, "KB/s", "computed")
}
