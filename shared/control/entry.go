package control

import (
	"time"

	"chervilswitch.example/shared/operator"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxAttempts is the maximum number of attempts for one request.
	maxAttempts = 3
	// retryBudgetPerRequest is the amount that each request adds to the retry budget.
	// Each retry reduces the budget by one.
	retryBudgetPerRequest = 0.1
	maxRetryBudget        = 10.0
	// reattachWindow is how long an entry tries to reattach to an attempt.
	reattachWindow = 5 * time.Second
	// reattachInterval is the minimum time between two such tries.
	reattachInterval = 250 * time.Millisecond
	// verdictTimeout is how long an entry waits for a verdict before it reattaches.
	verdictTimeout = 3 * time.Second
	// targetHeartbeatTimeout is the age of the last heartbeat above which a target gets
	// no requests.
	targetHeartbeatTimeout = 2 * time.Second
	// defaultRetryAfter is the time after which refused callers are advised to retry.
	defaultRetryAfter = time.Second
)

// attemptState is the state of a request's current attempt.
type attemptState int

const (
	attemptQueued attemptState = iota
	attemptSent
	attemptAdmitted
	attemptDisconnected
)

// request is a caller's request that the entry has not finished.
type request struct {
	Request
	state       attemptState
	attempt     AttemptID
	target      string
	incarnation uint64
	attempts    int
	// exclude is the set of candidates at which an attempt failed; see excluded.
	exclude        uint64
	producedOutput bool
	arrivedAt      time.Time
	// sentAt is when the attempt was last forwarded or reattached to.
	sentAt         time.Time
	disconnectedAt time.Time
	// redirects counts the verdicts that named another agent as the key's owner.
	redirects int
}

// entryState is the part of the state that only entries use.
type entryState struct {
	pools       map[string]*pool
	requests    map[RequestID]*request
	retryBudget float64
}

func (s *entryState) reduce(st *State, e Event) {
	switch e := e.(type) {
	case RequestArrived:
		s.onRequestArrived(st, e.Request)
	case ResumeArrived:
		s.onResume(st, e)
	case RequestClosed:
		s.onRequestClosed(st, e.Request)
	case VerdictReceived:
		s.onVerdict(st, e)
	case AttemptFirstOutput:
		if r, ok := s.current(e.Request, e.Attempt); ok {
			r.producedOutput = true
		}
	case AttemptDisconnected:
		s.onDisconnected(st, e)
	case AttemptEnded:
		s.onEnded(st, e)
	}
}

// current returns the request if the attempt is still its current one.
func (s *entryState) current(id RequestID, attempt AttemptID) (*request, bool) {
	r, ok := s.requests[id]
	if !ok || r.attempt != attempt {
		return nil, false
	}
	return r, true
}

func (s *entryState) onRequestArrived(st *State, r Request) {
	if s.requests == nil {
		s.requests = make(map[RequestID]*request)
	}
	if _, ok := s.requests[r.ID]; ok {
		st.emit(Fail{Request: r.ID, Failure: Failure{Outcome: OutcomeNotRun, Code: CodeDuplicateAttempt}})
		return
	}
	pool, ok := s.pools[r.Service]
	switch {
	case !st.Gate().Open():
		s.refuse(st, r.ID, CodeGateClosed)
		return
	case !ok || len(pool.candidates) == 0:
		s.refuse(st, r.ID, CodeNoTarget)
		return
	case !pool.queue.accepts(r.Priority):
		s.refuse(st, r.ID, CodeOverloaded)
		return
	}
	s.retryBudget = min(maxRetryBudget, s.retryBudget+retryBudgetPerRequest)
	s.requests[r.ID] = &request{Request: r, arrivedAt: st.now}
	s.enqueue(st, s.requests[r.ID])
	s.dispatch(st, pool)
}

// onResume reattaches to an attempt that the caller was reading. The entry never
// retries it, since the caller has received part of its output.
func (s *entryState) onResume(st *State, e ResumeArrived) {
	if s.requests == nil {
		s.requests = make(map[RequestID]*request)
	}
	r := &request{
		Request: e.Request, state: attemptDisconnected, attempt: e.Attempt, target: e.Target,
		incarnation: e.Incarnation, attempts: maxAttempts, producedOutput: true, arrivedAt: st.now, disconnectedAt: st.now,
	}
	s.requests[e.Request.ID] = r
	s.reattach(st, r)
}

func (s *entryState) enqueue(st *State, r *request) {
	r.state = attemptQueued
	weight := st.config.Inventory().Organisations[r.Organisation].Weight()
	s.pools[r.Service].queue.push(r.Priority, r.Organisation, weight, queued{id: r.ID, arrived: r.arrivedAt})
}

// dispatch sends queued requests while targets are free.
func (s *entryState) dispatch(st *State, p *pool) {
	for p.queue.length > 0 {
		next, _ := p.queue.pop()
		r, ok := s.requests[next.id]
		if !ok || r.state != attemptQueued {
			continue
		}
		if !s.assignTarget(st, p, r) {
			weight := st.config.Inventory().Organisations[r.Organisation].Weight()
			p.queue.pushFront(r.Priority, r.Organisation, weight, next)
			return
		}
	}
}

// assignTarget chooses a target and sends the request to it. It returns false if no
// target is free.
func (s *entryState) assignTarget(st *State, p *pool, r *request) bool {
	s.markUsable(st, p)
	preferred := -1
	if i, ok := p.prefixes.Lookup(r.Prefix); ok {
		preferred = i
	}
	if r.Key != "" {
		preferred = s.keyTarget(p, r.Organisation+"/"+r.Key)
	}
	chosen := Choose(p.candidates, xxhash.Sum64String(string(r.ID))+uint64(r.attempts), preferred, r.exclude)
	if chosen.Target < 0 {
		return false
	}
	p.prefixes.Set(r.Prefix, chosen.Target)
	weighed := make([]Weighed, 0, chosen.count)
	for _, i := range chosen.weighed[:chosen.count] {
		weighed = append(weighed, Weighed{Name: p.candidates[i].Name, Score: p.candidates[i].Score()})
	}
	st.emit(LogDecision{Code: DecisionTarget, Request: r.ID, Chosen: p.candidates[chosen.Target].Name, Reason: chosen.Reason, Weighed: weighed})
	s.send(st, p, r, chosen.Target)
	return true
}

func (s *entryState) send(st *State, p *pool, r *request, target int) {
	r.attempts++
	r.state = attemptSent
	r.attempt = NewAttemptID(r.ID, st.self.Instance, st.self.Incarnation, r.attempts)
	r.target = p.candidates[target].Name
	r.incarnation = p.incarnations[target]
	r.sentAt = st.now
	r.disconnectedAt = st.now
	p.candidates[target].Sent++
	st.emit(Forward{Request: r.ID, Attempt: r.attempt, Target: r.target, Incarnation: r.incarnation})
}

// keyTarget returns the usable target with the highest rendezvous score for a key, so
// that a retry reaches the agent that has the earlier response. This is only a
// preference: the log determines the key's owner.
func (s *entryState) keyTarget(p *pool, key string) int {
	best, highest := -1, uint64(0)
	for i := range p.candidates {
		score := rendezvousScore(key, p.candidates[i].Name)
		if p.candidates[i].Usable && score >= highest {
			best, highest = i, score
		}
	}
	return best
}

// markUsable sets Usable for each candidate from the configuration, the instances
// that are leaving and the age of the last heartbeat.
func (s *entryState) markUsable(st *State, p *pool) {
	inventory := st.config.Inventory()
	for i := range p.candidates {
		c := &p.candidates[i]
		instance := inventory.Instances[c.Name]
		c.Usable = !st.Leaving(c.Name) &&
			!inventory.DataCentres[instance.DataCentre].Out &&
			st.now.Sub(p.reportedAt[i]) <= targetHeartbeatTimeout
	}
}

func (s *entryState) onVerdict(st *State, e VerdictReceived) {
	r, ok := s.current(e.Request, e.Attempt)
	if !ok {
		return // The verdict is for an earlier attempt.
	}
	s.recordLoad(st, r, e.Load)
	switch e.Verdict.Outcome {
	case OutcomeAdmitted:
		r.state = attemptAdmitted
	case OutcomeNotRun:
		s.retryElsewhere(st, r, e.Verdict.Code)
	case OutcomeMoved:
		s.redirectToOwner(st, r, e.Verdict.Owner)
	case OutcomeUnknown, OutcomeRan:
		s.onUnknown(st, r, e.Verdict)
	}
}

// retryElsewhere retries a request at another target after an attempt that did not
// run, or that may safely run again.
func (s *entryState) retryElsewhere(st *State, r *request, code Code) {
	pool := s.pools[r.Service]
	if pool == nil || r.producedOutput {
		s.finish(st, r, Failure{Outcome: OutcomeUnknown, Code: code})
		return
	}
	if i, ok := pool.index[r.target]; ok {
		r.exclude |= 1 << (uint(i) % 64)
	}
	if !s.mayRetry(r) || !retryable(code) {
		s.finish(st, r, Failure{Outcome: OutcomeNotRun, Code: code, RetryAfter: defaultRetryAfter})
		return
	}
	s.retryBudget--
	st.emit(LogDecision{Code: DecisionRetry, Request: r.ID, Chosen: "retry", Reason: string(code)})
	s.enqueue(st, r)
	s.dispatch(st, pool)
}

// retryable reports whether another target may accept a request that was refused with
// this code.
func retryable(code Code) bool { return code != CodeKeyReused && code != CodeLogUnavailable }

func (s *entryState) mayRetry(r *request) bool {
	return r.attempts < maxAttempts && s.retryBudget >= 1
}

// onUnknown handles an attempt that may have run. It is retried only if the request
// is idempotent and has no key, its body can be sent again, and no output reached the
// caller.
func (s *entryState) onUnknown(st *State, r *request, v Verdict) {
	if r.Idempotent && r.Replayable && r.Key == "" && !r.producedOutput && s.mayRetry(r) {
		st.emit(CancelAttempt{Request: r.ID, Attempt: r.attempt, Target: r.target})
		s.retryElsewhere(st, r, v.Code)
		return
	}
	s.finish(st, r, Failure{Outcome: v.Outcome, Code: v.Code})
}

// redirectToOwner sends a keyed request to the agent that owns its key.
func (s *entryState) redirectToOwner(st *State, r *request, owner string) {
	pool := s.pools[r.Service]
	i, ok := -1, false
	if pool != nil {
		i, ok = pool.index[owner]
	}
	if !ok || r.redirects >= maxAttempts {
		s.finish(st, r, Failure{Outcome: OutcomeUnknown, Code: CodeKeyMayHaveRun})
		return
	}
	r.redirects++
	st.emit(LogDecision{Code: DecisionOwner, Request: r.ID, Chosen: owner, Reason: "keyOwner"})
	s.send(st, pool, r, i)
}

func (s *entryState) onDisconnected(st *State, e AttemptDisconnected) {
	r, ok := s.current(e.Request, e.Attempt)
	if !ok || r.state == attemptQueued {
		return
	}
	if r.state != attemptDisconnected {
		r.state = attemptDisconnected
		r.disconnectedAt = st.now
		r.sentAt = time.Time{}
	}
	s.reattach(st, r)
}

// reattach queries the agent that got the attempt. The agent either knows the attempt
// or refuses it permanently, so its verdict is final.
func (s *entryState) reattach(st *State, r *request) {
	if st.now.Sub(r.sentAt) < reattachInterval {
		return
	}
	r.sentAt = st.now
	st.emit(Reattach{Request: r.ID, Attempt: r.attempt, Target: r.target, Incarnation: r.incarnation})
}

func (s *entryState) onEnded(st *State, e AttemptEnded) {
	r, ok := s.current(e.Request, e.Attempt)
	if !ok {
		return
	}
	s.recordLoad(st, r, e.Load)
	delete(s.requests, r.ID)
	s.dispatchService(st, r.Service)
}

func (s *entryState) onRequestClosed(st *State, id RequestID) {
	r, ok := s.requests[id]
	if !ok {
		return
	}
	delete(s.requests, id)
	s.dispatchService(st, r.Service)
}

func (s *entryState) dispatchService(st *State, service string) {
	if pool := s.pools[service]; pool != nil {
		s.dispatch(st, pool)
	}
}

func (s *entryState) finish(st *State, r *request, f Failure) {
	delete(s.requests, r.ID)
	st.emit(Fail{Request: r.ID, Failure: f})
	s.dispatchService(st, r.Service)
}

func (s *entryState) refuse(st *State, id RequestID, code Code) {
	st.emit(LogDecision{Code: DecisionRefuse, Request: id, Chosen: "notRun", Reason: string(code)})
	st.emit(Fail{Request: id, Failure: Failure{Outcome: OutcomeNotRun, Code: code, RetryAfter: defaultRetryAfter}})
}

func (s *entryState) recordLoad(st *State, r *request, l Load) {
	pool := s.pools[r.Service]
	if pool == nil || l.Limit == 0 {
		return
	}
	if i, ok := pool.index[r.target]; ok {
		pool.updateLoad(i, l)
	}
}

func (s *entryState) updateTarget(st *State, b Heartbeat, restarted bool) {
	pool := s.pools[b.Service]
	if pool == nil || b.Role != operator.RoleAgent {
		return
	}
	i, ok := pool.index[b.Instance]
	if !ok {
		return
	}
	pool.reportedAt[i] = st.now
	pool.incarnations[i] = b.Incarnation
	pool.updateLoad(i, b.Load)
	if restarted {
		s.onRestarted(st, b.Instance, b.Incarnation)
	}
	s.dispatch(st, pool)
}

// onRestarted ends or retries disconnected attempts whose agent was replaced, since
// the new incarnation does not know them.
func (s *entryState) onRestarted(st *State, instance string, incarnation uint64) {
	for _, id := range sortedKeys(s.requests) {
		r := s.requests[id]
		if r != nil && r.state == attemptDisconnected && r.target == instance && r.incarnation != incarnation {
			s.onUnknown(st, r, Verdict{Outcome: OutcomeUnknown, Code: CodeOtherIncarnation})
		}
	}
}

func (s *entryState) onTick(st *State) {
	for _, id := range sortedKeys(s.requests) {
		s.tickRequest(st, s.requests[id])
	}
	for _, service := range sortedKeys(s.pools) {
		pool := s.pools[service]
		pool.queue.updateRate(st.now)
		for _, id := range pool.queue.expire(st.now) {
			if r, ok := s.requests[id]; ok && r.state == attemptQueued {
				delete(s.requests, id)
				s.refuse(st, id, CodeOverloaded)
			}
		}
		s.dispatch(st, pool)
	}
}

func (s *entryState) tickRequest(st *State, r *request) {
	if r == nil {
		return
	}
	if r.state == attemptSent && st.now.Sub(r.sentAt) > verdictTimeout {
		r.state = attemptDisconnected
		r.disconnectedAt = st.now
	}
	if r.state != attemptDisconnected {
		return
	}
	if st.now.Sub(r.disconnectedAt) > reattachWindow {
		s.onUnknown(st, r, Verdict{Outcome: OutcomeUnknown, Code: CodeLinkLost})
		return
	}
	s.reattach(st, r)
}
