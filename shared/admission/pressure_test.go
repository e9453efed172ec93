package admission

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"chervilswitch.example/shared/fleet"

	qt "github.com/frankban/quicktest"
)

// sharedLoad applies a load to several instances that share targets and hear of each other
// every 200 ms. Each request holds a slot for about a second.
type sharedLoad struct {
	instances, targets int
	duration           time.Duration
	// kinds lists the requests that callers send.
	kinds []loadKind
	// alone switches the decisions from shared demand off.
	alone bool
	// slots returns the slots of a target at a time since the start; nil for 10.
	slots func(at time.Duration) int
	// message returns the delay of a message between two instances at a time since the
	// start, and whether it arrives; nil for none.
	message func(at time.Duration, from, to int) (time.Duration, bool)
	// paused reports that an instance does nothing; nil for never.
	paused func(at time.Duration, instance int) bool

	random *rand.Rand
	states []*State
	start  time.Time
	calls  map[time.Duration][]func(now time.Time) // By the step in which they are due.
	served map[string]*loadResult
	ids    RequestID
	active map[RequestID]activeLoad
	heard  map[[2]int]time.Time // When an instance last heard of another.
}

// loadKind is a kind of request: how many arrive each second at all instances.
type loadKind struct {
	organisation string
	priority     int
	objective    time.Duration
	perSecond    func(at time.Duration) float64
}

type activeLoad struct {
	instance int
	kind     loadKind
	result   []*loadResult
	arrived  time.Time
}

// loadResult counts what callers received.
type loadResult struct {
	sent, served int
	longestWait  time.Duration // Before a refusal.
	refused      map[Reason]int
	servedByTime map[int]int // By second.
	waited       time.Duration
	delays       time.Duration // The sum of Retry-After of the requests that gave way.
	held         int           // Requests that waited and then gave way to others.
}

func (r *loadResult) meanDelay() time.Duration {
	return r.delays / time.Duration(max(1, r.refused[LessUrgent]+r.refused[OverShare]))
}

func (r *loadResult) share() float64 { return share(r.served, r.sent) }

// loadStep is the step of time of a sharedLoad.
const loadStep = 5 * time.Millisecond

// run returns what callers received, by "priority N", organisation and "all".
func (l *sharedLoad) run(seed uint64) map[string]*loadResult {
	l.calls = make(map[time.Duration][]func(time.Time))
	l.random = rand.New(rand.NewPCG(seed, 11))
	l.start = time.Unix(9000, 0)
	l.heard = make(map[[2]int]time.Time)
	l.served, l.active = make(map[string]*loadResult), make(map[RequestID]activeLoad)
	var targets []fleet.Target
	for i := range l.targets {
		targets = append(targets, fleet.Target{ID: fmt.Sprintf("t%02d", i), Service: testService, DataCentre: "a", Slots: l.slotsAt(0)})
	}
	l.states = newStates(l.instances, fleet.Service{Name: testService}, targets...)
	if l.alone {
		for _, st := range l.states {
			st.service(testService).pressure.at = l.start.Add(24 * time.Hour)
		}
	}
	for from := range l.states {
		l.at(time.Duration(from)*200*time.Millisecond/time.Duration(l.instances), func(now time.Time) { l.exchange(now, from) })
	}
	slots := l.slotsAt(0)
	for at := time.Duration(0); at < l.duration; at += loadStep {
		now := l.start.Add(at)
		if n := l.slotsAt(at); n != slots {
			slots = n
			for i := range targets {
				targets[i].Slots = n
			}
			for i := range l.states {
				l.reduce(now, i, ServiceTargets{Service: fleet.Service{Name: testService}, Targets: targets})
			}
		}
		for _, call := range l.calls[at] {
			call(now)
		}
		delete(l.calls, at)
		for _, k := range l.kinds {
			for expected := k.perSecond(at) * loadStep.Seconds(); expected > 0; expected-- {
				if l.random.Float64() < expected {
					l.submit(now, l.random.IntN(l.instances), k)
				}
			}
		}
		if at%(25*time.Millisecond) == 0 {
			for i := range l.states {
				if !l.isPaused(now, i) {
					l.reduce(now, i, Tick{})
				}
			}
		}
	}
	return l.served
}

func (l *sharedLoad) slotsAt(at time.Duration) int {
	if l.slots == nil {
		return 10
	}
	return l.slots(at)
}

func (l *sharedLoad) isPaused(now time.Time, instance int) bool {
	return l.paused != nil && l.paused(now.Sub(l.start), instance)
}

func (l *sharedLoad) at(at time.Duration, call func(now time.Time)) {
	due := at.Truncate(loadStep) + loadStep
	l.calls[due] = append(l.calls[due], call)
}

// exchange sends an instance's state to all others and repeats that every 200 ms.
func (l *sharedLoad) exchange(now time.Time, from int) {
	l.at(now.Sub(l.start)+200*time.Millisecond, func(now time.Time) { l.exchange(now, from) })
	if l.isPaused(now, from) {
		return
	}
	for other := range l.states {
		if heard := l.heard[[2]int{from, other}]; !heard.IsZero() && now.Sub(heard) > 1500*time.Millisecond {
			delete(l.heard, [2]int{from, other})
			l.reduce(now, from, PeerLost{Peer: fmt.Sprint(other)})
		}
	}
	name := fmt.Sprint(from)
	load := PeerLoad{Peer: name, Running: l.states[from].Running()}
	demand := PeerDemand{Peer: name, Services: l.states[from].Demand(now)}
	for to := range l.states {
		delay, arrives := time.Duration(0), true
		if l.message != nil {
			delay, arrives = l.message(now.Sub(l.start), from, to)
		}
		if to == from || !arrives || l.isPaused(now, to) {
			continue
		}
		l.at(now.Sub(l.start)+delay, func(now time.Time) {
			l.heard[[2]int{to, from}] = now
			l.reduce(now, to, PeerLoad{Peer: name, Running: maps.Clone(load.Running)})
			l.reduce(now, to, demand)
		})
	}
}

func (l *sharedLoad) submit(now time.Time, instance int, k loadKind) {
	var results []*loadResult
	for _, name := range []string{fmt.Sprintf("priority %d", k.priority), k.organisation, "all"} {
		r, ok := l.served[name]
		if !ok {
			r = &loadResult{refused: make(map[Reason]int), servedByTime: make(map[int]int)}
			l.served[name] = r
		}
		r.sent++
		results = append(results, r)
	}
	if l.isPaused(now, instance) {
		instance = (instance + 1) % l.instances
	}
	l.ids++
	l.active[l.ids] = activeLoad{instance: instance, kind: k, result: results, arrived: now}
	l.reduce(now, instance, Submit{Request: Request{
		ID: l.ids, Service: testService, Organisation: k.organisation, Priority: k.priority, Objective: k.objective,
		Deadline: now.Add(8 * time.Second), MaxAttempts: 2,
	}})
}

func (l *sharedLoad) reduce(now time.Time, instance int, e Event) {
	for _, effect := range l.states[instance].Reduce(now, e) {
		switch d := effect.(type) {
		case Dispatch:
			for _, r := range l.active[d.ID].result {
				r.served++
				r.waited += d.Waited
				r.servedByTime[int(now.Sub(l.start).Seconds())]++
			}
			hold := time.Duration((0.5 + l.random.Float64()) * float64(time.Second))
			l.at(now.Sub(l.start)+hold, func(now time.Time) {
				delete(l.active, d.ID)
				l.reduce(now, instance, Finish{ID: d.ID})
			})
		case Refuse:
			a := l.active[d.ID]
			delete(l.active, d.ID)
			for _, r := range a.result {
				r.refused[d.Reason]++
				if d.Reason == LessUrgent || d.Reason == OverShare {
					r.delays += d.RetryAfter
					if now.After(a.arrived) {
						r.held++
					}
				}
				r.longestWait = max(r.longestWait, now.Sub(a.arrived))
			}
		}
	}
}

// servedBetween returns how many requests were served in some seconds since the start.
func (r *loadResult) servedBetween(from, to int) (sum int) {
	for second := from; second < to; second++ {
		sum += r.servedByTime[second]
	}
	return sum
}

// threePriorities returns kinds of request that are more urgent the less time they have. All
// of them have the same rate, of perSecond together.
func threePriorities(perSecond float64) []loadKind {
	return []loadKind{
		{priority: 0, objective: 400 * time.Millisecond, perSecond: steady(perSecond / 3)},
		{priority: 1, objective: 400 * time.Millisecond, perSecond: steady(perSecond / 3)},
		{priority: 2, objective: 800 * time.Millisecond, perSecond: steady(perSecond / 3)},
	}
}

func logLoad(t *testing.T, name string, results map[string]*loadResult) {
	for _, key := range slices.Sorted(maps.Keys(results)) {
		r := results[key]
		t.Logf("%s: %-12s sent %6d served %.3f longest wait for a refusal %s mean wait %s refused %v", name, key, r.sent, r.share(), r.longestWait, (r.waited / time.Duration(max(1, r.served))).Round(time.Millisecond), r.refused)
	}
}

// Twice the capacity for 60 s, of three priorities of which the most urgent has the least
// time: the more urgent a request, the more often it is served; none starves; the room is
// used as well as without the shared demand.
func TestUrgentRequestsAreServedFirstByAllInstances(t *testing.T) {
	for _, instances := range []int{1, 6, 14} {
		c := qt.New(t)
		load := sharedLoad{instances: instances, targets: 12, duration: 60 * time.Second, kinds: threePriorities(240)}
		shared := load.run(1)
		load.alone = true
		alone := load.run(1)
		logLoad(t, fmt.Sprintf("%d shared", instances), shared)
		logLoad(t, fmt.Sprintf("%d alone ", instances), alone)
		mean := shared["all"].share()
		c.Check(shared["priority 0"].share() >= 0.95, qt.IsTrue)
		c.Check(shared["priority 0"].share() >= shared["priority 1"].share(), qt.IsTrue)
		c.Check(shared["priority 1"].share() >= shared["priority 2"].share()-0.02, qt.IsTrue)
		c.Check(shared["priority 2"].share() >= 0.4*mean, qt.IsTrue)
		c.Check(shared["all"].held, qt.Equals, 0)
		c.Check(shared["priority 1"].meanDelay() < shared["priority 2"].meanDelay(), qt.IsTrue)
		c.Check(mean >= 0.97*0.5, qt.IsTrue) // The slots are enough for half of all.
		if instances > 1 {                   // One instance alone has strict priorities, and starves the last.
			c.Check(shared["priority 0"].share() >= alone["priority 0"].share(), qt.IsTrue)
		}
	}
}

// organisations returns kinds of request of ten organisations with the same rate, the first
// of which sends factor times as many from 10 s on.
func organisations(perSecond, factor float64) []loadKind {
	var kinds []loadKind
	for i := range 10 {
		kinds = append(kinds, loadKind{organisation: fmt.Sprintf("org-%d", i), priority: 1, objective: 500 * time.Millisecond, perSecond: func(at time.Duration) float64 {
			if i == 0 && at >= 10*time.Second {
				return factor * perSecond / 10
			}
			return perSecond / 10
		}})
	}
	return kinds
}

// othersShare returns the served share of all organisations but the first.
func othersShare(results map[string]*loadResult) float64 {
	served, sent := 0, 0
	for i := 1; i < 10; i++ {
		r := results[fmt.Sprintf("org-%d", i)]
		served, sent = served+r.served, sent+r.sent
	}
	return share(served, sent)
}

// One organisation sends ten times its usual, which is what each of nine others does, together nearly twice the
// capacity: the others are served nearly always, and the flood keeps half of the mean chance.
func TestFloodOfAnOrganisationIsHeldToItsShareByAllInstances(t *testing.T) {
	for _, instances := range []int{1, 6, 14} {
		c := qt.New(t)
		load := sharedLoad{instances: instances, targets: 12, duration: 60 * time.Second, kinds: organisations(120, 10)}
		shared := load.run(2)
		load.alone = true
		alone := load.run(2)
		logLoad(t, fmt.Sprintf("%d shared", instances), shared)
		mean := shared["all"].share()
		t.Logf("%d instances: others %.3f (alone %.3f), flood %.3f (alone %.3f), all %.3f (alone %.3f)", instances,
			othersShare(shared), othersShare(alone), shared["org-0"].share(), alone["org-0"].share(), mean, alone["all"].share())
		c.Check(othersShare(shared) >= 0.7, qt.IsTrue)
		c.Check(othersShare(shared) >= othersShare(alone)-0.03, qt.IsTrue)
		c.Check(shared["org-0"].share() >= mean/4, qt.IsTrue)
		if instances > 1 { // One instance's queue gives each organisation the same turns.
			c.Check(shared["org-0"].share() >= 0.45*mean, qt.IsTrue)
		}
		c.Check(mean >= 0.97*120/228, qt.IsTrue)
	}
}

// Half of the slots are gone for 20 s: then the most urgent are served, and afterwards all.
func TestUrgentRequestsAreServedWhileHalfOfTheRoomIsGone(t *testing.T) {
	c := qt.New(t)
	load := sharedLoad{instances: 8, targets: 12, duration: 60 * time.Second, kinds: threePriorities(100), slots: func(at time.Duration) int {
		if at >= 20*time.Second && at < 40*time.Second {
			return 5
		}
		return 10
	}}
	shared := load.run(3)
	load.alone = true
	alone := load.run(3)
	logLoad(t, "shared", shared)
	logLoad(t, "alone ", alone)
	least := func(results map[string]*loadResult, key string, from, to int) float64 {
		return float64(results[key].servedBetween(from, to)) / (100.0 / 3 * float64(to-from))
	}
	for _, span := range [][2]int{{5, 20}, {22, 40}, {42, 60}} {
		t.Logf("%d to %d s: shared %.3f %.3f %.3f, alone %.3f %.3f %.3f", span[0], span[1],
			least(shared, "priority 0", span[0], span[1]), least(shared, "priority 1", span[0], span[1]), least(shared, "priority 2", span[0], span[1]),
			least(alone, "priority 0", span[0], span[1]), least(alone, "priority 1", span[0], span[1]), least(alone, "priority 2", span[0], span[1]))
	}
	c.Check(shared["priority 0"].share() >= 0.96, qt.IsTrue)
	c.Check(shared["priority 2"].share() >= shared["all"].share()/4, qt.IsTrue)
	c.Check(least(shared, "priority 2", 42, 60) >= 0.9, qt.IsTrue)
}

// Twice the capacity while one instance fails in a way: what the callers get at the others
// stays in order, and no room is lost.
func TestSharedDemandSurvivesFailures(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 4))
	within := func(at time.Duration) bool { return at >= 10*time.Second && at < 20*time.Second }
	for _, row := range []struct {
		name    string
		message func(at time.Duration, from, to int) (time.Duration, bool)
		paused  func(at time.Duration, instance int) bool
	}{
		{name: "instance paused and back", paused: func(at time.Duration, instance int) bool { return instance == 0 && within(at) }},
		{name: "instance gone", paused: func(at time.Duration, instance int) bool { return instance == 0 && at >= 10*time.Second }},
		{name: "instance cut off", message: func(at time.Duration, from, to int) (time.Duration, bool) {
			return 0, !within(at) || from != 0 && to != 0
		}},
		{name: "messages lost and reordered", message: func(time.Duration, int, int) (time.Duration, bool) {
			return time.Duration(random.Float64() * float64(600*time.Millisecond)), random.Float64() > 0.3
		}},
	} {
		c := qt.New(t)
		load := sharedLoad{instances: 8, targets: 12, duration: 30 * time.Second, kinds: threePriorities(240), message: row.message, paused: row.paused}
		results := load.run(5)
		logLoad(t, row.name, results)
		c.Check(results["priority 0"].share() >= 0.9, qt.IsTrue, qt.Commentf(row.name))
		c.Check(results["priority 1"].share() >= results["priority 2"].share()-0.03, qt.IsTrue, qt.Commentf(row.name))
		c.Check(results["priority 2"].share() >= results["all"].share()/4, qt.IsTrue, qt.Commentf(row.name))
		c.Check(results["all"].share() >= 0.95*0.5, qt.IsTrue, qt.Commentf(row.name))
	}
}

// The least urgent requests get all room that more urgent ones don't need, and nobody's share
// is held while there is room.
func TestUnusedRoomIsLent(t *testing.T) {
	c := qt.New(t)
	urgent := threePriorities(30)[0]
	flood := loadKind{organisation: "large", priority: 2, objective: 800 * time.Millisecond, perSecond: steady(200)}
	small := loadKind{organisation: "small", priority: 2, objective: 800 * time.Millisecond, perSecond: func(at time.Duration) float64 {
		if at < 30*time.Second {
			return 0
		}
		return 40
	}}
	load := sharedLoad{instances: 8, targets: 12, duration: 60 * time.Second, kinds: []loadKind{urgent, flood, small}}
	results := load.run(6)
	logLoad(t, "lent", results)
	t.Logf("large: %d in 20 s alone, small: %d of 40 in the first second, %d of 1160 after it", results["large"].servedBetween(8, 28), results["small"].servedBetween(30, 31), results["small"].servedBetween(31, 60))
	c.Check(results["priority 0"].share() >= 0.95, qt.IsTrue)
	c.Check(results["large"].servedBetween(8, 28) >= 20*100, qt.IsTrue) // Of 110 left a second.
	c.Check(results["small"].servedBetween(31, 60) >= 29*40*7/10, qt.IsTrue)
}

// Loads of random priorities, rates, objectives and numbers of instances: more urgent requests
// are served at least as often, no priority starves, and room is not left unused.
func TestSharedDemandKeepsItsPropertiesUnderRandomLoads(t *testing.T) {
	for seed := range uint64(12) {
		random := rand.New(rand.NewPCG(seed, 3))
		load := sharedLoad{instances: 1 + random.IntN(12), targets: 6 + random.IntN(8), duration: 30 * time.Second}
		sum, step := 0.0, 1+random.IntN(3)
		for i := range 2 + random.IntN(3) {
			rate := 10 + 70*random.Float64()
			sum += rate
			load.kinds = append(load.kinds, loadKind{
				priority: i * step, objective: time.Duration(300+random.IntN(700)) * time.Millisecond, perSecond: steady(rate),
			})
		}
		results := load.run(seed)
		comment := qt.Commentf("seed %d: %d instances, %.0f requests a second, %d targets", seed, load.instances, sum, load.targets)
		logLoad(t, fmt.Sprintf("seed %d", seed), results)
		c := qt.New(t)
		all, before := results["all"], 1.0
		c.Check(float64(all.served) >= 0.93*min(float64(all.sent), 10*float64(load.targets)*load.duration.Seconds()), qt.IsTrue, comment)
		for _, k := range load.kinds {
			served := results[fmt.Sprintf("priority %d", k.priority)].share()
			c.Check(served <= before+0.05, qt.IsTrue, comment)
			c.Check(served >= all.share()/4, qt.IsTrue, comment)
			before = served
		}
	}
}

// Requests of one priority without organisations, at twice the capacity, and requests of three
// priorities that all find room, are served exactly as without shared demand.
func TestSharedDemandChangesNothingWhereItDoesNotApply(t *testing.T) {
	same := threePriorities(240)[:1]
	same[0].perSecond = steady(240)
	for _, kinds := range [][]loadKind{same, threePriorities(90)} {
		load := sharedLoad{instances: 4, targets: 12, duration: 20 * time.Second, kinds: kinds}
		shared := load.run(7)
		load.alone = true
		alone := load.run(7)
		for name, r := range alone {
			qt.Check(t, []int{shared[name].sent, shared[name].served}, qt.DeepEquals, []int{r.sent, r.served})
			qt.Check(t, shared[name].refused, qt.DeepEquals, r.refused)
		}
	}
}

// Organisations of very different regular demand all send twice as much: none of them floods, so
// none is held to a share, and the largest are served as often as the smallest.
func TestBurstOfAllOrganisationsHoldsNoneOfThem(t *testing.T) {
	c := qt.New(t)
	var kinds []loadKind
	sum := 0.0
	for i := range 24 {
		sum += math.Pow(float64(i+1), -1.2)
	}
	for i := range 24 {
		rate := 80 / sum * math.Pow(float64(i+1), -1.2)
		kinds = append(kinds, loadKind{organisation: fmt.Sprintf("org-%d", i), objective: 500 * time.Millisecond, perSecond: func(at time.Duration) float64 {
			if at >= 5*time.Second {
				return 2 * rate
			}
			return rate
		}})
	}
	load := sharedLoad{instances: 10, targets: 11, duration: 30 * time.Second, kinds: kinds}
	results := load.run(8)
	logLoad(t, "burst", results)
	all := results["all"]
	c.Check(all.refused[OverShare] <= (all.sent-all.served)/20, qt.IsTrue)
	c.Check(math.Abs(results["org-0"].share()-all.share()) <= 0.1, qt.IsTrue)
}
