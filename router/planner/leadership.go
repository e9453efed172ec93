package planner

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"chervilswitch.example/platform"
	"chervilswitch.example/shared/events"
	"chervilswitch.example/shared/fleet"

	"github.com/apex/log"
)

const (
	// checkInterval is how often an instance checks whether it should be the leader.
	checkInterval = 200 * time.Millisecond
	// startupDelay is how long a started instance waits for messages of a leader before
	// it claims leadership; other instances send several in that time. An unnecessary
	// claim only raises the token.
	startupDelay = 700 * time.Millisecond
)

// Store stores the leadership claims, and the demand for the next leader.
type Store interface {
	// AppendAt appends a record if the topic's end offset is end, and returns the record's
	// position. Otherwise the error matches platform.ErrConflict and the returned position
	// is the topic's end.
	AppendAt(ctx context.Context, topic fleet.Topic, value []byte, end int64) (fleet.Position, error)
	Put(ctx context.Context, topic fleet.Topic, key string, value []byte) error
	List(ctx context.Context, topic fleet.Topic) (platform.Listing, error)
}

// Leadership elects the instance whose planner plans the maps. An instance claims
// leadership by a conditional append to the store. The position of the record determines
// the fencing token, so that a later leader has a higher one.
type Leadership struct {
	Instance string
	Store    Store
	// Leads reports whether this instance should be the leader; own is its token, or 0
	// if it is not the leader.
	Leads  func(own uint64) bool
	Logger log.Interface

	token            atomic.Uint64
	storeUnreachable atomic.Bool
	topicEnd         int64 // Expected end offset of the topic.
}

// Token returns the fencing token of this instance, or 0 if it is not the leader.
func (l *Leadership) Token() uint64 { return l.token.Load() }

// StoreUnreachable reports whether the last claim failed for a reason other than a
// conflict.
func (l *Leadership) StoreUnreachable() bool { return l.storeUnreachable.Load() }

// Resign ends the leadership if it still has the given token, and logs the reason.
func (l *Leadership) Resign(token uint64, reason string) {
	if l.token.CompareAndSwap(token, 0) {
		events.Log(l.Logger, events.DutyLeft, log.Fields{"token": token, "reason": reason})
	}
}

// Run claims leadership whenever this instance should be the leader, until the context
// ends. While the instance is the leader, Run executes work in a goroutine, with a
// context that ends with the leadership.
func (l *Leadership) Run(ctx context.Context, work func(ctx context.Context, token uint64)) {
	started := time.Now()
	var stop context.CancelFunc
	done := make(chan struct{})
	close(done)
	workToken := uint64(0)
	for ctx.Err() == nil {
		own := l.Token()
		leads := l.Leads(own)
		if own != 0 && !leads {
			l.Resign(own, "another instance has a higher token or this one is stopping")
			own = 0
		}
		if own == 0 && leads && time.Since(started) > startupDelay {
			own = l.claim(ctx)
		}
		if own != workToken {
			if stop != nil {
				stop()
				<-done
				stop = nil
			}
			workToken = own
			if own != 0 {
				var workContext context.Context
				workContext, stop = context.WithCancel(ctx)
				done = make(chan struct{})
				go func() {
					defer close(done)
					work(workContext, own)
				}()
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(checkInterval):
		}
	}
	if stop != nil {
		stop()
	}
	<-done
}

// claim tries to claim leadership and returns the new token, or 0. After a conflict it
// stores the topic's end for the next try.
func (l *Leadership) claim(ctx context.Context) uint64 {
	value, err := json.Marshal(struct {
		Instance string `json:"instance"`
	}{l.Instance})
	if err != nil {
		return 0
	}
	position, err := l.Store.AppendAt(ctx, fleet.LeadershipTopic, value, l.topicEnd)
	l.storeUnreachable.Store(err != nil && !errors.Is(err, platform.ErrConflict))
	switch {
	case errors.Is(err, platform.ErrConflict):
		l.topicEnd = position.Offset
		return 0
	case err != nil:
		return 0 // The store's Follower logs outages.
	}
	l.topicEnd = position.Offset + 1
	token := position.FencingToken()
	l.token.Store(token)
	events.Log(l.Logger, events.DutyTaken, log.Fields{"token": token, "era": position.Era, "offset": position.Offset})
	return token
}
