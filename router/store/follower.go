// Package store follows the platform's store: configuration, registrations of
// targets and of entry instances.
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

	"github.com/apex/log"
)

const (
	// longPoll is how long a read waits for a record.
	longPoll = 2 * time.Second
	// entryPoll is the same for the registrations of entry instances, which tell
	// each other news besides.
	entryPoll = 8 * time.Second
	// targetPause is the time between a reader's reads of the targets' topic, where
	// each heartbeat is a record. A draining target is due out within 2 s.
	targetPause = 500 * time.Millisecond
	// checkPause is the same for instances that hear of targets from a reader.
	checkPause = 1300 * time.Millisecond
	// retryPause is the time between calls while the store does not answer.
	retryPause = 300 * time.Millisecond
)

// Sink takes what the store tells.
type Sink interface {
	// Learn reports whether anything but heartbeats was news.
	Learn(records []fleet.Record, source string) bool
	LearnListing(topic fleet.Topic, l platform.Listing)
	StoreAway(away bool)
	Confirm()
}

// Follower reads topics as they grow.
type Follower struct {
	Store  *platform.Store
	Sink   Sink
	Logger log.Interface
	// OnEntryRecords takes the registrations of entry instances.
	OnEntryRecords func(records []fleet.Record)
	// OnChange is called when the store told news.
	OnChange func()
	// IsStoreReader reports whether this instance reads for the others.
	IsStoreReader func() bool

	mutex sync.Mutex
	away  bool
}

// Run follows all topics until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, topic := range []fleet.Topic{fleet.OperatorTopic, fleet.TargetTopic, fleet.EntryTopic} {
		group.Go(func() { f.follow(ctx, topic) })
	}
	group.Wait()
}

func (f *Follower) follow(ctx context.Context, topic fleet.Topic) {
	from := int64(-1)
	for ctx.Err() == nil {
		next, err := f.step(ctx, topic, from)
		pause := time.Duration(0)
		switch {
		case errors.Is(err, platform.ErrCompacted):
			next = -1
		case err != nil:
			next, pause = from, retryPause
		case topic == fleet.TargetTopic && f.IsStoreReader():
			pause = targetPause
		case topic == fleet.TargetTopic:
			pause = checkPause
		}
		if ctx.Err() == nil {
			f.note(topic, err)
		}
		from = next
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// step lists a topic or reads what is new, and returns where to go on.
func (f *Follower) step(ctx context.Context, topic fleet.Topic, from int64) (int64, error) {
	if from < 0 {
		listing, err := f.Store.List(ctx, topic)
		if err != nil {
			return from, err
		}
		if topic == fleet.EntryTopic {
			f.OnEntryRecords(listing.Records)
		} else {
			f.Sink.LearnListing(topic, listing)
		}
		f.confirm(topic)
		return listing.End, nil
	}
	wait := longPoll
	switch topic {
	case fleet.TargetTopic:
		wait = 0
	case fleet.EntryTopic:
		wait = entryPoll
	}
	records, next, err := f.Store.Read(ctx, topic, from, wait)
	if err != nil {
		return from, err
	}
	if topic == fleet.EntryTopic {
		f.OnEntryRecords(records)
	} else {
		if f.Sink.Learn(records, core.SourceStore) {
			f.OnChange()
		}
	}
	f.confirm(topic)
	return next, nil
}

func (f *Follower) confirm(topic fleet.Topic) {
	if topic == fleet.OperatorTopic {
		f.Sink.Confirm()
	}
}

// note logs when the store is lost and when it is back.
func (f *Follower) note(topic fleet.Topic, err error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	away := err != nil && !errors.Is(err, platform.ErrCompacted)
	if away == f.away {
		return
	}
	f.away = away
	f.Sink.StoreAway(away)
	if away {
		events.Log(f.Logger, events.DependencyLost, log.Fields{"dependency": "store", "topic": topic.String(), "error": err.Error()})
		return
	}
	events.Log(f.Logger, events.DependencyRegained, log.Fields{"dependency": "store", "topic": topic.String()})
}
