package control

import (
	"time"

	"chervilswitch.example/shared/operator"
)

const (
	// proposeInterval separates a coordinator's proposals to one group.
	proposeInterval = 2 * time.Second
	// minLeadSteps is how many steps ahead a switch is proposed, so that ranks have
	// armed and heard all votes before they reach it. It doubles with each try,
	// since ranks that are faster than news of them have always passed the step.
	minLeadSteps = 40
	maxLeadSteps = 1 << 16
	// generationsPerOffset is how many generations one offset of the log can name.
	generationsPerOffset = 1 << 16
)

// groupProposal is what an entry last proposed to a group.
type groupProposal struct {
	proposedAt time.Time
	generation uint64
	leadSteps  uint64
}

// member is a rank with the instance that decides for it.
type member struct {
	RankState
	instance string
}

// coordinate proposes formations and switches to the groups that this entry
// coordinates. Any number of coordinators may propose at once: the ranks decide,
// and a proposal that is not heard everywhere is refused.
func (s *State) coordinate() {
	claim, claimed := s.config.Fencing(s.self.Instance)
	if s.self.Role != operator.RoleEntry || s.draining || s.superseded || !claimed || claim.Incarnation != s.self.Incarnation {
		return
	}
	entries := s.LiveEntries()
	for _, name := range sortedKeys(s.config.Inventory().Groups) {
		if home := topRendezvous(name, entries, 1); len(home) == 1 && home[0] == s.self.Instance {
			s.coordinateGroup(name, s.config.Inventory().Groups[name])
		}
	}
}

func (s *State) coordinateGroup(name string, group operator.Group) {
	if s.groups == nil {
		s.groups = make(map[string]*groupProposal)
	}
	g := s.groups[name]
	if g == nil {
		g = new(groupProposal)
		s.groups[name] = g
	}
	members, whole := s.members(name, group)
	if !whole || s.now.Sub(g.proposedAt) < proposeInterval {
		return
	}
	position, formed, current := groupStatus(members)
	wanted := MapVersion(group.Map)
	switch {
	case !formed:
		g.generation = s.nextGeneration(max(g.generation, position.Generation))
		s.propose(name, g, members, Proposal{Map: wanted, At: Position{Generation: g.generation}})
	case current != wanted:
		g.leadSteps = min(max(minLeadSteps, 2*g.leadSteps), maxLeadSteps)
		position.Step += g.leadSteps
		s.propose(name, g, members, Proposal{Map: wanted, At: position})
	default:
		g.leadSteps = 0
	}
}

// nextGeneration is later than any generation that was ever proposed to earlier
// incarnations of the ranks. Members are named only as the log's newest claims
// know them, so whoever names a newer incarnation has applied a later offset than
// anyone who named an older one; ranks that all restarted remember nothing.
func (s *State) nextGeneration(known uint64) uint64 {
	return max(known, uint64(s.config.Applied())*generationsPerOffset) + 1
}

// members lists a group's ranks in order, if every one was heard of lately from
// the incarnation that the log knows as the newest.
func (s *State) members(name string, group operator.Group) ([]member, bool) {
	members := make([]member, group.Ranks)
	count := 0
	for _, b := range s.Peers() {
		claim, claimed := s.config.Fencing(b.Instance)
		if s.config.Inventory().Instances[b.Instance].Group != name || !claimed || claim.Incarnation != b.Incarnation {
			continue
		}
		for _, r := range b.Ranks {
			if r.Incarnation == b.Incarnation && r.Rank >= 0 && r.Rank < group.Ranks && members[r.Rank].instance == "" {
				members[r.Rank] = member{RankState: r, instance: b.Instance}
				count++
			}
		}
	}
	return members, count == group.Ranks
}

// groupStatus is the latest position of the ranks, whether all are of one generation,
// and the map that they use. Ranks that differ in the map are between two steps.
func groupStatus(members []member) (latest Position, formed bool, current MapVersion) {
	formed = true
	for _, m := range members {
		if latest.Before(m.Next) {
			latest = m.Next
		}
		current = max(current, m.Map)
	}
	for _, m := range members {
		formed = formed && m.Next.Generation == latest.Generation && latest.Generation > 0
	}
	return latest, formed, current
}

func (s *State) propose(name string, g *groupProposal, members []member, p Proposal) {
	claim, _ := s.config.Fencing(s.self.Instance)
	s.proposals++
	p.Fencing, p.Number = claim.Fencing, s.proposals
	for _, m := range members {
		p.Incarnations = append(p.Incarnations, m.Incarnation)
	}
	g.proposedAt = s.now
	for rank, m := range members {
		s.emit(Propose{Target: m.instance, Group: name, Rank: rank, Proposal: p})
	}
	s.emit(LogDecision{Code: DecisionPropose, Chosen: name, Reason: proposalReason(p)})
}

func proposalReason(p Proposal) string {
	if p.At.Step == 0 {
		return "form"
	}
	return "switch"
}
