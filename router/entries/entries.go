// Package entries exchanges state between entry instances: liveness, running requests
// and records of the store that the receiver lacks.
package entries

import (
	"context"
	"encoding/json"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chervilswitch.example/router/core"
	"chervilswitch.example/shared/admission"
	"chervilswitch.example/shared/events"
	"chervilswitch.example/shared/fleet"
	"chervilswitch.example/shared/peer"
	"chervilswitch.example/shared/wait"

	"github.com/apex/log"
)

const (
	// stateInterval is how often state messages are sent and liveness is checked.
	stateInterval = 200 * time.Millisecond
	// livenessTimeout is how long after its last state message an instance counts as
	// live. It is short because callers must not be directed to a failed instance for
	// more than a few seconds.
	livenessTimeout = 1500 * time.Millisecond
	// expireAfter is how long an instance counts towards shared limits after its
	// registration or its last state message.
	expireAfter = 15 * time.Second
	// learnTime is how long after its start an instance waits for the list of the others. Live
	// ones have connected by then, so that it can start while the store is unavailable.
	learnTime = time.Second
	// redialPause is the pause between two attempts to connect.
	redialPause = 500 * time.Millisecond
)

// loadRefresh is how often the loads and groups that an instance reports are applied while
// they do not change.
const loadRefresh = time.Second

// Core is the control state that state messages are read from and applied to.
type Core interface {
	// ApplyRecords applies records and reports whether anything except a heartbeat
	// changed. The source is the name of the sending instance.
	ApplyRecords(records []fleet.Record, source string) bool
	HandleEvent(e admission.Event)
	Running() map[string]int
	End(topic fleet.Topic) fleet.Position
	// ChangesAfter returns the records of a topic that changed after the change of a number,
	// from a position on, and of which this instance learned before a time.
	ChangesAfter(topic fleet.Topic, number uint64, from fleet.Position, learnedBefore time.Time) core.Changes
	// ConfigurationVersion returns the version of the configuration in use, or 0, and
	// NewerConfiguration its record if the version is higher than the given one and was
	// learned before a time.
	ConfigurationVersion() uint64
	NewerConfiguration(version uint64, learnedBefore time.Time) (fleet.Record, bool)
	// ConfirmedAt returns when the configuration was last known to be current, and
	// ConfirmVersion records that a version was current at a time.
	ConfirmedAt() time.Time
	ConfirmVersion(version uint64, at time.Time)
	// CrashEvidence returns the evidence of crashes and its version, without the evidence
	// if the version is not newer than the given one.
	CrashEvidence(since uint64) (admission.CrashEvidence, uint64)
	// TargetLimitsSince returns the limits of targets that have changed after a version,
	// and the current version.
	TargetLimitsSince(version uint64) ([]admission.TargetLimit, uint64)
	// TargetNoticesSince returns what targets have asked of this instance after a version,
	// and the current version.
	TargetNoticesSince(version uint64) ([]admission.TargetNotice, uint64)
	// Demand returns the demand at this instance for services that lack room.
	Demand() []admission.ServiceDemand
}

// Membership tracks the known entry instances and exchanges state with them.
type Membership struct {
	// ctx ends the links to all instances.
	ctx  context.Context
	self fleet.Instance
	// registration is this instance's own registration as JSON.
	registration []byte
	core         Core
	logger       log.Interface
	// Duty returns this instance's fencing token if it is the leader, which runs the
	// planner, or 0.
	Duty func() uint64
	// Unable reports whether this instance's last claim of leadership did not reach the
	// store.
	Unable func() bool

	// mutex is not held while the core is called: its callbacks take it.
	mutex    sync.Mutex
	stopping bool
	groups   admission.GroupReport // This instance's report as the leader; empty otherwise.
	members  map[string]*member
	// held holds the positions up to which complete messages of others cover the topics, and
	// heldAt when they last rose.
	held      map[fleet.Topic]fleet.Position
	heldAt    map[fleet.Topic]time.Time
	coveredAt time.Time // When the last complete message arrived.

	// listed is closed when the registrations have been listed once. Use Listed to close it.
	listed     chan struct{}
	listedOnce sync.Once
	// known reports whether the core knows the instances that share limits.
	known atomic.Bool

	loads   ownLoads
	demands ownDemands
}

// member is the last known state of another entry instance.
type member struct {
	instance      fleet.Instance
	received      time.Time // When its last state message arrived; zero before the first.
	lastSeen      time.Time // When it registered or its last state message arrived.
	stopping      bool
	fencingToken  uint64                         // Its token as the leader; 0 if it is not.
	unable        bool                           // Its last claim of leadership did not reach the store.
	ends          map[fleet.Topic]fleet.Position // The positions up to which it has read the topics.
	configuration uint64                         // The version of the configuration that it uses.
	takesChanges  bool                           // It understands messages that hold changes only.
	inbound       *inbound                       // What its latest stream has sent.
	sent          sentState                      // What was sent over the link to it.
	sharing       bool                           // It shares limits with this instance; see sharingInstances.
	cancel        context.CancelFunc             // Closes the link to it.
	wake          chan struct{}                  // Requests a state message at once.
}

// NewMembership returns the membership of an instance that knows no other instances. The
// links to other instances close when the context ends.
func NewMembership(ctx context.Context, self fleet.Instance, state Core, logger log.Interface) *Membership {
	registration, err := json.Marshal(self)
	if err != nil {
		registration = nil // Unreachable: strings and numbers always encode.
	}
	return &Membership{
		ctx: ctx, self: self, registration: registration, core: state, logger: logger,
		listed:  make(chan struct{}),
		members: make(map[string]*member), held: make(map[fleet.Topic]fleet.Position), heldAt: make(map[fleet.Topic]time.Time), Duty: func() uint64 { return 0 }, Unable: func() bool { return false },
	}
}

// Register adds an instance and starts to send it state messages. A newer incarnation
// replaces an older one; an older incarnation is ignored.
func (m *Membership) Register(i fleet.Instance) {
	if i.Name == m.self.Name {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	mb, ok := m.members[i.Name]
	if ok && mb.instance.Incarnation >= i.Incarnation {
		mb.stopping = mb.stopping || i.Stopping && mb.instance.Incarnation == i.Incarnation
		return
	}
	if ok {
		mb.cancel()
	}
	link, cancel := context.WithCancel(m.ctx)
	mb = &member{
		instance: i, lastSeen: time.Now(), stopping: i.Stopping, sharing: !i.Stopping, cancel: cancel,
		ends: make(map[fleet.Topic]fleet.Position), wake: make(chan struct{}, 1),
	}
	m.members[i.Name] = mb
	events.Log(m.logger, events.EntriesChanged, log.Fields{"entry": i.Name, "incarnation": i.Incarnation, "state": "registered"})
	go m.sendLoop(link, mb)
}

// Silent returns the sorted names of the instances that have been silent for some time.
func (m *Membership) Silent(silence time.Duration) []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var names []string
	for name, mb := range m.members {
		if time.Since(mb.lastSeen) >= silence {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Forget removes an instance whose registration was removed, unless it is live.
func (m *Membership) Forget(name string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	mb, ok := m.members[name]
	if !ok || time.Since(mb.received) < livenessTimeout {
		return
	}
	mb.cancel()
	delete(m.members, name)
	events.Log(m.logger, events.EntriesChanged, log.Fields{"entry": name, "incarnation": mb.instance.Incarnation, "state": "forgotten"})
}

// Listed records that all registrations in the store have been passed to Register.
func (m *Membership) Listed() { m.listedOnce.Do(func() { close(m.listed) }) }

// Known reports whether this instance knows the others that it shares limits with.
func (m *Membership) Known() bool { return m.known.Load() }

// Stop notifies the other instances that this one accepts no new callers.
func (m *Membership) Stop() {
	m.mutex.Lock()
	m.stopping = true
	m.mutex.Unlock()
	m.Broadcast()
}

// SetGroupReport applies a report on the groups of ranks to this instance's core and
// sends it to all instances.
func (m *Membership) SetGroupReport(groups admission.GroupReport) {
	groups.Instance = m.self.Name
	m.mutex.Lock()
	m.groups = groups
	m.mutex.Unlock()
	m.core.HandleEvent(groups)
	m.Broadcast()
}

// Broadcast sends the current state to all other instances without waiting for the
// next interval.
func (m *Membership) Broadcast() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, mb := range m.members {
		select {
		case mb.wake <- struct{}{}:
		default: // A message is already due.
		}
	}
}

// sendLoop sends state messages to one instance until the context ends. It dials again
// when the link is lost.
func (m *Membership) sendLoop(ctx context.Context, mb *member) {
	for ctx.Err() == nil {
		m.sendOverLink(ctx, mb)
		wait.Sleep(ctx, redialPause)
	}
}

// sendOverLink opens a link to an instance and sends state messages until it fails.
func (m *Membership) sendOverLink(ctx context.Context, mb *member) {
	link, err := peer.Dial(ctx, mb.instance.Peers, nil)
	if err != nil {
		return // Watch reports an unreachable instance after livenessTimeout.
	}
	defer link.Close()
	mb.sent = sentState{} // What was sent over an earlier link may be lost.
	stream, err := link.Open(&peer.Open{Kind: &peer.Open_Entry{Entry: m.stateFor(mb)}})
	if err != nil {
		return
	}
	defer stream.Close()
	stop := stream.CloseOnDone(ctx)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-link.Closed():
			return
		case <-mb.wake:
		case <-time.After(stateInterval):
		}
		if stream.Send(m.stateFor(mb)) != nil {
			return
		}
	}
}

// addCrashEvidence adds the evidence of crashes that is new to an instance to a state
// message for it.
func (m *Membership) addCrashEvidence(state *peer.EntryUpdate, mb *member) {
	var evidence admission.CrashEvidence
	evidence, mb.sent.evidence = m.core.CrashEvidence(mb.sent.evidence)
	now := time.Now()
	for _, r := range evidence.Reports {
		state.Crashes = append(state.Crashes, &peer.CrashReport{
			Target: r.Target, Incarnation: r.Incarnation, AgeMs: now.Sub(r.At).Milliseconds(), Reporter: r.Reporter,
			Begun: r.Begun, Waiting: r.Waiting, Refuted: r.Refuted, Rank: r.Rank,
		})
	}
	if len(evidence.Sound) > 0 {
		state.SoundAges = make(map[string]int64, len(evidence.Sound))
	}
	for part, at := range evidence.Sound {
		state.SoundAges[part] = now.Sub(at).Milliseconds()
	}
}

// applyCrashEvidence applies another instance's evidence of crashes.
func (m *Membership) applyCrashEvidence(state *peer.EntryUpdate) {
	if len(state.GetCrashes()) == 0 {
		return
	}
	now := time.Now()
	evidence := admission.CrashEvidence{Sound: make(map[string]time.Time, len(state.GetSoundAges()))}
	for _, r := range state.GetCrashes() {
		evidence.Reports = append(evidence.Reports, admission.CrashReport{
			Target: r.GetTarget(), Incarnation: r.GetIncarnation(), At: now.Add(-time.Duration(r.GetAgeMs()) * time.Millisecond),
			Reporter: r.GetReporter(), Begun: r.GetBegun(), Waiting: r.GetWaiting(), Refuted: r.GetRefuted(), Rank: r.GetRank(),
		})
	}
	for part, age := range state.GetSoundAges() {
		evidence.Sound[part] = now.Add(-time.Duration(age) * time.Millisecond)
	}
	m.core.HandleEvent(evidence)
}

// addTargetLimits adds the limits of targets that are new to an instance to a state
// message for it.
func (m *Membership) addTargetLimits(state *peer.EntryUpdate, mb *member) {
	var limits []admission.TargetLimit
	limits, mb.sent.limits = m.core.TargetLimitsSince(mb.sent.limits)
	now := time.Now()
	for _, l := range limits {
		state.Limits = append(state.Limits, &peer.TargetLimit{
			Target: l.Target, Incarnation: l.Incarnation, PerSecond: l.PerSecond, AgeMs: now.Sub(l.At).Milliseconds(),
		})
	}
}

// applyTargetLimits applies the limits of targets that another instance knows.
func (m *Membership) applyTargetLimits(state *peer.EntryUpdate) {
	if len(state.GetLimits()) == 0 {
		return
	}
	now := time.Now()
	event := admission.PeerLimits{Peer: state.GetInstance()}
	for _, l := range state.GetLimits() {
		event.Limits = append(event.Limits, admission.TargetLimit{
			Target: l.GetTarget(), Incarnation: l.GetIncarnation(), PerSecond: l.GetPerSecond(),
			At: now.Add(-time.Duration(l.GetAgeMs()) * time.Millisecond),
		})
	}
	m.core.HandleEvent(event)
}

// addTargetNotices adds what targets have asked of this instance, as far as it is new to
// another instance, to a state message for it.
func (m *Membership) addTargetNotices(state *peer.EntryUpdate, mb *member) {
	var notices []admission.TargetNotice
	notices, mb.sent.notices = m.core.TargetNoticesSince(mb.sent.notices)
	now := time.Now()
	for _, n := range notices {
		state.Notices = append(state.Notices, &peer.TargetNotice{
			Target: n.Target, Incarnation: n.Incarnation, PausedMs: max(0, n.PausedUntil.Sub(now)).Milliseconds(), Leaving: n.Leaving,
		})
	}
}

// applyTargetNotices applies what targets have asked of another instance.
func (m *Membership) applyTargetNotices(state *peer.EntryUpdate) {
	if len(state.GetNotices()) == 0 {
		return
	}
	now := time.Now()
	event := admission.PeerNotices{Peer: state.GetInstance()}
	for _, n := range state.GetNotices() {
		event.Notices = append(event.Notices, admission.TargetNotice{
			Target: n.GetTarget(), Incarnation: n.GetIncarnation(), Leaving: n.GetLeaving(),
			PausedUntil: now.Add(time.Duration(n.GetPausedMs()) * time.Millisecond),
		})
	}
	m.core.HandleEvent(event)
}

// Serve applies the state messages of one instance until its link ends.
func (m *Membership) Serve(ctx context.Context, first *peer.EntryUpdate, stream *peer.Stream) {
	state := first
	in := &inbound{}
	for ctx.Err() == nil {
		m.applyState(state, in)
		state = new(peer.EntryUpdate)
		if stream.Receive(state) != nil {
			return // The instance dials again or exceeds the liveness timeout.
		}
	}
}

// registerUnknown registers the sender of a state message if its registration has not
// yet arrived from the store.
func (m *Membership) registerUnknown(state *peer.EntryUpdate) {
	m.mutex.Lock()
	mb, known := m.members[state.GetInstance()]
	known = known && mb.instance.Incarnation >= state.GetIncarnation()
	m.mutex.Unlock()
	if known || len(state.GetRegistration()) == 0 {
		return
	}
	var i fleet.Instance
	err := json.Unmarshal(state.GetRegistration(), &i)
	if err == nil {
		err = i.Check(state.GetInstance())
	}
	if err != nil {
		events.Log(m.logger, events.RecordUnreadable, log.Fields{"entry": state.GetInstance(), "error": err.Error()})
		return
	}
	m.Register(i)
}

// ContactSeeds sends this instance's registration to the seeds until known returns true
// or the context ends. The seeds connect back and send the records that they hold, so
// that an instance can start while the store is unavailable.
func (m *Membership) ContactSeeds(ctx context.Context, seeds []netip.AddrPort, known func() bool) {
	for ctx.Err() == nil && !known() {
		for _, seed := range seeds {
			if seed != m.self.Peers {
				m.contactSeed(ctx, seed)
			}
		}
		wait.Sleep(ctx, redialPause)
	}
}

// contactSeed sends one state message with this instance's registration to a seed.
func (m *Membership) contactSeed(ctx context.Context, seed netip.AddrPort) {
	link, err := peer.Dial(ctx, seed, nil)
	if err != nil {
		return // The address may be outdated; other seeds or the store provide the state.
	}
	defer link.Close()
	stream, err := link.Open(&peer.Open{Kind: &peer.Open_Entry{Entry: m.stateFor(&member{})}})
	if err != nil {
		return
	}
	defer stream.Close()
	wait.Sleep(ctx, stateInterval) // Closing at once could drop the message before it is sent.
}

// applyState applies a state message: the sender's liveness, load, group states and
// records. A message of an unknown instance is applied only if it registers the instance.
func (m *Membership) applyState(state *peer.EntryUpdate, in *inbound) {
	m.registerUnknown(state)
	changed := in.add(state)
	m.mutex.Lock()
	mb, ok := m.members[state.GetInstance()]
	latest := ok
	if ok && mb.instance.Incarnation == state.GetIncarnation() {
		recovered := time.Since(mb.received) > livenessTimeout
		changed = changed || recovered
		mb.received = time.Now()
		mb.lastSeen, mb.sharing = mb.received, true
		mb.stopping, mb.fencingToken, mb.unable = state.GetStopping(), state.GetDuty(), state.GetUnable()
		mb.configuration, mb.takesChanges = state.GetConfiguration(), state.GetTakesChanges()
		for topic, end := range reportedEnds(state) {
			mb.ends[topic] = end
		}
		latest = in.isLatestOf(mb)
		if recovered {
			events.Log(m.logger, events.EntriesChanged, log.Fields{"entry": state.GetInstance(), "state": "heard"})
		}
	}
	m.mutex.Unlock()
	if !ok {
		return // Its registration is not known yet, or could not be decoded.
	}
	m.applyRecords(state)
	m.applyCrashEvidence(state)
	m.applyTargetLimits(state)
	m.applyTargetNotices(state)
	if now := time.Now(); latest && (changed || now.Sub(in.appliedAt) > loadRefresh) {
		in.appliedAt = now
		m.core.HandleEvent(in.groups)
		m.core.HandleEvent(admission.PeerLoad{Peer: state.GetInstance(), Running: maps.Clone(in.running)})
	}
	if latest {
		m.applyDemands(state, in)
	}
}

// Watch sends a PeerLost event to the core when the state messages of an instance stop,
// and updates the instances that share limits, until the context ends. They are known once
// the registrations have been listed, or after learnTime.
func (m *Membership) Watch(ctx context.Context) {
	ticker := time.NewTicker(stateInterval)
	defer ticker.Stop()
	timedOut := make(map[string]bool)
	var sharing []string
	reading := Reader // An instance that knows no others reads.
	listed, started := m.listed, time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-listed:
			listed = nil
		case <-ticker.C:
		}
		m.mutex.Lock()
		now := time.Now()
		names := m.sharingInstances(now)
		role, small := m.readerRole()
		var lost []string
		for name, mb := range m.members {
			isTimedOut := now.Sub(mb.lastSeen) > livenessTimeout
			if isTimedOut && !timedOut[name] {
				lost = append(lost, name)
			}
			timedOut[name] = isTimedOut
		}
		m.mutex.Unlock()
		for _, name := range lost {
			events.Log(m.logger, events.EntriesChanged, log.Fields{"entry": name, "state": "silent"})
			m.core.HandleEvent(admission.PeerLost{Peer: name})
		}
		if role != reading {
			reading = role
			events.Log(m.logger, events.EntriesChanged, log.Fields{"state": "reading", "role": role.String(), "small": small})
		}
		known := listed == nil || now.Sub(started) > learnTime
		if known && !slices.Equal(names, sharing) {
			sharing = names
			events.Log(m.logger, events.EntriesChanged, log.Fields{"state": "sharing", "count": len(names)})
			m.core.HandleEvent(admission.EntryInstances{Names: names})
			m.known.Store(true)
		}
	}
}

// sharingInstances returns the sorted names of the instances that share limits, including
// this one. An instance that falls silent keeps its share for expireAfter, and one that
// was stopping until it is silent. An instance that hears at most half of all, itself
// included, may be cut off, so it goes on sharing with all of them.
func (m *Membership) sharingInstances(now time.Time) []string {
	total, heard := 1, 1
	for _, mb := range m.members {
		if mb.sharing {
			total++
			if now.Sub(mb.received) < livenessTimeout {
				heard++
			}
		}
	}
	cutOff := total > 1 && 2*heard <= total
	names := []string{m.self.Name}
	for name, mb := range m.members {
		silent := now.Sub(mb.received) > livenessTimeout
		if mb.stopping && silent || !cutOff && now.Sub(mb.lastSeen) > expireAfter {
			mb.sharing = false
		}
		if mb.sharing {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Callers lists the addresses for callers, sorted: this instance's, unless it is
// stopping, and those of other live instances.
func (m *Membership) Callers() []netip.AddrPort {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var addresses []netip.AddrPort
	if !m.stopping {
		addresses = append(addresses, m.self.Callers)
	}
	for _, mb := range m.members {
		if !mb.stopping && time.Since(mb.received) < livenessTimeout {
			addresses = append(addresses, mb.instance.Callers)
		}
	}
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	return addresses
}

// Leads reports whether this instance should be the leader, which runs the planner; own
// is its fencing token, or 0. The result is false while this instance is stopping or
// another live instance holds a higher token. Without a token, it is also false while a
// live instance with a lower name is able to claim leadership.
func (m *Membership) Leads(own uint64) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.stopping {
		return false
	}
	for name, mb := range m.members {
		if mb.stopping || time.Since(mb.received) > livenessTimeout {
			continue
		}
		if mb.fencingToken > own || own == 0 && name < m.self.Name && !mb.unable {
			return false
		}
	}
	return true
}
