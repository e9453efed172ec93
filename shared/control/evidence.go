package control

import (
	"time"

	"chervilswitch.example/shared/platform"
)

const (
	// evidenceWindow is how long evidence of the log's end counts as fresh.
	evidenceWindow = 2 * time.Second
	// contactWindow is how long a peer's answer counts as being in touch.
	contactWindow = 2 * time.Second
)

// GateState says whether a process may take new work.
type GateState string

// The states of the gate.
const (
	// GateFresh: the state is known to be as new as the log a moment ago.
	GateFresh GateState = "fresh"
	// GateOutage: nobody in a majority of data centres can read the log.
	GateOutage GateState = "outage"
	// GateBehind: newer records exist that this process has not applied.
	GateBehind GateState = "behind"
	// GateCutOff: no evidence and no majority of data centres in touch.
	GateCutOff GateState = "cutOff"
)

// Open reports whether new work may be taken.
func (g GateState) Open() bool { return g == GateFresh || g == GateOutage }

// evidence is the last time at which the log's end was known.
type evidence struct {
	at     time.Time
	offset platform.Offset
}

// contact is a peer's last answer.
type contact struct {
	askedAt time.Time
	beat    Beat
}

// learn adopts evidence if it is newer.
func (e *evidence) learn(at time.Time, offset platform.Offset) {
	e.offset = max(e.offset, offset)
	if at.After(e.at) {
		e.at = at
	}
}

func (e *evidence) fresh(now time.Time) bool {
	return !e.at.IsZero() && now.Sub(e.at) <= evidenceWindow
}

// Gate decides whether the process may take new work now.
//
// A peer's evidence is dated from when the question was sent, which is before
// the answer was made, so a late answer never looks fresher than it is. Since
// peers' evidence is adopted, being stale means that no peer in touch is fresh.
func (s *State) Gate() GateState {
	if s.config.Applied() < s.evidence.offset || !s.config.Ready() || s.config.Halted() {
		return GateBehind
	}
	if s.evidence.fresh(s.now) {
		return GateFresh
	}
	if s.inTouchWithMajority() {
		return GateOutage
	}
	return GateCutOff
}

// EvidenceAge is the time since the log was known to be read to its end.
func (s *State) EvidenceAge(now time.Time) time.Duration { return now.Sub(s.evidence.at) }

func (s *State) inTouchWithMajority() bool {
	centres := s.config.Inventory().DataCentres
	touched := map[string]bool{s.self.DataCentre: true}
	for _, c := range s.contacts {
		if s.now.Sub(c.askedAt) <= contactWindow {
			touched[c.beat.DataCentre] = true
		}
	}
	count := 0
	for name := range centres {
		if touched[name] {
			count++
		}
	}
	return 2*count > len(centres)
}

// beat is what this process tells its peers.
func (s *State) beat() Beat {
	b := Beat{
		Instance:       s.self.Instance,
		DataCentre:     s.self.DataCentre,
		Role:           s.self.Role,
		Incarnation:    s.self.Incarnation,
		Service:        s.self.Service,
		Applied:        s.config.Applied(),
		EvidenceAge:    -1,
		EvidenceOffset: s.evidence.offset,
		Load:           s.agent.load(s),
		Ranks:          s.rankStates(),
	}
	if !s.evidence.at.IsZero() {
		b.EvidenceAge = max(0, s.now.Sub(s.evidence.at))
	}
	return b
}

func (s *State) onPeerAnswer(e PeerAnswer) {
	if s.contacts == nil {
		s.contacts = make(map[string]contact)
	}
	old, known := s.contacts[e.Beat.Instance]
	if known && old.askedAt.After(e.AskedAt) {
		return // A late answer to an earlier question.
	}
	s.contacts[e.Beat.Instance] = contact{askedAt: e.AskedAt, beat: e.Beat}
	if e.Beat.EvidenceAge >= 0 {
		s.evidence.learn(e.AskedAt.Add(-e.Beat.EvidenceAge), e.Beat.EvidenceOffset)
	}
	s.evidence.offset = max(s.evidence.offset, e.Beat.Applied)
	if e.Beat.Applied > s.config.Applied() {
		s.emit(AskRecords{Peer: e.Beat.Instance, From: s.config.Applied() + 1})
	}
	s.entry.onBeat(s, e.Beat, known && old.beat.Incarnation != e.Beat.Incarnation)
}
