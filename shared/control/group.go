package control

import (
	"strconv"

	"chervilswitch.example/shared/operator"
	"chervilswitch.example/shared/platform"
)

// startRanks creates the ranks that the inventory assigns to this instance.
func (s *State) startRanks() {
	if s.self.Role != operator.RoleAgent || !s.claimed {
		return // The incarnation may change until its claim is applied.
	}
	for _, rank := range s.config.Inventory().Instances[s.self.Instance].Ranks {
		if _, ok := s.ranks[rank]; ok {
			continue
		}
		s.ranks[rank] = NewRank(rank, s.self.Incarnation)
		s.emitRank(rank, s.ranks[rank].Reduce(RankStepReady{}))
	}
}

// FencingToken returns the fencing token for commands to the target: the offset of this
// process's claim. It returns false if no command may be sent, either because the
// claim is not the newest or, for a target that does not check tokens, because the
// gate is closed and a newer claim may exist.
func (s *State) FencingToken() (platform.Offset, bool) {
	claim, ok := s.config.NewestClaim(s.self.Instance)
	if !ok || claim.Incarnation != s.self.Incarnation || s.superseded {
		return 0, false
	}
	checks := s.config.Inventory().Instances[s.self.Instance].ChecksFencing
	return claim.Fencing, checks || s.Gate().Open()
}

// rankStates returns the states of this process's ranks, ordered by rank.
func (s *State) rankStates() []RankState {
	var states []RankState
	for _, number := range sortedKeys(s.ranks) {
		r := s.ranks[number]
		states = append(states, RankState{Rank: number, Incarnation: r.incarnation, Next: r.next, Map: r.current})
	}
	return states
}

func (s *State) onRank(e RankEvent) {
	if rank, ok := s.ranks[e.Rank]; ok {
		s.emitRank(e.Rank, rank.Reduce(e.Input))
	}
}

func (s *State) emitRank(rank int, outputs []RankOutput) {
	for _, o := range outputs {
		if step, ok := o.(RankRunStep); ok {
			s.logMap(rank, step)
		}
		s.emit(RankEffect{Rank: rank, Output: o})
	}
}

// logMap logs the first step of a generation and the first step on a new map.
func (s *State) logMap(rank int, step RankRunStep) {
	reason := "switched"
	if step.At.Step == 0 {
		reason = "formed"
	} else if s.loggedMaps[rank] == step.Map {
		return
	}
	if s.loggedMaps == nil {
		s.loggedMaps = make(map[int]MapVersion)
	}
	s.loggedMaps[rank] = step.Map
	s.emit(LogDecision{Code: DecisionMap, Chosen: strconv.FormatUint(uint64(step.Map), 10), Reason: reason})
}
