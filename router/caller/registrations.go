package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"chervilswitch.example/shared/events"
	"chervilswitch.example/shared/fleet"
	"chervilswitch.example/shared/wait"

	"github.com/apex/log"
)

const (
	// registerRetryInterval is the pause between two attempts to register.
	registerRetryInterval = 500 * time.Millisecond
	// pruneInterval is how often the leader looks for registrations of instances that are
	// gone, and goneAfter how long they have been silent.
	pruneInterval = 10 * time.Second
	goneAfter     = time.Minute
)

// registerEntries applies registrations of entry instances, and the crashes that they have
// reported. The first records are those of a listing.
func (r *Router) registerEntries(records []fleet.Record) {
	for _, record := range records {
		if strings.HasPrefix(record.Key, crashKeyPrefix) {
			r.registerCrash(record)
			continue
		}
		if record.Removed {
			r.registrationRemoved(record.Key)
			continue
		}
		i, err := decodeInstance(record)
		if err != nil {
			events.Log(r.logger, events.RecordUnreadable, log.Fields{"topic": record.Topic.String(), "key": record.Key, "error": err.Error()})
			continue
		}
		r.entries.Register(i)
	}
	r.entries.Listed()
}

// decodeInstance decodes the registration of an entry instance.
func decodeInstance(record fleet.Record) (fleet.Instance, error) {
	var i fleet.Instance
	if err := json.Unmarshal(record.Value, &i); err != nil {
		return fleet.Instance{}, fmt.Errorf("decode registration of entry instance %q: %w", record.Key, err)
	}
	return i, i.Check(record.Key)
}

// rewriteEntryRecords writes this instance's records again that a restored store lacks. The
// copy may hold the registration of an earlier start, or from before the instance stops.
func (r *Router) rewriteEntryRecords(listed []fleet.Record) {
	self := r.self
	self.Stopping = r.isStopping()
	if !slices.ContainsFunc(listed, func(record fleet.Record) bool {
		i, err := decodeInstance(record)
		return err == nil && i == self
	}) {
		go r.publishRegistration(r.lifetime, self.Stopping)
	}
	select {
	case r.crashes.found <- storedCrashes{records: listed, complete: true}:
	case <-r.lifetime.Done():
	}
}

// publishRegistration writes this instance's registration to the store. It retries until
// that succeeds or the context ends.
func (r *Router) publishRegistration(ctx context.Context, stopping bool) {
	self := r.self
	self.Stopping = stopping
	value, err := json.Marshal(self)
	if err != nil {
		return // Unreachable: strings and numbers always encode.
	}
	for ctx.Err() == nil {
		if err := r.store.Put(ctx, fleet.EntryTopic, self.Name, value); err == nil {
			return
		}
		wait.Sleep(ctx, registerRetryInterval)
	}
}

// pruneRegistrations removes the registrations of instances that are gone, while this
// instance is the leader, until the context ends. Otherwise those of replaced instances would
// outnumber the live ones, and count as others that share limits at each start.
func (r *Router) pruneRegistrations(ctx context.Context, token func() uint64) {
	for wait.Sleep(ctx, pruneInterval) {
		if token() != 0 {
			r.removeSilent(ctx, goneAfter)
		}
	}
}

// removeSilent removes the registrations of instances that have been silent for some time.
func (r *Router) removeSilent(ctx context.Context, silence time.Duration) {
	for _, name := range r.entries.Silent(silence) {
		if err := r.store.Put(ctx, fleet.EntryTopic, name, nil); err != nil {
			events.Log(r.logger, events.DependencyLost, log.Fields{"dependency": "store", "topic": fleet.EntryTopic.String(), "error": err.Error()})
			return // The next round tries again.
		}
	}
}

// registrationRemoved handles the removal of a registration. An instance whose own one is
// removed is not gone, but was cut off from the leader: it registers again.
func (r *Router) registrationRemoved(name string) {
	if name == r.self.Name {
		go r.publishRegistration(r.lifetime, r.isStopping())
		return
	}
	r.entries.Forget(name)
}
