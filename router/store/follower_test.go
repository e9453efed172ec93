package store

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
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

// covered is the coverage of an instance to which others tell everything.
func covered() Coverage {
	return Coverage{Targets: fleet.Position{Era: 1, Offset: 1 << 40}, TargetsAt: time.Now(), ConfirmedAt: time.Now()}
}

// newFollower returns a follower with a pace and coverage that ignores what it reads.
func newFollower(address netip.AddrPort, pace Pace, coverage func() Coverage) *Follower {
	return &Follower{
		Store: platform.NewStore(address), Sink: ignoringSink{}, Logger: events.NewLogger(events.NewSink(io.Discard)),
		OnEntryRecords: func([]fleet.Record) {}, OnEntriesRestored: func([]fleet.Record) {}, OnChange: func() {},
		Pace: func() Pace { return pace }, Coverage: coverage,
	}
}

// In a fleet of 45 instances, targets' heartbeats and the time alone cause few calls.
func TestCallsOfALargeFleet(t *testing.T) {
	c := qt.New(t)
	const instances, readers, localReaders, seconds = 45, 2, 2, 12
	fake := &platformtest.Store{}
	address := fake.Start()
	defer fake.Close()
	ctx, cancel := context.WithTimeout(t.Context(), seconds*time.Second)
	defer cancel()
	var group sync.WaitGroup
	for i := range instances {
		pace := CheckerPace
		switch {
		case i < readers:
			pace = LargeReaderPace
		case i < readers+localReaders:
			pace = NonReaderPace
		}
		group.Go(func() { newFollower(address, pace, covered).Run(ctx) })
	}
	for ctx.Err() == nil {
		fake.PutTarget("i-1", map[string]int{})
		time.Sleep(20 * time.Millisecond)
	}
	group.Wait()
	operators, targets, entries := fake.Calls("keyed.op"), fake.Calls("keyed.servers"), fake.Calls("keyed.entries")
	c.Logf("%d calls in %d s: %d on the operators' topic, %d on the targets', %d on the entry instances'", operators+targets+entries, seconds, operators, targets, entries)
	readerPolls := int(seconds * time.Second / readerPollTimeout)
	c.Check(operators <= 2*instances+readers*readerPolls+localReaders*seconds/2, qt.IsTrue) // A listing and a read, and long polls.
	c.Check(targets <= 2*instances+readers*2*seconds+localReaders*seconds, qt.IsTrue)
	c.Check(entries <= 2*instances+readers+localReaders, qt.IsTrue)
}

// Others fall silent, or tell nothing new. A checker reads the targets' topic by itself in the
// 2 s after which a draining target must get no requests, and doesn't go on if nothing is there.
func TestCheckerReadsWhenOthersFallSilent(t *testing.T) {
	c := qt.New(t)
	fake := &platformtest.Store{}
	address := fake.Start()
	defer fake.Close()
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	fake.PutTarget("i-1", map[string]int{})
	began := time.Now()
	known := Coverage{Targets: fleet.Position{Era: 1, Offset: 1}, TargetsAt: began, ConfirmedAt: began}
	group.Go(func() { newFollower(address, CheckerPace, func() Coverage { return known }).Run(ctx) })
	time.Sleep(confirmedWithin - 200*time.Millisecond)
	c.Check(fake.Calls("keyed.servers"), qt.Equals, 1)
	time.Sleep(time.Until(began.Add(2 * time.Second)))
	c.Check(fake.Calls("keyed.servers"), qt.Equals, 2)
	time.Sleep(nonReaderInterval + coverageInterval)
	c.Check(fake.Calls("keyed.servers"), qt.Equals, 2) // The topic is quiet.
	cancel()
	group.Wait()
}

// A long poll of the operators' topic goes silent, and so do others. The checker asks again.
func TestSilentLongPollIsReplaced(t *testing.T) {
	c := qt.New(t)
	fake := &platformtest.Store{}
	fake.Start()
	defer fake.Close()
	polls := make(chan time.Duration, 64)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs")); r.URL.Query().Get("topic") == "keyed.op" && wait > 0 {
			polls <- time.Duration(wait) * time.Millisecond
			<-r.Context().Done()
			return
		}
		fake.ServeHTTP(w, r)
	}))
	defer server.Close()
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	began := time.Now()
	known := covered()
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	group.Go(func() { newFollower(address, CheckerPace, func() Coverage { return known }).Run(ctx) })
	c.Check(<-polls, qt.Equals, checkerPollTimeout)
	c.Check(<-polls, qt.Equals, longPollTimeout)
	c.Check(time.Since(began) < confirmedWithin+2*coverageInterval, qt.IsTrue)
	cancel()
	group.Wait()
}

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
		group.Go(func() { newFollower(address, CheckerPace, covered).Run(ctx) })
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
				Pace: func() Pace { return test.pace }, Coverage: func() Coverage { return Coverage{} }, // Nobody hears anything new.
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
