package control

import (
	"time"

	"chervilswitch.example/shared/platform"
)

const (
	// evidenceWindow is how long evidence of the log's end counts as fresh.
	evidenceWindow = 2 * time.Second
	// heartbeatWindow is how long a peer's answer counts as being in touch.
	heartbeatWindow = 2 * time.Second
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

// peerHeartbeat is a peer's last answer.
type peerHeartbeat struct {
	requestedAt time.Time
	beat        Beat
}

// update adopts evidence if it is newer.
func (e *evidence) update(at time.Time, offset platform.Offset) {
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
	if s.reachesMajority() {
		return GateOutage
	}
	return GateCutOff
}

// EvidenceAge is the time since the log was known to be read to its end.
func (s *State) EvidenceAge(now time.Time) time.Duration { return now.Sub(s.evidence.at) }

func (s *State) reachesMajority() bool {
	centres := s.config.Inventory().DataCentres
	touched := map[string]bool{s.self.DataCentre: true}
	for _, c := range s.heartbeats {
		if s.now.Sub(c.requestedAt) <= heartbeatWindow {
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

func (s *State) onHeartbeat(e HeartbeatReceived) {
	if s.heartbeats == nil {
		s.heartbeats = make(map[string]peerHeartbeat)
	}
	old, known := s.heartbeats[e.Beat.Instance]
	if known && old.requestedAt.After(e.RequestedAt) {
		return // A late answer to an earlier question.
	}
	s.heartbeats[e.Beat.Instance] = peerHeartbeat{requestedAt: e.RequestedAt, beat: e.Beat}
	if e.Beat.EvidenceAge >= 0 {
		s.evidence.update(e.RequestedAt.Add(-e.Beat.EvidenceAge), e.Beat.EvidenceOffset)
	}
	s.evidence.offset = max(s.evidence.offset, e.Beat.Applied)
	if e.Beat.Applied > s.config.Applied() {
		s.emit(FetchRecords{Peer: e.Beat.Instance, From: s.config.Applied() + 1})
	}
	s.entry.updateTarget(s, e.Beat, known && old.beat.Incarnation != e.Beat.Incarnation)
}
