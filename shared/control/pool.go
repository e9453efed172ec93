package control

import (
	"slices"
	"time"

	"chervilswitch.example/shared/operator"
)

// pool is the targets of one service as this entry uses them.
type pool struct {
	candidates   []Candidate
	incarnations []uint64
	reportedAt   []time.Time
	index        map[string]int
	prefixes     PrefixTable
	queue        fairQueue
}

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

// subset picks the targets that this entry uses, by rendezvous hashing.
func subset(entry string, names []string) []string {
	if len(names) <= maxFullService {
		return names
	}
	names = topRendezvous(entry, names, subsetSize)
	slices.Sort(names)
	return names
}

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
