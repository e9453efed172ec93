package control

import (
	"strconv"
	"time"

	"chervilswitch.example/shared/operator"
	"chervilswitch.example/shared/platform"

	"github.com/cespare/xxhash/v2"
)

const (
	// claimRetryInterval is the time between appends of a claim that is not read back.
	claimRetryInterval = 5 * time.Second
	// snapshotRetryInterval is the time between a process's appends of a snapshot.
	snapshotRetryInterval = 20 * time.Second
	// snapshotStagger is the unit of the delay that keeps processes from appending the
	// same snapshot at the same time.
	snapshotStagger = 2 * time.Second
	// snapshotRetentionDivisor makes a snapshot due after a third of the retention.
	snapshotRetentionDivisor = 3
	// staggerSlots is the number of different delays, from 0 to 31 units.
	staggerSlots = 32
)

// State is the control state of one process. Create it with NewState. It is not safe
// for concurrent use.
type State struct {
	self       Identity
	now        time.Time
	config     Config
	evidence   evidence
	heartbeats map[string]peerHeartbeat
	// leaving contains the instances that the platform's list marks as leaving.
	leaving  map[string]bool
	draining bool

	// claimedAt is when the claim was last appended; claimed means that it was read
	// back, and superseded that another incarnation's claim followed it.
	claimedAt  time.Time
	claimed    bool
	superseded bool
	// snapshotAt is when the newest snapshot, or the first record, was appended.
	snapshotAt          time.Time
	snapshotAttemptedAt time.Time

	entry entryState
	agent agentState
	ranks map[int]*Rank
	// loggedMaps contains the last logged expert map of each rank.
	loggedMaps map[int]MapVersion
	// groups contains this entry's last proposal to each group that it coordinates.
	groups map[string]*groupProposal
	// proposals counts this incarnation's proposals; the count is a proposal's number.
	proposals uint64

	effects []Effect
}

// NewState returns the state of a process that has just started.
func NewState(self Identity) *State {
	return &State{self: self, ranks: make(map[int]*Rank)}
}

// Reduce applies one event at a local time and returns the effects to execute, in
// order. If at is before the latest time of earlier events, that time is used.
func (s *State) Reduce(at time.Time, e Event) []Effect {
	if at.After(s.now) {
		s.now = at
	}
	s.effects = nil
	switch e := e.(type) {
	case Tick:
		s.onTick()
	case LogPage:
		s.onLogPage(e)
	case HeartbeatReceived:
		s.onHeartbeat(e)
	case RecordsReceived:
		s.onRecords(e)
	case InstanceList:
		s.onInstanceList(e)
	case DrainStarted:
		s.draining = true
	case RankEvent:
		s.onRank(e)
	case RequestArrived, ResumeArrived, RequestClosed, VerdictReceived, AttemptFirstOutput, AttemptDisconnected, AttemptEnded:
		s.entry.reduce(s, e)
	case AttemptSubmitted, AttachRequested, TargetFirstOutput, TargetFinished, TargetReport, ReadersChanged:
		s.agent.reduce(s, e)
	}
	return s.effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// Config returns the applied configuration. Callers must not change it.
func (s *State) Config() *Config { return &s.config }

// Self returns the process's identity with its current incarnation.
func (s *State) Self() Identity { return s.self }

// Heartbeat returns the state that the process sends in response to a peer's query. at is
// the local time of the query.
func (s *State) Heartbeat(at time.Time) Heartbeat {
	if at.After(s.now) {
		s.now = at
	}
	return s.ownHeartbeat()
}

// Peers returns the last heartbeats of the reachable peers, sorted by instance.
func (s *State) Peers() []Heartbeat {
	var peers []Heartbeat
	for _, name := range sortedKeys(s.heartbeats) {
		if s.now.Sub(s.heartbeats[name].requestedAt) <= heartbeatWindow {
			peers = append(peers, s.heartbeats[name].heartbeat)
		}
	}
	return peers
}

// Draining reports whether a graceful shutdown has begun.
func (s *State) Draining() bool { return s.draining }

// Leaving reports whether the platform's list or the configuration marks an instance
// as leaving.
func (s *State) Leaving(name string) bool {
	return s.leaving[name] || s.config.Inventory().Instances[name].Leaving
}

func (s *State) onTick() {
	s.claim()
	s.writeSnapshot()
	s.agent.onTick(s)
	s.entry.onTick(s)
	s.coordinate()
	for _, rank := range sortedKeys(s.ranks) {
		s.emitRank(rank, s.ranks[rank].Tick())
	}
}

func (s *State) onLogPage(e LogPage) {
	if e.Stream != platform.ConfigStream {
		s.agent.onIntentPage(s, e)
		return
	}
	if e.Page.First == 1 {
		s.config.StartFromEmpty()
	}
	before := s.config.Applied()
	var outcomes []ChangeResult
	for _, r := range e.Page.Records {
		s.recordSnapshotTime(r)
		outcomes = append(outcomes, s.config.Apply(r)...)
	}
	s.evidence.offset = max(s.evidence.offset, e.Page.Next-1)
	if s.config.Applied()+1 >= e.Page.Next {
		s.evidence.update(e.RequestedAt, e.Page.Next-1)
	}
	s.onConfigApplied(before, outcomes)
}

func (s *State) onRecords(e RecordsReceived) {
	before := s.config.Applied()
	s.config.InstallSnapshot(e.Snapshot)
	var outcomes []ChangeResult
	for _, r := range e.Records {
		outcomes = append(outcomes, s.config.Apply(r)...)
	}
	s.onConfigApplied(before, outcomes)
}

func (s *State) onConfigApplied(before platform.Offset, outcomes []ChangeResult) {
	if s.config.Applied() == before {
		return
	}
	s.checkClaim()
	s.startRanks()
	s.entry.onConfig(s)
	s.emit(ConfigChanged{Applied: s.config.Applied(), Outcomes: outcomes})
}

func (s *State) onInstanceList(e InstanceList) {
	s.leaving = make(map[string]bool)
	for _, instance := range e.Instances {
		if instance.Leaving {
			s.leaving[instance.Name] = true
		}
	}
}

// recordSnapshotTime sets snapshotAt from a record of the configuration stream.
func (s *State) recordSnapshotTime(r platform.Record) {
	record, err := DecodeRecord(r.Data)
	if err != nil {
		return
	}
	at := s.now.Add(-r.Age)
	if record.Kind == RecordSnapshot && at.After(s.snapshotAt) || s.snapshotAt.IsZero() {
		s.snapshotAt = at
	}
}

// claim appends this process's claim, and repeats that until the claim is read back.
func (s *State) claim() {
	if s.claimed || s.superseded || !s.config.Ready() || !s.evidence.fresh(s.now) {
		return
	}
	if !s.claimedAt.IsZero() && s.now.Sub(s.claimedAt) < claimRetryInterval {
		return
	}
	if newest, ok := s.config.NewestClaim(s.self.Instance); ok && newest.Incarnation >= s.self.Incarnation {
		// Incarnations derive from clocks, and the clock of an earlier process was
		// ahead. The claim must be newer than that process's.
		s.self.Incarnation = newest.Incarnation + 1
	}
	s.claimedAt = s.now
	s.appendRecord(Record{
		ID:    "claim/" + s.self.Instance + "/" + strconv.FormatUint(s.self.Incarnation, 16),
		Kind:  RecordClaim,
		Claim: &Claim{Instance: s.self.Instance, Incarnation: s.self.Incarnation},
	})
}

// checkClaim updates claimed and superseded from the newest claim in the log.
func (s *State) checkClaim() {
	newest, ok := s.config.NewestClaim(s.self.Instance)
	if !ok {
		return
	}
	if newest.Incarnation == s.self.Incarnation {
		s.claimed = true
	} else if s.claimed {
		s.superseded = true
	}
}

// Superseded reports whether a newer incarnation claimed this instance.
func (s *State) Superseded() bool { return s.superseded }

// writeSnapshot appends a snapshot if one is due.
func (s *State) writeSnapshot() {
	if s.self.Retention == 0 || !s.evidence.fresh(s.now) || s.config.Applied() == 0 {
		return
	}
	due := s.snapshotAt.Add(s.self.Retention/snapshotRetentionDivisor + s.stagger())
	if s.now.Before(due) || s.now.Sub(s.snapshotAttemptedAt) < snapshotRetryInterval {
		return
	}
	s.snapshotAttemptedAt = s.now
	id := "snapshot/" + s.self.Instance + "/" + strconv.FormatUint(uint64(s.config.Applied()), 10)
	for _, r := range s.config.Snapshot(id) {
		s.appendRecord(r)
	}
}

// stagger returns this process's delay before it appends a snapshot. It is derived by
// hashing and differs from one snapshot to the next.
func (s *State) stagger() time.Duration {
	hash := xxhash.Sum64String(s.self.Instance + "/" + strconv.FormatUint(uint64(s.config.Applied()), 10))
	return time.Duration(hash%staggerSlots) * snapshotStagger
}

func (s *State) appendRecord(r Record) {
	r.Format = RecordFormat
	data, err := r.Encode()
	if err != nil {
		return // Cannot happen: all raw JSON in a record was decoded from valid JSON.
	}
	s.emit(Append{Stream: platform.ConfigStream, Data: data})
}

// LiveEntries returns the entries that callers may connect to, sorted: those that are
// reachable and neither draining, leaving nor in a data centre that is taken out. It
// includes this entry under the same conditions.
func (s *State) LiveEntries() []string {
	var names []string
	inventory := s.config.Inventory()
	for _, name := range sortedKeys(inventory.Instances) {
		instance := inventory.Instances[name]
		if instance.Role != operator.RoleEntry || s.Leaving(name) || inventory.DataCentres[instance.DataCentre].Out {
			continue
		}
		h, known := s.heartbeats[name]
		live := known && s.now.Sub(h.requestedAt) <= heartbeatWindow && !h.heartbeat.Load.Closed
		if name == s.self.Instance {
			live = !s.draining
		}
		if live {
			names = append(names, name)
		}
	}
	return names
}
