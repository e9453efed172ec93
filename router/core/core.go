package core

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chervilswitch.example/platform"
	"chervilswitch.example/shared/admission"
	"chervilswitch.example/shared/events"
	"chervilswitch.example/shared/fleet"

	"github.com/apex/log"
)

// SourceStore is the source of records that were read in the store, in order.
const SourceStore = "store"

const (
	// lapseGrace is how long a target is still used whose registration lapsed while
	// the store was away: targets that live are back within about two seconds of
	// the store's return.
	lapseGrace = 1700 * time.Millisecond
	// lapseWindow is how long after the store's return a removal counts as lapsed.
	lapseWindow = 2 * time.Second
	// decisions buffers what a request is told; it gets one decision for each
	// question.
	decisions = 2
)

// Options are what the core needs to know.
type Options struct {
	DataCentre  string
	RetryBudget admission.RetryBudget
	Logger      log.Interface
}

// Decisions is what a request is told.
type Decisions struct {
	// Next is where to send it, or that it is refused.
	Next <-chan admission.Effect
	// MoveRequested asks it to leave the target that it runs on.
	MoveRequested <-chan struct{}
}

// listener is the other end of Decisions.
type listener struct {
	next  chan admission.Effect
	moved chan struct{}
}

// Core is an instance's control state. Its methods may be called from any goroutine.
type Core struct {
	options Options
	view    atomic.Pointer[fleet.View]

	mutex     sync.Mutex
	admission *admission.State
	directory *fleet.Directory
	// changed holds, by topic and key, the offset of the last record that was more
	// than a heartbeat.
	changed map[fleet.Topic]map[string]int64
	waiting map[admission.RequestID]listener
	next    admission.RequestID
	entries int

	configuration *fleet.Configuration
	targets       map[string]fleet.Target // All readable registrations, by ID.
	lapsed        map[string]time.Time    // Until when lapsed targets are used.
	evacuated     map[string]bool
	storeBack     time.Time
	storeAway     bool
}

// New gives a core that knows nothing yet.
func New(o Options) *Core {
	c := &Core{
		options: o, entries: 1,
		admission: admission.New(o.DataCentre, o.RetryBudget),
		directory: fleet.NewDirectory(),
		changed:   make(map[fleet.Topic]map[string]int64),
		waiting:   make(map[admission.RequestID]listener),
		targets:   make(map[string]fleet.Target),
		lapsed:    make(map[string]time.Time),
		evacuated: make(map[string]bool),
	}
	c.view.Store(&fleet.View{})
	return c
}

// View is what is in force now.
func (c *Core) View() *fleet.View { return c.view.Load() }

// Submit asks for a target. Decisions come until Finish.
func (c *Core) Submit(r admission.Request) (admission.RequestID, Decisions) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.next++
	r.ID = c.next
	l := listener{next: make(chan admission.Effect, decisions), moved: make(chan struct{}, 1)}
	c.waiting[r.ID] = l
	c.reduce(time.Now(), admission.Submit{Request: r})
	return r.ID, Decisions{Next: l.next, MoveRequested: l.moved}
}

// Finish ends a request and forgets its channel.
func (c *Core) Finish(id admission.RequestID) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.waiting, id)
	c.reduce(time.Now(), admission.Finish{ID: id})
}

// Tell hands an event to the reducer.
func (c *Core) Tell(e admission.Event) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reduce(time.Now(), e)
}

// Tick lets time pass: requests that waited too long are refused.
func (c *Core) Tick() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	for id, until := range c.lapsed {
		if now.After(until) {
			delete(c.lapsed, id)
			delete(c.targets, id)
			c.publish(now)
		}
	}
	c.reduce(now, admission.Tick{})
}

// reduce hands decisions to the requests that they are about.
func (c *Core) reduce(now time.Time, e admission.Event) {
	for _, effect := range c.admission.Reduce(now, e) {
		var id admission.RequestID
		switch d := effect.(type) {
		case admission.Dispatch:
			id = d.ID
		case admission.Refuse:
			id = d.ID
		case admission.Move:
			if l, ok := c.waiting[d.ID]; ok && len(l.moved) == 0 {
				l.moved <- struct{}{}
			}
			continue
		}
		if l, ok := c.waiting[id]; ok {
			l.next <- effect
		}
	}
}

// Running is what this instance has on each target.
func (c *Core) Running() map[string]int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.admission.Running()
}

// Stalled reports whether a target's group as a whole shows nothing.
func (c *Core) Stalled(service, target string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.admission.Stalled(time.Now(), service, target)
}

// Summaries describes each service.
func (c *Core) Summaries() map[string]admission.Summary {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.admission.Summaries()
}

// SetEntries tells how many entry instances share the targets.
func (c *Core) SetEntries(count int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if count != c.entries {
		c.entries = count
		c.publish(time.Now())
	}
}

// End is the offset up to which a topic was read in the store.
func (c *Core) End(topic fleet.Topic) int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.directory.End(topic)
}

// Since lists what changed from an offset on, for a peer that has not read it.
// Heartbeats are left out.
func (c *Core) Since(topic fleet.Topic, from int64) []fleet.Record {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var later []fleet.Record
	for key, offset := range c.changed[topic] {
		if offset < from {
			continue
		}
		if r, ok := c.directory.Newest(topic, key); ok {
			later = append(later, r)
		}
	}
	slices.SortFunc(later, func(a, b fleet.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return later
}

// Learn takes records from the store or a peer, and reports whether anything but
// heartbeats was news.
func (c *Core) Learn(records []fleet.Record, source string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if source == SourceStore {
		for _, r := range records {
			c.directory.Advance(r.Topic, r.Offset+1)
		}
	}
	return c.take(c.directory.Apply(records), source)
}

// LearnListing takes all newest records of a topic.
func (c *Core) LearnListing(topic fleet.Topic, l platform.Listing) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.take(c.directory.ApplyListing(topic, l.Records, l.End), "listing")
}

// StoreAway tells whether the store answers.
func (c *Core) StoreAway(away bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.storeAway && !away {
		c.storeBack = time.Now()
	}
	c.storeAway = away
}

// Confirm notes that the operators' topic was read to its end.
func (c *Core) Confirm() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	view := *c.view.Load()
	view.ConfirmedAt = time.Now()
	c.view.Store(&view)
}

// take decodes what is new and publishes it if it changes anything.
func (c *Core) take(news []fleet.Record, source string) bool {
	now := time.Now()
	changed := false
	for _, r := range news {
		if c.takeOne(now, r, source) {
			changed = true
			c.noteChange(r)
		}
	}
	if changed {
		c.publish(now)
	}
	return changed
}

// noteChange remembers that peers should hear of a record.
func (c *Core) noteChange(r fleet.Record) {
	if c.changed[r.Topic] == nil {
		c.changed[r.Topic] = make(map[string]int64)
	}
	c.changed[r.Topic][r.Key] = r.Offset
}

func (c *Core) takeOne(now time.Time, r fleet.Record, source string) bool {
	if r.Topic == fleet.OperatorTopic {
		return c.takeOperator(r, source)
	}
	return c.takeTarget(now, r, source)
}

func (c *Core) takeOperator(r fleet.Record, source string) bool {
	if dataCentre, ok := platform.EvacuatedDataCentre(r); ok {
		c.evacuated[dataCentre] = !r.Removed
		events.Log(c.options.Logger, events.ConfigurationTaken, log.Fields{
			"dataCentre": dataCentre, "out": !r.Removed, "offset": r.Offset, "source": source,
		})
		return true
	}
	if !platform.IsConfigurationRecord(r) || r.Removed {
		return false
	}
	configuration, err := platform.DecodeConfiguration(r.Value)
	if err != nil {
		c.unreadable(r, source, err)
		return false
	}
	if c.configuration != nil && configuration.Version <= c.configuration.Version {
		return false
	}
	c.configuration = configuration
	for _, r := range c.directory.Records(fleet.TargetTopic) { // Services may be known only now.
		if c.takeTarget(time.Now(), r, source) {
			c.noteChange(r)
		}
	}
	events.Log(c.options.Logger, events.ConfigurationTaken, log.Fields{
		"version": configuration.Version, "offset": r.Offset, "source": source,
		"routes": len(configuration.Routes), "keys": len(configuration.Organisations),
	})
	return true
}

// takeTarget takes one registration, and reports whether anything but its
// heartbeat changed.
func (c *Core) takeTarget(now time.Time, r fleet.Record, source string) bool {
	known, had := c.targets[r.Key]
	if r.Removed {
		if !had {
			return false
		}
		if c.storeAway || now.Sub(c.storeBack) < lapseWindow {
			c.lapsed[r.Key] = now.Add(lapseGrace)
			return false
		}
		delete(c.targets, r.Key)
		c.logTarget(r, known, "removed", source)
		return true
	}
	delete(c.lapsed, r.Key)
	if c.configuration == nil {
		return false
	}
	t, err := platform.DecodeTarget(r, func(service string) bool { return c.configuration.Services[service] != nil })
	if err != nil {
		c.unreadable(r, source, err)
		delete(c.targets, r.Key)
		return had
	}
	c.targets[r.Key] = t
	t.ColdFor, known.ColdFor = 0, 0 // It falls with each heartbeat.
	if had && t == known {
		return false
	}
	state := "ready"
	if t.Draining {
		state = "draining"
	}
	c.logTarget(r, t, state, source)
	return true
}

func (c *Core) logTarget(r fleet.Record, t fleet.Target, state, source string) {
	events.Log(c.options.Logger, events.TargetsChanged, log.Fields{
		"target": r.Key, "service": t.Service, "dataCentre": t.DataCentre, "state": state,
		"offset": r.Offset, "source": source,
	})
}

func (c *Core) unreadable(r fleet.Record, source string, err error) {
	events.Log(c.options.Logger, events.RecordUnreadable, log.Fields{
		"topic": r.Topic.String(), "key": r.Key, "offset": r.Offset, "source": source, "error": err.Error(),
	})
}

// publish makes the view that traffic reads, and tells the reducer of each service.
func (c *Core) publish(now time.Time) {
	if c.configuration == nil {
		return
	}
	view := &fleet.View{
		Configuration: c.configuration, ConfirmedAt: c.view.Load().ConfirmedAt,
		Targets: make(map[string][]fleet.Target), Members: make(map[string][]fleet.Target),
	}
	for _, t := range c.targets {
		if c.replaced(t) {
			continue
		}
		if t.Group != "" {
			view.Members[t.Group] = append(view.Members[t.Group], t)
		}
		if !t.Draining && !c.evacuated[t.DataCentre] {
			view.Targets[t.Service] = append(view.Targets[t.Service], t)
		}
	}
	c.view.Store(view)
	for name, s := range c.configuration.Services {
		c.reduce(now, admission.ServiceTargets{Service: *s, Targets: view.Targets[name], Entries: c.entries})
	}
}

// replaced reports whether another target has registered at a target's address
// since: one that restarted leaves its old registration until its heartbeats lapse.
func (c *Core) replaced(t fleet.Target) bool {
	for _, other := range c.targets {
		if other.Address == t.Address && other.Incarnation > t.Incarnation {
			return true
		}
	}
	return false
}

// HasTargetAt reports whether any target has an address.
func (c *Core) HasTargetAt(address netip.AddrPort) bool {
	for _, targets := range c.View().Targets {
		for _, t := range targets {
			if t.Address == address {
				return true
			}
		}
	}
	return false
}
