package admission

import (
	"slices"
	"time"

	"chervilswitch.example/shared/fleet"
)

const (
	// hedgeQuantile is the quantile of the recent times to first output that the delay
	// before a second attempt follows. Higher quantiles are those of the slow targets if a
	// tenth of all targets is slow.
	hedgeQuantile = 0.75
	// hedgeFactor is the ratio of the delay to the quantile. At twice the third quartile,
	// about 3 of 100 requests of a service whose times are log-normal are without output.
	hedgeFactor = 2
	// minHedgeDelay is the shortest delay. Shorter waits come from the scheduling of this
	// process as often as from a target.
	minHedgeDelay = 20 * time.Millisecond
	// minFirstOutputs and maxFirstOutputs bound the number of times to first output that the
	// delay is computed from: enough for the quantile, and few enough to follow the load.
	minFirstOutputs, maxFirstOutputs = 16, 128
	// hedgeRoom is the share of a target's limit up to which a second attempt may fill it.
	// The rest is for requests that have no target yet.
	hedgeRoom = 0.5
	// hedgeReserve is the share of the retry budget that second attempts leave to retries.
	hedgeReserve = 0.5
	// hedgeBurst is the number of second attempts that all instances together may save up
	// while there is no need for them.
	hedgeBurst = 10
	// hedgeAge is the time without requests after which what was saved up is lost.
	hedgeAge = 10 * time.Second
	// firstOutputAge is the age from which a time to first output no longer counts. A service
	// with one request per second has enough of them within it.
	firstOutputAge = 30 * time.Second
	// latestOutputs is the number of answers that show whether the service as a whole is slow.
	latestOutputs = 8
)

// HedgeLimit sets the share of the requests of each service that may get a second attempt
// before the first has ended; 0 turns second attempts off.
type HedgeLimit struct{ Share float64 }

// HedgeDue asks for a second attempt at a request whose attempt has run for the time
// Dispatch.HedgeAfter without output. It leads to one Hedge.
type HedgeDue struct{ ID RequestID }

// AttemptDropped ends one of the two attempts at a request, while the other one goes on.
type AttemptDropped struct {
	ID     RequestID
	Target string
	// MayHaveRun is true if the target may have executed the attempt.
	MayHaveRun bool
	// Lost is true if the attempt was cancelled because the other one gave output first.
	Lost bool
}

func (HedgeLimit) event()     {}
func (HedgeDue) event()       {}
func (AttemptDropped) event() {}

// Hedge is the decision on a second attempt.
type Hedge struct {
	ID      RequestID
	Verdict HedgeVerdict
	// Target takes the second attempt if the verdict is HedgeStarted.
	Target fleet.Target
	// Attempt, Running and Limit are those of Dispatch.
	Attempt, Running, Limit int
}

func (Hedge) effect() {}

// HedgeVerdict tells whether a second attempt starts, or why not.
type HedgeVerdict int

// Verdicts on second attempts.
const (
	// HedgeStarted means that the second attempt starts.
	HedgeStarted HedgeVerdict = iota
	// HedgeNotNeeded means that the request has output or has left its target.
	HedgeNotNeeded
	// HedgePressure means that requests wait or that groups are closed.
	HedgePressure
	// HedgeAllSlow means that the targets of the service are slow as a whole.
	HedgeAllSlow
	// HedgeSuspect means that the request is suspected to crash targets.
	HedgeSuspect
	// HedgeOverLimit means that the operators' limit is used up.
	HedgeOverLimit
	// HedgeNoBudget means that the retry budget is used up except for its reserve.
	HedgeNoBudget
	// HedgeNoTarget means that no other target may be used and has enough room.
	HedgeNoTarget
)

// String returns the verdict's name in logs and metrics.
func (v HedgeVerdict) String() string {
	return [...]string{"started", "notNeeded", "pressure", "allSlow", "suspect", "overLimit", "noBudget", "noTarget"}[v]
}

// hedgeState is the part of a request's state that concerns second attempts.
type hedgeState struct {
	// target is the target of the second attempt; empty if there is none.
	target string
	// began and secondBegan are when the attempts began.
	began, secondBegan time.Time
	// output is true if a target has sent output for the request.
	output bool
	// late holds the result of lateUnits while a target for the second attempt is chosen, and
	// is nil otherwise.
	late map[string]bool
}

// hedging is the part of a service's state that concerns second attempts.
type hedging struct {
	// allowance is what the operators' limit still allows.
	allowance tokenBucket
	times     firstOutputs
}

// firstOutputs holds the latest times to first output of a service. The zero value is empty.
type firstOutputs struct {
	samples []firstOutput
	next    int
	// delay is the delay that the samples led to at computedAt. Since then, added samples
	// have been recorded.
	delay      time.Duration
	computedAt time.Time
	added      int
}

type firstOutput struct {
	at   time.Time
	took time.Duration
}

// record adds a time, and removes the oldest one if there are maxFirstOutputs.
func (f *firstOutputs) record(at time.Time, took time.Duration) {
	f.added++
	if len(f.samples) < maxFirstOutputs {
		f.samples = append(f.samples, firstOutput{at, took})
		return
	}
	f.samples[f.next] = firstOutput{at, took}
	f.next = (f.next + 1) % maxFirstOutputs
}

// hedgeDelay returns the time without output after which a second attempt may start; 0 if
// there are too few samples of the last firstOutputAge.
func (f *firstOutputs) hedgeDelay(at time.Time) time.Duration {
	if f.added < minFirstOutputs && f.delay > 0 && at.Sub(f.computedAt) < hedgeAge {
		return f.delay
	}
	var took []time.Duration
	for _, s := range f.samples {
		if at.Sub(s.at) < firstOutputAge {
			took = append(took, s.took)
		}
	}
	f.delay, f.computedAt, f.added = 0, at, 0
	if len(took) >= minFirstOutputs {
		slices.Sort(took)
		quantile := took[int(hedgeQuantile*float64(len(took)))]
		f.delay = max(minHedgeDelay, time.Duration(hedgeFactor*float64(quantile)))
	}
	return f.delay
}

// mostlyAbove reports whether at least half of the latest times are as long as a limit.
func (f *firstOutputs) mostlyAbove(limit time.Duration) bool {
	above, count := 0, min(latestOutputs, len(f.samples))
	for i := range count {
		if f.samples[(f.next+len(f.samples)-1-i)%len(f.samples)].took >= limit {
			above++
		}
	}
	return 2*above >= count
}

// reduceHedge applies an event that concerns second attempts.
func (st *State) reduceHedge(at time.Time, event Event) []Effect {
	switch e := event.(type) {
	case HedgeLimit:
		st.hedgeShare = e.Share
	case HedgeDue:
		return []Effect{st.hedge(at, e.ID)}
	case AttemptDropped:
		return st.dropAttempt(at, e)
	}
	return nil
}

// countForHedges adds a new request to what the operators' limit allows. Each instance
// counts its own requests, so that the sum over all instances stays within the limit; what
// they save up is a part of hedgeBurst, but at least one attempt.
func (st *State) countForHedges(at time.Time, s *service) {
	b := &s.hedging.allowance
	if st.hedgeShare == 0 || at.Sub(b.at) > hedgeAge {
		b.tokens = 0
	}
	b.at = at
	b.tokens = min(b.tokens+st.hedgeShare, max(1, hedgeBurst/float64(st.entries.count())))
}

// hedgeAfter returns the time without output after which a second attempt at a request that
// is dispatched now may start; 0 for never.
func (st *State) hedgeAfter(at time.Time, s *service, e *activeRequest) time.Duration {
	e.hedge.began = at
	r := &e.request
	if st.hedgeShare == 0 || !r.Repeatable || e.hedge.output || e.responseStarted || !e.mayRunTwice() {
		return 0
	}
	return s.hedging.times.hedgeDelay(at)
}

// mayRunTwice reports whether the attempts that are left allow two that run at a time. The
// current attempt is counted in attempts but not yet in attemptsRun.
func (e *activeRequest) mayRunTwice() bool {
	return e.attemptsRun+2 <= e.request.MaxAttempts && e.attempts <= e.request.MaxAttempts
}

// hedge decides on a second attempt at a request. The load that it answers is a few slow
// targets: if requests wait or most targets are slow, more work makes all answers slower.
func (st *State) hedge(at time.Time, id RequestID) Hedge {
	decision := Hedge{ID: id, Verdict: HedgeNotNeeded}
	e, ok := st.requests[id]
	if !ok || e.target == "" || e.hedge.target != "" || e.hedge.output || e.moving || st.hedgeShare == 0 || !e.mayRunTwice() {
		return decision
	}
	s := st.service(e.request.Service)
	verdict, late := st.quarantine.judge(at, e.parts), st.lateUnits(at, s, e)
	s.retryTokens.refill(at, 0, st.retryBudget.Slack*budgetShare/float64(st.entries.count()))
	reserve := max(0, hedgeReserve*(st.retryBudget.Slack*budgetShare/float64(st.entries.count())-1))
	switch {
	case s.waiting.length > 0 || st.allClosed(at, s):
		decision.Verdict = HedgePressure
	case s.slowAsAWhole(at, e, late):
		decision.Verdict = HedgeAllSlow
	case !verdict.until.IsZero() || len(verdict.onTrial) > 0:
		decision.Verdict = HedgeSuspect
	case s.hedging.allowance.tokens < 1:
		decision.Verdict = HedgeOverLimit
	case s.retryTokens.tokens < 1+reserve:
		decision.Verdict = HedgeNoBudget
	default:
		return st.startHedge(at, s, e, late)
	}
	return decision
}

// startHedge chooses the target of a second attempt as for a retry, among those that
// mayTakeHedge allows, and takes a token of each budget.
func (st *State) startHedge(at time.Time, s *service, e *activeRequest, late map[string]bool) Hedge {
	tried := e.tried
	e.tried, e.hedge.late = append(slices.Clone(tried), e.target), late
	chosen := s.chooseTarget(at, e, st)
	t := chosen.target
	e.tried, e.hedge.late = tried, nil
	if t == nil {
		return Hedge{ID: e.request.ID, Verdict: HedgeNoTarget}
	}
	s.hedging.allowance.take()
	s.retryTokens.take()
	s.recordSecondStart(at, t)
	e.hedge.target, e.hedge.secondBegan = t.ID, at
	e.attempts++
	return Hedge{ID: e.request.ID, Target: t.Target, Attempt: e.attempts, Running: chosen.running, Limit: chosen.limit}
}

// mayTakeHedge reports whether a target may take a second attempt: it has enough room, and it
// is not late or stalled itself, nor a rank of the first one's group.
func (s *service) mayTakeHedge(at time.Time, e *activeRequest, t *target, running, limit int) bool {
	unit := s.unit(t.ID)
	return float64(running+1) <= hedgeRoom*float64(limit) && !s.stalled(at, t.Group) && !e.hedge.late[unit] && unit != s.unit(e.target)
}

// lateUnits returns the targets, or groups of ranks, that this instance waits for, and
// whether any other request has been without output there as long as the delay.
func (st *State) lateUnits(at time.Time, s *service, e *activeRequest) map[string]bool {
	delay, late := s.hedging.times.hedgeDelay(at), make(map[string]bool)
	for _, other := range st.requests {
		if other == e || other.request.Service != e.request.Service || other.hedge.output || other.target == "" {
			continue
		}
		unit := s.unit(other.target)
		late[unit] = late[unit] || at.Sub(other.hedge.began) >= delay
	}
	return late
}

// unit returns the group of a target, whose ranks are all as slow as the slowest, or the ID
// of a target without one.
func (s *service) unit(id string) string {
	if t, ok := s.targets[id]; ok && t.Group != "" {
		return t.Group
	}
	return id
}

// slowAsAWhole reports whether a service's answers have become as slow as those that get a
// second attempt: half of the latest ones, or those of half of the other targets without
// groups, and at least two of them, that this instance waits for.
func (s *service) slowAsAWhole(at time.Time, e *activeRequest, late map[string]bool) bool {
	if s.hedging.times.mostlyAbove(s.hedging.times.hedgeDelay(at)) {
		return true
	}
	count, others := 0, 0
	for unit, isLate := range late {
		if _, ok := s.targets[unit]; !ok || unit == e.target {
			continue
		}
		others++
		if isLate {
			count++
		}
	}
	return count >= 2 && 2*count >= others
}

// recordFirstOutput notes the first output for a request.
func (st *State) recordFirstOutput(at time.Time, s *service, e AttemptResult) {
	if st.hedgeShare > 0 && e.Outcome == Good {
		s.hedging.times.record(at, e.TimeToFirstOutput)
	}
	if r, ok := st.requests[e.ID]; ok {
		r.hedge.output = true
	}
}

// dropAttempt ends one of the two attempts at a request. The time that a loser has taken is
// a lower bound of its time to first output; it is no failure of the target. If the request
// turns out to crash targets, the attempt that is left ends as well.
func (st *State) dropAttempt(at time.Time, d AttemptDropped) []Effect {
	e, ok := st.requests[d.ID]
	if !ok || e.hedge.target == "" || d.Target != e.target && d.Target != e.hedge.target {
		return nil
	}
	s := st.service(e.request.Service)
	if t, ok := s.targets[d.Target]; ok {
		if d.Target == e.target {
			t.end(e)
		} else {
			t.endSecond()
		}
		if took := at.Sub(e.hedge.began); d.Lost && d.Target == e.target && took > t.timeToFirstOutput && t.timeToFirstOutput > 0 {
			t.timeToFirstOutput += time.Duration(latencyWeight * float64(took-t.timeToFirstOutput))
		}
	}
	if d.Lost && d.Target == e.target {
		s.hedging.times.record(at, at.Sub(e.hedge.began))
	}
	if d.Target == e.target {
		e.target, e.hedge.began = e.hedge.target, e.hedge.secondBegan
		e.outstanding, e.unread = outstanding{}, 0
		if t, ok := s.targets[e.target]; ok {
			t.endSecond()
			t.start(e, s.Engine)
		}
	}
	e.hedge.target = ""
	e.tried = append(e.tried, d.Target)
	if d.MayHaveRun {
		e.attemptsRun++
	}
	var effects []Effect
	if st.quarantine.judge(at, e.parts).certain && !e.answered && e.request.Movable && !e.moving {
		e.moving = true
		effects = append(effects, Move{ID: d.ID})
	}
	return append(effects, st.dispatchWaiting(at, s)...)
}

// releaseHedge removes a request's second attempt from its target.
func (st *State) releaseHedge(s *service, e *activeRequest) {
	if t, ok := s.targets[e.hedge.target]; ok {
		t.endSecond()
	}
	e.hedge.target = ""
}
