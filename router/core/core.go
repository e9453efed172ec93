package core

import (
	"cmp"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"chervilswitch.example/platform"
	"chervilswitch.example/shared/admission"
	"chervilswitch.example/shared/events"
	"chervilswitch.example/shared/fleet"

	"github.com/apex/log"
)

// SourceStore is the source of records that were read from the store, in order.
const SourceStore = "store"

const (
	// expiryGrace is how long a target remains in use after its registration expired
	// while the store was unavailable. Running targets register again within about two
	// seconds of the store's recovery.
	expiryGrace = 1700 * time.Millisecond
	// expiryWindow is how long after the store's recovery a removal counts as an
	// expiry.
	expiryWindow = 2 * time.Second
	// restoreGrace is how long after a restore of the store an evacuation that the copy
	// lacks remains in force. Operators write again what the store has lost.
	restoreGrace = 2 * time.Second
	// maxUnreadable bounds the records that are remembered as unreadable.
	maxUnreadable = 1024
	// decisionBuffer is the capacity of a request's channel of decisions. Each Submit or
	// Retry leads to one decision, so sending does not block.
	decisionBuffer = 2
)

var errKeyNotUTF8 = errors.New("key is not valid UTF-8")

// change marks a record that changed anything except a heartbeat.
type change struct {
	position fleet.Position
	number   uint64    // Among the changes of the topic, from 1.
	at       time.Time // When this instance learned of it.
}

// recordKey identifies a record's key in a topic.
type recordKey struct {
	topic fleet.Topic
	key   string
}

// Options configures a Core.
type Options struct {
	Instance    string
	DataCentre  string
	RetryBudget admission.RetryBudget
	Logger      log.Interface
	// QuarantineChanged is called when the evidence of crashes changes. It may use the core.
	QuarantineChanged func(admission.QuarantineChanged)
	// TargetLimitChanged is called when this instance learns from a response that a target's
	// limit has changed. It may use the core.
	TargetLimitChanged func()
}

// notifications are the calls of functions in Options that are due.
type notifications struct {
	quarantine   []admission.QuarantineChanged
	targetLimits bool
}

// Decisions delivers the decisions on one request.
type Decisions struct {
	// Next receives each Dispatch and Refuse of the request.
	Next <-chan admission.Effect
	// MoveRequested receives a value when the request must leave its target.
	MoveRequested <-chan struct{}
}

// decisionSenders holds the sending ends of Decisions.
type decisionSenders struct {
	next          chan admission.Effect
	moveRequested chan struct{}
}

// Core is an instance's control state. Its methods are safe for concurrent use. It calls the
// functions of its options without holding its mutex, so callers may hold locks of their own
// that these functions do not take.
type Core struct {
	options Options
	view    atomic.Pointer[fleet.View]

	mutex     sync.Mutex
	due       notifications
	admission *admission.State
	directory *fleet.Directory
	// changes holds, by topic and key, the last record that changed anything except a
	// heartbeat; changeCounts holds how many there were, by topic.
	changes      map[fleet.Topic]map[string]change
	changeCounts map[fleet.Topic]uint64
	requests     map[admission.RequestID]decisionSenders
	next         admission.RequestID

	configuration       *fleet.Configuration    // The latest; nil before the first.
	configurationRecord fleet.Record            // The record of the latest configuration.
	configurationAt     time.Time               // When this instance learned of it.
	targets             map[string]fleet.Target // All readable registrations, by key.
	expired             map[string]time.Time    // When expired targets are removed, by key.
	evacuated           map[string]bool         // By data centre.
	lapsing             map[string]time.Time    // When evacuations that a restore may have lost end, by data centre.
	storeRecovered      time.Time
	era                 uint64 // The latest era of the store that any record or listing is from.
	restored            time.Time
	storeUnavailable    bool
	unreadable          map[recordKey]string // Why the last record of a key cannot be used.
}

// New returns a Core without configuration or targets.
func New(o Options) *Core {
	c := &Core{
		options:   o,
		admission: admission.New(o.Instance, o.DataCentre, o.RetryBudget),
		directory: fleet.NewDirectory(platform.CompareRecords),
		changes:   make(map[fleet.Topic]map[string]change),
		requests:  make(map[admission.RequestID]decisionSenders),
		targets:   make(map[string]fleet.Target),
		expired:   make(map[string]time.Time),
		evacuated: make(map[string]bool),
		lapsing:   make(map[string]time.Time),

		changeCounts: make(map[fleet.Topic]uint64),
		unreadable:   make(map[recordKey]string),
	}
	c.view.Store(&fleet.View{})
	return c
}

// View returns the current configuration and targets. Callers must not modify it.
func (c *Core) View() *fleet.View { return c.view.Load() }

// Submit requests a target. It assigns the request's ID; decisions arrive until Finish.
func (c *Core) Submit(r admission.Request) (admission.RequestID, Decisions) {
	c.mutex.Lock()
	defer c.unlock()
	c.next++
	r.ID = c.next
	senders := decisionSenders{next: make(chan admission.Effect, decisionBuffer), moveRequested: make(chan struct{}, 1)}
	c.requests[r.ID] = senders
	c.reduce(time.Now(), admission.Submit{Request: r})
	return r.ID, Decisions{Next: senders.next, MoveRequested: senders.moveRequested}
}

// Hedge decides on a second attempt at a request; see admission.HedgeDue.
func (c *Core) Hedge(id admission.RequestID) (decision admission.Hedge) {
	c.mutex.Lock()
	defer c.unlock()
	for _, effect := range c.admission.Reduce(time.Now(), admission.HedgeDue{ID: id}) {
		decision, _ = effect.(admission.Hedge)
	}
	return decision
}

// Finish ends a request, which receives no further decisions.
func (c *Core) Finish(id admission.RequestID) {
	c.mutex.Lock()
	defer c.unlock()
	delete(c.requests, id)
	c.reduce(time.Now(), admission.Finish{ID: id})
}

// HandleEvent passes an event to the reducer and sends the resulting decisions.
func (c *Core) HandleEvent(e admission.Event) {
	c.mutex.Lock()
	defer c.unlock()
	c.reduce(time.Now(), e)
}

// Tick removes expired targets after expiryGrace, ends evacuations that a restore has lost
// after restoreGrace, and refuses requests that have waited too long.
func (c *Core) Tick() {
	c.mutex.Lock()
	defer c.unlock()
	now := time.Now()
	for id, until := range c.expired {
		if now.After(until) {
			delete(c.expired, id)
			delete(c.targets, id)
			c.publish(now)
		}
	}
	for dataCentre, until := range c.lapsing {
		if now.After(until) {
			delete(c.lapsing, dataCentre)
			c.setEvacuated(dataCentre, false, fleet.Position{Era: c.era}, "restore")
			c.publish(now)
		}
	}
	c.reduce(now, admission.Tick{})
}

// unlock releases the mutex and then makes the calls that are due.
func (c *Core) unlock() {
	due := c.due
	c.due = notifications{}
	c.mutex.Unlock()
	for _, change := range due.quarantine {
		if c.options.QuarantineChanged != nil {
			c.options.QuarantineChanged(change)
		}
	}
	if due.targetLimits && c.options.TargetLimitChanged != nil {
		c.options.TargetLimitChanged()
	}
}

// reduce applies an event and sends the resulting decisions to their requests. The mutex
// must be held, and released with unlock.
func (c *Core) reduce(now time.Time, e admission.Event) {
	for _, effect := range c.admission.Reduce(now, e) {
		var id admission.RequestID
		switch d := effect.(type) {
		case admission.Dispatch:
			id = d.ID
		case admission.Refuse:
			id = d.ID
		case admission.Move:
			if senders, ok := c.requests[d.ID]; ok && len(senders.moveRequested) == 0 {
				senders.moveRequested <- struct{}{}
			}
			continue
		case admission.QuarantineChanged:
			c.logQuarantine(now, d)
			c.due.quarantine = append(c.due.quarantine, d)
			continue
		case admission.TargetNoticed:
			c.logNotice(now, d)
			continue
		case admission.PressureChanged:
			c.logPressure(d)
			continue
		case admission.ShareChanged:
			events.Log(c.options.Logger, events.ShareChanged, log.Fields{"service": d.Service, "organisation": d.Organisation, "share": d.Share})
			continue
		case admission.TargetLimitChanged:
			c.logTargetLimit(now, d)
			c.due.targetLimits = c.due.targetLimits || d.Peer == ""
			continue
		}
		if senders, ok := c.requests[id]; ok {
			senders.next <- effect
		}
	}
}

func (c *Core) logQuarantine(now time.Time, q admission.QuarantineChanged) {
	events.Log(c.options.Logger, events.QuarantineChanged, log.Fields{
		"change": q.Change.String(), "target": q.Report.Target, "incarnation": q.Report.Incarnation,
		"age": now.Sub(q.Report.At).String(), "reporter": q.Report.Reporter,
		"begun": q.Report.Begun, "waiting": q.Report.Waiting, "parts": q.Parts, "hold": q.Hold.String(),
	})
}

func (c *Core) logPressure(p admission.PressureChanged) {
	events.Log(c.options.Logger, events.PressureChanged, log.Fields{
		"service": p.Service, "on": p.On, "chance": p.Chance, "admitted": p.Admitted, "waiting": p.Waiting,
		"offered": p.Offered, "refused": p.Refused, "peers": p.Peers, "oldestReport": p.OldestReport.String(),
	})
}

func (c *Core) logTargetLimit(now time.Time, l admission.TargetLimitChanged) {
	events.Log(c.options.Logger, events.TargetLimitChanged, log.Fields{
		"target": l.Limit.Target, "incarnation": l.Limit.Incarnation, "perSecond": l.Limit.PerSecond, "previous": l.Previous,
		"age": now.Sub(l.Limit.At).String(), "source": cmp.Or(l.Peer, "response"),
	})
}

func (c *Core) logNotice(now time.Time, n admission.TargetNoticed) {
	events.Log(c.options.Logger, events.TargetNoticed, log.Fields{
		"target": n.Notice.Target, "incarnation": n.Notice.Incarnation, "pause": max(0, n.Notice.PausedUntil.Sub(now)).String(),
		"leaving": n.Notice.Leaving, "source": cmp.Or(n.Peer, "response"),
	})
}

// TargetNoticesSince returns what targets have asked of this instance after a version, and
// the current version; see admission.State.TargetNoticesSince.
func (c *Core) TargetNoticesSince(version uint64) ([]admission.TargetNotice, uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.admission.TargetNoticesSince(version)
}

// TargetLimitsSince returns the limits of targets that have changed after a version, and
// the current version; see admission.State.TargetLimitsSince.
func (c *Core) TargetLimitsSince(version uint64) ([]admission.TargetLimit, uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.admission.TargetLimitsSince(version)
}

// Demand returns the demand at this instance for services that lack room; see
// admission.State.Demand.
func (c *Core) Demand() []admission.ServiceDemand {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.admission.Demand(time.Now())
}

// OwnCrashes returns the crashes that this instance has reported; see
// admission.State.OwnCrashes.
func (c *Core) OwnCrashes() []admission.CrashReport {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.admission.OwnCrashes()
}

// CrashEvidence returns what other instances must know about crashes, and its version.
// If the version is not newer than the given one, there is nothing new and no evidence is
// returned.
func (c *Core) CrashEvidence(since uint64) (admission.CrashEvidence, uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if version := c.admission.QuarantineVersion(); version == since {
		return admission.CrashEvidence{}, version
	}
	return c.admission.CrashEvidence()
}

// Running returns the number of requests that this instance runs on each target.
func (c *Core) Running() map[string]int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.admission.Running()
}

// Stalled reports whether a target's group runs requests of this instance but has
// stopped producing output.
func (c *Core) Stalled(service, target string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.admission.Stalled(time.Now(), service, target)
}

// Summaries returns a summary of each service, by name.
func (c *Core) Summaries() map[string]admission.Summary {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.admission.Summaries()
}

// End returns the position after the last record of a topic that was read from the store.
// Records from peers may have later positions.
func (c *Core) End(topic fleet.Topic) fleet.Position {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.directory.End(topic)
}

// Changes is the part of a topic that ChangesAfter returns.
type Changes struct {
	Records []fleet.Record
	// Number is the number of the last change that is included.
	Number uint64
	// Complete reports that no later change is known.
	Complete bool
}

// ChangesAfter returns the newest record of each key that changed after the change of a
// number, from a position on, sorted by position. Changes of which this instance learned
// after a time are left out, and so are records that only repeat a registration as a
// heartbeat.
func (c *Core) ChangesAfter(topic fleet.Topic, number uint64, from fleet.Position, learnedBefore time.Time) Changes {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	found := Changes{Number: number, Complete: true}
	if c.changeCounts[topic] == number {
		return found
	}
	for key, change := range c.changes[topic] {
		switch {
		case change.at.After(learnedBefore):
			found.Complete = false
			continue
		case change.number <= number:
			continue
		}
		found.Number = max(found.Number, change.number)
		if change.position.Before(from) {
			continue
		}
		if r, ok := c.directory.Newest(topic, key); ok {
			found.Records = append(found.Records, r)
		}
	}
	slices.SortFunc(found.Records, func(a, b fleet.Record) int { return a.Position.Compare(b.Position) })
	return found
}

// NewerConfiguration returns the record of the configuration in use if its version is
// higher than the given one and this instance learned of it before a time.
func (c *Core) NewerConfiguration(version uint64, learnedBefore time.Time) (fleet.Record, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.configurationRecord, c.configuration != nil && c.configuration.Version > version && !c.configurationAt.After(learnedBefore)
}

// ConfigurationVersion returns the version of the configuration in use, or 0.
func (c *Core) ConfigurationVersion() uint64 {
	if configuration := c.View().Configuration; configuration != nil {
		return configuration.Version
	}
	return 0
}

// ApplyRecords applies records from the store or a peer. It reports whether anything
// except a heartbeat changed.
func (c *Core) ApplyRecords(records []fleet.Record, source string) bool {
	c.mutex.Lock()
	defer c.unlock()
	for _, r := range records {
		c.observeEra(r.Position.Era)
		if source == SourceStore {
			c.directory.Advance(r.Topic, r.Position.Add(1))
		}
	}
	c.logIgnored(records, source)
	return c.applyNewRecords(c.directory.Apply(records), source)
}

// logIgnored logs the operators' records from the store that are not newer than those in
// use.
func (c *Core) logIgnored(records []fleet.Record, source string) {
	for _, r := range records {
		held, ok := c.directory.Newest(r.Topic, r.Key)
		if source == SourceStore && r.Topic == fleet.OperatorTopic && ok && !c.directory.Supersedes(r, held) {
			events.Log(c.options.Logger, events.RecordIgnored, log.Fields{
				"topic": r.Topic.String(), "key": r.Key, "offset": r.Position.Offset, "era": r.Position.Era,
				"held": held.Position.Offset, "heldEra": held.Position.Era, "source": source,
			})
		}
	}
}

// ApplyTopicListing applies a listing of the newest records of all keys in a topic.
func (c *Core) ApplyTopicListing(topic fleet.Topic, l platform.Listing) {
	c.mutex.Lock()
	defer c.unlock()
	c.observeEra(l.End.Era)
	c.logIgnored(l.Records, SourceStore)
	c.applyNewRecords(c.directory.ApplyListing(topic, l.Records, l.End), "listing")
}

// observeEra records when the store was restored. Targets and operators then have time to
// write again what it has lost.
func (c *Core) observeEra(era uint64) {
	if era <= c.era {
		return
	}
	if c.era != 0 {
		c.restored = time.Now()
		c.storeRecovered = c.restored
		events.Log(c.options.Logger, events.StoreRestored, log.Fields{"era": era, "previous": c.era})
	}
	c.era = era
}

// SetStoreUnavailable sets whether the store is unavailable.
func (c *Core) SetStoreUnavailable(unavailable bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.storeUnavailable && !unavailable {
		c.storeRecovered = time.Now()
	}
	c.storeUnavailable = unavailable
}

// Confirm records that the view is current now. It is called after the operators' topic
// has been read to its end.
func (c *Core) Confirm() { c.confirmAt(c.ConfigurationVersion(), time.Now()) }

// ConfirmVersion records that a version of the configuration was current at a time, as
// another instance says. It changes nothing if another version is in use.
func (c *Core) ConfirmVersion(version uint64, at time.Time) { c.confirmAt(version, at) }

func (c *Core) confirmAt(version uint64, at time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if version != c.ConfigurationVersion() || !at.After(c.view.Load().ConfirmedAt) {
		return
	}
	view := *c.view.Load()
	view.ConfirmedAt = at
	c.view.Store(&view)
}

// ConfirmedAt returns when the configuration in use was last known to be current; zero if
// it never was.
func (c *Core) ConfirmedAt() time.Time { return c.View().ConfirmedAt }

// applyNewRecords decodes records that are newer than the known ones, publishes a view if
// they change anything except heartbeats, and reports whether they do.
func (c *Core) applyNewRecords(records []fleet.Record, source string) bool {
	now := time.Now()
	changed := false
	for _, r := range records {
		if c.applyRecord(now, r, source) {
			changed = true
			c.recordChange(now, r)
		}
	}
	if changed {
		c.publish(now)
	}
	return changed
}

// recordChange marks a record as a change, so that ChangesAfter returns it.
func (c *Core) recordChange(now time.Time, r fleet.Record) {
	if c.changes[r.Topic] == nil {
		c.changes[r.Topic] = make(map[string]change)
	}
	c.changeCounts[r.Topic]++
	c.changes[r.Topic][r.Key] = change{position: r.Position, number: c.changeCounts[r.Topic], at: now}
}

// applyRecord applies one record and reports whether anything except a heartbeat changed.
// Keys that are not UTF-8 cannot be sent to other instances.
func (c *Core) applyRecord(now time.Time, r fleet.Record, source string) bool {
	if !utf8.ValidString(r.Key) {
		c.logUnreadable(r, source, errKeyNotUTF8)
		return false
	}
	if r.Topic == fleet.OperatorTopic {
		return c.applyOperatorRecord(now, r, source)
	}
	return c.applyTargetRecord(now, r, source)
}

// applyOperatorRecord applies the start or the end of an evacuation, or a newer
// configuration. It reports whether it applied the record.
func (c *Core) applyOperatorRecord(now time.Time, r fleet.Record, source string) bool {
	if dataCentre, ok := platform.EvacuatedDataCentre(r); ok {
		if until := c.restored.Add(restoreGrace); r.Removed && c.evacuated[dataCentre] && now.Before(until) {
			c.lapsing[dataCentre] = until
			return true
		}
		delete(c.lapsing, dataCentre)
		c.setEvacuated(dataCentre, !r.Removed, r.Position, source)
		return true
	}
	if !platform.IsConfigurationRecord(r) || r.Removed {
		return false
	}
	configuration, err := platform.DecodeConfiguration(r.Value)
	if err != nil {
		c.logUnreadable(r, source, err)
		return false
	}
	if c.configuration != nil && configuration.Version <= c.configuration.Version {
		return false
	}
	c.configuration, c.configurationRecord, c.configurationAt = configuration, r, now
	// Registrations of services that were unknown until now become readable.
	for _, r := range c.directory.Records(fleet.TargetTopic) {
		if c.applyTargetRecord(now, r, source) {
			c.recordChange(now, r)
		}
	}
	events.Log(c.options.Logger, events.ConfigurationTaken, log.Fields{
		"version": configuration.Version, "offset": r.Position.Offset, "era": r.Position.Era, "source": source,
		"routes": len(configuration.Routes), "keys": len(configuration.Organisations),
	})
	return true
}

// setEvacuated starts or ends the evacuation of a data centre.
func (c *Core) setEvacuated(dataCentre string, out bool, position fleet.Position, source string) {
	c.evacuated[dataCentre] = out
	events.Log(c.options.Logger, events.ConfigurationTaken, log.Fields{
		"dataCentre": dataCentre, "out": out, "offset": position.Offset, "era": position.Era, "source": source,
	})
}

// applyTargetRecord applies one registration or its removal, and reports whether anything
// except a heartbeat changed.
func (c *Core) applyTargetRecord(now time.Time, r fleet.Record, source string) bool {
	previous, existed := c.targets[r.Key]
	if r.Removed {
		if !existed {
			return false
		}
		if c.storeUnavailable || now.Sub(c.storeRecovered) < expiryWindow {
			c.expired[r.Key] = now.Add(expiryGrace)
			return false
		}
		delete(c.targets, r.Key)
		c.logTarget(r, previous, "removed", source)
		return true
	}
	delete(c.expired, r.Key)
	if c.configuration == nil {
		return false
	}
	t, err := platform.DecodeTarget(r, func(service string) bool { return c.configuration.Services[service] != nil })
	if err != nil {
		c.logUnreadable(r, source, err)
		delete(c.targets, r.Key)
		return existed
	}
	delete(c.unreadable, recordKey{topic: r.Topic, key: r.Key})
	c.targets[r.Key] = t
	t.ColdFor, previous.ColdFor = 0, 0 // ColdFor decreases with each heartbeat.
	if existed && t == previous {
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
		"offset": r.Position.Offset, "era": r.Position.Era, "source": source,
	})
}

// logUnreadable logs a record that cannot be used, once for each key and reason. Its writer
// may write it with each heartbeat.
func (c *Core) logUnreadable(r fleet.Record, source string, err error) {
	key := recordKey{topic: r.Topic, key: r.Key}
	if c.unreadable[key] == err.Error() {
		return
	}
	if len(c.unreadable) >= maxUnreadable {
		clear(c.unreadable)
	}
	c.unreadable[key] = err.Error()
	events.Log(c.options.Logger, events.RecordUnreadable, log.Fields{
		"topic": r.Topic.String(), "key": r.Key, "offset": r.Position.Offset, "era": r.Position.Era, "source": source, "error": err.Error(),
	})
}

// publish replaces the view and passes the targets of each service to the reducer.
func (c *Core) publish(now time.Time) {
	if c.configuration == nil {
		return
	}
	view := &fleet.View{
		Configuration: c.configuration, ConfirmedAt: c.view.Load().ConfirmedAt,
		Targets: make(map[string][]fleet.Target), Members: make(map[string][]fleet.Target),
	}
	latest := c.latestIncarnations()
	for _, t := range c.targets {
		if t.Incarnation < latest[t.Address] { // Replaced; the registration lasts until its heartbeats expire.
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
		c.reduce(now, admission.ServiceTargets{Service: *s, Targets: view.Targets[name]})
	}
}

// latestIncarnations returns the latest incarnation that is registered at each address.
func (c *Core) latestIncarnations() map[netip.AddrPort]uint64 {
	latest := make(map[netip.AddrPort]uint64, len(c.targets))
	for _, t := range c.targets {
		latest[t.Address] = max(latest[t.Address], t.Incarnation)
	}
	return latest
}

// HasTargetAt reports whether a target that may take new requests has the given address.
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
