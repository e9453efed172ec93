package caller

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"chervilswitch.example/platform"
	"chervilswitch.example/router/core"
	"chervilswitch.example/router/target"
	"chervilswitch.example/shared/admission"
	"chervilswitch.example/shared/events"
	"chervilswitch.example/shared/fleet"

	"github.com/apex/log"
)

const (
	// maxBuffered bounds an answer that is held whole before it is given, so that
	// one that breaks off can be tried elsewhere.
	maxBuffered = 256 << 10
	// attemptShare is the part of its time that an attempt at an idempotent request
	// may take before another target is tried.
	attemptShare = 0.4
	// firstEventTimeout is when a stream without a first event is tried elsewhere;
	// callers give up after 2 s.
	firstEventTimeout = 1200 * time.Millisecond
	// stallPoll is how often an attempt whose whole group shows nothing is looked at
	// again: another rank would not answer sooner.
	stallPoll = 200 * time.Millisecond
	// stallGrace is how long an attempt's own first event may take once its group goes
	// on: prompts that waited are read first.
	stallGrace = 400 * time.Millisecond
)

var (
	errFirstEvent = errors.New("no first event in time")
	errMoved      = errors.New("the target holds its group up")
)

// exchange is one request of a caller and its answer.
type exchange struct {
	router  *Router
	writer  http.ResponseWriter
	request *http.Request
	headers platform.CallerHeaders
	logger  log.Interface
	began   time.Time

	version      uint64
	route        *fleet.Route
	organisation string
	priority     int
	service      string
	maxBody      int64
	body         []byte
	deadline     time.Time

	id   admission.RequestID
	told core.Decisions
	// sent tells that the answer's head has been given to the caller.
	sent bool
	// lastEvent is the id of the last event that the caller was given.
	lastEvent string
	// mayHaveRun tells that an attempt has no known end.
	mayHaveRun bool
	groupDown  bool
	attempts   int
	status     int
	outcome    string
}

// serve asks for targets until the request is answered.
func (x *exchange) serve() {
	timeout := x.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	spent := time.Duration(0)
	if left := x.headers.Left; left > 0 {
		spent = max(0, x.route.Timeout-left)
		timeout = min(timeout, left)
	}
	x.deadline = x.began.Add(timeout)
	ctx, cancel := context.WithDeadline(x.request.Context(), x.deadline)
	defer cancel()
	x.id, x.told = x.router.core.Submit(admission.Request{
		Service: x.service, Organisation: x.organisation, Priority: x.priority,
		Objective: x.route.Objective, Elapsed: spent, Deadline: x.deadline,
		MaxGap: x.route.MaxGap, MaxAttempts: x.route.MaxAttempts, Movable: x.movable(),
	})
	defer x.router.core.Finish(x.id)
	for {
		select {
		case <-ctx.Done():
			x.expire()
			return
		case effect := <-x.told.Next:
			switch decision := effect.(type) {
			case admission.Refuse:
				x.refused(decision)
				return
			case admission.Dispatch:
				if x.attempt(ctx, decision) {
					return
				}
			}
		}
	}
}

// refused answers a request that gets no target, or no other one.
func (x *exchange) refused(r admission.Refuse) {
	events.Log(x.logger, events.RequestTurnedAway, log.Fields{
		"service": x.service, "reason": r.Reason.String(), "retryAfter": r.RetryAfter.String(),
		"queued": r.Queued, "expectedWait": r.ExpectedWait.String(), "version": x.version, "mayHaveRun": x.mayHaveRun,
	})
	after := r.RetryAfter
	if x.groupDown {
		after = max(after, admission.GroupClosedRetryAfter)
	}
	switch {
	case x.sent:
		x.abort("cutNotResumed")
	case x.mayHaveRun && !x.route.Repeatable():
		x.fail(http.StatusBadGateway, "mayHaveRun")
	case x.mayHaveRun:
		x.fail(http.StatusBadGateway, "attemptsFailed")
	default:
		x.refuse(after, r.Reason.String())
	}
}

// expire ends a request whose caller has left, or whose time is over.
func (x *exchange) expire() {
	switch {
	case x.request.Context().Err() != nil:
		x.outcome = "callerLeft"
		panic(http.ErrAbortHandler)
	case x.sent:
		x.abort("timeout")
	case x.mayHaveRun:
		x.fail(http.StatusGatewayTimeout, "timeout")
	default:
		x.refuse(unknownRetryAfter, "timeout")
	}
}

// attempt sends the request to one target. It reports whether the request is
// answered; otherwise another decision comes.
func (x *exchange) attempt(ctx context.Context, d admission.Dispatch) bool {
	x.attempts++
	events.Log(x.logger, events.RequestDispatched, log.Fields{
		"service": x.service, "route": x.route.Name, "organisation": x.organisation, "target": d.Target.ID,
		"attempt": d.Attempt, "waited": d.Waited.String(), "running": d.Running, "limit": d.Limit, "version": x.version,
	})
	a := attempt{exchange: x, target: d.Target, began: time.Now()}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if limit := x.attemptLimit(); limit > 0 {
		a.timer = time.NewTimer(limit)
		defer a.timer.Stop()
	}
	if x.movable() || a.timer != nil {
		go a.watch(ctx, cancel)
	}
	return a.run(ctx)
}

// watch ends an attempt that should go on at another target.
func (a *attempt) watch(ctx context.Context, cancel context.CancelCauseFunc) {
	var expired <-chan time.Time
	stalled := false
	if a.timer != nil {
		expired = a.timer.C
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.told.MoveRequested:
			cancel(errMoved)
			return
		case <-expired:
			switch now := a.router.core.Stalled(a.service, a.target.ID); {
			case now:
				stalled = true
				a.timer.Reset(stallPoll)
			case stalled:
				stalled = false
				a.timer.Reset(stallGrace)
			default:
				cancel(errFirstEvent)
				return
			}
		}
	}
}

// movable reports whether the answer can go on at another target.
func (x *exchange) movable() bool { return x.route.Kind == fleet.Stream && x.route.Repeatable() }

// attemptLimit is when an attempt that shows nothing is ended in favour of another
// one; 0 means that it is left to the request's own deadline.
func (x *exchange) attemptLimit() time.Duration {
	if !x.route.Repeatable() || x.attempts >= x.route.MaxAttempts {
		return 0
	}
	if x.route.Kind == fleet.Stream {
		return firstEventTimeout
	}
	return time.Duration(attemptShare * float64(time.Until(x.deadline)))
}

// give writes a complete answer.
func (x *exchange) give(response *target.Response, body []byte) {
	x.begin(response)
	if x.request.Method != http.MethodHead {
		x.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.writer.WriteHeader(response.StatusCode)
	x.outcome = "answered"
	if _, err := x.writer.Write(body); err != nil {
		x.outcome = "callerLeft"
	}
}

// begin copies the head of an answer.
func (x *exchange) begin(response *target.Response) {
	h := x.writer.Header()
	for name, values := range platform.EndToEndHeaders(response.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // The server would guess one.
	}
	x.status = response.StatusCode
	x.sent = true
}

// refuse answers that the request has not run and when to come back.
func (x *exchange) refuse(after time.Duration, reason string) {
	platform.SetRetryAfter(x.writer.Header(), after)
	x.fail(http.StatusServiceUnavailable, reason)
}

// fail answers with a failure of the router's own.
func (x *exchange) fail(status int, reason string) {
	x.status, x.outcome = status, reason
	platform.SetAttempt(x.writer.Header(), x.headers.Attempt)
	http.Error(x.writer, reason, status)
}

// abort breaks the connection, so that an answer that is not whole does not look it.
func (x *exchange) abort(reason string) {
	x.outcome = reason
	panic(http.ErrAbortHandler)
}

// end logs how the request ended.
func (x *exchange) end() {
	took := time.Since(x.began)
	x.router.metrics.ended(x.outcome, took)
	events.Log(x.logger, events.RequestEnded, log.Fields{
		"service": x.service, "outcome": x.outcome, "status": x.status, "attempts": x.attempts,
		"took": took.String(), "lastEvent": x.lastEvent, "version": x.version,
	})
}
