// Package entries speaks to the other entry instances: who is alive, what they have
// running, and records of the store that one of them lacks.
package entries

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"sync"
	"time"

	"chervilswitch.example/shared/admission"
	"chervilswitch.example/shared/events"
	"chervilswitch.example/shared/fleet"
	"chervilswitch.example/shared/peer"

	"github.com/apex/log"
)

const (
	// newsInterval is how often an instance tells the others what it has running.
	newsInterval = 200 * time.Millisecond
	// silence is when an instance that tells nothing counts as gone. Callers must
	// not be sent to a dead one for more than a few seconds.
	silence = 1500 * time.Millisecond
	// forget is when a registered instance that was never heard of, or not for so
	// long, no longer counts in shared limits.
	forget = 15 * time.Second
	// redial is the pause between two tries to connect.
	redial = 500 * time.Millisecond
)

// Core is what the instances' news concern.
type Core interface {
	// Learn reports whether anything but heartbeats was news.
	Learn(records []fleet.Record, source string) bool
	Tell(e admission.Event)
	Running() map[string]int
	End(topic fleet.Topic) int64
	Since(topic fleet.Topic, from int64) []fleet.Record
	SetEntries(count int)
}

// Membership is the entry instances that are known.
type Membership struct {
	// ctx ends the links to all instances.
	ctx  context.Context
	self fleet.Instance
	// registration is this instance's own, encoded.
	registration []byte
	core         Core
	logger       log.Interface
	// Duty gives the fencing token that this instance holds, or 0.
	Duty func() uint64
	// Unable tells that this instance could not claim the planner's duty.
	Unable func() bool

	mutex    sync.Mutex
	stopping bool
	groups   admission.Groups // What this instance knows as the planner.
	others   map[string]*other
}

// other is one other instance.
type other struct {
	instance fleet.Instance
	heard    time.Time // When its last news came.
	seen     time.Time // When it was last heard of in any way.
	stopping bool
	duty     uint64
	unable   bool // It could not claim the planner's duty.
	ends     map[fleet.Topic]int64
	cancel   context.CancelFunc
	wake     chan struct{}
}

// NewMembership gives the set of an instance that knows no other. The context ends its links.
func NewMembership(ctx context.Context, self fleet.Instance, core Core, logger log.Interface) *Membership {
	registration, err := json.Marshal(self)
	if err != nil {
		registration = nil // A struct of texts and numbers always encodes.
	}
	return &Membership{
		ctx: ctx, self: self, registration: registration, core: core, logger: logger,
		others: make(map[string]*other), Duty: func() uint64 { return 0 }, Unable: func() bool { return false },
	}
}

// Register takes an instance's registration and begins to tell it news.
func (s *Membership) Register(i fleet.Instance) {
	if i.Name == s.self.Name {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	o, ok := s.others[i.Name]
	if ok && o.instance.Incarnation >= i.Incarnation {
		o.stopping = o.stopping || i.Stopping && o.instance.Incarnation == i.Incarnation
		return
	}
	if ok {
		o.cancel()
	}
	link, cancel := context.WithCancel(s.ctx)
	o = &other{
		instance: i, seen: time.Now(), stopping: i.Stopping, cancel: cancel,
		ends: make(map[fleet.Topic]int64), wake: make(chan struct{}, 1),
	}
	s.others[i.Name] = o
	events.Log(s.logger, events.EntriesChanged, log.Fields{"entry": i.Name, "incarnation": i.Incarnation, "state": "registered"})
	go s.tell(link, o)
}

// Stop tells the others that this instance takes no new callers.
func (s *Membership) Stop() {
	s.mutex.Lock()
	s.stopping = true
	s.mutex.Unlock()
	s.Broadcast()
}

// SetGroups tells all instances how the groups of ranks do.
func (s *Membership) SetGroups(groups admission.Groups) {
	groups.Instance = s.self.Name
	s.mutex.Lock()
	s.groups = groups
	s.mutex.Unlock()
	s.core.Tell(groups)
	s.Broadcast()
}

// Broadcast tells the others news at once.
func (s *Membership) Broadcast() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, o := range s.others {
		select {
		case o.wake <- struct{}{}:
		default: // It is awake already.
		}
	}
}

// tell sends news to one instance until the context ends.
func (s *Membership) tell(ctx context.Context, o *other) {
	for ctx.Err() == nil {
		s.tellOnce(ctx, o)
		select {
		case <-ctx.Done():
		case <-time.After(redial):
		}
	}
}

func (s *Membership) tellOnce(ctx context.Context, o *other) {
	link, err := peer.Dial(ctx, o.instance.Peers, nil)
	if err != nil {
		return // Its silence shows in the news that it does not send.
	}
	defer link.Close()
	stream, err := link.Open(&peer.Open{Kind: &peer.Open_Entry{Entry: s.news(o)}})
	if err != nil {
		return
	}
	defer stream.Close()
	stop := stream.CloseWith(ctx)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-link.Closed():
			return
		case <-o.wake:
		case <-time.After(newsInterval):
		}
		if stream.Send(s.news(o)) != nil {
			return
		}
	}
}

// news is what an instance should hear now.
func (s *Membership) news(o *other) *peer.EntryUpdate {
	s.mutex.Lock()
	operatorEnd, targetEnd, heard := o.ends[fleet.OperatorTopic], o.ends[fleet.TargetTopic], !o.heard.IsZero()
	stopping, groups := s.stopping, s.groups
	s.mutex.Unlock()
	m := &peer.EntryUpdate{
		Instance: s.self.Name, Incarnation: s.self.Incarnation, Stopping: stopping, Duty: s.Duty(), Unable: s.Unable(),
		OperatorEnd: s.core.End(fleet.OperatorTopic), TargetEnd: s.core.End(fleet.TargetTopic),
		Running: make(map[string]int32), Closed: groups.Closed, Paces: groups.Paces, Registration: s.registration,
	}
	for target, running := range s.core.Running() {
		m.Running[target] = int32(running)
	}
	if heard {
		records := append(s.core.Since(fleet.OperatorTopic, operatorEnd), s.core.Since(fleet.TargetTopic, targetEnd)...)
		for _, r := range records {
			m.Records = append(m.Records, &peer.StoreRecord{
				Topic: int32(r.Topic), Key: r.Key, Offset: r.Offset, Value: r.Value, Removed: r.Removed,
			})
		}
	}
	return m
}

// Serve takes the news of one instance until its link ends.
func (s *Membership) Serve(ctx context.Context, first *peer.EntryUpdate, stream *peer.Stream) {
	m := first
	for ctx.Err() == nil {
		s.hear(m)
		m = new(peer.EntryUpdate)
		if stream.Receive(m) != nil {
			return // The instance dials again, or falls silent.
		}
	}
}

// introduce registers an instance that the store has not told of.
func (s *Membership) introduce(m *peer.EntryUpdate) {
	s.mutex.Lock()
	o, known := s.others[m.GetInstance()]
	known = known && o.instance.Incarnation >= m.GetIncarnation()
	s.mutex.Unlock()
	if known || len(m.GetRegistration()) == 0 {
		return
	}
	var i fleet.Instance
	if err := json.Unmarshal(m.GetRegistration(), &i); err != nil {
		events.Log(s.logger, events.RecordUnreadable, log.Fields{"entry": m.GetInstance(), "error": err.Error()})
		return
	}
	s.Register(i)
}

// ContactSeeds introduces this instance to seeds, whose answers bring what they know, until
// it is known here or the context ends. It is of use while the store is away.
func (s *Membership) ContactSeeds(ctx context.Context, seeds []netip.AddrPort, known func() bool) {
	for ctx.Err() == nil && !known() {
		for _, seed := range seeds {
			if seed != s.self.Peers {
				s.greetOne(ctx, seed)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(redial):
		}
	}
}

func (s *Membership) greetOne(ctx context.Context, seed netip.AddrPort) {
	link, err := peer.Dial(ctx, seed, nil)
	if err != nil {
		return // A seed may be stale; another one answers, or the store.
	}
	defer link.Close()
	stream, err := link.Open(&peer.Open{Kind: &peer.Open_Entry{Entry: s.news(&other{})}})
	if err != nil {
		return
	}
	defer stream.Close()
	select { // Closing at once could overtake the message.
	case <-ctx.Done():
	case <-time.After(newsInterval):
	}
}

// hear takes the news of one instance.
func (s *Membership) hear(m *peer.EntryUpdate) {
	s.introduce(m)
	s.mutex.Lock()
	o, ok := s.others[m.GetInstance()]
	if ok && o.instance.Incarnation == m.GetIncarnation() {
		back := time.Since(o.heard) > silence
		o.heard = time.Now()
		o.seen = o.heard
		o.stopping, o.duty, o.unable = m.GetStopping(), m.GetDuty(), m.GetUnable()
		o.ends[fleet.OperatorTopic], o.ends[fleet.TargetTopic] = m.GetOperatorEnd(), m.GetTargetEnd()
		if back {
			events.Log(s.logger, events.EntriesChanged, log.Fields{"entry": m.GetInstance(), "state": "heard"})
		}
	}
	s.mutex.Unlock()
	if !ok {
		return // Its registration is still to come.
	}
	records := make([]fleet.Record, len(m.GetRecords()))
	for i, r := range m.GetRecords() {
		records[i] = fleet.Record{
			Topic: fleet.Topic(r.GetTopic()), Key: r.GetKey(), Offset: r.GetOffset(), Value: r.GetValue(), Removed: r.GetRemoved(),
		}
	}
	if s.core.Learn(records, m.GetInstance()) {
		defer s.Broadcast()
	}
	running := make(map[string]int, len(m.GetRunning()))
	for target, count := range m.GetRunning() {
		running[target] = int(count)
	}
	s.core.Tell(admission.Groups{Instance: m.GetInstance(), Closed: m.GetClosed(), Paces: m.GetPaces()})
	s.core.Tell(admission.PeerLoad{Peer: m.GetInstance(), Running: running})
}

// Watch forgets what silent instances had running, until the context ends.
func (s *Membership) Watch(ctx context.Context) {
	ticker := time.NewTicker(newsInterval)
	defer ticker.Stop()
	silent := make(map[string]bool)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.mutex.Lock()
		now, count := time.Now(), 1
		var lost []string
		for name, o := range s.others {
			if now.Sub(o.seen) < forget && !o.stopping {
				count++
			}
			quiet := now.Sub(o.seen) > silence
			if quiet && !silent[name] {
				lost = append(lost, name)
			}
			silent[name] = quiet
		}
		s.mutex.Unlock()
		for _, name := range lost {
			events.Log(s.logger, events.EntriesChanged, log.Fields{"entry": name, "state": "silent"})
			s.core.Tell(admission.PeerLost{Peer: name})
		}
		s.core.SetEntries(count)
	}
}

// Callers lists where callers can connect: this instance, unless it is stopping,
// and those that were heard of lately.
func (s *Membership) Callers() []netip.AddrPort {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var addresses []netip.AddrPort
	if !s.stopping {
		addresses = append(addresses, s.self.Callers)
	}
	for _, o := range s.others {
		if !o.stopping && time.Since(o.heard) < silence {
			addresses = append(addresses, o.instance.Callers)
		}
	}
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	return addresses
}

// readers is how many instances read the store for all.
const readers = 2

// IsStoreReader reports whether this instance is one of those that read the store for all.
func (s *Membership) IsStoreReader() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before := 0
	for name, o := range s.others {
		if !o.stopping && time.Since(o.heard) < silence && name < s.self.Name {
			before++
		}
	}
	return before < readers
}

// Leads reports whether this instance should hold the planner's duty: nobody else
// who is alive holds a higher token, and no live instance that could claim one has a
// lower name while nobody holds the duty.
func (s *Membership) Leads(own uint64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopping {
		return false
	}
	for name, o := range s.others {
		if o.stopping || time.Since(o.heard) > silence {
			continue
		}
		if o.duty > own || own == 0 && name < s.self.Name && !o.unable {
			return false
		}
	}
	return true
}
