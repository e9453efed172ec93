package caller

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"chervilswitch.example/platform"
	"chervilswitch.example/router/core"
	"chervilswitch.example/router/target"
	"chervilswitch.example/shared/admission"
	"chervilswitch.example/shared/events"
	"chervilswitch.example/shared/fleet"
	"chervilswitch.example/shared/intake"

	"github.com/apex/log"
)

const (
	// maxBufferedBytes bounds the part of a response that is buffered before any of it
	// is forwarded, so that a response cut off within it can be retried.
	maxBufferedBytes = 256 << 10
	// attemptShare is the fraction of the remaining time that an attempt at an
	// idempotent request may take before another target is tried.
	attemptShare = 0.4
	// firstEventTimeout is how long an attempt at a stream may take to its first event
	// before another target is tried; callers abort after 2 s.
	firstEventTimeout = 1200 * time.Millisecond
	// stallPollInterval is how often a stalled group is checked again. An attempt on it
	// is not retried meanwhile: another rank would not respond sooner.
	stallPollInterval = 200 * time.Millisecond
	// writeGrace is how long after its deadline a response may still be written. A caller
	// that does not read must not hold a target.
	writeGrace = 500 * time.Millisecond
	// stallGrace is how long an attempt may take to its first event once its group has
	// resumed: the prompts that waited are processed first.
	stallGrace = 400 * time.Millisecond
)

var (
	errAttemptTimeout = errors.New("target sent no response before the attempt timeout")
	errMoved          = errors.New("request moved off a target that slows its group down")
)

// exchange is one request of a caller and its response.
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
	urgency      *int // The priority; nil if all requests of the service have the same.
	service      string
	limits       fleet.Limits
	body         []byte
	// client is the caller's connection, and counts what is held for it.
	client *intake.Connection
	// identity is equal for requests with the same content; see contentIdentity.
	identity string
	deadline time.Time

	id        admission.RequestID
	decisions core.Decisions
	// started reports whether the response to the caller has started.
	started bool
	// lastEvent is the id of the last event that was forwarded to the caller.
	lastEvent string
	// mayHaveRun reports whether an attempt may have run at its target.
	mayHaveRun bool
	// groupDown reports whether a target refused because its group waits for a rank.
	groupDown bool
	attempts  atomic.Int32
	status    int
	outcome   string
}

// serve submits the request to the core and executes attempts until it is finished.
func (x *exchange) serve() {
	elapsed := time.Duration(0)
	if left := x.headers.Left; left > 0 {
		elapsed = max(0, x.route.Timeout-left)
	}
	x.deadline = x.began.Add(x.timeout())
	if !x.mayStart() {
		x.refuse(stoppingRetryAfter, "stopping")
		return
	}
	ctx, cancel := context.WithDeadline(x.request.Context(), x.deadline)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	defer context.AfterFunc(x.router.requests, func() { end(errStopping) })()
	// The HTTP server ends the deadline when the response is written. Writers without one are
	// those of tests.
	_ = http.NewResponseController(x.writer).SetWriteDeadline(x.deadline.Add(writeGrace))
	x.id, x.decisions = x.router.core.Submit(admission.Request{
		Service: x.service, Organisation: x.organisation, Priority: x.priority, RoutePriority: x.route.Priority,
		Objective: x.route.Objective, Elapsed: elapsed, Deadline: x.deadline,
		MaxGap: x.route.MaxGap, MaxAttempts: x.route.MaxAttempts, Movable: x.movable(), Repeatable: x.route.Repeatable(),
		SharedParts: x.headers.SharedParts, Identity: x.identity, Work: x.headers.Work,
	})
	defer x.router.core.Finish(x.id)
	for {
		select {
		case <-ctx.Done():
			x.expire(ctx)
			return
		case effect := <-x.decisions.Next:
			switch decision := effect.(type) {
			case admission.Refuse:
				x.handleRefusal(decision)
				return
			case admission.Dispatch:
				if !x.mayStart() {
					x.refuse(stoppingRetryAfter, "stopping")
					return
				}
				if x.attempt(ctx, decision) {
					return
				}
			}
		}
	}
}

// timeout returns how long the caller waits for the response.
func (x *exchange) timeout() time.Duration {
	timeout := x.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if left := x.headers.Left; left > 0 {
		timeout = min(timeout, left)
	}
	return timeout
}

// handleRefusal ends a request for which the core has no target or no further attempt.
func (x *exchange) handleRefusal(r admission.Refuse) {
	events.Log(x.logger, events.RequestTurnedAway, log.Fields{
		"service": x.service, "organisation": x.organisation, "sharedParts": x.headers.SharedParts, "identity": x.identity, "reason": r.Reason.String(), "retryAfter": r.RetryAfter.String(),
		"queued": r.Queued, "expectedWait": r.ExpectedWait.String(), "version": x.version, "mayHaveRun": x.mayHaveRun,
	})
	after := r.RetryAfter
	if x.groupDown {
		after = max(after, admission.GroupClosedRetryAfter)
	}
	switch {
	case x.started:
		x.abort("cutNotResumed")
	case x.mayHaveRun && r.Reason == admission.Quarantined:
		x.fail(http.StatusBadGateway, r.Reason.String())
	case x.mayHaveRun && !x.route.Repeatable():
		x.fail(http.StatusBadGateway, "mayHaveRun")
	case x.mayHaveRun:
		x.fail(http.StatusBadGateway, "attemptsFailed")
	default:
		x.refuse(after, r.Reason.String())
	}
}

// expire ends a request whose context has ended: its caller has disconnected, its deadline
// has passed, or the instance stops.
func (x *exchange) expire(ctx context.Context) {
	status, reason, retryAfter := http.StatusGatewayTimeout, "timeout", defaultRetryAfter
	if errors.Is(context.Cause(ctx), errStopping) {
		status, reason, retryAfter = http.StatusBadGateway, "stopping", stoppingRetryAfter
	}
	switch {
	case x.request.Context().Err() != nil:
		x.outcome = "callerLeft"
		panic(http.ErrAbortHandler)
	case x.started:
		x.abort(reason)
	case x.mayHaveRun:
		x.fail(status, reason)
	default:
		x.refuse(retryAfter, reason)
	}
}

// attempt sends the request to one target. It reports whether the request is finished;
// otherwise another decision of the core follows.
func (x *exchange) attempt(ctx context.Context, d admission.Dispatch) bool {
	events.Log(x.logger, events.RequestDispatched, log.Fields{
		"service": x.service, "route": x.route.Name, "organisation": x.organisation, "target": d.Target.ID,
		"sharedParts": x.headers.SharedParts, "identity": x.identity,
		"attempt": d.Attempt, "waited": d.Waited.String(), "running": d.Running, "limit": d.Limit, "home": d.Home, "outstanding": d.Outstanding.String(),
		"promptTokens": x.headers.Work.Prompt, "outputTokens": x.headers.Work.Output, "priority": x.priority, "urgent": x.urgency != nil, "version": x.version,
	})
	if d.HedgeAfter > 0 {
		return x.runPair(ctx, d)
	}
	a, ctx := x.begin(ctx, d.Target, nil)
	defer a.end()
	return a.run(ctx)
}

// begin returns an attempt that run executes and end ends, and its context. The pair is nil
// if no second attempt may follow.
func (x *exchange) begin(ctx context.Context, t fleet.Target, p *pair) (*attempt, context.Context) {
	x.attempts.Add(1)
	a := &attempt{exchange: x, target: t, pair: p, resumes: x.started, after: x.lastEvent, began: time.Now()}
	ctx, a.cancel = context.WithCancelCause(ctx)
	if timeout := x.attemptTimeout(); timeout > 0 {
		a.timer = time.NewTimer(timeout)
	}
	if x.movable() || a.timer != nil {
		go a.watch(ctx)
	}
	return a, ctx
}

// end releases what the attempt holds.
func (a *attempt) end() {
	a.cancel(nil)
	if a.timer != nil {
		a.timer.Stop()
	}
}

// watch cancels an attempt that is to continue at another target: its timer has expired
// while its group is not stalled, or the core moves the request.
func (a *attempt) watch(ctx context.Context) {
	var expired <-chan time.Time
	wasStalled := false
	if a.timer != nil {
		expired = a.timer.C
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.decisions.MoveRequested:
			a.leaveTarget()
			return
		case <-expired:
			switch groupStalled := a.router.core.Stalled(a.service, a.target.ID); {
			case groupStalled:
				wasStalled = true
				a.timer.Reset(stallPollInterval)
			case wasStalled:
				wasStalled = false
				a.timer.Reset(stallGrace)
			default:
				a.cancel(errAttemptTimeout)
				return
			}
		}
	}
}

// movable reports whether the response can resume at another target.
func (x *exchange) movable() bool { return x.route.Kind == fleet.Stream && x.route.Repeatable() }

// attemptTimeout returns how long an attempt may take without a response before
// another target is tried; 0 means that only the request's deadline applies.
func (x *exchange) attemptTimeout() time.Duration {
	if !x.route.Repeatable() || int(x.attempts.Load()) >= x.route.MaxAttempts {
		return 0
	}
	if x.route.Kind == fleet.Stream {
		return firstEventTimeout
	}
	return time.Duration(attemptShare * float64(time.Until(x.deadline)))
}

// writeResponse forwards a complete response. The place at the target and the connection are
// free from then on: a caller that does not read must not hold them.
func (x *exchange) writeResponse(response *target.Response, body []byte) {
	_ = response.Body.Close() // The body is complete.
	x.router.core.Finish(x.id)
	x.startResponse(response)
	if x.request.Method != http.MethodHead {
		x.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.writer.WriteHeader(response.StatusCode)
	x.outcome = "answered"
	if _, err := x.writer.Write(body); err != nil {
		x.outcome = "callerLeft"
	}
}

// startResponse copies the headers of a target's response and marks the response to the
// caller as started.
func (x *exchange) startResponse(response *target.Response) {
	h := x.writer.Header()
	for name, values := range platform.EndToEndHeaders(response.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // Keeps the HTTP server from detecting one.
	}
	x.status = response.StatusCode
	x.started = true
}

// refuse responds that the request has not run and when the caller may retry.
func (x *exchange) refuse(after time.Duration, reason string) {
	platform.SetRetryAfter(x.writer.Header(), after)
	x.fail(http.StatusServiceUnavailable, reason)
}

// fail responds with an error of the router itself.
func (x *exchange) fail(status int, reason string) {
	x.status, x.outcome = status, reason
	platform.SetAttempt(x.writer.Header(), x.headers.Attempt)
	http.Error(x.writer, reason, status)
}

// abort closes the caller's connection, so that an incomplete response is not taken for
// a complete one. It does not return.
func (x *exchange) abort(reason string) {
	x.outcome = reason
	panic(http.ErrAbortHandler)
}

// recordEnd logs the outcome of the request and updates the metrics.
func (x *exchange) recordEnd() {
	took := time.Since(x.began)
	x.router.metrics.recordRequest(x.outcome, took)
	events.Log(x.logger, events.RequestEnded, log.Fields{
		"service": x.service, "outcome": x.outcome, "status": x.status, "attempts": x.attempts.Load(),
		"took": took.String(), "lastEvent": x.lastEvent, "version": x.version,
	})
}
