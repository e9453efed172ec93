package store

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"chervilswitch.example/platform"
	"chervilswitch.example/platform/platformtest"
	"chervilswitch.example/shared/events"
	"chervilswitch.example/shared/fleet"

	qt "github.com/frankban/quicktest"
)

// ignoringSink is a Sink without state.
type ignoringSink struct{}

func (ignoringSink) ApplyRecords([]fleet.Record, string) bool        { return false }
func (ignoringSink) ApplyTopicListing(fleet.Topic, platform.Listing) {}
func (ignoringSink) SetStoreUnavailable(bool)                        {}
func (ignoringSink) Confirm()                                        {}

// All instances of a fleet start at once, and each registers. Their reads grow with the
// number of instances, not with its square.
func TestReadsAtStartGrowWithInstances(t *testing.T) {
	c := qt.New(t)
	const instances = 30
	fake := &platformtest.Store{}
	address := fake.Start()
	defer fake.Close()
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for range instances {
		f := &Follower{
			Store: platform.NewStore(address), Sink: ignoringSink{}, Logger: events.NewLogger(events.NewSink(io.Discard)),
			OnEntryRecords: func([]fleet.Record) {}, OnEntriesRestored: func([]fleet.Record) {}, OnChange: func() {},
			Pace: func() Pace { return CheckerPace },
		}
		group.Go(func() { f.Run(ctx) })
	}
	writer := platform.NewStore(address)
	for i := range instances {
		c.Assert(writer.Put(ctx, fleet.EntryTopic, fmt.Sprintf("entry-%d", i), []byte("{}")), qt.IsNil)
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
	cancel()
	group.Wait()
	reads := fake.Calls("keyed.entries") - instances // Without the registrations.
	c.Logf("%d reads by %d instances", reads, instances)
	c.Assert(reads <= 5*instances, qt.IsTrue)
}
