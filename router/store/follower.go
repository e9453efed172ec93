// Package store follows the topics of the platform's store: the configuration and the
// registrations of targets and of entry instances.
package store

import (
	"context"
	"errors"
	"sync"
	"time"

	"chervilswitch.example/platform"
	"chervilswitch.example/router/core"
	"chervilswitch.example/shared/events"
	"chervilswitch.example/shared/fleet"
	"chervilswitch.example/shared/wait"

	"github.com/apex/log"
)

const (
	// longPollTimeout is how long the store holds a read until there is a new record. A
	// connection that has gone silent is noticed after it.
	longPollTimeout = 2 * time.Second
	// readerPollTimeout is the longPollTimeout of the operators' topic at instances that read
	// for a large fleet: the others see by its end that the store serves them.
	readerPollTimeout = 700 * time.Millisecond
	// checkerPollTimeout is the longPollTimeout of the operators' topic at instances that
	// also learn from others that their configuration is current.
	checkerPollTimeout = 25 * time.Second
	// entryPollTimeout is the longPollTimeout of the topic of entry instances. It is
	// longer because entry instances also exchange their state directly.
	// checkerEntryPollTimeout is that of checkers.
	entryPollTimeout        = 8 * time.Second
	checkerEntryPollTimeout = 25 * time.Second
	// entryInterval is the pause between the reads of the topic of entry instances. When all
	// of them start at once, each registration would otherwise end a read of each of them.
	// Instances also register with each other when they connect. checkerEntryInterval is that
	// of checkers, so that a rolling restart of many instances ends few reads of each.
	entryInterval        = time.Second
	checkerEntryInterval = 5 * time.Second
	// readerInterval is the pause between the reads of the targets' topic by a reader.
	// Each heartbeat is a record there, so long polls would return too often. A draining
	// target must receive no new requests after 2 s.
	readerInterval = 500 * time.Millisecond
	// nonReaderInterval is the pause between the reads of the targets' topic by other
	// instances, which receive its records from a reader as well.
	nonReaderInterval = 1300 * time.Millisecond
	// checkerInterval is the nonReaderInterval where several readers serve each instance and
	// their messages show that the topic goes on. quietInterval is that while no message shows
	// it, but neither does a read.
	checkerInterval = 20 * time.Second
	quietInterval   = 5 * time.Second
	// targetsHeardWithin is how long ago others must have shown a later end of the targets'
	// topic, unless they confirm the configuration. It is longer than the readers' interval
	// and that of messages together.
	targetsHeardWithin = 1200 * time.Millisecond
	// confirmedWithin is how long ago a reader must have confirmed the configuration, which
	// shows that the store serves it. It exceeds readerPollTimeout and the interval of
	// messages together, and is shorter than the 2 s after which a draining target gets no
	// new requests.
	confirmedWithin = 1100 * time.Millisecond
	// coverageInterval is how often a checker compares what it hears with these bounds.
	coverageInterval = 200 * time.Millisecond
	// retryInterval is the pause between calls while the store is unavailable, and
	// checkerRetryInterval that of instances for each of which several readers read.
	retryInterval        = 300 * time.Millisecond
	checkerRetryInterval = time.Second
	// followRetryInterval is the longest pause between the calls on a topic while those on
	// the operators' topic fail as well. They are made at once when that topic is read again.
	// checkerFollowRetryInterval is that of checkers.
	followRetryInterval        = 1500 * time.Millisecond
	checkerFollowRetryInterval = 6 * time.Second
)

// errUncovered ends a long poll that an instance began while others covered it.
var errUncovered = errors.New("no longer covered by messages of others")

// Pace is how often an instance reads the store.
type Pace int

// The paces, the fastest first.
const (
	// LargeReaderPace is that of an instance that reads for all others of a large fleet.
	LargeReaderPace Pace = iota
	// ReaderPace is that of an instance that reads for others in a small fleet.
	ReaderPace
	// NonReaderPace is that of other instances in small fleets, and of those in large ones
	// that read for their data centre or that hear nobody.
	NonReaderPace
	// CheckerPace is that of instances for each of which several readers read.
	CheckerPace
)

// targetInterval returns the pause between two reads of the targets' topic.
func (p Pace) targetInterval() time.Duration {
	switch p {
	case ReaderPace, LargeReaderPace:
		return readerInterval
	case NonReaderPace:
		return nonReaderInterval
	default:
		return checkerInterval
	}
}

// retryInterval returns the pause between two calls while the store is unavailable.
func (p Pace) retryInterval() time.Duration {
	if p == CheckerPace {
		return checkerRetryInterval
	}
	return retryInterval
}

// followRetryInterval returns the pause between two calls on a topic while those on the
// operators' topic fail as well.
func (p Pace) followRetryInterval() time.Duration {
	if p == CheckerPace {
		return checkerFollowRetryInterval
	}
	return followRetryInterval
}

// pollTimeout returns how long a read of a topic waits for a record.
func (p Pace) pollTimeout(topic fleet.Topic) time.Duration {
	switch {
	case topic == fleet.TargetTopic:
		return 0
	case topic == fleet.EntryTopic && p == CheckerPace:
		return checkerEntryPollTimeout
	case topic == fleet.EntryTopic:
		return entryPollTimeout
	case p == LargeReaderPace:
		return readerPollTimeout
	case p == CheckerPace:
		return checkerPollTimeout
	default:
		return longPollTimeout
	}
}

// entryInterval returns the pause between two reads of the topic of entry instances.
func (p Pace) entryInterval() time.Duration {
	if p == CheckerPace {
		return checkerEntryInterval
	}
	return entryInterval
}

// Coverage is how current an instance is by the messages of others.
type Coverage struct {
	// Targets is the end of the targets' topic up to which messages cover it, and TargetsAt
	// when it last rose.
	Targets   fleet.Position
	TargetsAt time.Time
	// ConfirmedAt is when the configuration was last known to be current.
	ConfirmedAt time.Time
}

// Sink receives records from the store and the store's availability.
type Sink interface {
	// ApplyRecords applies records and reports whether anything except a heartbeat
	// changed.
	ApplyRecords(records []fleet.Record, source string) bool
	// ApplyTopicListing applies a listing of the newest records of all keys in a topic.
	ApplyTopicListing(topic fleet.Topic, l platform.Listing)
	// SetStoreUnavailable sets whether the store is unavailable.
	SetStoreUnavailable(unavailable bool)
	// Confirm records that the configuration is current now.
	Confirm()
}

// Follower reads new records of the topics and passes them to the sink.
type Follower struct {
	Store  *platform.Store
	Sink   Sink
	Logger log.Interface
	// OnEntryRecords is called with the registrations of entry instances.
	OnEntryRecords func(records []fleet.Record)
	// OnEntriesRestored is called with a listing of the entry instances' topic after the
	// store was restored, which may have lost what this instance wrote.
	OnEntriesRestored func(listed []fleet.Record)
	// OnChange is called after records that changed anything except a heartbeat.
	OnChange func()
	// Pace returns how often this instance reads.
	Pace func() Pace
	// Coverage returns what this instance knows from others. A checker reads by itself when
	// they fall behind.
	Coverage func() Coverage

	mutex       sync.Mutex
	unavailable bool
	// operatorsReadable is closed while the last call on the operators' topic has succeeded.
	operatorsReadable chan struct{}
	era               uint64 // The latest era of a listing.
	// reads holds the cancel functions of the reads in flight, which end when another topic
	// is found to be restored. A read may otherwise wait for records that are already there.
	reads map[fleet.Topic]context.CancelCauseFunc
}

// Run follows all topics until the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.reads = make(map[fleet.Topic]context.CancelCauseFunc)
	f.operatorsReadable = make(chan struct{})
	close(f.operatorsReadable)
	var group sync.WaitGroup
	for _, topic := range []fleet.Topic{fleet.OperatorTopic, fleet.TargetTopic, fleet.EntryTopic} {
		group.Go(func() { f.follow(ctx, topic) })
	}
	group.Wait()
}

// follow lists a topic and then reads its new records until the context ends. It lists
// the topic again after a compaction, and after the store was restored.
func (f *Follower) follow(ctx context.Context, topic fleet.Topic) {
	var from fleet.Position
	listed := false
	for ctx.Err() == nil {
		var err error
		if listed {
			from, err = f.read(ctx, topic, from)
		} else {
			from, err = f.list(ctx, topic, from)
		}
		pause := time.Duration(0)
		switch {
		case errors.Is(err, errUncovered):
			continue
		case isOutdated(err):
			listed = false
		case err != nil:
			pause = f.Pace().retryInterval()
		case topic == fleet.EntryTopic:
			listed, pause = true, f.Pace().entryInterval()
		default:
			listed = true
		}
		if ctx.Err() == nil {
			f.updateAvailability(topic, err)
		}
		if topic == fleet.TargetTopic && err == nil {
			f.waitForTargets(ctx, from)
			continue
		}
		f.wait(ctx, topic, err, pause)
	}
}

// waitForTargets waits until the targets' topic is to be read again after a read up to an
// end. An instance of which others fall silent, or whose pace changes, doesn't wait for the
// end of a longer interval.
func (f *Follower) waitForTargets(ctx context.Context, end fleet.Position) {
	readAt, behind := time.Now(), f.Coverage().Targets.Before(end)
	for {
		left := f.targetInterval(readAt, behind) - time.Since(readAt)
		if left <= 0 || !wait.Sleep(ctx, min(left, coverageInterval)) {
			return
		}
	}
}

// targetInterval returns the pause after a read of the targets' topic at a time, after which
// messages were behind the topic's end or not. A checker reads as often as in a small fleet
// while no message shows a later end or that the store serves readers, unless its own reads
// since then show that there is no later end.
func (f *Follower) targetInterval(readAt time.Time, behind bool) time.Duration {
	pace, coverage := f.Pace(), f.Coverage()
	coveredUntil := coverage.TargetsAt.Add(targetsHeardWithin)
	if confirmed := coverage.ConfirmedAt.Add(confirmedWithin); confirmed.After(coveredUntil) {
		coveredUntil = confirmed
	}
	switch {
	case pace != CheckerPace || time.Now().Before(coveredUntil):
		return pace.targetInterval()
	case behind || readAt.Before(coveredUntil):
		return nonReaderInterval
	default:
		return quietInterval
	}
}

// endWhenUncovered cancels a checker's long poll of the operators' topic when the checker is
// no longer covered. The poll may have gone silent.
func (f *Follower) endWhenUncovered(ctx context.Context, cancel context.CancelCauseFunc) {
	for wait.Sleep(ctx, coverageInterval) {
		if f.Pace() != CheckerPace || !f.isConfirmed() {
			cancel(errUncovered)
			return
		}
	}
}

// isConfirmed reports whether the configuration was known to be current a short time ago.
func (f *Follower) isConfirmed() bool { return time.Since(f.Coverage().ConfirmedAt) <= confirmedWithin }

// wait waits for a pause. After an error on another topic than the operators' it waits
// until that topic can be read, at most for followRetryInterval, so that only one call at a
// time finds out whether the store is back.
func (f *Follower) wait(ctx context.Context, topic fleet.Topic, err error, pause time.Duration) {
	var readable <-chan struct{}
	if err != nil && !isOutdated(err) && topic != fleet.OperatorTopic {
		f.withLock(func() { readable = f.operatorsReadable })
		select {
		case <-readable: // Only this topic fails.
			readable = nil
		default:
			pause = f.Pace().followRetryInterval()
		}
	}
	select {
	case <-ctx.Done():
	case <-readable:
	case <-time.After(pause):
	}
}

// isOutdated reports whether the store responded, but a topic must be listed again.
func isOutdated(err error) bool {
	return errors.Is(err, platform.ErrCompacted) || errors.Is(err, platform.ErrRestored)
}

// list lists a topic and returns the position from which to read. The topic was read before
// up to the given position; it is zero at the start.
func (f *Follower) list(ctx context.Context, topic fleet.Topic, previous fleet.Position) (fleet.Position, error) {
	listing, err := f.Store.List(ctx, topic)
	if err != nil {
		return previous, err
	}
	f.observeEra(listing.End.Era)
	events.Log(f.Logger, events.TopicListed, log.Fields{
		"topic": topic.String(), "era": listing.End.Era, "end": listing.End.Offset, "records": len(listing.Records),
	})
	if topic == fleet.EntryTopic {
		f.OnEntryRecords(listing.Records)
		if previous != (fleet.Position{}) && previous.Era < listing.End.Era {
			f.OnEntriesRestored(listing.Records)
		}
	} else {
		f.Sink.ApplyTopicListing(topic, listing)
	}
	f.confirm(topic)
	return listing.End, nil
}

// read reads the records of a topic from a position on and returns the position for the
// next read.
func (f *Follower) read(ctx context.Context, topic fleet.Topic, from fleet.Position) (fleet.Position, error) {
	pollTimeout := f.Pace().pollTimeout(topic)
	endsWhenUncovered := pollTimeout > longPollTimeout && topic == fleet.OperatorTopic
	if endsWhenUncovered && !f.isConfirmed() {
		pollTimeout, endsWhenUncovered = longPollTimeout, false
	}
	readContext, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	known := uint64(0)
	f.withLock(func() { f.reads[topic], known = cancel, f.era })
	if known > from.Era { // Another topic has shown it while this one was not read.
		return from, platform.ErrRestored.New("read of topic %s from era %d: a listing was of era %d", topic, from.Era, known)
	}
	if endsWhenUncovered {
		go f.endWhenUncovered(readContext, cancel)
	}
	records, next, err := f.Store.Read(readContext, topic, from, pollTimeout)
	if cause := context.Cause(readContext); err != nil && (errors.Is(cause, platform.ErrRestored) || errors.Is(cause, errUncovered)) {
		return from, cause
	}
	if err != nil {
		return from, err
	}
	if topic == fleet.EntryTopic {
		f.OnEntryRecords(records)
	} else {
		if f.Sink.ApplyRecords(records, core.SourceStore) {
			f.OnChange()
		}
	}
	f.confirm(topic)
	return next, nil
}

// observeEra ends the reads in flight when a listing is of a later era than the ones before.
func (f *Follower) observeEra(era uint64) {
	f.withLock(func() {
		if era <= f.era {
			return
		}
		f.era = era
		for _, cancel := range f.reads {
			cancel(platform.ErrRestored.New("era %d", era))
		}
	})
}

// withLock calls a function while the mutex is held.
func (f *Follower) withLock(change func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change()
}

// confirm records that the configuration is current after a read of its topic.
func (f *Follower) confirm(topic fleet.Topic) {
	if topic == fleet.OperatorTopic {
		f.Sink.Confirm()
	}
}

// updateAvailability updates the store's availability in the sink, and logs it, when it
// changes.
func (f *Follower) updateAvailability(topic fleet.Topic, err error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	unavailable := err != nil && !isOutdated(err)
	if topic == fleet.OperatorTopic {
		f.setOperatorsReadable(!unavailable)
	}
	if unavailable == f.unavailable {
		return
	}
	f.unavailable = unavailable
	f.Sink.SetStoreUnavailable(unavailable)
	if unavailable {
		events.Log(f.Logger, events.DependencyLost, log.Fields{"dependency": "store", "topic": topic.String(), "error": err.Error()})
		return
	}
	events.Log(f.Logger, events.DependencyRegained, log.Fields{"dependency": "store", "topic": topic.String()})
}

// setOperatorsReadable sets whether the last call on the operators' topic has succeeded.
// The mutex must be held.
func (f *Follower) setOperatorsReadable(readable bool) {
	select {
	case <-f.operatorsReadable:
		if !readable {
			f.operatorsReadable = make(chan struct{})
		}
	default:
		if readable {
			close(f.operatorsReadable)
		}
	}
}
