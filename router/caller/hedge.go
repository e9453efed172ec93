package caller

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"chervilswitch.example/shared/admission"
	"chervilswitch.example/shared/events"

	"github.com/apex/log"
)

// errLost ends an attempt because the other attempt at its request gave output first.
var errLost = errors.New("another attempt at the request gave output first")

// pair holds the attempts at a request of which the first to give output wins: one, and a
// second one if the core allows it.
type pair struct {
	mutex sync.Mutex
	// active lists the attempts that run and have not lost.
	active []*attempt
	winner *attempt
	// second is the second attempt; nil until it starts.
	second *attempt
	// settled is true once an attempt has won or ended: no second attempt starts then.
	settled bool
}

// pairResult is the end of one of the attempts.
type pairResult struct {
	attempt  *attempt
	finished bool
	// panicked is what the attempt panicked with, nil if it returned.
	panicked any
}

// runPair runs an attempt and, after some time without output, asks the core for a second
// one. It reports whether the request is finished, as attempt.run does.
func (x *exchange) runPair(ctx context.Context, d admission.Dispatch) bool {
	p := &pair{}
	results := make(chan pairResult, 2)
	run := func(a *attempt, ctx context.Context) {
		r := pairResult{attempt: a}
		defer func() {
			r.panicked = recover() // The handler's goroutine repeats it.
			results <- r
		}()
		r.finished = a.run(ctx)
	}
	first, firstCtx := x.begin(ctx, d.Target, p)
	defer first.end()
	p.active = []*attempt{first}
	go run(first, firstCtx)
	timer := time.NewTimer(d.HedgeAfter)
	defer timer.Stop()
	finished, panicked := false, any(nil)
	for running := 1; running > 0; {
		select {
		case <-timer.C:
			if second, secondCtx := x.startSecond(ctx, p, d); second != nil {
				defer second.end()
				running++
				go run(second, secondCtx)
			}
		case r := <-results:
			running--
			// All but one attempt are dropped: their results say nothing about the request.
			if !r.attempt.dropped {
				finished = r.finished
			}
			if r.panicked != nil {
				panicked = r.panicked
			}
		}
	}
	if panicked != nil {
		panic(panicked)
	}
	return finished
}

// startSecond asks the core for a second attempt, unless the first has given output or
// ended. The attempt is nil if none starts.
func (x *exchange) startSecond(ctx context.Context, p *pair, d admission.Dispatch) (*attempt, context.Context) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.settled {
		return nil, nil
	}
	h := x.router.core.Hedge(x.id)
	x.router.metrics.scope.Tagged(map[string]string{"verdict": h.Verdict.String()}).Counter("hedges").Inc(1)
	events.Log(x.logger, events.HedgeDecided, log.Fields{
		"service": x.service, "route": x.route.Name, "organisation": x.organisation, "first": d.Target.ID, "after": d.HedgeAfter.String(),
		"verdict": h.Verdict.String(), "target": h.Target.ID, "attempt": h.Attempt, "running": h.Running, "limit": h.Limit, "version": x.version,
	})
	if h.Verdict != admission.HedgeStarted {
		return nil, nil
	}
	second, secondCtx := x.begin(ctx, h.Target, p)
	p.active, p.second = append(p.active, second), second
	return second, secondCtx
}

// claim makes an attempt that has output the winner, and cancels the other one. It reports
// false if the other one has won. An attempt without a pair always wins.
func (a *attempt) claim() bool {
	p := a.pair
	if p == nil {
		return true
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.winner != nil {
		return p.winner == a
	}
	p.winner, p.settled = a, true
	for _, other := range p.active {
		if other == a {
			continue
		}
		other.cancel(errLost)
		a.mayHaveRun = true
		a.router.core.HandleEvent(admission.AttemptDropped{ID: a.id, Target: other.target.ID, MayHaveRun: true, Lost: true})
	}
	p.active = []*attempt{a}
	if p.second != nil {
		answered := "first"
		if a == p.second {
			answered = "second"
		}
		a.router.metrics.scope.Tagged(map[string]string{"answered": answered}).Counter("hedges_answered").Inc(1)
	}
	return true
}

// drop ends an attempt that has failed or lost while the other one goes on, and reports
// whether it did. A loser's end is no evidence against its target.
func (a *attempt) drop(ctx context.Context, outcome admission.Outcome, mayHaveRun bool, cause error) bool {
	p := a.pair
	if p == nil {
		return false
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.settled = true
	p.active = slices.DeleteFunc(p.active, func(other *attempt) bool { return other == a })
	if p.winner != nil && p.winner != a {
		a.dropped = true
		events.Log(a.logger, events.AttemptEnded, log.Fields{
			"service": a.service, "target": a.target.ID, "outcome": "lost", "begun": a.begun, "took": time.Since(a.began).String(),
		})
		return true
	}
	if len(p.active) == 0 {
		return false
	}
	a.dropped = true
	outcome, _ = endOf(ctx, outcome)
	a.mayHaveRun = a.mayHaveRun || mayHaveRun
	a.groupDown = a.groupDown || outcome == admission.GroupDown
	a.reportOutcome(outcome, cause)
	a.router.core.HandleEvent(admission.AttemptDropped{ID: a.id, Target: a.target.ID, MayHaveRun: mayHaveRun})
	return true
}

// leaveTarget ends all attempts at the request, which is to continue at another target.
func (a *attempt) leaveTarget() {
	if a.pair == nil {
		a.cancel(errMoved)
		return
	}
	a.pair.mutex.Lock()
	defer a.pair.mutex.Unlock()
	a.pair.settled = true
	for _, each := range a.pair.active {
		each.cancel(errMoved)
	}
}
