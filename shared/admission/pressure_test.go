package admission

import (
	"fmt"
	"maps"
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
	calls  []timedCall
	served map[string]*loadResult
	ids    RequestID
	active map[RequestID]activeLoad
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
}

func (r *loadResult) share() float64 { return share(r.served, r.sent) }

type timedCall struct {
	at   time.Time
	call func()
}

// run returns what callers received, by "priority N", organisation and "all".
func (l *sharedLoad) run(seed uint64) map[string]*loadResult {
	const step = 5 * time.Millisecond
	l.random = rand.New(rand.NewPCG(seed, 11))
	l.start = time.Unix(9000, 0)
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
	for at := time.Duration(0); at < l.duration; at += step {
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
		l.callDue(now)
		for _, k := range l.kinds {
			for expected := k.perSecond(at) * step.Seconds(); expected > 0; expected-- {
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
	when := l.start.Add(at)
	l.calls = append(l.calls, timedCall{at: when, call: func() { call(when) }})
}

func (l *sharedLoad) callDue(now time.Time) {
	due := l.calls
	l.calls = nil
	var later []timedCall
	slices.SortStableFunc(due, func(a, b timedCall) int { return a.at.Compare(b.at) })
	for _, c := range due {
		if c.at.After(now) {
			later = append(later, c)
			continue
		}
		c.call()
	}
	l.calls = append(l.calls, later...)
}

// exchange sends an instance's state to all others and repeats that every 200 ms.
func (l *sharedLoad) exchange(now time.Time, from int) {
	l.at(now.Sub(l.start)+200*time.Millisecond, func(now time.Time) { l.exchange(now, from) })
	if l.isPaused(now, from) {
		return
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
		c.Check(mean >= 0.97*0.5, qt.IsTrue) // The slots are enough for half of all.
		c.Check(shared["priority 0"].share() >= alone["priority 0"].share()-0.03, qt.IsTrue)
	}
}
