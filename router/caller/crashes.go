package caller

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"chervilswitch.example/shared/admission"
	"chervilswitch.example/shared/events"
	"chervilswitch.example/shared/fleet"
	"chervilswitch.example/shared/wait"

	"github.com/apex/log"
)

const (
	// crashKeyPrefix distinguishes crashes from registrations in the topic of entry
	// instances.
	crashKeyPrefix = "crash/"
	// crashSettleTime is the pause before a crash is stored, in which the other instances
	// say which parts are sound.
	crashSettleTime = 300 * time.Millisecond
	// crashCheckInterval is how often stored crashes whose evidence is old are removed.
	crashCheckInterval = 30 * time.Second
)

// crashStore passes events to keepCrashes, which keeps the crashes that this instance has
// reported in the store, so that a restart of all instances does not lose them. Use
// newCrashStore to create one.
type crashStore struct {
	// changed requests a comparison of the stored crashes with the known ones.
	changed chan struct{}
	// found receives what the store holds, in the order in which it was read.
	found chan storedCrashes
}

// storedCrashes holds crashes that were read from the store, and that this instance removes
// once they are old.
type storedCrashes struct {
	records []fleet.Record
	// complete reports that the store holds no others, as it was restored from a copy.
	complete bool
}

func newCrashStore() crashStore {
	return crashStore{changed: make(chan struct{}, 1), found: make(chan storedCrashes, 1)}
}

// notify requests a comparison without waiting for it.
func (s crashStore) notify() {
	select {
	case s.changed <- struct{}{}:
	default: // One is due already.
	}
}

// quarantineChanged counts a change of the quarantine and sends it to the other instances
// and to the store.
func (r *Router) quarantineChanged(c admission.QuarantineChanged) {
	r.metrics.recordQuarantine(c.Change.String())
	r.entries.Broadcast()
	r.crashes.notify() // Another instance's report may add to what this one's lead to.
}

// keepCrashes stores the crashes that this instance has reported, and removes them when
// they no longer explain anything, until the context ends.
func (r *Router) keepCrashes(ctx context.Context) {
	stored := make(map[string]string)
	ticker := time.NewTicker(crashCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case found := <-r.crashes.found:
			if !found.complete {
				for _, record := range found.records {
					stored[record.Key] = string(record.Value)
				}
				continue
			}
			maps.DeleteFunc(stored, func(key, _ string) bool {
				return !slices.ContainsFunc(found.records, func(record fleet.Record) bool { return record.Key == key })
			})
		case <-r.crashes.changed:
			if !wait.Sleep(ctx, crashSettleTime) {
				return
			}
		case <-ticker.C:
		}
		if err := r.storeCrashes(ctx, stored); err != nil && ctx.Err() == nil {
			events.Log(r.logger, events.DependencyLost, log.Fields{"dependency": "store", "topic": fleet.EntryTopic.String(), "error": err.Error()})
			if !wait.Sleep(ctx, registerRetryInterval) {
				return
			}
			r.crashes.notify()
		}
	}
}

// storeCrashes writes the differences between the known crashes and the stored ones, by
// key, and updates the latter.
func (r *Router) storeCrashes(ctx context.Context, stored map[string]string) error {
	known := make(map[string]string)
	for _, c := range r.core.OwnCrashes() {
		at := time.Now().Add(-time.Since(c.At)) // The time of day, also after it has jumped.
		raw, err := json.Marshal(fleet.Crash{
			Target: c.Target, Incarnation: c.Incarnation, At: at.Round(0), Reporter: c.Reporter, Rank: c.Rank, Parts: c.Begun,
		})
		if err != nil {
			return err // Unreachable: strings and numbers always encode.
		}
		known[crashKey(c)] = string(raw)
	}
	for key, value := range known {
		if _, ok := stored[key]; ok && sameParts(stored[key], value) {
			continue
		}
		if err := r.store.Put(ctx, fleet.EntryTopic, key, []byte(value)); err != nil {
			return err
		}
		stored[key] = value
	}
	for key := range stored {
		if _, ok := known[key]; ok {
			continue
		}
		if err := r.store.Put(ctx, fleet.EntryTopic, key, nil); err != nil {
			return err
		}
		delete(stored, key)
	}
	return nil
}

// crashKey returns the key of a crash in the store. A target may start again under its ID.
func crashKey(c admission.CrashReport) string {
	return crashKeyPrefix + c.Target + "/" + strconv.FormatUint(c.Incarnation, 10)
}

// sameParts reports whether two stored crashes name the same parts. Their times differ by
// the conversion between clocks.
func sameParts(a, b string) bool {
	var first, second fleet.Crash
	if json.Unmarshal([]byte(a), &first) != nil || json.Unmarshal([]byte(b), &second) != nil {
		return false
	}
	return strings.Join(first.Parts, ",") == strings.Join(second.Parts, ",")
}

// registerCrash applies a crash that was read from the store. This instance removes it
// later if it has reported it, or if the evidence is old.
func (r *Router) registerCrash(record fleet.Record) {
	if record.Removed {
		return
	}
	var c fleet.Crash
	if err := json.Unmarshal(record.Value, &c); err != nil {
		events.Log(r.logger, events.RecordUnreadable, log.Fields{"topic": record.Topic.String(), "key": record.Key, "error": err.Error()})
		return
	}
	age := max(0, time.Since(c.At)) // The reporter's clock may be ahead.
	if c.Reporter == r.options.Instance || age > admission.EvidenceAge {
		select {
		case r.crashes.found <- storedCrashes{records: []fleet.Record{record}}:
		case <-r.lifetime.Done():
		}
	}
	r.core.HandleEvent(admission.CrashEvidence{Stored: true, Reports: []admission.CrashReport{{
		Target: c.Target, Incarnation: c.Incarnation, At: time.Now().Add(-age), Reporter: c.Reporter, Rank: c.Rank, Begun: c.Parts,
	}}})
}
