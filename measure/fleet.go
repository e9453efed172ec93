package main

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"chervilswitch.example/shared/control"
	"chervilswitch.example/shared/operator"
	"chervilswitch.example/shared/platform"
)

// The fleet is small fakes at the reducers' interfaces in virtual time: callers
// that send, targets that serve, and a network with one delay. It decides nothing.
const (
	fleetEntries  = 4
	fleetTargets  = 12
	fleetCold     = 4
	fleetWarm     = 16
	networkDelay  = time.Millisecond
	prefillTime   = 20 * time.Millisecond
	decodeTime    = 400 * time.Millisecond
	warmedBy      = 4
	coldFactor    = 3
	fleetReports  = 100 * time.Millisecond
	fleetAsks     = 500 * time.Millisecond
	fleetTicks    = 50 * time.Millisecond
	cachedEntries = 6
	inTime        = 300 * time.Millisecond
	fleetService  = "assistant"
)

// chooser is how requests find targets. The set is closed.
type chooser interface{ chooser() }

type (
	// roundRobin takes targets in turn.
	roundRobin struct{}
	// leastReported takes the target with the least load in the newest report.
	leastReported struct{}
	// powerOfTwo takes the less loaded of two at random, by reports.
	powerOfTwo struct{}
	// prefixHash sends each prefix to one target.
	prefixHash struct{}
	// reducers are the real entries and agents.
	reducers struct{}
)

func (roundRobin) chooser()    {}
func (leastReported) chooser() {}
func (powerOfTwo) chooser()    {}
func (prefixHash) chooser()    {}
func (reducers) chooser()      {}

// choosers lists what is compared, by name.
var choosers = []struct {
	name string
	kind chooser
}{
	{"roundRobin", roundRobin{}}, {"leastReported", leastReported{}}, {"powerOfTwo", powerOfTwo{}},
	{"prefixHash", prefixHash{}}, {"ours", reducers{}},
}

// call is one request of a caller.
type call struct {
	id           control.RequestID
	organisation string
	prefix       uint64
	sentAt       time.Duration
	triedAt      time.Duration
	firstAt      time.Duration
	attempts     int
	tries        int
	refused      bool
	failed       bool
	entry        int
	priority     int
}

// fakeTarget prefills one prompt at a time and then decodes beside the others.
type fakeTarget struct {
	name     string
	boot     int
	served   int
	slow     float64
	dead     bool
	running  int
	laneFree time.Duration
	cached   []uint64
	overload int
	reported int
}

// happening is something that happens at a time.
type happening struct {
	at    time.Duration
	order int
	do    func()
}

type agenda []happening

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if a[i].at != a[j].at {
		return a[i].at < a[j].at
	}
	return a[i].order < a[j].order
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push and Pop serve container/heap.
func (a *agenda) Push(x any) { *a = append(*a, x.(happening)) }

// Pop takes the last happening.
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// fleet is one run.
type fleet struct {
	kind    chooser
	random  *rand.Rand
	now     time.Duration
	agenda  agenda
	order   int
	targets []*fakeTarget
	calls   map[control.RequestID]*call
	done    []*call
	next    int
	// retries is how often callers send again what was refused or failed.
	retries int

	entries []*control.State
	agents  []*control.State
	// attempts finds the call of an attempt, and the attempt's target.
	attempts map[control.AttemptID]*call
	hits     int
	sent     int
}

// epoch is the virtual time zero.
var epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func newFleet(kind chooser, seed uint64) *fleet {
	f := &fleet{
		kind: kind, random: rand.New(rand.NewPCG(seed, 7)),
		calls: make(map[control.RequestID]*call), attempts: make(map[control.AttemptID]*call),
	}
	for i := range fleetTargets {
		f.targets = append(f.targets, &fakeTarget{name: fmt.Sprintf("replica-%02d", i), boot: 1, served: warmedBy, slow: 1})
	}
	if _, ok := kind.(reducers); ok {
		f.startReducers()
	}
	f.every(fleetReports, f.report)
	return f
}

func (f *fleet) after(d time.Duration, do func()) {
	f.order++
	heap.Push(&f.agenda, happening{at: f.now + d, order: f.order, do: do})
}

func (f *fleet) every(d time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		f.after(d, again)
	}
	f.after(0, again)
}

// run lets virtual time pass.
func (f *fleet) run(until time.Duration) {
	for len(f.agenda) > 0 && f.agenda[0].at <= until {
		h := heap.Pop(&f.agenda).(happening)
		f.now = h.at
		h.do()
	}
	f.now = until
}

// offer sends calls at a mean rate until a time, from organisations of which
// two are large.
func (f *fleet) offer(rate float64, until time.Duration) {
	var again func()
	again = func() {
		if f.now >= until {
			return
		}
		f.newCall()
		f.after(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), again)
	}
	f.after(0, again)
}

func (f *fleet) newCall() {
	f.next++
	c := &call{id: control.RequestID(fmt.Sprint("r/", f.next)), sentAt: f.now, entry: f.random.IntN(fleetEntries)}
	if f.random.Float64() < 0.8 {
		large := f.random.IntN(2)
		c.organisation, c.prefix = fmt.Sprint("large-", large), uint64(1+large*4+f.random.IntN(4))
	} else {
		small := f.random.IntN(8)
		c.organisation, c.prefix = fmt.Sprint("small-", small), uint64(100+small*20+f.random.IntN(20))
	}
	f.calls[c.id] = c
	f.submit(c)
}

// submit sends a call for the first or a later time.
func (f *fleet) submit(c *call) {
	c.tries++
	c.triedAt = f.now
	c.refused, c.failed = false, false
	if _, ok := f.kind.(reducers); ok {
		f.after(networkDelay, func() { f.arrive(c) })
		return
	}
	c.attempts++
	f.sent++
	target := f.pick(c)
	f.after(2*networkDelay, func() { f.serve(c, target, nil) })
}

// pick chooses by a baseline's rule.
func (f *fleet) pick(c *call) *fakeTarget {
	random := func() *fakeTarget { return f.targets[f.random.IntN(len(f.targets))] }
	switch f.kind.(type) {
	case roundRobin:
		return f.targets[f.sent%len(f.targets)]
	case leastReported:
		best := f.targets[0]
		for _, t := range f.targets {
			if t.reported < best.reported {
				best = t
			}
		}
		return best
	case powerOfTwo:
		a, b := random(), random()
		if b.reported < a.reported {
			return b
		}
		return a
	}
	return f.targets[c.prefix*2654435761%uint64(len(f.targets))]
}

// serve runs a call at a target; told hears of the first output and the end.
func (f *fleet) serve(c *call, t *fakeTarget, told func(first bool, failed bool)) {
	if t.dead {
		f.finish(c, true, told)
		return
	}
	if t.served < warmedBy && t.running >= fleetCold {
		t.overload++
	}
	boot := t.boot
	t.running++
	prefill := time.Duration(t.slow * float64(prefillTime))
	if t.hit(c.prefix) {
		f.hits++
		prefill /= 2
	}
	if t.served < warmedBy {
		prefill *= coldFactor
	}
	t.laneFree = max(t.laneFree, f.now) + prefill
	f.after(t.laneFree-f.now, func() { f.produce(c, t, boot, told) })
}

// hit looks a prefix up and keeps it as the newest.
func (t *fakeTarget) hit(prefix uint64) bool {
	found := false
	for i, p := range t.cached {
		if p == prefix {
			t.cached = append(t.cached[:i], t.cached[i+1:]...)
			found = true
			break
		}
	}
	t.cached = append(t.cached, prefix)
	if len(t.cached) > cachedEntries {
		t.cached = t.cached[1:]
	}
	return found
}

func (f *fleet) produce(c *call, t *fakeTarget, boot int, told func(first, failed bool)) {
	if t.dead || t.boot != boot {
		f.finish(c, true, told)
		return
	}
	if told != nil {
		told(true, false)
	}
	if c.firstAt == 0 {
		c.firstAt = f.now + 2*networkDelay
	}
	f.after(time.Duration(t.slow*float64(decodeTime)), func() {
		lost := t.dead || t.boot != boot
		if !lost {
			t.running--
			t.served++
		}
		f.finish(c, lost, told)
	})
}

func (f *fleet) finish(c *call, failed bool, told func(first, failed bool)) {
	if told != nil {
		told(false, failed)
		return
	}
	c.failed = failed
	f.end(c)
}

// end closes a call, or sends it again if the caller does so.
func (f *fleet) end(c *call) {
	if (c.failed || c.refused) && c.tries <= f.retries {
		wait := 50*time.Millisecond + time.Duration(f.random.IntN(100))*time.Millisecond
		if c.refused {
			wait += time.Second // The refusal says when to come again.
		}
		f.after(wait, func() { f.submit(c) })
		return
	}
	delete(f.calls, c.id)
	f.done = append(f.done, c)
}

func (f *fleet) restart(i int) {
	t := f.targets[i]
	t.boot++
	t.served, t.running, t.laneFree, t.cached, t.dead = 0, 0, 0, nil, false
}

// report makes the targets' counts known, late.
func (f *fleet) report() {
	for i, t := range f.targets {
		running, boot, cold, dead := t.running, t.boot, t.served < warmedBy, t.dead
		f.after(200*time.Millisecond, func() {
			t.reported = running
			if dead {
				t.reported = 1 << 20 // Health checks leave it out.
			}
			if len(f.agents) > 0 && !dead {
				f.tell(i, control.TargetReport{Boot: fmt.Sprint(boot), Running: running, Cold: cold})
			}
		})
	}
}

// startReducers builds the real control states.
func (f *fleet) startReducers() {
	v := inventoryOf(0, fleetEntries, 0)
	v.Services = map[string]operator.Service{fleetService: {Kind: operator.KindModel, Models: []string{"m"}, ColdLimit: fleetCold, WarmLimit: fleetWarm}}
	for i, t := range f.targets {
		v.Instances[t.name] = operator.Instance{DataCentre: fmt.Sprint("dc-", i%3), Role: operator.RoleAgent, Peer: v.Instances["entry-000"].Peer, Service: fleetService}
	}
	record := changeRecord("all", 0, v.Edits())
	start := func(name, service string, role operator.Role) *control.State {
		s := control.NewState(control.Identity{Instance: name, DataCentre: v.Instances[name].DataCentre, Role: role, Service: service, Incarnation: 1})
		f.page(s, []platform.Record{record})
		return s
	}
	for i := range fleetEntries {
		f.entries = append(f.entries, start(fmt.Sprintf("entry-%03d", i), "", operator.RoleEntry))
	}
	for _, t := range f.targets {
		f.agents = append(f.agents, start(t.name, fleetService, operator.RoleAgent))
	}
	f.every(fleetTicks, f.tick)
	f.every(fleetAsks, f.askAll)
}

func (f *fleet) page(s *control.State, records []platform.Record) {
	at := epoch.Add(f.now)
	s.Reduce(at, control.LogPage{Stream: platform.ConfigStream, RequestedAt: at, Page: platform.Page{Records: records, First: 1, Next: 2}})
}

func (f *fleet) tick() {
	for i, s := range f.entries {
		f.page(s, nil)
		f.obeyEntry(i, s.Reduce(epoch.Add(f.now), control.Tick{}))
	}
	for i, s := range f.agents {
		f.page(s, nil)
		f.tell(i, control.Tick{})
	}
}

// askAll lets entries and agents hear of each other.
func (f *fleet) askAll() {
	at := epoch.Add(f.now)
	for i, e := range f.entries {
		for j, a := range f.agents {
			if f.targets[j].dead {
				continue
			}
			a.Reduce(at, control.HeartbeatReceived{RequestedAt: at, Beat: e.Beat(at)})
			f.obeyEntry(i, e.Reduce(at, control.HeartbeatReceived{RequestedAt: at, Beat: a.Beat(at)}))
		}
	}
}

func (f *fleet) arrive(c *call) {
	f.calls[c.id] = c
	request := control.Request{
		ID: c.id, Organisation: c.organisation, Service: fleetService, Idempotent: true, Replayable: true,
		Prefix: c.prefix, Priority: c.priority,
	}
	f.obeyEntry(c.entry, f.entries[c.entry].Reduce(epoch.Add(f.now), control.RequestArrived{Request: request}))
}

func (f *fleet) obeyEntry(entry int, effects []control.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case control.Forward:
			f.forward(entry, e)
		case control.Fail:
			c := f.calls[e.Request]
			c.refused, c.failed = e.Failure.Outcome == control.OutcomeNotRun, e.Failure.Outcome != control.OutcomeNotRun
			f.end(c)
		}
	}
}

func (f *fleet) forward(entry int, e control.Forward) {
	c := f.calls[e.Request]
	c.attempts++
	f.sent++
	f.attempts[e.Attempt] = c
	for i, t := range f.targets {
		if t.name != e.Target {
			continue
		}
		if t.dead {
			f.after(networkDelay, func() {
				f.answer(entry, e, control.Verdict{Outcome: control.OutcomeNotRun, Code: control.CodeLinkLost}, i)
			})
			return
		}
		f.after(networkDelay, func() {
			f.tell(i, control.AttemptSubmitted{Submission: control.Submission{Attempt: e.Attempt, Incarnation: e.Incarnation, Idempotent: true}})
		})
	}
}

func (f *fleet) answer(entry int, e control.Forward, v control.Verdict, target int) {
	load := f.agents[target].Load()
	f.obeyEntry(entry, f.entries[entry].Reduce(epoch.Add(f.now), control.VerdictReceived{Request: e.Request, Attempt: e.Attempt, Verdict: v, Load: load}))
}

// tell gives an agent an event and does what it wants.
func (f *fleet) tell(agent int, event control.Event) {
	for _, effect := range f.agents[agent].Reduce(epoch.Add(f.now), event) {
		switch e := effect.(type) {
		case control.Run:
			f.runAttempt(agent, e.Attempt)
		case control.Refuse:
			f.tellVerdict(agent, e.Attempt, e.Verdict)
		}
	}
}

func (f *fleet) tellVerdict(agent int, id control.AttemptID, v control.Verdict) {
	c := f.attempts[id]
	f.after(networkDelay, func() {
		f.answer(c.entry, control.Forward{Request: c.id, Attempt: id}, v, agent)
	})
}

func (f *fleet) runAttempt(agent int, id control.AttemptID) {
	c, t := f.attempts[id], f.targets[agent]
	boot, started := t.boot, f.now
	f.tellVerdict(agent, id, control.Verdict{Outcome: control.OutcomeAdmitted})
	f.serve(c, t, func(first, failed bool) {
		if first {
			f.tell(agent, control.TargetFirstOutput{Attempt: id, Latency: f.now - started, Boot: fmt.Sprint(boot)})
			f.obeyEntry(c.entry, f.entries[c.entry].Reduce(epoch.Add(f.now), control.AttemptFirstOutput{Request: c.id, Attempt: id}))
			return
		}
		f.tell(agent, control.TargetFinished{Attempt: id, Failed: failed})
		f.after(networkDelay, func() { f.attemptOver(agent, c, id, failed) })
	})
}

func (f *fleet) attemptOver(agent int, c *call, id control.AttemptID, failed bool) {
	if failed {
		f.answer(c.entry, control.Forward{Request: c.id, Attempt: id}, control.Verdict{Outcome: control.OutcomeUnknown, Code: control.CodeTargetLost}, agent)
		return
	}
	ended := control.AttemptEnded{Request: c.id, Attempt: id, Load: f.agents[agent].Load()}
	f.obeyEntry(c.entry, f.entries[c.entry].Reduce(epoch.Add(f.now), ended))
	f.end(c)
}
