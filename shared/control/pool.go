package control

import (
	"slices"
	"time"

	"chervilswitch.example/shared/operator"
)

// pool is the set of targets of one service that this entry uses. Its slices have the
// same order, and index maps a target's name to its position.
type pool struct {
	candidates   []Candidate
	incarnations []uint64
	reportedAt   []time.Time
	index        map[string]int
	prefixes     PrefixTable
	queue        fairQueue
}

// updateLoad applies a load that a target reported.
func (p *pool) updateLoad(i int, l Load) {
	c := &p.candidates[i]
	c.Running, c.Limit, c.FirstOutput = l.Running, l.Limit, l.FirstOutput
	c.Allowed, c.Sent = l.Credit, 0
	if l.Closed {
		c.Allowed = 0
	}
}

// onConfig rebuilds the pools whose targets changed.
func (s *entryState) onConfig(st *State) {
	if st.self.Role != operator.RoleEntry {
		return
	}
	members := make(map[string][]string)
	inventory := st.config.Inventory()
	for _, name := range sortedKeys(inventory.Instances) {
		if instance := inventory.Instances[name]; instance.Role == operator.RoleAgent {
			members[instance.Service] = append(members[instance.Service], name)
		}
	}
	if s.pools == nil {
		s.pools = make(map[string]*pool)
	}
	for _, service := range sortedKeys(members) {
		s.rebuild(st, service, subset(st.self.Instance, members[service]))
	}
}

// subset returns the targets of a service that this entry uses, chosen by rendezvous
// hashing.
func subset(entry string, names []string) []string {
	if len(names) <= subsetThreshold {
		return names
	}
	names = topRendezvous(entry, names, subsetSize)
	slices.Sort(names)
	return names
}

// rebuild creates a service's pool, or replaces it if its targets changed. The queue
// and the state of targets that stay are kept.
func (s *entryState) rebuild(st *State, service string, names []string) {
	old := s.pools[service]
	next := &pool{index: make(map[string]int, len(names))}
	if old != nil {
		next.queue = old.queue
		if slices.Equal(old.names(), names) {
			return
		}
	}
	for i, name := range names {
		c := Candidate{Name: name, Local: st.config.Inventory().Instances[name].DataCentre == st.self.DataCentre}
		incarnation, reportedAt := uint64(0), time.Time{}
		if old != nil {
			if j, ok := old.index[name]; ok {
				c, incarnation, reportedAt = old.candidates[j], old.incarnations[j], old.reportedAt[j]
			}
		}
		next.candidates = append(next.candidates, c)
		next.incarnations = append(next.incarnations, incarnation)
		next.reportedAt = append(next.reportedAt, reportedAt)
		next.index[name] = i
	}
	s.pools[service] = next
}

func (p *pool) names() []string {
	names := make([]string, len(p.candidates))
	for i := range p.candidates {
		names[i] = p.candidates[i].Name
	}
	return names
}
