package control

import (
	"slices"

	"chervilswitch.example/shared/operator"
)

const (
	// readersPerDataCentre is how many entries of a data centre read the log;
	// the others hear of it from them.
	readersPerDataCentre = 4
	// askedEntries is how many entries an agent asks in its own data centre.
	askedEntries = 2
)

// Readers lists the entries of a data centre that read the log themselves.
func Readers(inventory *operator.Inventory, dataCentre string) []string {
	var names []string
	for name, instance := range inventory.Instances {
		if instance.Role == operator.RoleEntry && instance.DataCentre == dataCentre {
			names = append(names, name)
		}
	}
	return nearest("reader/"+dataCentre, names, readersPerDataCentre)
}

// Peers lists the instances that a process asks for their state: an entry asks
// the readers of its own data centre, one of each other, and its targets; an
// agent asks entries of each data centre and the agents of its group.
func Peers(inventory *operator.Inventory, self Identity) []string {
	var peers []string
	for _, dataCentre := range sortedKeys(inventory.DataCentres) {
		count := 1
		if dataCentre == self.DataCentre {
			count = readersPerDataCentre
			if self.Role == operator.RoleAgent {
				count = askedEntries
			}
		}
		peers = append(peers, nearest(self.Instance, entriesIn(inventory, self, dataCentre), count)...)
	}
	if self.Role == operator.RoleEntry {
		peers = append(peers, targetsOf(inventory, self)...)
	} else {
		peers = append(peers, groupOf(inventory, self)...)
	}
	slices.Sort(peers)
	peers = slices.Compact(peers)
	return slices.DeleteFunc(peers, func(name string) bool { return name == self.Instance })
}

// entriesIn lists readers for entries, and every entry for agents.
func entriesIn(inventory *operator.Inventory, self Identity, dataCentre string) []string {
	if self.Role == operator.RoleEntry {
		return Readers(inventory, dataCentre)
	}
	var names []string
	for name, instance := range inventory.Instances {
		if instance.Role == operator.RoleEntry && instance.DataCentre == dataCentre {
			names = append(names, name)
		}
	}
	return names
}

func targetsOf(inventory *operator.Inventory, self Identity) []string {
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

func groupOf(inventory *operator.Inventory, self Identity) []string {
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

// nearest picks the names with the highest rendezvous scores for a key.
func nearest(key string, names []string, count int) []string {
	slices.SortFunc(names, func(a, b string) int {
		switch x, y := rendezvous(key, a), rendezvous(key, b); {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return names[:min(count, len(names))]
}
