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
	// dutyInterval is how often the duty is considered.
	dutyInterval = 200 * time.Millisecond
	// settleIn is how long a started instance listens for a holder before it claims;
	// others tell news several times in it. A claim too many only raises the token.
	settleIn = 700 * time.Millisecond
)

// Store is where the duty is claimed, and where demand outlives its planner.
type Store interface {
	// Claim errors match platform.ErrConflict with the topic's end.
	Claim(ctx context.Context, topic fleet.Topic, value []byte, at int64) (int64, error)
	Put(ctx context.Context, topic fleet.Topic, key string, value []byte) error
	List(ctx context.Context, topic fleet.Topic) (platform.Listing, error)
}

// Leadership is claimed by an append to the store. The record's offset makes the fencing
// token, so a later holder's is higher.
type Leadership struct {
	Instance string
	Store    Store
	// Leads reports whether this instance should hold the duty, given its token.
	Leads  func(own uint64) bool
	Logger log.Interface

	token  atomic.Uint64
	unable atomic.Bool
	end    int64 // Where the topic is believed to end.
}

// Token is the fencing token that is held, or 0.
func (d *Leadership) Token() uint64 { return d.token.Load() }

// StoreUnreachable reports whether the last claim did not reach the store.
func (d *Leadership) StoreUnreachable() bool { return d.unable.Load() }

// Resign gives the duty up after a rank refused a token.
func (d *Leadership) Resign(token uint64, reason string) {
	if d.token.CompareAndSwap(token, 0) {
		events.Log(d.Logger, events.DutyLeft, log.Fields{"token": token, "reason": reason})
	}
}

// Run claims the duty when this instance should hold it, until the context ends.
// While it is held, it runs work with a context that ends with the duty.
func (d *Leadership) Run(ctx context.Context, work func(ctx context.Context, token uint64)) {
	began := time.Now()
	var stop context.CancelFunc
	done := make(chan struct{})
	close(done)
	held := uint64(0)
	for ctx.Err() == nil {
		own := d.Token()
		leads := d.Leads(own)
		if own != 0 && !leads {
			d.Resign(own, "another instance holds it")
			own = 0
		}
		if own == 0 && leads && time.Since(began) > settleIn {
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
				var working context.Context
				working, stop = context.WithCancel(ctx)
				done = make(chan struct{})
				go func() {
					defer close(done)
					work(working, own)
				}()
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(dutyInterval):
		}
	}
	if stop != nil {
		stop()
	}
	<-done
}

// claim appends a claim, or learns where the topic ends for the next try.
func (d *Leadership) claim(ctx context.Context) uint64 {
	value, err := json.Marshal(struct {
		Instance string `json:"instance"`
	}{d.Instance})
	if err != nil {
		return 0
	}
	offset, err := d.Store.Claim(ctx, fleet.DutyTopic, value, d.end)
	d.unable.Store(err != nil && !errors.Is(err, platform.ErrConflict))
	switch {
	case errors.Is(err, platform.ErrConflict):
		d.end = offset
		return 0
	case err != nil:
		return 0 // The store's loss is logged by its follower.
	}
	d.end = offset + 1
	token := uint64(offset) + 1
	d.token.Store(token)
	events.Log(d.Logger, events.DutyTaken, log.Fields{"token": token})
	return token
}
