package control

import (
	"time"

	"chervilswitch.example/shared/platform"
)

const (
	// evidenceWindow is how long evidence of the log's end counts as fresh.
	evidenceWindow = 2 * time.Second
	// heartbeatWindow is how long a peer counts as reachable after the query that it
	// responded to.
	heartbeatWindow = 2 * time.Second
)

// GateState is the result of State.Gate: whether a process may accept new work, and
// why.
type GateState string

// The states of the gate.
const (
	// GateFresh: the process has applied the log up to an end that was read recently.
	GateFresh GateState = "fresh"
	// GateOutage: the process reaches a majority of data centres, and none of its
	// reachable peers has recently read the log either. New work is still accepted.
	GateOutage GateState = "outage"
	// GateBehind: the configuration is incomplete, halted, or older than records that
	// are known to exist.
	GateBehind GateState = "behind"
	// GateCutOff: the end of the log is not known, and the process does not reach a
	// majority of data centres.
	GateCutOff GateState = "cutOff"
)

// Open reports whether the process may accept new work.
func (g GateState) Open() bool { return g == GateFresh || g == GateOutage }

// evidence is the newest knowledge of the log's end, from the process's own reads or
// from heartbeats: at is the last time at which the log was known to be read to its end,
// and offset the newest offset that is known to exist.
type evidence struct {
	at     time.Time
	offset platform.Offset
}

// peerHeartbeat is the last heartbeat of a peer. requestedAt is the local time of the
// query.
type peerHeartbeat struct {
	requestedAt time.Time
	heartbeat   Heartbeat
}

// update applies evidence if it is newer.
func (e *evidence) update(at time.Time, offset platform.Offset) {
	e.offset = max(e.offset, offset)
	if at.After(e.at) {
		e.at = at
	}
}

func (e *evidence) fresh(now time.Time) bool {
	return !e.at.IsZero() && now.Sub(e.at) <= evidenceWindow
}

// Gate returns the state of the gate, which decides whether the process may accept new
// work now.
//
// The age of a peer's evidence counts from the time at which the query was sent, which
// is before the peer responded, so a late response never seems fresher than it is.
// The process applies the evidence of its peers; if its own is stale, no reachable
// peer has fresh evidence.
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

// EvidenceAge returns the time since the log was last known to be read to its end.
func (s *State) EvidenceAge(now time.Time) time.Duration { return now.Sub(s.evidence.at) }

// reachesMajority reports whether peers in a majority of data centres, with the
// process's own, have a recent heartbeat.
func (s *State) reachesMajority() bool {
	centres := s.config.Inventory().DataCentres
	reachable := map[string]bool{s.self.DataCentre: true}
	for _, h := range s.heartbeats {
		if s.now.Sub(h.requestedAt) <= heartbeatWindow {
			reachable[h.heartbeat.DataCentre] = true
		}
	}
	count := 0
	for name := range centres {
		if reachable[name] {
			count++
		}
	}
	return 2*count > len(centres)
}

// ownHeartbeat returns the current state of the process for its peers.
func (s *State) ownHeartbeat() Heartbeat {
	b := Heartbeat{
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
	old, known := s.heartbeats[e.Heartbeat.Instance]
	if known && old.requestedAt.After(e.RequestedAt) {
		return // The response to an earlier query arrived late.
	}
	s.heartbeats[e.Heartbeat.Instance] = peerHeartbeat{requestedAt: e.RequestedAt, heartbeat: e.Heartbeat}
	if e.Heartbeat.EvidenceAge >= 0 {
		s.evidence.update(e.RequestedAt.Add(-e.Heartbeat.EvidenceAge), e.Heartbeat.EvidenceOffset)
	}
	s.evidence.offset = max(s.evidence.offset, e.Heartbeat.Applied)
	if e.Heartbeat.Applied > s.config.Applied() {
		s.emit(FetchRecords{Peer: e.Heartbeat.Instance, From: s.config.Applied() + 1})
	}
	s.entry.updateTarget(s, e.Heartbeat, known && old.heartbeat.Incarnation != e.Heartbeat.Incarnation)
}
