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

// While the store refuses all calls, an instance finds out with few calls that it is back,
// and then reads all topics at once.
func TestFewCallsWhileStoreIsUnavailable(t *testing.T) {
	for name, test := range map[string]struct {
		pace     Pace
		maxCalls int // In 3 s, over all topics.
	}{
		"reader":  {pace: ReaderPace, maxCalls: 18},
		"checker": {pace: CheckerPace, maxCalls: 10},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			fake := &platformtest.Store{}
			address := fake.Start()
			defer fake.Close()
			fake.SetFault(platformtest.Unavailable)
			listed := &listingSink{}
			f := &Follower{
				Store: platform.NewStore(address), Sink: listed, Logger: events.NewLogger(events.NewSink(io.Discard)),
				OnEntryRecords: func([]fleet.Record) { listed.add() }, OnEntriesRestored: func([]fleet.Record) {}, OnChange: func() {},
				Pace: func() Pace { return test.pace },
			}
			ctx, cancel := context.WithCancel(t.Context())
			var group sync.WaitGroup
			group.Go(func() { f.Run(ctx) })
			time.Sleep(3 * time.Second)
			calls := fake.Calls("keyed.op") + fake.Calls("keyed.servers") + fake.Calls("keyed.entries")
			c.Check(calls <= test.maxCalls, qt.IsTrue, qt.Commentf("%d calls", calls))
			fake.SetFault(platformtest.NoFault)
			time.Sleep(2 * time.Second) // As long as targets need to register again.
			c.Check(listed.count() >= 3, qt.IsTrue, qt.Commentf("%d topics listed", listed.count()))
			cancel()
			group.Wait()
		})
	}
}

// listingSink counts the listings of topics.
type listingSink struct {
	ignoringSink
	mutex  sync.Mutex
	topics int
}

func (l *listingSink) ApplyTopicListing(fleet.Topic, platform.Listing) { l.add() }

func (l *listingSink) add() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.topics++
}

func (l *listingSink) count() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.topics
}
