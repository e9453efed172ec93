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

// routers plays a load on 14 instances in three data centres that know each other's running
// requests from messages of up to 200 ms of age.
type routers struct {
	targets [3]int
	plain   bool
	// perSecond is the rate of all requests, and swing how far that of a data centre moves.
	perSecond, swing float64
	duration         time.Duration // Mean time that a request runs.
	oneCentre        bool          // All instances and targets name the same data centre.
}

// placed counts the requests that stayed in their data centre, had to wait while a target
// had room, and exceeded their target's slots. spread is the mean standard deviation of the
// running requests over the targets, and order holds the targets of all requests.
type placed struct {
	home, waited, overfull int
	spread                 float64
	order                  []string
}

func (p routers) play(policy locality) (result placed) {
	const count, ticks, tick, stateTicks = 14, 6000, 5 * time.Millisecond, 40
	slots, start, random := 10, time.Unix(9000, 0), rand.New(rand.NewPCG(3, 9))
	engine := testEngine()
	update := ServiceTargets{Service: fleet.Service{Name: testService, Engine: &engine}}
	if p.plain {
		slots, update.Service.Engine = 6, nil
	}
	engine.Slots = slots
	centre := func(i int) string {
		if p.oneCentre {
			i = 0
		}
		return fmt.Sprint(i % 3)
	}
	for i := range 3 * p.targets[2] {
		if i/3 < p.targets[i%3] {
			update.Targets = append(update.Targets, fleet.Target{ID: fmt.Sprint("t", i), Service: testService, DataCentre: centre(i), Slots: slots})
		}
	}
	states := make([]*State, count)
	for i := range states {
		states[i] = New(fmt.Sprint("entry-", i), centre(i), RetryBudget{})
		states[i].locality = policy
		states[i].Reduce(start, update)
	}
	running, ends, next := make(map[string]int), make(map[int][]func()), RequestID(0)
	var apply func(at, router int, event Event) bool
	apply = func(at, router int, event Event) bool {
		effects := states[router].Reduce(start.Add(time.Duration(at)*tick), event)
		for _, effect := range effects {
			d := effect.(Dispatch)
			result.order = append(result.order, d.Target.ID)
			if d.Home {
				result.home++
			}
			if running[d.Target.ID]++; running[d.Target.ID] > slots {
				result.overfull++
			}
			end := at + 1 + int(random.ExpFloat64()*float64(p.duration/tick))
			ends[end] = append(ends[end], func() {
				running[d.Target.ID]--
				apply(end, router, Finish{ID: d.ID})
			})
		}
		return len(effects) > 0
	}
	for at := range ticks {
		for _, end := range ends[at] {
			end()
		}
		for i := range states {
			if (at+i)%stateTicks == 0 {
				for k := range states {
					if k != i {
						apply(at, k, PeerLoad{Peer: fmt.Sprint("entry-", i), Running: states[i].Running()})
					}
				}
			}
			wave := 1 + p.swing*math.Sin(2*math.Pi*((time.Duration(at)*tick).Seconds()/11+float64(i%3)/3))
			rate := p.perSecond * []float64{0.35 / 5, 0.37 / 5, 0.28 / 4}[i%3] * wave
			for due := rate * tick.Seconds(); random.Float64() < due; due-- {
				next++
				free := len(running) < len(update.Targets)
				for _, n := range running {
					free = free || n < slots
				}
				if !apply(at, i, Submit{Request: Request{ID: next, Service: testService, MaxAttempts: 2}}) && free {
					result.waited++
				}
			}
		}
		sum, squares, n := 0, 0, float64(len(update.Targets))
		for _, n := range running {
			sum, squares = sum+n, squares+n*n
		}
		result.spread += math.Sqrt(max(0, float64(squares)/n-float64(sum*sum)/n/n)) / ticks
	}
	return result
}

// The data centres get 35, 37 and 28% of the requests. Compared with the earlier locality,
// which preferred the own data centre only among targets with the same load, most requests
// stay in it, none waits while a target elsewhere has room, and targets are loaded at least
// as evenly: with a wave that moves between data centres, with few targets left in one, and
// with none.
func TestRequestsStayInTheirDataCentreWhileItHasRoom(t *testing.T) {
	c := qt.New(t)
	for _, load := range []struct {
		name string
		routers
		home float64
	}{
		{"two thirds full", routers{targets: [3]int{24, 24, 24}, perSecond: 290, duration: 1600 * time.Millisecond}, 0.95},
		{"moving wave", routers{targets: [3]int{24, 24, 24}, perSecond: 260, swing: 0.55, duration: 1600 * time.Millisecond}, 0.85},
		{"nearly full", routers{targets: [3]int{24, 24, 24}, perSecond: 400, duration: 1600 * time.Millisecond}, 0.85},
		{"few targets in one", routers{targets: [3]int{8, 24, 24}, perSecond: 175, duration: 1600 * time.Millisecond}, 0.75},
		{"no targets in one", routers{targets: [3]int{0, 24, 24}, perSecond: 200, duration: 1600 * time.Millisecond}, 0.6},
		{"few plain requests", routers{targets: [3]int{1, 1, 1}, plain: true, perSecond: 37, duration: 20 * time.Millisecond}, 0.95},
		{"many plain requests", routers{targets: [3]int{1, 1, 1}, plain: true, perSecond: 400, duration: 20 * time.Millisecond}, 0.5},
	} {
		before, after := load.play(locality{}), load.play(newLocality())
		homeBefore, homeAfter := share(before.home, len(before.order)), share(after.home, len(after.order))
		c.Logf("%s: home %.3f, now %.3f; spread %.2f, now %.2f; waited %d, now %d; over the slots %d, now %d of %d", load.name,
			homeBefore, homeAfter, before.spread, after.spread, before.waited, after.waited, before.overfull, after.overfull, len(after.order))
		c.Check(homeAfter > max(homeBefore, load.home), qt.IsTrue, qt.Commentf(load.name))
		c.Check(after.spread < 1.05*before.spread, qt.IsTrue, qt.Commentf(load.name))
		c.Check(after.overfull <= before.overfull, qt.IsTrue, qt.Commentf(load.name))
		c.Check(after.waited, qt.Equals, 0, qt.Commentf(load.name))
	}
}

// With one data centre each request goes where it went before.
func TestLocalityInOneDataCentre(t *testing.T) {
	load := routers{targets: [3]int{24, 24, 24}, perSecond: 400, duration: 1600 * time.Millisecond, oneCentre: true}
	qt.Assert(t, load.play(newLocality()).order, qt.DeepEquals, load.play(locality{}).order)
}

// A plain target that is busy, slow or failing loses to a free one in another data centre;
// one that is free does not.
func TestPlainTargetsSpillEarly(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	for name, load := range map[string]struct {
		home    target
		running int
		isHome  bool
	}{
		"free":     {running: 1, isHome: true},
		"busy":     {running: 2},
		"slow":     {home: target{timeToFirstOutput: 80 * time.Millisecond, measuredAt: now}},
		"similar":  {home: target{timeToFirstOutput: 28 * time.Millisecond, measuredAt: now}, running: 1, isHome: true},
		"was slow": {home: target{timeToFirstOutput: 80 * time.Millisecond, measuredAt: now.Add(-2 * timesMemory)}, isHome: true},
		"failing":  {home: target{failures: 0.4}},
	} {
		st := New("entry-a", "a", RetryBudget{})
		st.Reduce(now, ServiceTargets{Service: fleet.Service{Name: testService}, Targets: []fleet.Target{
			{ID: "home", DataCentre: "a", Slots: 6}, {ID: "remote", DataCentre: "b", Slots: 6},
		}})
		targets := st.service(testService).targets
		home := targets["home"]
		home.failures, home.timeToFirstOutput, home.measuredAt = load.home.failures, load.home.timeToFirstOutput, load.home.measuredAt
		targets["remote"].timeToFirstOutput = 15 * time.Millisecond
		st.Reduce(now, PeerLoad{Peer: "entry-b", Running: map[string]int{"home": load.running}})
		d := st.Reduce(now, Submit{Request: Request{ID: 1, Service: testService}})[0].(Dispatch)
		c.Check(d.Home, qt.Equals, load.isHome, qt.Commentf(name))
	}
}
