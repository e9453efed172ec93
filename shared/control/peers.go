package control

import (
	"slices"
	"strings"

	"chervilswitch.example/shared/operator"
)

const (
	// readersPerDataCentre is how many entries of a data centre read the log;
	// the others hear of it from them.
	readersPerDataCentre = 8
	// sourcesPerProcess is how many processes of its own data centre one asks for news.
	sourcesPerProcess = 2
	// maxFullService is the most targets of a service that every entry uses; of a
	// larger service an entry uses subsetTargets.
	maxFullService = 16
	subsetSize     = 8
)

// Peer is a process to ask for its state. A source is asked more often, since
// news of the log comes through it.
type Peer struct {
	Name   string
	Source bool
}

// Readers lists the entries of a data centre that read the log themselves.
func Readers(inventory *operator.Inventory, dataCentre string) []string {
	return topRendezvous("reader/"+dataCentre, entriesIn(inventory, dataCentre), readersPerDataCentre)
}

// Peers lists the instances that a process asks for their state. Its sources are
// readers of its own data centre for an entry, and entries for an agent. To know
// whether it is in touch it asks one entry of each other data centre. An entry
// also asks its targets, an agent the others of its group.
func Peers(inventory *operator.Inventory, self Identity) []Peer {
	var sources, others []string
	for _, dataCentre := range sortedKeys(inventory.DataCentres) {
		if dataCentre != self.DataCentre {
			others = append(others, topRendezvous(self.Instance, entriesIn(inventory, dataCentre), 1)...)
			continue
		}
		near := entriesIn(inventory, dataCentre)
		if self.Role == operator.RoleEntry {
			near = Readers(inventory, dataCentre)
		}
		near = slices.DeleteFunc(near, func(name string) bool { return name == self.Instance })
		sources = topRendezvous(self.Instance, near, sourcesPerProcess)
	}
	if len(sources) == 0 {
		sources, others = others, nil // No other process of its data centre can tell it news.
	}
	if self.Role == operator.RoleEntry {
		others = append(others, entryTargets(inventory, self)...)
	} else {
		others = append(others, groupMembers(inventory, self)...)
	}
	return mergePeers(self, sources, others)
}

func mergePeers(self Identity, sources, others []string) []Peer {
	peers := make([]Peer, 0, len(sources)+len(others))
	for _, name := range append(slices.Clone(sources), others...) {
		known := func(p Peer) bool { return p.Name == name }
		if name != self.Instance && !slices.ContainsFunc(peers, known) {
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

// topRendezvous picks the names with the highest rendezvous scores for a key.
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
