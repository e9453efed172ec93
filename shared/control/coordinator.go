package control

import (
	"time"

	"chervilswitch.example/shared/operator"
)

const (
	// proposeInterval is the least time between two proposals to one group.
	proposeInterval = 2 * time.Second
	// minLeadSteps is how many steps after the latest reported position a switch is
	// first proposed, so that ranks can arm and receive all votes before they reach
	// it. The lead doubles with each retry, up to maxLeadSteps: ranks that run faster
	// than their reports arrive would pass a fixed lead every time.
	minLeadSteps = 40
	maxLeadSteps = 1 << 16
	// generationsPerOffset is the number of generations reserved for each log offset.
	generationsPerOffset = 1 << 16
)

// groupProposal is the state of this entry's latest proposal to a group.
type groupProposal struct {
	proposedAt time.Time
	generation uint64
	leadSteps  uint64
}

// member is the reported state of a rank and the instance whose agent controls it.
type member struct {
	RankState
	instance string
}

// coordinate proposes formations and map switches to the groups that this entry
// coordinates. Several coordinators may propose at the same time: the ranks vote,
// and a proposal that does not reach every rank is refused.
func (s *State) coordinate() {
	claim, claimed := s.config.NewestClaim(s.self.Instance)
	if s.self.Role != operator.RoleEntry || s.draining || s.superseded || !claimed || claim.Incarnation != s.self.Incarnation {
		return
	}
	entries := s.LiveEntries()
	for _, name := range sortedKeys(s.config.Inventory().Groups) {
		if coordinators := topRendezvous(name, entries, 1); len(coordinators) == 1 && coordinators[0] == s.self.Instance {
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
	members, complete := s.members(name, group)
	if !complete || s.now.Sub(g.proposedAt) < proposeInterval {
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

// nextGeneration returns a generation later than any that was proposed to earlier
// incarnations of the ranks. A proposal names only incarnations whose claim is the
// newest in the applied log, so a coordinator that names a newer incarnation has
// applied a later offset than any that named an older one. The generation is derived
// from the offset because restarted ranks do not remember earlier generations.
func (s *State) nextGeneration(known uint64) uint64 {
	return max(known, uint64(s.config.Applied())*generationsPerOffset) + 1
}

// members returns a group's ranks in order. It returns false unless each rank was
// reported within heartbeatWindow by the incarnation with the newest claim.
func (s *State) members(name string, group operator.Group) ([]member, bool) {
	members := make([]member, group.Ranks)
	count := 0
	for _, b := range s.Peers() {
		claim, claimed := s.config.NewestClaim(b.Instance)
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

// groupStatus returns the latest position of the ranks, whether all ranks have joined
// the same generation, and the newest map in use. During a switch the ranks' maps may
// differ.
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
	claim, _ := s.config.NewestClaim(s.self.Instance)
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
