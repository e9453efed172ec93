package admission

import (
	"maps"
	"slices"
	"time"
)

const (
	// minPatience is how long a request that is late already may wait.
	minPatience = 250 * time.Millisecond
	// maxPatience bounds the wait of requests without an objective.
	maxPatience = time.Second
	// startFirst is the time to the first output that is assumed before any was
	// measured: reading a prompt and one pass.
	startFirst = 180 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound when a refused caller may come back.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// noTargetRetryAfter is for a service without targets; a restarted target
	// registers within a heartbeat.
	noTargetRetryAfter = time.Second
	// GroupClosedRetryAfter is for a group that waits for a rank: the rank restarts, and
	// the group forms anew, within about two seconds.
	GroupClosedRetryAfter = 1200 * time.Millisecond
	// stallTime is how long a group must show nothing to count as stalled: twice its
	// longest passes.
	stallTime = 800 * time.Millisecond
	// budgetShare is the part of the allowed repeats that is used: what other
	// instances do is known late.
	budgetShare = 0.7
)

// RetryBudget bounds the attempts beyond the first of each request, over all instances.
type RetryBudget struct {
	// Ratio is the repeats for each request.
	Ratio float64
	// Slack is the repeats that are allowed besides, in a window.
	Slack float64
}

// State is the reducer. Use New.
type State struct {
	dataCentre string
	budget     RetryBudget
	entries    int
	services   map[string]*service
	requests   map[RequestID]*entry
	loads      loads
	groups     map[string]Groups // By who told.
}

// New gives a reducer for an instance of a data centre.
func New(dataCentre string, budget RetryBudget) *State {
	return &State{
		dataCentre: dataCentre, budget: budget, entries: 1,
		services: make(map[string]*service), requests: make(map[RequestID]*entry), loads: newLoads(),
		groups: make(map[string]Groups),
	}
}

// Reduce takes one event and returns the decisions that follow.
func (st *State) Reduce(at time.Time, event Event) []Effect {
	switch e := event.(type) {
	case Submit:
		return st.submit(at, e.Request)
	case Retry:
		return st.retry(at, e)
	case Finish:
		return st.finish(at, e.ID)
	case AttemptResult:
		return st.answered(at, e)
	case StreamGap:
		return st.paused(at, e)
	case ServiceTargets:
		st.entries = max(1, e.Entries)
		s := st.service(e.Service.Name)
		s.update(e)
		s.setPaces(st.pace)
		return st.drain(at, s)
	case PeerLoad:
		st.loads.set(e.Peer, e.Running)
		return st.drainAll(at)
	case Groups:
		changed := !maps.Equal(st.groups[e.Instance].Paces, e.Paces)
		st.groups[e.Instance] = e
		if changed {
			st.setPaces()
		}
		var effects []Effect
		if len(e.Paces) > 0 {
			effects = st.moveAll(at)
		}
		return append(effects, st.drainAll(at)...)
	case PeerLost:
		st.loads.set(e.Peer, nil)
		delete(st.groups, e.Peer)
		st.setPaces()
		return st.drainAll(at)
	case RetryBudgetChanged:
		st.budget = e.RetryBudget
		return nil
	default:
		return st.tick(at)
	}
}

// Running is what this instance has on each target.
func (st *State) Running() map[string]int {
	running := make(map[string]int)
	for _, s := range st.services {
		for id, t := range s.targets {
			if t.running > 0 {
				running[id] = t.running
			}
		}
	}
	return running
}

// Stalled reports whether a target's group as a whole shows nothing.
func (st *State) Stalled(at time.Time, service, target string) bool {
	s := st.service(service)
	t, ok := s.targets[target]
	return ok && s.stalled(at, t.Group)
}

// Summary describes a service for logs and metrics.
type Summary struct {
	// Limit is the highest limit of a target.
	Targets, Waiting, Limit int
	// Gap is the smoothed pause between events of the slowest group.
	Gap time.Duration
}

// Summaries describes all services.
func (st *State) Summaries() map[string]Summary {
	all := make(map[string]Summary, len(st.services))
	for name, s := range st.services {
		summary := Summary{Targets: len(s.targets), Waiting: s.waiting.length}
		limits := s.limits()
		for _, t := range s.targets {
			summary.Limit = max(summary.Limit, limits(t))
		}
		for _, p := range s.passes {
			summary.Gap = max(summary.Gap, p.gap)
		}
		all[name] = summary
	}
	return all
}

func (st *State) service(name string) *service {
	s, ok := st.services[name]
	if !ok {
		s = newService()
		st.services[name] = s
	}
	return s
}

// submit dispatches a request, queues it, or refuses it if the wait would be
// longer than the request has.
func (st *State) submit(at time.Time, r Request) []Effect {
	s := st.service(r.Service)
	s.maxGap = max(s.maxGap, r.MaxGap)
	s.retries.tokens += st.budget.Ratio * budgetShare
	e := &entry{request: r, arrived: at}
	if len(s.targets) == 0 {
		return []Effect{Refuse{ID: r.ID, RetryAfter: noTargetRetryAfter, Reason: NoTarget}}
	}
	if at.Before(s.paused) || st.isClosed(r.Service) {
		return []Effect{Refuse{ID: r.ID, RetryAfter: GroupClosedRetryAfter, Reason: GroupClosed}}
	}
	ahead := s.waiting.ahead(r.Priority)
	if ahead == 0 {
		if d, ok := st.dispatch(at, s, e); ok {
			return []Effect{d}
		}
	}
	expected, patience := s.expectedWait(ahead), s.patience(r)
	if expected > patience {
		return []Effect{Refuse{ID: r.ID, RetryAfter: retryAfter(expected), Reason: QueueFull, Queued: s.waiting.length, ExpectedWait: expected}}
	}
	e.giveUp = at.Add(patience)
	st.requests[r.ID] = e
	s.waiting.push(e)
	return nil
}

func (st *State) isClosed(service string) bool {
	for _, told := range st.groups {
		if slices.Contains(told.Closed, service) {
			return true
		}
	}
	return false
}

func (st *State) setPaces() {
	for _, s := range st.services {
		s.setPaces(st.pace)
	}
}

// pace is how many times slower than usual a target is, 1 if nobody told.
func (st *State) pace(target string) float64 {
	pace := 1.0
	for _, told := range st.groups {
		pace = max(pace, told.Paces[target])
	}
	return pace
}

// patience is how long a request may wait and still be on time; one that is late
// already gets a short wait.
func (s *service) patience(r Request) time.Duration {
	first := s.first
	if first == 0 {
		first = startFirst
	}
	left := maxPatience
	if r.Objective > 0 {
		left = min(maxPatience, r.Objective-r.Elapsed-first)
	}
	return max(minPatience, left)
}

func retryAfter(expected time.Duration) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, expected))
}

// dispatch sends a request to the best target, if any has room.
func (st *State) dispatch(at time.Time, s *service, e *entry) (Dispatch, bool) {
	t, running := s.choose(at, e, st)
	if t == nil {
		return Dispatch{}, false
	}
	s.begin(at, t)
	e.target = t.ID
	e.attempts++
	st.requests[e.request.ID] = e
	return Dispatch{
		ID: e.request.ID, Target: t.Target, Attempt: e.attempts,
		Waited: at.Sub(e.arrived), Running: running, Limit: s.limits()(t),
	}, true
}

// release takes a request off its target.
func (st *State) release(s *service, e *entry) {
	if t, ok := s.targets[e.target]; ok && t.running > 0 {
		t.running--
	}
	e.target = ""
}

// retry looks for another target. Each repeat draws on the budget.
func (st *State) retry(at time.Time, r Retry) []Effect {
	e, ok := st.requests[r.ID]
	if !ok {
		return nil
	}
	s := st.service(e.request.Service)
	e.tried = append(e.tried, e.target)
	st.release(s, e)
	if r.MayHaveRun {
		e.ran++
	}
	refuse := Refuse{ID: r.ID, RetryAfter: retryAfter(s.expectedWait(s.waiting.length)), Queued: s.waiting.length}
	s.retries.refill(at, 0, st.budget.Slack*budgetShare/float64(st.entries))
	defer func() { e.moving = false }()
	switch {
	case e.ran >= e.request.MaxAttempts || e.attempts > e.request.MaxAttempts:
		refuse.Reason = NoAttempts
	case !e.moving && !s.retries.take():
		refuse.Reason = NoBudget
	default:
		if d, ok := st.dispatch(at, s, e); ok {
			return append([]Effect{d}, st.drain(at, s)...)
		}
		e.arrived, e.giveUp = at, at.Add(minPatience)
		e.started = r.ResponseStarted || e.moving
		if e.started {
			e.giveUp = e.request.Deadline
		}
		s.waiting.pushFront(e)
		return st.drain(at, s)
	}
	delete(st.requests, r.ID)
	return append([]Effect{refuse}, st.drain(at, s)...)
}

// finish forgets a request and gives its place to the next one.
func (st *State) finish(at time.Time, id RequestID) []Effect {
	e, ok := st.requests[id]
	if !ok {
		return nil
	}
	delete(st.requests, id)
	s := st.service(e.request.Service)
	if e.target == "" {
		s.waiting.remove(func(w *entry) bool { return w == e })
		return nil
	}
	st.release(s, e)
	s.ended(at)
	return st.drain(at, s)
}

func (st *State) answered(at time.Time, e AttemptResult) []Effect {
	s := st.service(e.Service)
	if t, ok := s.targets[e.Target]; ok {
		t.note(at, e)
		if e.TimeToFirstOutput > 0 {
			s.pass(t.Group).shown = at
		}
	}
	switch {
	case e.Outcome == GroupDown:
		s.paused = at.Add(groupPause)
		return st.refuseWaiting(s)
	case e.Outcome == Good && e.TimeToFirstOutput > 0:
		if s.first == 0 {
			s.first = e.TimeToFirstOutput
		}
		s.first += time.Duration(slowWeight * float64(e.TimeToFirstOutput-s.first))
	}
	return nil
}

// refuseWaiting refuses what waits for a group that is down, but for streams whose
// callers have a part of them.
func (st *State) refuseWaiting(s *service) []Effect {
	var effects []Effect
	for _, e := range sortedRefusals(s.waiting.remove(func(e *entry) bool { return !e.started })) {
		delete(st.requests, e.request.ID)
		effects = append(effects, Refuse{ID: e.request.ID, RetryAfter: GroupClosedRetryAfter, Reason: GroupClosed})
	}
	return effects
}

func (st *State) paused(at time.Time, e StreamGap) []Effect {
	s := st.service(e.Service)
	if t, ok := s.targets[e.Target]; ok && s.Engine != nil {
		running, pace := s.groupLoad(t.Group, st.loads)
		s.pass(t.Group).measure(at, s.Engine, e.Gap, running, pace)
	}
	return nil
}

// drain dispatches what waits while targets have room.
func (st *State) drain(at time.Time, s *service) []Effect {
	var effects []Effect
	for s.waiting.length > 0 {
		var d Dispatch
		if s.waiting.take(func(e *entry) (ok bool) {
			d, ok = st.dispatch(at, s, e)
			return ok
		}) == nil {
			break
		}
		effects = append(effects, d)
	}
	return effects
}

func (st *State) drainAll(at time.Time) []Effect {
	var effects []Effect
	for _, name := range slices.Sorted(maps.Keys(st.services)) {
		effects = append(effects, st.drain(at, st.services[name])...)
	}
	return effects
}

// moveAll takes requests off slow ranks that hold their group up so long that all its
// events are late.
func (st *State) moveAll(at time.Time) []Effect {
	var effects []Effect
	for _, id := range slices.Sorted(maps.Keys(st.requests)) {
		e := st.requests[id]
		s := st.service(e.request.Service)
		t, ok := s.targets[e.target]
		if !ok || s.Engine == nil || !e.request.Movable || e.moving || e.ran+1 >= e.request.MaxAttempts {
			continue
		}
		if !s.holdsUp(t, st.loads) {
			continue
		}
		s.retries.refill(at, 0, st.budget.Slack*budgetShare/float64(st.entries))
		if s.retries.take() {
			e.moving = true
			effects = append(effects, Move{ID: id})
		}
	}
	return effects
}

// tick refuses what waited too long and dispatches what can go.
func (st *State) tick(at time.Time) []Effect {
	effects := st.drainAll(at)
	for _, name := range slices.Sorted(maps.Keys(st.services)) {
		s := st.services[name]
		late := s.waiting.remove(func(e *entry) bool { return !at.Before(e.giveUp) })
		for _, e := range sortedRefusals(late) {
			delete(st.requests, e.request.ID)
			effects = append(effects, Refuse{
				ID: e.request.ID, RetryAfter: retryAfter(s.expectedWait(s.waiting.length)),
				Reason: WaitedTooLong, Queued: s.waiting.length, ExpectedWait: at.Sub(e.arrived),
			})
		}
	}
	return effects
}
