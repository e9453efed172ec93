package admission

import (
	"maps"
	"slices"
	"time"
)

const (
	// minWait is the shortest allowed wait. It applies to new requests that are late
	// already and to retries of requests whose response has not started.
	minWait = 250 * time.Millisecond
	// maxWait is the longest allowed wait of new requests, also without an objective.
	maxWait = time.Second
	// initialTimeToFirstOutput is assumed before the first measurement: the time to
	// read a prompt and to run one pass.
	initialTimeToFirstOutput = 180 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the delay before a refused caller retries.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// noTargetRetryAfter applies to a service without targets. A restarted target
	// registers within a heartbeat interval.
	noTargetRetryAfter = time.Second
	// GroupClosedRetryAfter applies while a group waits for a rank. The rank restarts
	// and the group forms again within about two seconds.
	GroupClosedRetryAfter = 1200 * time.Millisecond
	// stallTimeout is the time without output after which a group counts as stalled:
	// twice the duration of its longest passes.
	stallTimeout = 800 * time.Millisecond
	// budgetShare is the fraction of the retry budget that is used. The rest is a
	// reserve, because changes on other instances become known with a delay.
	budgetShare = 0.7
)

// RetryBudget bounds the retries of each service's requests, over all instances.
type RetryBudget struct {
	// Ratio is the number of retries that each request adds to the budget.
	Ratio float64
	// Slack is the capacity of the budget in retries. The budget starts full.
	Slack float64
}

// State is the reducer's state. Use New to create one.
type State struct {
	dataCentre   string
	locality     locality
	retryBudget  RetryBudget
	entries      entrySet
	limits       targetLimits
	notices      targetNotices
	services     map[string]*service
	requests     map[RequestID]*activeRequest
	peerLoads    peerLoads
	groupReports map[string]GroupReport // By reporting instance.
	closedGroups map[string]bool
	quarantine   quarantine
	hedgeShare   float64 // See HedgeLimit.
}

// New returns the state of the instance with a name, in a data centre.
func New(instance, dataCentre string, retryBudget RetryBudget) *State {
	return &State{
		quarantine: quarantine{instance: instance},
		dataCentre: dataCentre, locality: newLocality(), retryBudget: retryBudget, entries: newEntrySet(instance), limits: newTargetLimits(), notices: newTargetNotices(),
		services: make(map[string]*service), requests: make(map[RequestID]*activeRequest), peerLoads: newPeerLoads(),
		groupReports: make(map[string]GroupReport), closedGroups: make(map[string]bool),
	}
}

// Reduce applies one event and returns the resulting effects, in order.
func (st *State) Reduce(at time.Time, event Event) []Effect {
	switch e := event.(type) {
	case Submit:
		return st.submit(at, e.Request)
	case Retry:
		return st.retry(at, e)
	case Finish:
		return st.finish(at, e.ID)
	case AttemptResult:
		return st.applyResult(at, e)
	case StreamGap:
		return st.observeGap(at, e)
	case ServiceTargets:
		s := st.service(e.Service.Name)
		s.update(e)
		for _, t := range s.targets {
			t.notice = st.notices.of(t)
		}
		s.setPaces(st.pace)
		st.updateShares(at, s)
		return st.dispatchWaiting(at, s)
	case EntryInstances:
		st.entries.set(e.Names)
		for _, s := range st.services {
			st.updateShares(at, s)
		}
		return nil
	case ResponseHead:
		var effects []Effect
		if e.Limit.Target != "" {
			effects = st.applyLimits(at, "", e.Limit)
		}
		if e.Notice.Target != "" {
			effects = append(effects, st.applyNotices(at, "", e.Notice)...)
		}
		return effects
	case PeerNotices:
		return st.applyNotices(at, e.Peer, e.Notices...)
	case PeerLimits:
		return st.applyLimits(at, e.Peer, e.Limits...)
	case PeerLoad:
		st.peerLoads.set(e.Peer, e.Running)
		return st.dispatchAllWaiting(at)
	case GroupReport:
		changed := !maps.Equal(st.groupReports[e.Instance].Paces, e.Paces)
		st.groupReports[e.Instance] = e
		st.setClosedGroups()
		if changed {
			st.setPaces()
		}
		var effects []Effect
		if len(e.Paces) > 0 {
			effects = st.moveFromSlowRanks(at)
		}
		return append(effects, st.dispatchAllWaiting(at)...)
	case PeerDemand:
		for _, s := range st.services {
			delete(s.demand.peers, e.Peer)
		}
		for _, reported := range e.Services {
			if s, ok := st.services[reported.Service]; ok {
				s.demand.setPeer(at, e.Peer, reported)
			}
		}
		return nil
	case PeerLost:
		for _, s := range st.services {
			delete(s.demand.peers, e.Peer)
		}
		st.peerLoads.set(e.Peer, nil)
		delete(st.groupReports, e.Peer)
		st.setClosedGroups()
		st.setPaces()
		return st.dispatchAllWaiting(at)
	case CrashEvidence:
		return st.enforceQuarantine(at, st.quarantine.applyEvidence(at, e), 0)
	case RetryBudgetChanged:
		st.retryBudget = e.RetryBudget
		return nil
	case HedgeLimit, HedgeDue, AttemptDropped:
		return st.reduceHedge(at, event)
	default:
		return st.tick(at)
	}
}

// Running returns the number of requests that this instance runs on each target. Targets
// without requests are left out.
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

// Stalled reports whether a target's group runs requests of this instance and has
// produced no output for longer than stallTimeout.
func (st *State) Stalled(at time.Time, service, target string) bool {
	s := st.service(service)
	t, ok := s.targets[target]
	return ok && s.stalled(at, t.Group)
}

// Summary describes a service for logs and metrics.
type Summary struct {
	// Targets and Waiting are counts; Limit is the highest limit of any target.
	Targets, Waiting, Limit int
	// Gap is the smoothed gap between events in the slowest group.
	Gap time.Duration
	// Pressure is true while requests lack room. Chance is the part of all requests that
	// finds room, Admitted the part of each priority that is admitted without spare room, and
	// Shares the part of the requests of organisations above their share that is within it.
	Pressure bool
	Chance   float64
	Admitted map[int]float64
	Shares   map[string]float64
}

// Summaries returns a summary of each service, by name.
func (st *State) Summaries() map[string]Summary {
	all := make(map[string]Summary, len(st.services))
	for name, s := range st.services {
		summary := Summary{Targets: len(s.targets), Waiting: s.waiting.length}
		limits := s.limits()
		for _, t := range s.targets {
			summary.Limit = max(summary.Limit, limits(t))
		}
		for _, p := range s.passModels {
			summary.Gap = max(summary.Gap, p.gap)
		}
		if summary.Chance = 1; s.pressure.on {
			summary.Pressure, summary.Chance, summary.Admitted, summary.Shares = true, s.pressure.chance, s.pressure.admitted(), maps.Clone(s.pressure.shares)
		}
		all[name] = summary
	}
	return all
}

// service returns the state of a service, and creates it if necessary.
func (st *State) service(name string) *service {
	s, ok := st.services[name]
	if !ok {
		s = newService()
		st.services[name] = s
	}
	return s
}

// submit admits a request or refuses it.
func (st *State) submit(at time.Time, r Request) []Effect {
	s := st.service(r.Service)
	s.maxGap = max(s.maxGap, r.MaxGap)
	s.retryTokens.tokens += st.retryBudget.Ratio * budgetShare
	r.Priority = r.combinedPriority()
	st.countForHedges(at, s)
	e := &activeRequest{request: r, parts: r.parts(), queuedSince: at}
	if retryAfter := st.quarantined(at, e); retryAfter > 0 {
		return []Effect{Refuse{ID: r.ID, RetryAfter: retryAfter, Reason: Quarantined}}
	}
	if len(s.targets) == 0 {
		return []Effect{Refuse{ID: r.ID, RetryAfter: noTargetRetryAfter, Reason: NoTarget}}
	}
	if st.allClosed(at, s) {
		return []Effect{Refuse{ID: r.ID, RetryAfter: GroupClosedRetryAfter, Reason: GroupClosed}}
	}
	changes := st.updatePressure(at, r.Service, s)
	if reason, refused := st.thin(at, s, e); refused {
		return append(changes, s.refuse(at, Refuse{ID: r.ID, RetryAfter: s.pressureDelay(r), Reason: reason, Queued: s.waiting.length}, r.Priority))
	}
	return append(changes, st.admit(at, s, e)...)
}

// refuse counts a refusal for want of room and returns it.
func (s *service) refuse(at time.Time, r Refuse, priority int) Refuse {
	switch r.Reason {
	case QueueFull, WaitedTooLong, LessUrgent:
		s.demand.level(priority).refused.add(at, 1)
	}
	return r
}

// admit dispatches a request, queues it, or refuses it if the expected wait exceeds the
// allowed one.
func (st *State) admit(at time.Time, s *service, e *activeRequest) []Effect {
	r := e.request
	ahead := s.waiting.ahead(e.rank())
	if ahead == 0 && st.leavesRoom(at, s, e) {
		if d, ok := st.dispatch(at, s, e); ok {
			return []Effect{d}
		}
	}
	allowedWait := s.allowedWaitOf(e)
	if wait, reason := st.serviceWait(at, s, nil, ahead); wait > allowedWait {
		return []Effect{Refuse{ID: r.ID, RetryAfter: unavailableRetryAfter(wait, reason), Reason: reason, Queued: s.waiting.length, ExpectedWait: wait}}
	}
	expected := s.expectedWait(ahead)
	if expected > allowedWait {
		return []Effect{s.refuse(at, Refuse{ID: r.ID, RetryAfter: retryAfter(expected), Reason: QueueFull, Queued: s.waiting.length, ExpectedWait: expected}, r.Priority)}
	}
	e.refuseAt = at.Add(allowedWait)
	st.requests[r.ID] = e
	s.waiting.push(e)
	return nil
}

// isClosed reports whether a group waits for a missing rank, as any instance or one of its
// targets reports.
func (st *State) isClosed(at time.Time, s *service, group string) bool {
	return st.closedGroups[group] || at.Before(s.pausedUntil) && group != "" && at.Before(s.passModelOf(group).pausedUntil)
}

// allClosed reports whether all groups of a service are closed.
func (st *State) allClosed(at time.Time, s *service) bool {
	return len(s.targetIDs) > 0 && !slices.ContainsFunc(s.targetIDs, func(id string) bool { return !st.isClosed(at, s, s.targets[id].Group) })
}

// setClosedGroups updates the closed groups from the reports of all instances.
func (st *State) setClosedGroups() {
	clear(st.closedGroups)
	for _, report := range st.groupReports {
		for _, group := range report.Closed {
			st.closedGroups[group] = true
		}
	}
}

// hasTarget reports whether a target takes new requests of any service.
func (st *State) hasTarget(id string) bool {
	for _, s := range st.services {
		if _, ok := s.targets[id]; ok {
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

// pace returns the largest reported pace of a target, at least 1.
func (st *State) pace(target string) float64 {
	pace := 1.0
	for _, report := range st.groupReports {
		pace = max(pace, report.Paces[target])
	}
	return pace
}

// allowedWait returns how long a request may wait and still meet its objective, but at
// least minWait.
func (s *service) allowedWait(r Request) time.Duration {
	timeToFirstOutput := s.timeToFirstOutput
	if timeToFirstOutput == 0 {
		timeToFirstOutput = initialTimeToFirstOutput
	}
	left := maxWait
	if r.Objective > 0 {
		left = min(maxWait, r.Objective-r.Elapsed-timeToFirstOutput)
	}
	return max(minWait, left)
}

// retryAfter bounds an expected wait to the range of delays for refused callers.
func retryAfter(expected time.Duration) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, expected))
}

// dispatch assigns a request to the best target and reports whether any has room.
func (st *State) dispatch(at time.Time, s *service, e *activeRequest) (Dispatch, bool) {
	chosen := s.chooseTarget(at, e, st)
	t := chosen.target
	if t == nil {
		return Dispatch{}, false
	}
	left := t.outstanding.time
	s.recordStart(at, t, e)
	e.target = t.ID
	e.attempts++
	st.requests[e.request.ID] = e
	return Dispatch{
		ID: e.request.ID, Target: t.Target, Attempt: e.attempts,
		Waited: at.Sub(e.queuedSince), Running: chosen.running, Limit: chosen.limit, Home: t.DataCentre == st.dataCentre, Outstanding: left,
		HedgeAfter: st.hedgeAfter(at, s, e),
	}, true
}

// release removes a request from its target.
func (st *State) release(s *service, e *activeRequest) {
	if t, ok := s.targets[e.target]; ok {
		t.end(e)
	}
	e.target, e.outstanding, e.unread = "", outstanding{}, 0
	st.releaseHedge(s, e)
}

// retry dispatches the request to another target, queues it, or refuses it if its
// attempts or the retry budget are used up. Each retry takes a token of the budget; a
// request that is moving has taken one already.
func (st *State) retry(at time.Time, r Retry) []Effect {
	e, ok := st.requests[r.ID]
	if !ok {
		return nil
	}
	s := st.service(e.request.Service)
	e.tried = append(e.tried, e.target)
	st.release(s, e)
	if r.MayHaveRun {
		e.attemptsRun++
	}
	refuse := Refuse{ID: r.ID, RetryAfter: retryAfter(s.expectedWait(s.waiting.length)), Queued: s.waiting.length}
	s.retryTokens.refill(at, 0, st.retryBudget.Slack*budgetShare/float64(st.entries.count()))
	defer func() { e.moving = false }()
	quarantined := st.quarantined(at, e)
	switch {
	case quarantined > 0:
		refuse.Reason, refuse.RetryAfter = Quarantined, quarantined
	case !r.ResponseStarted && st.allClosed(at, s):
		refuse.Reason, refuse.RetryAfter = GroupClosed, GroupClosedRetryAfter
	case e.attemptsRun >= e.request.MaxAttempts || e.attempts > e.request.MaxAttempts:
		refuse.Reason = NoAttempts
	case !e.moving && !s.retryTokens.take():
		refuse.Reason = NoBudget
	default:
		if d, ok := st.dispatch(at, s, e); ok {
			return append([]Effect{d}, st.dispatchWaiting(at, s)...)
		}
		if wait, reason := st.serviceWait(at, s, e.tried, 0); reason == Paused && wait > minWait && !r.ResponseStarted && !e.moving {
			refuse.Reason, refuse.RetryAfter, refuse.ExpectedWait = Paused, unavailableRetryAfter(wait, Paused), wait
			break
		}
		e.queuedSince, e.refuseAt = at, at.Add(minWait)
		e.responseStarted = r.ResponseStarted || e.moving
		if e.responseStarted {
			e.refuseAt = e.request.Deadline
		}
		s.waiting.pushFront(e)
		return st.dispatchWaiting(at, s)
	}
	delete(st.requests, r.ID)
	return append([]Effect{refuse}, st.dispatchWaiting(at, s)...)
}

// finish removes a request and dispatches waiting requests in its place.
func (st *State) finish(at time.Time, id RequestID) []Effect {
	e, ok := st.requests[id]
	if !ok {
		return nil
	}
	delete(st.requests, id)
	s := st.service(e.request.Service)
	if e.target == "" {
		s.waiting.remove(func(w *activeRequest) bool { return w == e })
		return nil
	}
	st.release(s, e)
	s.recordFinish(at)
	return st.dispatchWaiting(at, s)
}

// applyResult updates a target and its service with the result of an attempt.
func (st *State) applyResult(at time.Time, e AttemptResult) []Effect {
	s := st.service(e.Service)
	effects := st.noteEvidence(at, s, e)
	if e.TimeToFirstOutput > 0 {
		st.recordFirstOutput(at, s, e)
	}
	if t, ok := s.targets[e.Target]; ok {
		t.recordResult(at, e)
		if e.TimeToFirstOutput > 0 {
			s.passModelOf(t.Group).lastOutput = at
			st.progress(s, e.ID, e.Target)
		}
	}
	switch {
	case e.Outcome == GroupDown:
		if t, ok := s.targets[e.Target]; ok {
			s.pausedUntil = at.Add(groupPause)
			s.passModelOf(t.Group).pausedUntil = s.pausedUntil
		}
		if st.allClosed(at, s) {
			effects = append(effects, st.refuseWaiting(s)...)
		}
		return effects
	case e.Outcome == Good && e.TimeToFirstOutput > 0:
		if s.timeToFirstOutput == 0 {
			s.timeToFirstOutput = e.TimeToFirstOutput
		}
		s.timeToFirstOutput += time.Duration(latencyWeight * float64(e.TimeToFirstOutput-s.timeToFirstOutput))
	}
	return effects
}

// refuseWaiting refuses the waiting requests of a service whose groups are closed, except
// those whose callers have received a part of the response.
func (st *State) refuseWaiting(s *service) []Effect {
	var effects []Effect
	for _, e := range sortByID(s.waiting.remove(func(e *activeRequest) bool { return !e.responseStarted })) {
		delete(st.requests, e.request.ID)
		effects = append(effects, Refuse{ID: e.request.ID, RetryAfter: GroupClosedRetryAfter, Reason: GroupClosed})
	}
	return effects
}

// observeGap updates the pass model of a target's group.
func (st *State) observeGap(at time.Time, e StreamGap) []Effect {
	s := st.service(e.Service)
	t, ok := s.targets[e.Target]
	if !ok {
		return nil
	}
	effects := st.quarantine.recordOutput(at, at.Add(-e.Gap), t)
	st.progress(s, e.ID, e.Target)
	if s.Engine != nil {
		running, pace := s.groupLoad(t.Group, st.peerLoads)
		s.passModelOf(t.Group).observe(at, s.Engine, e.Gap, running, pace)
	}
	return effects
}

// dispatchWaiting dispatches waiting requests while targets have room.
func (st *State) dispatchWaiting(at time.Time, s *service) []Effect {
	var effects []Effect
	for s.waiting.length > 0 {
		var d Dispatch
		if s.waiting.take(func(e *activeRequest) (ok bool) {
			if !st.leavesRoom(at, s, e) {
				return false
			}
			d, ok = st.dispatch(at, s, e)
			return ok
		}) == nil {
			break
		}
		effects = append(effects, d)
	}
	return effects
}

func (st *State) dispatchAllWaiting(at time.Time) []Effect {
	var effects []Effect
	for _, name := range slices.Sorted(maps.Keys(st.services)) {
		effects = append(effects, st.dispatchWaiting(at, st.services[name])...)
	}
	return effects
}

// moveFromSlowRanks returns a Move for each movable request on a rank that makes all
// events of its group late, as far as the retry budget allows.
func (st *State) moveFromSlowRanks(at time.Time) []Effect {
	var effects []Effect
	for _, id := range slices.Sorted(maps.Keys(st.requests)) {
		e := st.requests[id]
		s := st.service(e.request.Service)
		t, ok := s.targets[e.target]
		if !ok || s.Engine == nil || !e.request.Movable || e.moving || e.hedge.target != "" || e.attemptsRun+1 >= e.request.MaxAttempts {
			continue
		}
		if !s.delaysGroup(t, st.peerLoads) {
			continue
		}
		s.retryTokens.refill(at, 0, st.retryBudget.Slack*budgetShare/float64(st.entries.count()))
		if s.retryTokens.take() {
			e.moving = true
			effects = append(effects, Move{ID: id})
		}
	}
	return effects
}

// tick dispatches waiting requests while targets have room and refuses those that have
// waited too long.
func (st *State) tick(at time.Time) []Effect {
	st.quarantine.forget(at)
	st.limits.forget(at, st.hasTarget)
	st.notices.forget(at, st.hasTarget)
	var effects []Effect
	for _, name := range slices.Sorted(maps.Keys(st.services)) {
		effects = append(effects, st.updatePressure(at, name, st.services[name])...)
	}
	effects = append(effects, st.dispatchAllWaiting(at)...)
	for _, name := range slices.Sorted(maps.Keys(st.services)) {
		s := st.services[name]
		expired := s.waiting.remove(func(e *activeRequest) bool { return !at.Before(e.refuseAt) })
		for _, e := range sortByID(expired) {
			delete(st.requests, e.request.ID)
			effects = append(effects, s.refuse(at, Refuse{
				ID: e.request.ID, RetryAfter: retryAfter(s.expectedWait(s.waiting.length)),
				Reason: WaitedTooLong, Queued: s.waiting.length, ExpectedWait: at.Sub(e.queuedSince),
			}, e.request.Priority))
		}
	}
	return effects
}
