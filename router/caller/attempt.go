package caller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"chervilswitch.example/platform"
	"chervilswitch.example/router/target"
	"chervilswitch.example/shared/admission"
	"chervilswitch.example/shared/events"
	"chervilswitch.example/shared/fleet"

	"github.com/apex/log"
)

var (
	errBodyTooLong  = errors.New("body of an error response exceeds the maximum of 256 KiB")
	errContradicted = errors.New("other bytes follow the response that states that the request has not run")
	errNoStream     = errors.New("response does not continue the stream, expected an event stream with status 200")
	errForeign      = errors.New("response is not from the target's service, expected a signature and a body without encoding")
)

// idleCloseTime is the time within which a target resets a request that is sent on a
// connection that it has closed while it was idle. Reading a prompt takes longer.
const idleCloseTime = 30 * time.Millisecond

// attempt is one attempt to serve a request at a target.
type attempt struct {
	*exchange
	target fleet.Target
	began  time.Time
	// cancel ends the attempt.
	cancel context.CancelCauseFunc
	// pair is nil if no second attempt may run beside this one.
	pair *pair
	// dropped is true if the attempt has ended while the other one of its pair goes on.
	dropped bool
	// resumes is true if the response to the caller had started before the attempt, and after
	// is the id of the last event that it had received.
	resumes bool
	after   string
	// timeToFirst is the time from the start of the attempt to the first event of a
	// stream, or to the whole body of another response.
	timeToFirst time.Duration
	// begun reports whether the target has sent the head of a response.
	begun bool
	// rateLimit is the rate limit that the response names; see platform.TargetHeaders.
	rateLimit float64
	// pause and leaving are what the response says of the target; see platform.TargetHeaders.
	pause   time.Duration
	leaving bool
	// timer expires at the attempt timeout; nil if only the request's deadline applies.
	timer *time.Timer
}

// run sends the request to the target and forwards the response. It reports whether the
// request is finished; otherwise another decision of the core follows.
func (a *attempt) run(ctx context.Context) bool {
	forwarded := platform.ForwardMetadata{
		Instance: a.target.ID, Organisation: a.organisation,
		Left: time.Until(a.deadline), LastEvent: a.after, Priority: a.urgency, Repeated: a.attempts.Load() > 1,
	}
	response, err := a.router.pool.Do(ctx, a.target, &target.Request{
		Method: a.request.Method, URI: a.request.RequestURI, Host: a.request.Host,
		Attempt: a.headers.Attempt, Header: platform.ForwardedHeaders(a.request.Header, forwarded),
		Body: a.body, HasBody: a.request.ContentLength != 0,
	})
	switch {
	case errors.Is(err, target.ErrNotSent):
		return a.retryOrEnd(ctx, admission.Unreachable, false, err)
	case err != nil:
		return a.retryOrEnd(ctx, admission.Broken, true, err)
	}
	defer response.Body.Close()
	a.begun, a.rateLimit = true, response.Headers.RateLimit
	a.pause, a.leaving = response.Headers.Pause, response.Headers.Leaving
	a.reportHead(response)
	switch {
	case response.Headers.NotRun:
		return a.handleNotRun(ctx, response)
	case !response.Headers.IsFromService():
		return a.retryOrEnd(ctx, admission.Failed, true, errForeign)
	case response.StatusCode >= http.StatusInternalServerError, claimsNotRun(response.StatusCode):
		return a.handleFailure(ctx, response)
	case a.resumes && !continuesStream(response):
		return a.retryOrEnd(ctx, admission.Failed, true, errNoStream)
	case a.route.Kind == fleet.Stream && response.StatusCode == http.StatusOK:
		return a.forwardStream(ctx, response)
	default:
		return a.forwardResponse(ctx, response)
	}
}

// continuesStream reports whether a response of the target's service may hold the rest of a
// stream.
func continuesStream(response *target.Response) bool {
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream" && response.StatusCode == http.StatusOK
}

// reportHead reports the limit that the target's response names, and which requests the
// target wants. Responses that the target may have sent without consulting its service do
// not end a limit, and those of another target at its address say nothing.
func (a *attempt) reportHead(response *target.Response) {
	if response.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	now := time.Now()
	head := admission.ResponseHead{Notice: admission.TargetNotice{Target: a.target.ID, Incarnation: a.target.Incarnation, Leaving: a.leaving}}
	if a.pause > 0 {
		head.Notice.PausedUntil = now.Add(a.pause)
	}
	if a.rateLimit > 0 || response.Headers.Signed && !response.Headers.NotRun {
		head.Limit = admission.TargetLimit{Target: a.target.ID, Incarnation: a.target.Incarnation, PerSecond: a.rateLimit, At: now}
	}
	a.router.core.HandleEvent(head)
}

// handleNotRun handles a response that states that the request has not run: another
// target uses the address, the target's group waits for another rank, or the target is
// full.
func (a *attempt) handleNotRun(ctx context.Context, response *target.Response) bool {
	if response.Discard() {
		return a.retryOrEnd(ctx, admission.Failed, true, errContradicted)
	}
	outcome := admission.Full
	switch {
	case response.StatusCode == http.StatusMisdirectedRequest && response.Headers.WaitsFor == "":
		outcome = admission.Misplaced
	case response.Headers.WaitsFor != "" && response.Headers.WaitsFor != a.target.ID:
		outcome = admission.GroupDown
	}
	return a.retryOrEnd(ctx, outcome, false, nil)
}

// claimsNotRun reports whether a status tells callers that the request has not run and
// never will. Targets state this in a header; without it the request may have run.
func claimsNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// handleFailure handles a response of a target that failed to serve the request, which may
// have run. A repeatable request is retried while attempts are left. Otherwise the response
// is forwarded, unless it claims that the request has not run or the response to the caller
// has already started.
func (a *attempt) handleFailure(ctx context.Context, response *target.Response) bool {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedBytes+1))
	if err == nil && len(body) > maxBufferedBytes {
		err = errBodyTooLong
	}
	if err != nil {
		return a.retryOrEnd(ctx, admission.Broken, true, err)
	}
	if a.route.Repeatable() && int(a.attempts.Load()) < a.route.MaxAttempts || a.resumes || claimsNotRun(response.StatusCode) {
		return a.retryOrEnd(ctx, admission.Failed, true, nil)
	}
	if a.drop(ctx, admission.Failed, true, nil) {
		return false
	}
	a.reportOutcome(admission.Failed, nil)
	a.writeResponse(response, body)
	return true
}

// forwardResponse forwards a response that is not an event stream. It buffers up to
// maxBufferedBytes, so that a response that is cut off within them can be retried.
func (a *attempt) forwardResponse(ctx context.Context, response *target.Response) bool {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedBytes+1))
	if err != nil {
		return a.retryOrEnd(ctx, admission.Broken, true, err)
	}
	if !a.claim() {
		return !a.drop(ctx, admission.Good, true, nil)
	}
	a.client.Add(int64(cap(body)))
	a.timeToFirst = time.Since(a.began)
	if len(body) <= maxBufferedBytes {
		a.reportOutcome(admission.Good, nil)
		a.writeResponse(response, body)
		return true
	}
	a.startResponse(response)
	_, err = io.Copy(a.writer, io.MultiReader(bytes.NewReader(body), response.Body))
	if err != nil {
		a.reportOutcome(admission.Broken, err)
		a.abort("answerCut")
	}
	a.reportOutcome(admission.Good, nil)
	a.outcome = "answered"
	return true
}

// forwardStream forwards events as they arrive. A stream that is cut off resumes at
// another target after the last event that was forwarded.
func (a *attempt) forwardStream(ctx context.Context, response *target.Response) bool {
	reader := newEventReader(response.Body)
	controller := http.NewResponseController(a.writer)
	last := time.Time{}
	for {
		event, id, err := reader.next()
		if errors.Is(err, io.EOF) && (a.resumes || !last.IsZero()) {
			a.reportOutcome(admission.Good, nil)
			a.outcome = "answered"
			return true
		}
		if err != nil {
			return a.retryOrEnd(ctx, admission.Broken, true, err)
		}
		now := time.Now()
		if last.IsZero() {
			if !a.claim() {
				return !a.drop(ctx, admission.Good, true, nil)
			}
			a.firstEvent(now, response, id)
		} else {
			a.router.core.HandleEvent(admission.StreamGap{ID: a.id, Service: a.service, Target: a.target.ID, Gap: now.Sub(last)})
			a.router.metrics.eventGap.RecordDuration(now.Sub(last))
		}
		last = now
		if !follows(a.lastEvent, id) {
			return a.retryOrEnd(ctx, admission.Broken, true, errors.New("event id "+id+" does not follow "+a.lastEvent))
		}
		_, err = a.writer.Write(event)
		if err == nil {
			err = controller.Flush()
		}
		if err != nil {
			a.reportOutcome(admission.Good, nil)
			a.outcome = "callerLeft"
			panic(http.ErrAbortHandler)
		}
		a.lastEvent = id
	}
}

// firstEvent stops the attempt's timer, reports the time to the first event, and starts
// the response unless an earlier attempt has started it.
func (a *attempt) firstEvent(now time.Time, response *target.Response, id string) {
	if a.timer != nil {
		a.timer.Stop()
	}
	a.timeToFirst = now.Sub(a.began)
	a.router.metrics.timeToFirst.RecordDuration(now.Sub(a.exchange.began))
	a.router.core.HandleEvent(admission.AttemptResult{ID: a.id, Service: a.service, Target: a.target.ID, Incarnation: a.target.Incarnation, Outcome: admission.Good, TimeToFirstOutput: a.timeToFirst})
	if a.resumes {
		events.Log(a.logger, events.StreamResumed, log.Fields{"target": a.target.ID, "after": a.lastEvent, "id": id})
		return
	}
	a.startResponse(response)
	a.writer.WriteHeader(response.StatusCode)
}

// follows reports whether id is the successor of last. It is true if last is not a
// number, which includes the first event.
func follows(last, id string) bool {
	before, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return true
	}
	after, err := strconv.ParseUint(id, 10, 64)
	return err == nil && after == before+1
}

// retryOrEnd requests another target if the request may be retried, and otherwise ends
// the request. It reports whether the request is finished.
func (a *attempt) retryOrEnd(ctx context.Context, outcome admission.Outcome, attemptMayHaveRun bool, cause error) bool {
	if a.drop(ctx, outcome, attemptMayHaveRun, cause) {
		return false
	}
	a.groupDown = a.groupDown || outcome == admission.GroupDown
	outcome, ended := endOf(ctx, outcome)
	if ended {
		a.mayHaveRun = a.mayHaveRun || attemptMayHaveRun
		a.reportOutcome(admission.Good, nil) // The caller disconnected, the deadline passed, or the instance stops.
		a.expire(ctx)
		return true
	}
	a.reportOutcome(outcome, cause)
	a.mayHaveRun = a.mayHaveRun || attemptMayHaveRun
	if attemptMayHaveRun && !a.route.Repeatable() {
		if a.started {
			a.abort("answerCut")
		}
		a.fail(http.StatusBadGateway, "mayHaveRun")
		return true
	}
	a.router.core.HandleEvent(admission.Retry{ID: a.id, MayHaveRun: attemptMayHaveRun, ResponseStarted: a.started})
	return false
}

// endOf returns the outcome of an attempt that failed with an outcome, or was cancelled
// before, and whether the request has ended with it.
func endOf(ctx context.Context, outcome admission.Outcome) (admission.Outcome, bool) {
	switch cause := context.Cause(ctx); {
	case ctx.Err() == nil || errors.Is(cause, errAttemptTimeout):
		return outcome, false
	case errors.Is(cause, errMoved):
		return admission.Moved, false
	default:
		return admission.Good, true
	}
}

// reportOutcome logs the outcome of the attempt and reports it to the core.
func (a *attempt) reportOutcome(outcome admission.Outcome, cause error) {
	fields := log.Fields{
		"service": a.service, "target": a.target.ID, "outcome": outcome.String(), "begun": a.begun,
		"took": time.Since(a.began).String(), "rateLimit": a.rateLimit, "pause": a.pause.String(), "leaving": a.leaving, "first": a.timeToFirst.String(), "lastEvent": a.lastEvent,
	}
	if cause != nil {
		fields["error"] = cause.Error()
	}
	events.Log(a.logger, events.AttemptEnded, fields)
	timeToFirst := a.timeToFirst
	if a.route.Kind == fleet.Stream {
		timeToFirst = 0 // It was reported with the first event.
	}
	a.router.core.HandleEvent(admission.AttemptResult{
		ID: a.id, Service: a.service, Target: a.target.ID, Incarnation: a.target.Incarnation, Outcome: outcome, TimeToFirstOutput: timeToFirst,
		Lost: outcome == admission.Broken && a.lostUnanswered(cause), Begun: a.begun,
	})
}

// lostUnanswered reports whether the target closed the connection while it worked on the
// request and had sent no output.
func (a *attempt) lostUnanswered(cause error) bool {
	return a.timeToFirst == 0 && target.ClosedByTarget(cause) && (a.begun || time.Since(a.began) > idleCloseTime)
}
