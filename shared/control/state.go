package control

import (
	"strconv"
	"time"

	"chervilswitch.example/shared/operator"
	"chervilswitch.example/shared/platform"

	"github.com/cespare/xxhash/v2"
)

const (
	claimRetry    = 5 * time.Second
	snapshotRetry = 20 * time.Second
	// snapshotStagger separates daemons that would write the same snapshot.
	snapshotStagger = 2 * time.Second
	// snapshotShare is the part of the retention after which a snapshot is due.
	snapshotShare = 3
	// maxStaggerRanks bounds the stagger.
	maxStaggerRanks = 32
)

// State is the control state of one process. Create it with NewState; only one
// goroutine may use it.
type State struct {
	self     Identity
	now      time.Time
	config   Config
	evidence evidence
	contacts map[string]contact
	// leaving holds the instances that the platform's list shows as leaving.
	leaving  map[string]bool
	draining bool

	claimedAt  time.Time
	claimed    bool
	superseded bool
	// snapshotAt is when the newest snapshot, or the first record, was appended.
	snapshotAt    time.Time
	snapshotTried time.Time

	entry entryState
	agent agentState
	ranks map[int]*Rank
	// announced is the map of each rank that was last logged.
	announced map[int]MapVersion
	// groups is what this entry proposed to each group that it coordinates.
	groups map[string]*coordinated
	// proposals numbers this incarnation's proposals.
	proposals uint64

	effects []Effect
}

// NewState gives the state of a process that has just started.
func NewState(self Identity) *State {
	return &State{self: self, ranks: make(map[int]*Rank)}
}

// Reduce applies one event at a local time and returns what must be done.
// Time never runs backwards in the state.
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
	case PeerAnswer:
		s.onPeerAnswer(e)
	case PeerRecords:
		s.onPeerRecords(e)
	case InstanceList:
		s.onInstanceList(e)
	case Drain:
		s.draining = true
	case RankEvent:
		s.onRank(e)
	case RequestArrived, ResumeArrived, RequestLeft, AttemptAnswered, AttemptProduced, AttemptLost, AttemptEnded:
		s.entry.reduce(s, e)
	case Submitted, Attached, TargetProduced, TargetFinished, TargetReport, Watched:
		s.agent.reduce(s, e)
	}
	return s.effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// Config is the configuration as applied; callers must not change it.
func (s *State) Config() *Config { return &s.config }

// Self is the process's identity with its present incarnation.
func (s *State) Self() Identity { return s.self }

// Beat is what the process answers to a peer's question at a local time.
func (s *State) Beat(at time.Time) Beat {
	if at.After(s.now) {
		s.now = at
	}
	return s.beat()
}

// Peers lists the instances that answered within the contact window.
func (s *State) Peers() []Beat {
	var beats []Beat
	for _, name := range sortedKeys(s.contacts) {
		if s.now.Sub(s.contacts[name].askedAt) <= contactWindow {
			beats = append(beats, s.contacts[name].beat)
		}
	}
	return beats
}

// Draining reports whether a planned stop has begun.
func (s *State) Draining() bool { return s.draining }

// Leaving reports whether an instance is on its way out by any source.
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
		s.agent.onIntents(s, e)
		return
	}
	if e.Page.First == 1 {
		s.config.StartsEmpty()
	}
	before := s.config.Applied()
	var outcomes []SeenChange
	for _, r := range e.Page.Records {
		s.noteSnapshot(r)
		outcomes = append(outcomes, s.config.Apply(r)...)
	}
	s.evidence.offset = max(s.evidence.offset, e.Page.Next-1)
	if s.config.Applied()+1 >= e.Page.Next {
		s.evidence.learn(e.AskedAt, e.Page.Next-1)
	}
	s.afterConfig(before, outcomes)
}

func (s *State) onPeerRecords(e PeerRecords) {
	before := s.config.Applied()
	s.config.InstallSnapshot(e.Snapshot)
	var outcomes []SeenChange
	for _, r := range e.Records {
		outcomes = append(outcomes, s.config.Apply(r)...)
	}
	s.afterConfig(before, outcomes)
}

func (s *State) afterConfig(before platform.Offset, outcomes []SeenChange) {
	if s.config.Applied() == before {
		return
	}
	s.checkClaim()
	s.updateRanks()
	s.entry.onConfig(s)
	s.emit(Changed{Applied: s.config.Applied(), Outcomes: outcomes})
}

func (s *State) onInstanceList(e InstanceList) {
	s.leaving = make(map[string]bool)
	for _, instance := range e.Instances {
		if instance.Leaving {
			s.leaving[instance.Name] = true
		}
	}
}

func (s *State) noteSnapshot(r platform.Record) {
	record, err := DecodeRecord(r.Data)
	if err != nil {
		return
	}
	at := s.now.Add(-r.Age)
	if record.Kind == RecordSnapshot && at.After(s.snapshotAt) || s.snapshotAt.IsZero() {
		s.snapshotAt = at
	}
}

// claim appends this process's claim until it reads it back.
func (s *State) claim() {
	if s.claimed || s.superseded || !s.config.Ready() || !s.evidence.fresh(s.now) {
		return
	}
	if !s.claimedAt.IsZero() && s.now.Sub(s.claimedAt) < claimRetry {
		return
	}
	if newest, ok := s.config.Fencing(s.self.Instance); ok && newest.Incarnation >= s.self.Incarnation {
		// Another machine's clock ran ahead; a claim must be newer than its own.
		s.self.Incarnation = newest.Incarnation + 1
	}
	s.claimedAt = s.now
	s.appendRecord(Record{
		ID:    "claim/" + s.self.Instance + "/" + strconv.FormatUint(s.self.Incarnation, 16),
		Kind:  RecordClaim,
		Claim: &Claim{Instance: s.self.Instance, Incarnation: s.self.Incarnation},
	})
}

func (s *State) checkClaim() {
	newest, ok := s.config.Fencing(s.self.Instance)
	if !ok {
		return
	}
	if newest.Incarnation == s.self.Incarnation {
		s.claimed = true
	} else if s.claimed {
		s.superseded = true
	}
}

// Superseded reports whether a newer process claimed this instance.
func (s *State) Superseded() bool { return s.superseded }

func (s *State) writeSnapshot() {
	if s.self.Retention == 0 || !s.evidence.fresh(s.now) || s.config.Applied() == 0 {
		return
	}
	due := s.snapshotAt.Add(s.self.Retention/snapshotShare + s.stagger())
	if s.now.Before(due) || s.now.Sub(s.snapshotTried) < snapshotRetry {
		return
	}
	s.snapshotTried = s.now
	id := "snapshot/" + s.self.Instance + "/" + strconv.FormatUint(uint64(s.config.Applied()), 10)
	for _, r := range s.config.Snapshot(id) {
		s.appendRecord(r)
	}
}

// stagger orders the daemons anew for each snapshot by hashing.
func (s *State) stagger() time.Duration {
	hash := xxhash.Sum64String(s.self.Instance + "/" + strconv.FormatUint(uint64(s.config.Applied()), 10))
	return time.Duration(hash%maxStaggerRanks) * snapshotStagger
}

func (s *State) appendRecord(r Record) {
	r.Format = RecordFormat
	data, err := r.Encode()
	if err != nil {
		return // Every field was decoded from JSON before.
	}
	s.emit(Append{Stream: platform.ConfigStream, Data: data})
}

// LiveEntries lists the entries that callers may be sent to: those that answer
// and are not on their way out, and this one unless it is.
func (s *State) LiveEntries() []string {
	var names []string
	inventory := s.config.Inventory()
	for _, name := range sortedKeys(inventory.Instances) {
		instance := inventory.Instances[name]
		if instance.Role != operator.RoleEntry || s.Leaving(name) || inventory.DataCentres[instance.DataCentre].Out {
			continue
		}
		c, heard := s.contacts[name]
		live := heard && s.now.Sub(c.askedAt) <= contactWindow && !c.beat.Load.Closed
		if name == s.self.Instance {
			live = !s.draining
		}
		if live {
			names = append(names, name)
		}
	}
	return names
}
