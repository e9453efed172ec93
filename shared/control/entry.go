package control

import (
	"time"

	"chervilswitch.example/shared/operator"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxAttempts bounds the tries of one request.
	maxAttempts = 3
	// retryEarned is what each request adds to the budget that a retry takes one from.
	retryEarned = 0.1
	maxRetries  = 10.0
	// reattachWindow is how long an entry asks after a lost attempt.
	reattachWindow = 5 * time.Second
	// reattachEvery separates the questions.
	reattachEvery = 250 * time.Millisecond
	// verdictTimeout is when an attempt without a verdict is asked after again.
	verdictTimeout = 3 * time.Second
	// targetTimeout is when a target that gave no sign is not chosen any more.
	targetTimeout = 2 * time.Second
	// retryAdvice is what callers are told to wait after a refusal.
	retryAdvice = time.Second
)

// attemptState is where a request's present attempt stands.
type attemptState int

const (
	attemptQueued attemptState = iota
	attemptSent
	attemptAdmitted
	attemptLost
)

// request is a caller's request while it is in the entry's hands.
type request struct {
	Request
	state       attemptState
	attempt     AttemptID
	target      string
	incarnation uint64
	tries       int
	exclude     uint64
	produced    bool
	since       time.Time
	asked       time.Time
	askedFirst  time.Time
	// moved counts how often another agent was named as the key's owner.
	moved int
}

// entryState is the part of the state that only entries use.
type entryState struct {
	pools    map[string]*pool
	requests map[RequestID]*request
	budget   float64
}

func (s *entryState) reduce(st *State, e Event) {
	switch e := e.(type) {
	case RequestArrived:
		s.onArrived(st, e.Request)
	case ResumeArrived:
		s.onResume(st, e)
	case RequestLeft:
		s.onLeft(st, e.Request)
	case AttemptAnswered:
		s.onAnswered(st, e)
	case AttemptProduced:
		if r, ok := s.current(e.Request, e.Attempt); ok {
			r.produced = true
		}
	case AttemptLost:
		s.onLost(st, e)
	case AttemptEnded:
		s.onEnded(st, e)
	}
}

// current finds a request if the attempt is still its present one.
func (s *entryState) current(id RequestID, attempt AttemptID) (*request, bool) {
	r, ok := s.requests[id]
	if !ok || r.attempt != attempt {
		return nil, false
	}
	return r, true
}

func (s *entryState) onArrived(st *State, r Request) {
	if s.requests == nil {
		s.requests = make(map[RequestID]*request)
	}
	if _, ok := s.requests[r.ID]; ok {
		st.emit(Fail{Request: r.ID, Failure: Failure{Outcome: OutcomeNotRun, Code: CodeDuplicate}})
		return
	}
	pool, ok := s.pools[r.Service]
	switch {
	case !st.Gate().Open():
		s.refuse(st, r.ID, CodeOutOfTouch)
		return
	case !ok || len(pool.candidates) == 0:
		s.refuse(st, r.ID, CodeNoTarget)
		return
	case !pool.queue.accepts(r.Priority):
		s.refuse(st, r.ID, CodeOverloaded)
		return
	}
	s.budget = min(maxRetries, s.budget+retryEarned)
	s.requests[r.ID] = &request{Request: r, since: st.now}
	s.enqueue(st, s.requests[r.ID])
	s.dispatch(st, pool)
}

// onResume asks after an attempt that the caller was reading. It is never run
// again here: its output has been seen in part.
func (s *entryState) onResume(st *State, e ResumeArrived) {
	if s.requests == nil {
		s.requests = make(map[RequestID]*request)
	}
	r := &request{
		Request: e.Request, state: attemptLost, attempt: e.Attempt, target: e.Target,
		incarnation: e.Incarnation, tries: maxAttempts, produced: true, since: st.now, askedFirst: st.now,
	}
	s.requests[e.Request.ID] = r
	s.reattach(st, r)
}

func (s *entryState) enqueue(st *State, r *request) {
	r.state = attemptQueued
	weight := st.config.Inventory().Organisations[r.Organisation].Weight()
	s.pools[r.Service].queue.push(r.Priority, r.Organisation, weight, queued{id: r.ID, arrived: r.since})
}

// dispatch sends waiting requests while targets are free.
func (s *entryState) dispatch(st *State, p *pool) {
	for p.queue.length > 0 {
		next, _ := p.queue.pop()
		r, ok := s.requests[next.id]
		if !ok || r.state != attemptQueued {
			continue
		}
		if !s.place(st, p, r) {
			weight := st.config.Inventory().Organisations[r.Organisation].Weight()
			p.queue.unpop(r.Priority, r.Organisation, weight, next)
			return
		}
	}
}

// place chooses a target for a request and sends it there.
func (s *entryState) place(st *State, p *pool, r *request) bool {
	s.markUsable(st, p)
	cached := -1
	if i, ok := p.prefixes.Find(r.Prefix); ok {
		cached = i
	}
	if r.Key != "" {
		cached = s.keyHome(p, r.Organisation+"/"+r.Key)
	}
	chosen := Choose(p.candidates, xxhash.Sum64String(string(r.ID))+uint64(r.tries), cached, r.exclude)
	if chosen.Target < 0 {
		return false
	}
	p.prefixes.Keep(r.Prefix, chosen.Target)
	weighed := make([]Weighed, 0, chosen.count)
	for _, i := range chosen.weighed[:chosen.count] {
		weighed = append(weighed, Weighed{Name: p.candidates[i].Name, Score: p.candidates[i].Score()})
	}
	st.emit(Decided{Code: DecisionTarget, Request: r.ID, Chosen: p.candidates[chosen.Target].Name, Reason: chosen.Reason, Weighed: weighed})
	s.send(st, p, r, chosen.Target)
	return true
}

func (s *entryState) send(st *State, p *pool, r *request, target int) {
	r.tries++
	r.state = attemptSent
	r.attempt = NewAttemptID(r.ID, st.self.Instance, st.self.Incarnation, r.tries)
	r.target = p.candidates[target].Name
	r.incarnation = p.incarnate[target]
	r.asked = st.now
	r.askedFirst = st.now
	p.candidates[target].Sent++
	st.emit(Forward{Request: r.ID, Attempt: r.attempt, Target: r.target, Incarnation: r.incarnation})
}

// keyHome prefers the same target for each try of a key, so that the answer of
// an earlier try is found there. It is only a preference: the log decides.
func (s *entryState) keyHome(p *pool, key string) int {
	home, highest := -1, uint64(0)
	for i := range p.candidates {
		score := rendezvous(key, p.candidates[i].Name)
		if p.candidates[i].Usable && score >= highest {
			home, highest = i, score
		}
	}
	return home
}

// markUsable applies what is known of each target now.
func (s *entryState) markUsable(st *State, p *pool) {
	inventory := st.config.Inventory()
	for i := range p.candidates {
		c := &p.candidates[i]
		instance := inventory.Instances[c.Name]
		c.Usable = !st.Leaving(c.Name) &&
			!inventory.DataCentres[instance.DataCentre].Out &&
			st.now.Sub(p.reportedAt[i]) <= targetTimeout
	}
}

func (s *entryState) onAnswered(st *State, e AttemptAnswered) {
	r, ok := s.current(e.Request, e.Attempt)
	if !ok {
		return // A late answer of an earlier attempt.
	}
	s.learnLoad(st, r, e.Load)
	switch e.Verdict.Outcome {
	case OutcomeAdmitted:
		r.state = attemptAdmitted
	case OutcomeNotRun:
		s.retryElsewhere(st, r, e.Verdict.Code)
	case OutcomeMoved:
		s.follow(st, r, e.Verdict.Owner)
	case OutcomeUnknown, OutcomeRan:
		s.onUnknown(st, r, e.Verdict)
	}
}

// retryElsewhere tries another target after one said that nothing was run.
func (s *entryState) retryElsewhere(st *State, r *request, code Code) {
	pool := s.pools[r.Service]
	if pool == nil || r.produced {
		s.finish(st, r, Failure{Outcome: OutcomeUnknown, Code: code})
		return
	}
	if i, ok := pool.index[r.target]; ok {
		r.exclude |= 1 << (uint(i) % 64)
	}
	if !s.mayRetry(r) || !retryable(code) {
		s.finish(st, r, Failure{Outcome: OutcomeNotRun, Code: code, RetryAfter: retryAdvice})
		return
	}
	s.budget--
	st.emit(Decided{Code: DecisionRetry, Request: r.ID, Chosen: "retry", Reason: string(code)})
	s.enqueue(st, r)
	s.dispatch(st, pool)
}

// retryable reports whether another target might take what this one refused.
func retryable(code Code) bool { return code != CodeKeyReused && code != CodeLogDown }

func (s *entryState) mayRetry(r *request) bool {
	return r.tries < maxAttempts && s.budget >= 1
}

func (s *entryState) onUnknown(st *State, r *request, v Verdict) {
	if r.Idempotent && r.Replayable && r.Key == "" && !r.produced && s.mayRetry(r) {
		st.emit(Abandon{Request: r.ID, Attempt: r.attempt, Target: r.target})
		s.retryElsewhere(st, r, v.Code)
		return
	}
	s.finish(st, r, Failure{Outcome: v.Outcome, Code: v.Code})
}

// follow sends a keyed request to the agent that holds its key.
func (s *entryState) follow(st *State, r *request, owner string) {
	pool := s.pools[r.Service]
	i, ok := -1, false
	if pool != nil {
		i, ok = pool.index[owner]
	}
	if !ok || r.moved >= maxAttempts {
		s.finish(st, r, Failure{Outcome: OutcomeUnknown, Code: CodeKeyUnknown})
		return
	}
	r.moved++
	st.emit(Decided{Code: DecisionOwner, Request: r.ID, Chosen: owner, Reason: "keyOwner"})
	s.send(st, pool, r, i)
}

func (s *entryState) onLost(st *State, e AttemptLost) {
	r, ok := s.current(e.Request, e.Attempt)
	if !ok || r.state == attemptQueued {
		return
	}
	if r.state != attemptLost {
		r.state = attemptLost
		r.askedFirst = st.now
		r.asked = time.Time{}
	}
	s.reattach(st, r)
}

// reattach asks the same agent after the attempt; the agent either knows it or
// refuses it for good, so the answer is never a guess.
func (s *entryState) reattach(st *State, r *request) {
	if st.now.Sub(r.asked) < reattachEvery {
		return
	}
	r.asked = st.now
	st.emit(Reattach{Request: r.ID, Attempt: r.attempt, Target: r.target, Incarnation: r.incarnation})
}

func (s *entryState) onEnded(st *State, e AttemptEnded) {
	r, ok := s.current(e.Request, e.Attempt)
	if !ok {
		return
	}
	s.learnLoad(st, r, e.Load)
	delete(s.requests, r.ID)
	s.dispatchService(st, r.Service)
}

func (s *entryState) onLeft(st *State, id RequestID) {
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
	st.emit(Decided{Code: DecisionRefuse, Request: id, Chosen: "notRun", Reason: string(code)})
	st.emit(Fail{Request: id, Failure: Failure{Outcome: OutcomeNotRun, Code: code, RetryAfter: retryAdvice}})
}

func (s *entryState) learnLoad(st *State, r *request, l Load) {
	pool := s.pools[r.Service]
	if pool == nil || l.Limit == 0 {
		return
	}
	if i, ok := pool.index[r.target]; ok {
		pool.learn(i, l)
	}
}

func (s *entryState) onBeat(st *State, b Beat, restarted bool) {
	pool := s.pools[b.Service]
	if pool == nil || b.Role != operator.RoleAgent {
		return
	}
	i, ok := pool.index[b.Instance]
	if !ok {
		return
	}
	pool.reportedAt[i] = st.now
	pool.incarnate[i] = b.Incarnation
	pool.learn(i, b.Load)
	if restarted {
		s.onRestarted(st, b.Instance, b.Incarnation)
	}
	s.dispatch(st, pool)
}

// onRestarted settles attempts whose agent was replaced: it cannot be asked.
func (s *entryState) onRestarted(st *State, instance string, incarnation uint64) {
	for _, id := range sortedKeys(s.requests) {
		r := s.requests[id]
		if r != nil && r.state == attemptLost && r.target == instance && r.incarnation != incarnation {
			s.onUnknown(st, r, Verdict{Outcome: OutcomeUnknown, Code: CodeIncarnation})
		}
	}
}

func (s *entryState) onTick(st *State) {
	for _, id := range sortedKeys(s.requests) {
		s.tickRequest(st, s.requests[id])
	}
	for _, service := range sortedKeys(s.pools) {
		pool := s.pools[service]
		pool.queue.measure(st.now)
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
	if r.state == attemptSent && st.now.Sub(r.asked) > verdictTimeout {
		r.state = attemptLost
		r.askedFirst = st.now
	}
	if r.state != attemptLost {
		return
	}
	if st.now.Sub(r.askedFirst) > reattachWindow {
		s.onUnknown(st, r, Verdict{Outcome: OutcomeUnknown, Code: CodeLinkLost})
		return
	}
	s.reattach(st, r)
}
