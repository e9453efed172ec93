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

// Store keeps the claims of leadership, and the demand for the next leader.
type Store interface {
	// Claim appends a record if the topic ends at the offset at, and returns the
	// record's offset. If the topic ends elsewhere, the error matches
	// platform.ErrConflict and the returned offset is the topic's end.
	Claim(ctx context.Context, topic fleet.Topic, value []byte, at int64) (int64, error)
	Put(ctx context.Context, topic fleet.Topic, key string, value []byte) error
	List(ctx context.Context, topic fleet.Topic) (platform.Listing, error)
}

// Leadership is claimed by a conditional append to the store. The offset of the record
// determines the fencing token, so that a later leader has a higher one.
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
func (d *Leadership) Token() uint64 { return d.token.Load() }

// StoreUnreachable reports whether the last claim failed for another reason than a
// conflict.
func (d *Leadership) StoreUnreachable() bool { return d.storeUnreachable.Load() }

// Resign ends the leadership if it still has the given token, and logs the reason.
func (d *Leadership) Resign(token uint64, reason string) {
	if d.token.CompareAndSwap(token, 0) {
		events.Log(d.Logger, events.DutyLeft, log.Fields{"token": token, "reason": reason})
	}
}

// Run claims leadership whenever this instance should be the leader, until the context
// ends. While the instance is the leader, Run executes work in a goroutine, with a
// context that ends with the leadership.
func (d *Leadership) Run(ctx context.Context, work func(ctx context.Context, token uint64)) {
	started := time.Now()
	var stop context.CancelFunc
	done := make(chan struct{})
	close(done)
	held := uint64(0)
	for ctx.Err() == nil {
		own := d.Token()
		leads := d.Leads(own)
		if own != 0 && !leads {
			d.Resign(own, "another instance has a higher token or this one is stopping")
			own = 0
		}
		if own == 0 && leads && time.Since(started) > startupDelay {
			own = d.claim(ctx)
		}
		if own != held {
			if stop != nil {
				stop()
				<-done
				stop = nil
			}
			held = own
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
func (d *Leadership) claim(ctx context.Context) uint64 {
	value, err := json.Marshal(struct {
		Instance string `json:"instance"`
	}{d.Instance})
	if err != nil {
		return 0
	}
	offset, err := d.Store.Claim(ctx, fleet.DutyTopic, value, d.topicEnd)
	d.storeUnreachable.Store(err != nil && !errors.Is(err, platform.ErrConflict))
	switch {
	case errors.Is(err, platform.ErrConflict):
		d.topicEnd = offset
		return 0
	case err != nil:
		return 0 // The follower of the store logs its outages.
	}
	d.topicEnd = offset + 1
	token := uint64(offset) + 1
	d.token.Store(token)
	events.Log(d.Logger, events.DutyTaken, log.Fields{"token": token})
	return token
}
