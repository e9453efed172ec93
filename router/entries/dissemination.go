package entries

import (
	"maps"
	"slices"
	"sync"
	"time"

	"chervilswitch.example/shared/admission"
	"chervilswitch.example/shared/fleet"
	"chervilswitch.example/shared/peer"
)

const (
	// storeReaders is how many instances read the targets' topic at short intervals and
	// forward records to all others.
	storeReaders = 2
	// smallFleet is the number of live instances up to which each of them forwards each
	// record at once.
	smallFleet = 8
	// operatorForwardDelay is how long a forwarder waits before it sends an operators'
	// record. Each instance waits for these records at the store; only those that it turns
	// away need them from others.
	operatorForwardDelay = 150 * time.Millisecond
	// lateForwardDelay is how long the other instances wait for a forwarder before they
	// send an operators' record themselves. lateTargetForwardDelay is that of a targets'
	// record, of which a forwarder sends no other copy: two state messages later its receiver
	// has reported that it has it.
	lateForwardDelay       = 1200 * time.Millisecond
	lateTargetForwardDelay = 600 * time.Millisecond
	// loadsAge is how old the numbers of running requests in a message may be.
	loadsAge = 100 * time.Millisecond
)

// ReaderRole is the part of an instance in reading the store for others.
type ReaderRole int

// The roles, the least first.
const (
	// Checker reads the targets' topic at long intervals only.
	Checker ReaderRole = iota
	// Uncovered is a Checker that has received no complete message for livenessTimeout. It
	// reads the targets' topic more often.
	Uncovered
	// LocalReader reads for its data centre.
	LocalReader
	// Reader reads for all instances.
	Reader
)

// String returns the name of the role in logs.
func (r ReaderRole) String() string {
	switch r {
	case Reader:
		return "reader"
	case LocalReader:
		return "localReader"
	case Uncovered:
		return "uncovered"
	default:
		return "checker"
	}
}

// ReaderRole returns the role of this instance, and whether the fleet is small. The first
// storeReaders live instances by name read for all. In fleets that are not small the first
// one of each data centre reads for it, so that a data centre that is cut off has one.
func (m *Membership) ReaderRole() (role ReaderRole, small bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.readerRole()
}

func (m *Membership) readerRole() (role ReaderRole, small bool) {
	live, lower, lowerNearby := 1, 0, 0
	if time.Since(m.coveredAt) >= livenessTimeout {
		defer func() { role = max(role, Uncovered) }()
	}
	for name, mb := range m.members {
		if mb.stopping || time.Since(mb.received) >= livenessTimeout {
			continue
		}
		live++
		if name >= m.self.Name {
			continue
		}
		lower++
		if mb.instance.DataCentre == m.self.DataCentre {
			lowerNearby++
		}
	}
	small = live <= smallFleet
	switch {
	case lower < storeReaders:
		return Reader, small
	case lowerNearby == 0 && !small:
		return LocalReader, small
	default:
		return Checker, small
	}
}

// forwardDelays returns how long this instance keeps records of each topic before it sends
// them to a member that may lack them.
func (m *Membership) forwardDelays(mb *member) map[fleet.Topic]time.Duration {
	role, small := m.readerRole()
	switch {
	case small:
		return nil
	case role == Reader, role == LocalReader && mb.instance.DataCentre == m.self.DataCentre:
		return map[fleet.Topic]time.Duration{fleet.OperatorTopic: operatorForwardDelay}
	default:
		return map[fleet.Topic]time.Duration{fleet.OperatorTopic: lateForwardDelay, fleet.TargetTopic: lateTargetForwardDelay}
	}
}

// sentState is what was sent over a link. The zero value is that of a new link.
type sentState struct {
	evidence, limits, notices uint64                 // Versions.
	changes                   map[fleet.Topic]uint64 // The numbers of the last changes of topics.
	configuration             uint64                 // The version of the configuration.
	running                   map[string]int32       // Nil before the first message.
	demands                   []admission.ServiceDemand
}

// ownLoads holds the numbers of this instance's running requests, which the messages to all
// others share.
type ownLoads struct {
	mutex   sync.Mutex
	at      time.Time
	running map[string]int32 // It is replaced, not changed.
}

// get returns the numbers by target. If they are older than loadsAge, it reads new ones,
// while other callers get the old ones.
func (l *ownLoads) get(read func() map[string]int) map[string]int32 {
	now := time.Now()
	l.mutex.Lock()
	running := l.running
	outdated := running == nil || now.Sub(l.at) > loadsAge
	if outdated {
		l.at = now
	}
	l.mutex.Unlock()
	if !outdated {
		return running
	}
	running = make(map[string]int32)
	for target, count := range read() {
		running[target] = int32(count)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.running = running
	return running
}

// stateFor returns the state message for an instance. After the instance's first message,
// which reports the positions up to which it knows the topics, it includes the records that
// it lacks. The first message on a link holds all loads and the registration, later ones
// what has changed.
func (m *Membership) stateFor(mb *member) *peer.EntryUpdate {
	operators, targets := m.core.End(fleet.OperatorTopic), m.core.End(fleet.TargetTopic)
	m.mutex.Lock()
	theirs, received := maps.Clone(mb.ends), !mb.received.IsZero()
	stopping, groups, delays := m.stopping, m.groups, m.forwardDelays(mb)
	operators, targets = m.latestEnd(fleet.OperatorTopic, operators), m.latestEnd(fleet.TargetTopic, targets)
	configuration, takesChanges := mb.configuration, mb.takesChanges
	m.mutex.Unlock()
	state := &peer.EntryUpdate{
		Instance: m.self.Name, Incarnation: m.self.Incarnation, Stopping: stopping, Duty: m.Duty(), Unable: m.Unable(),
		OperatorEnd: operators.Offset, OperatorEra: operators.Era, TargetEnd: targets.Offset, TargetEra: targets.Era,
		Configuration: m.core.ConfigurationVersion(), TakesChanges: true, Closed: groups.Closed, Paces: groups.Paces,
	}
	m.addLoads(state, mb, takesChanges)
	m.addCrashEvidence(state, mb)
	m.addTargetLimits(state, mb)
	m.addTargetNotices(state, mb)
	m.addDemands(state, mb)
	if received {
		m.addRecords(state, mb, theirs, configuration, delays)
	}
	if confirmed := m.core.ConfirmedAt(); !confirmed.IsZero() {
		state.ConfirmedAgeMs = max(1, time.Since(confirmed).Milliseconds())
	}
	return state
}

// addLoads adds the numbers of running requests, or their changes, to a state message, and
// the registration to the first one on a link.
func (m *Membership) addLoads(state *peer.EntryUpdate, mb *member, takesChanges bool) {
	running := m.loads.get(m.core.Running)
	if mb.sent.running == nil {
		state.Registration = m.registration
	}
	if mb.sent.running == nil || !takesChanges {
		state.Running = running
	} else {
		state.RunningChanges, state.Running = true, changedLoads(mb.sent.running, running)
	}
	mb.sent.running = running
}

// changedLoads returns the numbers that differ; 0 for targets that are no longer used.
func changedLoads(before, after map[string]int32) map[string]int32 {
	changed := make(map[string]int32)
	for target, running := range after {
		if before[target] != running {
			changed[target] = running
		}
	}
	for target := range before {
		if _, ok := after[target]; !ok {
			changed[target] = 0
		}
	}
	return changed
}

// addRecords adds the records that an instance may lack to a state message for it, each
// once on a link.
func (m *Membership) addRecords(state *peer.EntryUpdate, mb *member, theirs map[fleet.Topic]fleet.Position, configuration uint64, delays map[fleet.Topic]time.Duration) {
	if mb.sent.changes == nil {
		mb.sent.changes = make(map[fleet.Topic]uint64)
	}
	now := time.Now()
	state.Complete = true
	var records []fleet.Record
	for _, topic := range []fleet.Topic{fleet.OperatorTopic, fleet.TargetTopic} {
		changes := m.core.ChangesAfter(topic, mb.sent.changes[topic], theirs[topic], now.Add(-delays[topic]))
		mb.sent.changes[topic] = changes.Number
		state.Complete = state.Complete && changes.Complete
		records = append(records, changes.Records...)
	}
	// A restore may have lost a configuration that the instance has never read.
	newer, ok := m.core.NewerConfiguration(max(configuration, mb.sent.configuration), now.Add(-delays[fleet.OperatorTopic]))
	if ok {
		mb.sent.configuration = state.GetConfiguration()
		if !slices.ContainsFunc(records, func(r fleet.Record) bool { return r.Topic == newer.Topic && r.Key == newer.Key }) {
			records = append(records, newer)
		}
	}
	for _, r := range records {
		state.Records = append(state.Records, &peer.StoreRecord{
			Topic: int32(r.Topic), Key: r.Key, Offset: r.Position.Offset, Era: r.Position.Era, Value: r.Value, Removed: r.Removed,
		})
	}
}

// latestEnd returns the position up to which this instance knows a topic that it has read
// from the store up to an end. The mutex must be held.
func (m *Membership) latestEnd(topic fleet.Topic, end fleet.Position) fleet.Position {
	if held := m.held[topic]; end.Before(held) {
		return held
	}
	return end
}

// Held returns the position up to which complete messages cover a topic, and when a message
// last raised it.
func (m *Membership) Held(topic fleet.Topic) (fleet.Position, time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.held[topic], m.heldAt[topic]
}

// reportedEnds returns the positions up to which the sender of a message knows the topics.
func reportedEnds(state *peer.EntryUpdate) map[fleet.Topic]fleet.Position {
	return map[fleet.Topic]fleet.Position{
		fleet.OperatorTopic: {Era: state.GetOperatorEra(), Offset: state.GetOperatorEnd()},
		fleet.TargetTopic:   {Era: state.GetTargetEra(), Offset: state.GetTargetEnd()},
	}
}

// applyRecords applies the records of a state message. If the message is complete, this
// instance knows the topics as far as the sender does, and the configuration is as current.
func (m *Membership) applyRecords(state *peer.EntryUpdate) {
	records := make([]fleet.Record, len(state.GetRecords()))
	for i, r := range state.GetRecords() {
		records[i] = fleet.Record{
			Topic: fleet.Topic(r.GetTopic()), Key: r.GetKey(), Value: r.GetValue(), Removed: r.GetRemoved(),
			Position: fleet.Position{Era: r.GetEra(), Offset: r.GetOffset()},
		}
	}
	changed := m.core.ApplyRecords(records, state.GetInstance())
	if state.GetComplete() {
		m.mutex.Lock()
		m.coveredAt = time.Now()
		for topic, end := range reportedEnds(state) {
			if m.held[topic].Before(end) {
				m.held[topic] = end
				m.heldAt[topic] = m.coveredAt
			}
		}
		m.mutex.Unlock()
		if age := state.GetConfirmedAgeMs(); age > 0 {
			m.core.ConfirmVersion(state.GetConfiguration(), time.Now().Add(-time.Duration(age)*time.Millisecond))
		}
	}
	if _, small := m.ReaderRole(); changed && small {
		m.Broadcast()
	}
}

// ForwardRecords sends records that were read from the store without waiting for the next
// interval if this instance forwards them at once.
func (m *Membership) ForwardRecords() {
	if role, small := m.ReaderRole(); small || role >= LocalReader {
		m.Broadcast()
	}
}

// inbound is what an instance has sent over one stream.
type inbound struct {
	running   map[string]int
	groups    admission.GroupReport
	demands   map[string]admission.ServiceDemand // By service.
	seen      bool                               // It has become the latest stream of its sender.
	appliedAt time.Time                          // When running and groups were last passed to the core.
}

// add applies the loads and group states of a message, and reports whether they changed.
func (in *inbound) add(state *peer.EntryUpdate) (changed bool) {
	if in.running == nil || !state.GetRunningChanges() {
		before := in.running
		in.running = make(map[string]int, len(state.GetRunning()))
		for target, running := range state.GetRunning() {
			in.running[target] = int(running)
		}
		changed = before == nil || !maps.Equal(before, in.running)
	} else {
		for target, running := range state.GetRunning() {
			in.running[target] = int(running)
			if running == 0 {
				delete(in.running, target)
			}
			changed = true
		}
	}
	groups := admission.GroupReport{Instance: state.GetInstance(), Closed: state.GetClosed(), Paces: state.GetPaces()}
	changed = changed || !slices.Equal(in.groups.Closed, groups.Closed) || !maps.Equal(in.groups.Paces, groups.Paces)
	in.groups = groups
	return changed
}

// isLatestOf reports whether the stream is the latest one of a member. A stream becomes it
// with its first message; late messages of earlier streams hold outdated loads.
func (in *inbound) isLatestOf(mb *member) bool {
	if !in.seen {
		in.seen, mb.inbound = true, in
	}
	return mb.inbound == in
}
