package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"chervilswitch.example/shared/fleet"

	qt "github.com/frankban/quicktest"
)

// limitedFleet plays requests against the reducers of several entry instances, whose
// targets have named limits.
type limitedFleet struct {
	*qt.C
	states  []*State
	targets []fleet.Target
	start   time.Time
	now     time.Time
	next    RequestID
	// sent holds when requests were sent to each target.
	sent    map[string][]time.Time
	refused int
	served  int
}

func newLimitedFleet(t *testing.T, entries, targets int) *limitedFleet {
	f := &limitedFleet{C: qt.New(t), start: time.Unix(50, 0), sent: make(map[string][]time.Time)}
	f.now = f.start
	for i := range targets {
		f.targets = append(f.targets, fleet.Target{ID: fmt.Sprintf("t%03d", i), Service: testService, Slots: 10000, Incarnation: 1})
	}
	f.states = newStates(entries, fleet.Service{Name: testService}, f.targets...)
	return f
}

// name lets every instance know the limit of a target.
func (f *limitedFleet) name(target string, perSecond float64) {
	limit := TargetLimit{Target: target, Incarnation: 1, PerSecond: perSecond, At: f.now}
	f.observe(f.states[0].Reduce(f.now, ResponseHead{Limit: limit}), 0)
	for i, st := range f.states[1:] {
		f.observe(st.Reduce(f.now, PeerLimits{Peer: "entry-000", Limits: []TargetLimit{limit}}), i+1)
	}
}

func (f *limitedFleet) observe(effects []Effect, instance int) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case Dispatch:
			f.sent[e.Target.ID] = append(f.sent[e.Target.ID], f.now)
			f.served++
			f.observe(f.states[instance].Reduce(f.now, Finish{ID: e.ID}), instance)
		case Refuse:
			f.refused++
		}
	}
}

func (f *limitedFleet) submit(instance int) {
	f.next++
	f.observe(f.states[instance].Reduce(f.now, Submit{Request: Request{ID: f.next, Service: testService, MaxAttempts: 1, Deadline: f.now.Add(time.Second)}}), instance)
}

// play sends requests to random instances for a duration, at a rate over all of them.
func (f *limitedFleet) play(random *rand.Rand, perSecond float64, duration time.Duration) {
	const step = 25 * time.Millisecond
	pending := 0.0
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(step) {
		for pending += perSecond * step.Seconds(); pending >= 1; pending-- {
			f.submit(random.IntN(len(f.states)))
		}
		for i, st := range f.states {
			f.observe(st.Reduce(f.now, Tick{}), i)
		}
	}
}

// mostSent returns the largest number of requests to one target within a window.
func (f *limitedFleet) mostSent(window time.Duration) (most int) {
	for _, times := range f.sent {
		first := 0
		for i, at := range times {
			for at.Sub(times[first]) >= window {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	return most
}

// A token that is not quite whole, by the rounding of a sum, let any number of requests of the
// same moment pass: none of them took it.
func TestNearlyWholeTokenIsNone(t *testing.T) {
	at := time.Unix(50, 0)
	r := rateShare{tokens: tokenBucket{tokens: math.Nextafter(1, 0), at: at}, rate: 15, perSecond: 1.25}
	qt.Assert(t, r.wait(at) > 0, qt.IsTrue)
	qt.Assert(t, r.wait(at.Add(time.Microsecond)), qt.Equals, time.Duration(0))
}

const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

func allowedInWindow(perSecond float64) float64 {
	return limitFactor*perSecond*limitWindow.Seconds() + limitSlack
}

// All targets name a limit. After a quiet time, in which every instance saves up what it
// may, far more requests arrive than the limits allow together.
func TestNamedLimitHoldsOverManyInstances(t *testing.T) {
	for _, row := range []struct {
		entries, targets int
		perSecond        float64
	}{{1, 3, 2.3}, {4, 12, 2.3}, {4, 3, 1.3}, {4, 3, 0.3}, {17, 72, 1.7}, {17, 3, 1.3}, {17, 3, 12}, {370, 60, 2.6}} {
		t.Run(fmt.Sprintf("%d instances, %d targets, %g per second", row.entries, row.targets, row.perSecond), func(t *testing.T) {
			f := newLimitedFleet(t, row.entries, row.targets)
			for _, target := range f.targets {
				f.name(target.ID, row.perSecond)
			}
			f.now = f.now.Add(20 * time.Second)
			random := rand.New(rand.NewPCG(1, 9))
			total := row.perSecond * float64(row.targets)
			const duration = 12 * time.Second
			f.play(random, 5*total+float64(2*row.entries), duration)
			most := f.mostSent(limitWindow)
			served := float64(f.served) / (total * duration.Seconds())
			f.Logf("at most %d in 4 s, %.1f allowed; served %.2f of the limits", most, allowedInWindow(row.perSecond), served)
			f.Assert(float64(most) <= allowedInWindow(row.perSecond), qt.IsTrue)
			f.Assert(served >= 0.8, qt.IsTrue)
		})
	}
}

// Each instance can reach some target, also if all targets of a small service are limited.
func TestEveryInstanceSharesSomeLimitedTarget(t *testing.T) {
	for _, row := range []struct{ entries, targets int }{{4, 3}, {17, 3}, {45, 3}, {17, 72}} {
		f := newLimitedFleet(t, row.entries, row.targets)
		for _, target := range f.targets {
			f.name(target.ID, 1.3)
		}
		f.now = f.now.Add(time.Minute)
		for i := range f.states {
			f.submit(i)
		}
		f.Assert(f.served, qt.Equals, row.entries, qt.Commentf("%d instances, %d targets", row.entries, row.targets))
	}
}

// While a target has room, the limits of others refuse nothing. A request that no target
// can take in time is refused at once, with the time of the next token.
func TestLimitsRefuseOnlyWhatNoTargetCanTake(t *testing.T) {
	f := newLimitedFleet(t, 1, 3)
	f.name("t000", 0.5)
	f.name("t001", 0.5)
	for range 50 {
		f.submit(0)
	}
	f.Assert(f.served, qt.Equals, 50)
	f.name("t002", 0.5)
	f.submit(0)
	f.Assert(f.served, qt.Equals, 51) // The only holder begins with one token.
	effects := f.states[0].Reduce(f.now, Submit{Request: Request{ID: 1000, Service: testService, MaxAttempts: 1}})
	f.Assert(effects, qt.HasLen, 1)
	refuse := effects[0].(Refuse)
	f.Assert(refuse.Reason, qt.Equals, RateLimited)
	f.Assert(refuse.RetryAfter, qt.Equals, 2*time.Second)
}

// A limit is in force while the newest response names it, and no longer. A target that
// has restarted has named none.
func TestNewestResponseDecidesTheLimit(t *testing.T) {
	c := qt.New(t)
	l := newTargetLimits()
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	apply := func(peer string, incarnation uint64, perSecond float64, ms int) bool {
		_, changed := l.apply(TargetLimit{Target: "t", Incarnation: incarnation, PerSecond: perSecond, At: at(ms)}, peer)
		return changed
	}
	t1, t2 := &target{Target: fleet.Target{ID: "t", Incarnation: 1}}, &target{Target: fleet.Target{ID: "t", Incarnation: 2}}
	c.Assert(apply("", 1, 0, 0), qt.IsFalse)
	c.Assert(apply("", 1, 2.5, 100), qt.IsTrue)
	c.Assert(apply("peer", 1, 1, 50), qt.IsFalse)
	c.Assert(l.perSecond(t1), qt.Equals, 2.5)
	c.Assert(l.perSecond(t2), qt.Equals, 0.0)
	c.Assert(apply("peer", 1, 1, 200), qt.IsTrue)
	c.Assert(l.perSecond(t1), qt.Equals, 1.0)
	c.Assert(apply("", 1, 0, 300), qt.IsTrue)
	c.Assert(l.perSecond(t1), qt.Equals, 0.0)
	c.Assert(apply("", 2, 4, 250), qt.IsTrue)
	c.Assert(l.perSecond(t2), qt.Equals, 4.0)
	c.Assert(apply("", 1, 1, 400), qt.IsFalse)

	l.forget(at(300).Add(limitMemory), func(string) bool { return true })
	c.Assert(l.known, qt.HasLen, 1)
	l.forget(at(300).Add(limitMemory), func(string) bool { return false })
	c.Assert(l.known, qt.HasLen, 0)
}

// An instance that knows nothing is told every limit; one that is up to date is told what
// this instance has learnt from responses since.
func TestLimitsAreSentOnce(t *testing.T) {
	c := qt.New(t)
	l := newTargetLimits()
	l.apply(TargetLimit{Target: "a", PerSecond: 1, At: time.Unix(1, 0)}, "")
	l.apply(TargetLimit{Target: "b", PerSecond: 2, At: time.Unix(1, 0)}, "peer")
	all, version := l.since(0)
	c.Assert(all, qt.HasLen, 2)
	none, _ := l.since(version)
	c.Assert(none, qt.HasLen, 0)
	l.apply(TargetLimit{Target: "a", PerSecond: 1, At: time.Unix(2, 0)}, "")
	none, _ = l.since(version)
	c.Assert(none, qt.HasLen, 0)
	l.apply(TargetLimit{Target: "a", PerSecond: 3, At: time.Unix(3, 0)}, "")
	changed, _ := l.since(version)
	c.Assert(changed, qt.HasLen, 1)
}

// The share of an instance that leaves passes to others. What it had saved up is not
// available a second time.
func TestMovedShareBeginsEmpty(t *testing.T) {
	const perSecond = 1.3
	f := newLimitedFleet(t, 17, 6)
	for _, target := range f.targets {
		f.name(target.ID, perSecond)
	}
	f.now = f.now.Add(20 * time.Second)
	random := rand.New(rand.NewPCG(3, 9))
	f.play(random, 100, time.Second)
	for left := 16; left > 8; left-- { // Instances leave one after the other.
		names := make([]string, left)
		for i := range names {
			names[i] = fmt.Sprintf("entry-%03d", i)
		}
		f.states = f.states[:left]
		for _, st := range f.states {
			st.Reduce(f.now, EntryInstances{Names: names})
		}
		f.play(random, 100, 500*time.Millisecond)
	}
	f.Assert(float64(f.mostSent(limitWindow)) <= allowedInWindow(perSecond), qt.IsTrue, qt.Commentf("%d in 4 s", f.mostSent(limitWindow)))
}
