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

// Parameters of the simulated fleet. It runs in virtual time and includes callers,
// targets, and a network with a constant delay. The policy under test makes all
// decisions.
const (
	fleetEntries           = 4
	fleetTargets           = 12
	fleetColdLimit         = 4
	fleetWarmLimit         = 16
	networkDelay           = time.Millisecond
	prefillTime            = 20 * time.Millisecond
	decodeTime             = 400 * time.Millisecond
	warmAfterRequests      = 4
	coldPrefillFactor      = 3
	fleetReportInterval    = 100 * time.Millisecond
	fleetHeartbeatInterval = 500 * time.Millisecond
	fleetTickInterval      = 50 * time.Millisecond
	cachedPrefixes         = 6
	firstTokenObjective    = 300 * time.Millisecond
	fleetService           = "assistant"
)

// targetPolicy selects the target of a request. Only the types below implement it.
type targetPolicy interface{ targetPolicy() }

type (
	// roundRobin selects the targets in turn.
	roundRobin struct{}
	// leastReported selects the target with the least load according to its last report.
	leastReported struct{}
	// powerOfTwo selects the less loaded of two random targets, by their last reports.
	powerOfTwo struct{}
	// prefixHash selects the target by a hash of the prefix.
	prefixHash struct{}
	// reducers uses the production reducers of entries and agents.
	reducers struct{}
)

func (roundRobin) targetPolicy()    {}
func (leastReported) targetPolicy() {}
func (powerOfTwo) targetPolicy()    {}
func (prefixHash) targetPolicy()    {}
func (reducers) targetPolicy()      {}

// targetPolicies lists the policies under comparison.
var targetPolicies = []struct {
	name   string
	policy targetPolicy
}{
	{"roundRobin", roundRobin{}}, {"leastReported", leastReported{}}, {"powerOfTwo", powerOfTwo{}},
	{"prefixHash", prefixHash{}}, {"ours", reducers{}},
}

// call is one request of a caller, which may be submitted several times. Times are
// virtual; firstTokenAt is 0 before the first token.
type call struct {
	id           control.RequestID
	organisation string
	prefix       uint64
	sentAt       time.Duration
	submittedAt  time.Duration
	firstTokenAt time.Duration
	attempts     int
	submissions  int
	refused      bool
	failed       bool
	entry        int
	priority     int
}

// fakeTarget prefills one prompt at a time and decodes any number concurrently. boot
// changes at each restart. A target is cold until served reaches warmAfterRequests;
// coldOverload counts the calls that it receives beyond the cold limit while cold.
type fakeTarget struct {
	name            string
	boot            int
	served          int
	slowdown        float64
	dead            bool
	running         int
	prefillFreeAt   time.Duration
	cached          []uint64
	coldOverload    int
	reportedRunning int
}

// scheduledEvent is an action at a virtual time. Actions at the same time are executed
// in the order of sequence.
type scheduledEvent struct {
	at       time.Duration
	sequence int
	action   func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event, for container/heap.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduledEvent)) }

// Pop removes the last event, for container/heap.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// fleet is one simulation run.
type fleet struct {
	policy     targetPolicy
	random     *rand.Rand
	now        time.Duration
	eventQueue eventQueue
	sequence   int
	targets    []*fakeTarget
	calls      map[control.RequestID]*call
	done       []*call
	nextID     int
	// retries is how often a caller resubmits a refused or failed request.
	retries int

	entries []*control.State
	agents  []*control.State
	// attempts maps each attempt to its call.
	attempts   map[control.AttemptID]*call
	prefixHits int
	sent       int
}

// simulationStart is the time of day at virtual time zero.
var simulationStart = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func newFleet(policy targetPolicy, seed uint64) *fleet {
	f := &fleet{
		policy: policy, random: rand.New(rand.NewPCG(seed, 7)),
		calls: make(map[control.RequestID]*call), attempts: make(map[control.AttemptID]*call),
	}
	for i := range fleetTargets {
		f.targets = append(f.targets, &fakeTarget{name: fmt.Sprintf("replica-%02d", i), boot: 1, served: warmAfterRequests, slowdown: 1})
	}
	if _, ok := policy.(reducers); ok {
		f.startReducers()
	}
	f.every(fleetReportInterval, f.report)
	return f
}

// after schedules an action after a delay.
func (f *fleet) after(d time.Duration, action func()) {
	f.sequence++
	heap.Push(&f.eventQueue, scheduledEvent{at: f.now + d, sequence: f.sequence, action: action})
}

// every schedules an action for now and then at a fixed interval.
func (f *fleet) every(d time.Duration, action func()) {
	var again func()
	again = func() {
		action()
		f.after(d, again)
	}
	f.after(0, again)
}

// run executes all events up to a virtual time.
func (f *fleet) run(until time.Duration) {
	for len(f.eventQueue) > 0 && f.eventQueue[0].at <= until {
		event := heap.Pop(&f.eventQueue).(scheduledEvent)
		f.now = event.at
		event.action()
	}
	f.now = until
}

// generateLoad submits new calls until a virtual time, with exponentially distributed
// intervals and a mean rate in requests per second.
func (f *fleet) generateLoad(rate float64, until time.Duration) {
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

// newCall submits a new call to a random entry. Two large organisations send 80 % of the
// calls and eight small ones the rest.
func (f *fleet) newCall() {
	f.nextID++
	c := &call{id: control.RequestID(fmt.Sprint("r/", f.nextID)), sentAt: f.now, entry: f.random.IntN(fleetEntries)}
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

// submit sends a call, for the first time or again.
func (f *fleet) submit(c *call) {
	c.submissions++
	c.submittedAt = f.now
	c.refused, c.failed = false, false
	if _, ok := f.policy.(reducers); ok {
		f.after(networkDelay, func() { f.submitToEntry(c) })
		return
	}
	c.attempts++
	f.sent++
	target := f.pickTarget(c)
	f.after(2*networkDelay, func() { f.serve(c, target, nil) })
}

// pickTarget selects a target with a baseline policy. The default case is prefixHash.
func (f *fleet) pickTarget(c *call) *fakeTarget {
	random := func() *fakeTarget { return f.targets[f.random.IntN(len(f.targets))] }
	switch f.policy.(type) {
	case roundRobin:
		return f.targets[f.sent%len(f.targets)]
	case leastReported:
		best := f.targets[0]
		for _, t := range f.targets {
			if t.reportedRunning < best.reportedRunning {
				best = t
			}
		}
		return best
	case powerOfTwo:
		a, b := random(), random()
		if b.reportedRunning < a.reportedRunning {
			return b
		}
		return a
	}
	return f.targets[c.prefix*2654435761%uint64(len(f.targets))]
}

// serve runs a call at a target. If notify is set, it is called at the first token and
// at the end; otherwise the call is completed here.
func (f *fleet) serve(c *call, t *fakeTarget, notify func(first bool, failed bool)) {
	if t.dead {
		f.finishAttempt(c, true, notify)
		return
	}
	if t.served < warmAfterRequests && t.running >= fleetColdLimit {
		t.coldOverload++
	}
	boot := t.boot
	t.running++
	prefill := time.Duration(t.slowdown * float64(prefillTime))
	if t.lookupPrefix(c.prefix) {
		f.prefixHits++
		prefill /= 2
	}
	if t.served < warmAfterRequests {
		prefill *= coldPrefillFactor
	}
	t.prefillFreeAt = max(t.prefillFreeAt, f.now) + prefill
	f.after(t.prefillFreeAt-f.now, func() { f.produceFirstToken(c, t, boot, notify) })
}

// lookupPrefix reports whether a prefix is in the target's LRU cache, and adds it or
// marks it as the most recently used.
func (t *fakeTarget) lookupPrefix(prefix uint64) bool {
	found := false
	for i, p := range t.cached {
		if p == prefix {
			t.cached = append(t.cached[:i], t.cached[i+1:]...)
			found = true
			break
		}
	}
	t.cached = append(t.cached, prefix)
	if len(t.cached) > cachedPrefixes {
		t.cached = t.cached[1:]
	}
	return found
}

// produceFirstToken ends the prefill of a call and schedules the end of its decoding.
// The call fails if the target is dead or has restarted since boot.
func (f *fleet) produceFirstToken(c *call, t *fakeTarget, boot int, notify func(first, failed bool)) {
	if t.dead || t.boot != boot {
		f.finishAttempt(c, true, notify)
		return
	}
	if notify != nil {
		notify(true, false)
	}
	if c.firstTokenAt == 0 {
		c.firstTokenAt = f.now + 2*networkDelay
	}
	f.after(time.Duration(t.slowdown*float64(decodeTime)), func() {
		lost := t.dead || t.boot != boot
		if !lost {
			t.running--
			t.served++
		}
		f.finishAttempt(c, lost, notify)
	})
}

func (f *fleet) finishAttempt(c *call, failed bool, notify func(first, failed bool)) {
	if notify != nil {
		notify(false, failed)
		return
	}
	c.failed = failed
	f.completeCall(c)
}

// completeCall ends a call, or resubmits it if it did not succeed and the caller has
// retries left.
func (f *fleet) completeCall(c *call) {
	if (c.failed || c.refused) && c.submissions <= f.retries {
		wait := 50*time.Millisecond + time.Duration(f.random.IntN(100))*time.Millisecond
		if c.refused {
			wait += time.Second // A caller backs off longer after a refusal.
		}
		f.after(wait, func() { f.submit(c) })
		return
	}
	delete(f.calls, c.id)
	f.done = append(f.done, c)
}

// restart restarts a target with an empty cache.
func (f *fleet) restart(i int) {
	t := f.targets[i]
	t.boot++
	t.served, t.running, t.prefillFreeAt, t.cached, t.dead = 0, 0, 0, nil, false
}

// report delivers the targets' load reports after a delay.
func (f *fleet) report() {
	for i, t := range f.targets {
		running, boot, cold, dead := t.running, t.boot, t.served < warmAfterRequests, t.dead
		f.after(200*time.Millisecond, func() {
			t.reportedRunning = running
			if dead {
				t.reportedRunning = 1 << 20 // A health check excludes the target.
			}
			if len(f.agents) > 0 && !dead {
				f.reduceAgent(i, control.TargetReport{Boot: fmt.Sprint(boot), Running: running, Cold: cold})
			}
		})
	}
}

// startReducers creates the control states of the entries and agents, and starts their
// ticks and heartbeats.
func (f *fleet) startReducers() {
	v := newInventory(0, fleetEntries, 0)
	v.Services = map[string]operator.Service{fleetService: {Kind: operator.KindModel, Models: []string{"m"}, ColdLimit: fleetColdLimit, WarmLimit: fleetWarmLimit}}
	for i, t := range f.targets {
		v.Instances[t.name] = operator.Instance{DataCentre: fmt.Sprint("dc-", i%3), Role: operator.RoleAgent, Peer: v.Instances["entry-000"].Peer, Service: fleetService}
	}
	record := changeRecord("all", 0, v.Edits())
	start := func(name, service string, role operator.Role) *control.State {
		s := control.NewState(control.Identity{Instance: name, DataCentre: v.Instances[name].DataCentre, Role: role, Service: service, Incarnation: 1})
		f.applyLogPage(s, []platform.Record{record})
		return s
	}
	for i := range fleetEntries {
		f.entries = append(f.entries, start(fmt.Sprintf("entry-%03d", i), "", operator.RoleEntry))
	}
	for _, t := range f.targets {
		f.agents = append(f.agents, start(t.name, fleetService, operator.RoleAgent))
	}
	f.every(fleetTickInterval, f.tick)
	f.every(fleetHeartbeatInterval, f.exchangeHeartbeats)
}

// applyLogPage delivers a page of the configuration log to a state. An empty page renews
// its evidence that the log is reachable.
func (f *fleet) applyLogPage(s *control.State, records []platform.Record) {
	at := simulationStart.Add(f.now)
	s.Reduce(at, control.LogPage{Stream: platform.ConfigStream, RequestedAt: at, Page: platform.Page{Records: records, First: 1, Next: 2}})
}

func (f *fleet) tick() {
	for i, s := range f.entries {
		f.applyLogPage(s, nil)
		f.executeEntryEffects(i, s.Reduce(simulationStart.Add(f.now), control.Tick{}))
	}
	for i, s := range f.agents {
		f.applyLogPage(s, nil)
		f.reduceAgent(i, control.Tick{})
	}
}

// exchangeHeartbeats delivers the heartbeats of all entries and live agents to each
// other.
func (f *fleet) exchangeHeartbeats() {
	at := simulationStart.Add(f.now)
	for i, e := range f.entries {
		for j, a := range f.agents {
			if f.targets[j].dead {
				continue
			}
			a.Reduce(at, control.HeartbeatReceived{RequestedAt: at, Heartbeat: e.Heartbeat(at)})
			f.executeEntryEffects(i, e.Reduce(at, control.HeartbeatReceived{RequestedAt: at, Heartbeat: a.Heartbeat(at)}))
		}
	}
}

// submitToEntry delivers a call to its entry.
func (f *fleet) submitToEntry(c *call) {
	f.calls[c.id] = c
	request := control.Request{
		ID: c.id, Organisation: c.organisation, Service: fleetService, Idempotent: true, Replayable: true,
		Prefix: c.prefix, Priority: c.priority,
	}
	f.executeEntryEffects(c.entry, f.entries[c.entry].Reduce(simulationStart.Add(f.now), control.RequestArrived{Request: request}))
}

// executeEntryEffects executes the effects that an entry returned.
func (f *fleet) executeEntryEffects(entry int, effects []control.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case control.Forward:
			f.forward(entry, e)
		case control.Fail:
			c := f.calls[e.Request]
			c.refused, c.failed = e.Failure.Outcome == control.OutcomeNotRun, e.Failure.Outcome != control.OutcomeNotRun
			f.completeCall(c)
		}
	}
}

// forward sends an attempt to the agent of its target. If the target has failed, the
// entry receives a verdict with CodeLinkLost instead.
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
				f.deliverVerdict(entry, e, control.Verdict{Outcome: control.OutcomeNotRun, Code: control.CodeLinkLost}, i)
			})
			return
		}
		f.after(networkDelay, func() {
			f.reduceAgent(i, control.AttemptSubmitted{Submission: control.Submission{Attempt: e.Attempt, Incarnation: e.Incarnation, Idempotent: true}})
		})
	}
}

// deliverVerdict delivers an agent's verdict and load to an entry.
func (f *fleet) deliverVerdict(entry int, e control.Forward, v control.Verdict, target int) {
	load := f.agents[target].Load()
	f.executeEntryEffects(entry, f.entries[entry].Reduce(simulationStart.Add(f.now), control.VerdictReceived{Request: e.Request, Attempt: e.Attempt, Verdict: v, Load: load}))
}

// reduceAgent delivers an event to an agent and executes the effects.
func (f *fleet) reduceAgent(agent int, event control.Event) {
	for _, effect := range f.agents[agent].Reduce(simulationStart.Add(f.now), event) {
		switch e := effect.(type) {
		case control.Run:
			f.runAttempt(agent, e.Attempt)
		case control.Refuse:
			f.sendVerdict(agent, e.Attempt, e.Verdict)
		}
	}
}

// sendVerdict sends a verdict on an attempt from an agent to the entry.
func (f *fleet) sendVerdict(agent int, id control.AttemptID, v control.Verdict) {
	c := f.attempts[id]
	f.after(networkDelay, func() {
		f.deliverVerdict(c.entry, control.Forward{Request: c.id, Attempt: id}, v, agent)
	})
}

// runAttempt runs an admitted attempt at the agent's target and reports its progress to
// the agent and the entry.
func (f *fleet) runAttempt(agent int, id control.AttemptID) {
	c, t := f.attempts[id], f.targets[agent]
	boot, started := t.boot, f.now
	f.sendVerdict(agent, id, control.Verdict{Outcome: control.OutcomeAdmitted})
	f.serve(c, t, func(first, failed bool) {
		if first {
			f.reduceAgent(agent, control.TargetFirstOutput{Attempt: id, Latency: f.now - started, Boot: fmt.Sprint(boot)})
			f.executeEntryEffects(c.entry, f.entries[c.entry].Reduce(simulationStart.Add(f.now), control.AttemptFirstOutput{Request: c.id, Attempt: id}))
			return
		}
		f.reduceAgent(agent, control.TargetFinished{Attempt: id, Failed: failed})
		f.after(networkDelay, func() { f.endAttempt(agent, c, id, failed) })
	})
}

// endAttempt reports the end of an attempt to the entry.
func (f *fleet) endAttempt(agent int, c *call, id control.AttemptID, failed bool) {
	if failed {
		f.deliverVerdict(c.entry, control.Forward{Request: c.id, Attempt: id}, control.Verdict{Outcome: control.OutcomeUnknown, Code: control.CodeTargetLost}, agent)
		return
	}
	ended := control.AttemptEnded{Request: c.id, Attempt: id, Load: f.agents[agent].Load()}
	f.executeEntryEffects(c.entry, f.entries[c.entry].Reduce(simulationStart.Add(f.now), ended))
	f.completeCall(c)
}
