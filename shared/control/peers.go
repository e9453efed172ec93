package control

import (
	"slices"
	"strings"

	"chervilswitch.example/shared/operator"
)

const (
	// logReadersPerDataCentre is the number of entries of a data centre that read the
	// log; the other entries fetch records from them.
	logReadersPerDataCentre = 8
	// sourcesPerProcess is the number of processes of its own data centre from which a
	// process fetches records.
	sourcesPerProcess = 2
	// subsetThreshold is the number of targets up to which every entry uses all targets
	// of a service. If a service has more, each entry uses subsetSize of them.
	subsetThreshold = 16
	subsetSize      = 8
)

// Peer is a process to query for its heartbeat. A source is queried more often, since
// the process learns of new records in the log from it.
type Peer struct {
	Name   string
	Source bool
}

// LogReaders returns the entries of a data centre that read the log themselves.
func LogReaders(inventory *operator.Inventory, dataCentre string) []string {
	return topRendezvous("reader/"+dataCentre, entriesIn(inventory, dataCentre), logReadersPerDataCentre)
}

// Peers returns the instances that a process queries for their heartbeats, sorted by
// name. The sources are processes of its own data centre: log readers for an entry,
// entries for an agent. To check whether it reaches the other data centres, the
// process queries one entry of each. An entry also queries its targets, and an agent
// the other members of its group.
func Peers(inventory *operator.Inventory, self Identity) []Peer {
	var sources, others []string
	for _, dataCentre := range sortedKeys(inventory.DataCentres) {
		if dataCentre != self.DataCentre {
			others = append(others, topRendezvous(self.Instance, entriesIn(inventory, dataCentre), 1)...)
			continue
		}
		candidates := entriesIn(inventory, dataCentre)
		if self.Role == operator.RoleEntry {
			candidates = LogReaders(inventory, dataCentre)
		}
		candidates = slices.DeleteFunc(candidates, func(name string) bool { return name == self.Instance })
		sources = topRendezvous(self.Instance, candidates, sourcesPerProcess)
	}
	if len(sources) == 0 {
		sources, others = others, nil // Its own data centre has no other source.
	}
	if self.Role == operator.RoleEntry {
		others = append(others, entryTargets(inventory, self)...)
	} else {
		others = append(others, groupMembers(inventory, self)...)
	}
	return mergePeers(self, sources, others)
}

// mergePeers returns the sources and the others without duplicates, sorted by name.
func mergePeers(self Identity, sources, others []string) []Peer {
	peers := make([]Peer, 0, len(sources)+len(others))
	for _, name := range append(slices.Clone(sources), others...) {
		hasName := func(p Peer) bool { return p.Name == name }
		if name != self.Instance && !slices.ContainsFunc(peers, hasName) {
			peers = append(peers, Peer{Name: name, Source: slices.Contains(sources, name)})
		}
	}
	slices.SortFunc(peers, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	return peers
}

func entriesIn(inventory *operator.Inventory, dataCentre string) []string {
	var names []string
	for name, instance := range inventory.Instances {
		if instance.Role == operator.RoleEntry && instance.DataCentre == dataCentre {
			names = append(names, name)
		}
	}
	return names
}

// entryTargets returns the agents of each service that an entry uses.
func entryTargets(inventory *operator.Inventory, self Identity) []string {
	services := make(map[string][]string)
	for name, instance := range inventory.Instances {
		if instance.Role == operator.RoleAgent {
			services[instance.Service] = append(services[instance.Service], name)
		}
	}
	var targets []string
	for _, service := range sortedKeys(services) {
		targets = append(targets, subset(self.Instance, services[service])...)
	}
	return targets
}

// groupMembers returns the instances of the process's group, including itself.
func groupMembers(inventory *operator.Inventory, self Identity) []string {
	group := inventory.Instances[self.Instance].Group
	if group == "" {
		return nil
	}
	var members []string
	for name, instance := range inventory.Instances {
		if instance.Group == group {
			members = append(members, name)
		}
	}
	return members
}

// topRendezvous returns the count names with the highest rendezvous scores for a key,
// highest first. It reorders names.
func topRendezvous(key string, names []string, count int) []string {
	slices.SortFunc(names, func(a, b string) int {
		switch x, y := rendezvousScore(key, a), rendezvousScore(key, b); {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return names[:min(count, len(names))]
}
