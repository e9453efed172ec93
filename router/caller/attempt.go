package caller

import (
	"bytes"
	"context"
	"errors"
	"io"
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

// attempt is one try at a target.
type attempt struct {
	*exchange
	target fleet.Target
	began  time.Time
	first  time.Duration
	timer  *time.Timer
}

// run sends the request and passes the answer on.
func (a *attempt) run(ctx context.Context) bool {
	forwarded := platform.ForwardMetadata{
		Instance: a.target.ID, Organisation: a.organisation,
		Left: time.Until(a.deadline), LastEvent: a.lastEvent,
	}
	response, err := a.router.pool.Do(ctx, a.target, &target.Request{
		Method: a.request.Method, URI: a.request.RequestURI, Host: a.request.Host,
		Attempt: a.headers.Attempt, Header: platform.ForwardedHeaders(a.request.Header, forwarded),
		Body: a.body, HasBody: a.request.ContentLength != 0,
	})
	switch {
	case errors.Is(err, target.ErrNotSent):
		return a.again(ctx, admission.Unreachable, false, err)
	case err != nil:
		return a.again(ctx, admission.Broken, true, err)
	}
	defer response.Body.Close()
	switch {
	case response.Headers.NotRun:
		return a.notRun(ctx, response)
	case response.StatusCode >= http.StatusInternalServerError:
		return a.failed(ctx, response)
	case a.sent && response.StatusCode != http.StatusOK:
		return a.again(ctx, admission.Failed, true, nil)
	case a.route.Kind == fleet.Stream && response.StatusCode == http.StatusOK:
		return a.stream(ctx, response)
	default:
		return a.whole(ctx, response)
	}
}

// notRun handles an answer that says that the request has not run.
func (a *attempt) notRun(ctx context.Context, response *target.Response) bool {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxBuffered)) // Keeps the connection.
	outcome := admission.Full
	switch {
	case response.StatusCode == http.StatusMisdirectedRequest && response.Headers.WaitsFor == "":
		outcome = admission.Misplaced
	case response.Headers.WaitsFor != "" && response.Headers.WaitsFor != a.target.ID:
		outcome = admission.GroupDown
		a.groupDown = true
	}
	return a.again(ctx, outcome, false, nil)
}

// failed handles a target's own failure: a repeatable request is tried elsewhere
// while that is allowed, and otherwise the failure is the answer.
func (a *attempt) failed(ctx context.Context, response *target.Response) bool {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBuffered))
	if err != nil {
		return a.again(ctx, admission.Broken, true, err)
	}
	promise := response.StatusCode == http.StatusServiceUnavailable
	if a.route.Repeatable() && a.attempts < a.route.MaxAttempts || a.sent || promise {
		// A 503 would promise that the request has not run, which is not known.
		return a.again(ctx, admission.Failed, true, nil)
	}
	a.note(admission.Failed, nil)
	a.give(response, body)
	return true
}

// whole gives an answer that is not a stream of events. It is held until it is
// complete, so that a broken one can be replaced.
func (a *attempt) whole(ctx context.Context, response *target.Response) bool {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBuffered+1))
	if err != nil {
		return a.again(ctx, admission.Broken, true, err)
	}
	a.first = time.Since(a.began)
	if len(body) <= maxBuffered {
		a.note(admission.Good, nil)
		a.give(response, body)
		return true
	}
	a.begin(response)
	_, err = io.Copy(a.writer, io.MultiReader(bytes.NewReader(body), response.Body))
	if err != nil {
		a.note(admission.Broken, err)
		a.abort("answerCut")
	}
	a.note(admission.Good, nil)
	a.outcome = "answered"
	return true
}

// stream passes events on as they come. A stream that breaks off goes on at another
// target after the last event that was given.
func (a *attempt) stream(ctx context.Context, response *target.Response) bool {
	reader := newEventReader(response.Body)
	controller := http.NewResponseController(a.writer)
	resumed := a.sent
	last := time.Time{}
	for {
		event, id, err := reader.next()
		if errors.Is(err, io.EOF) && a.sent {
			a.note(admission.Good, nil)
			a.outcome = "answered"
			return true
		}
		if err != nil {
			return a.again(ctx, admission.Broken, true, err)
		}
		now := time.Now()
		if last.IsZero() {
			a.firstEvent(now, response, id, resumed)
		} else {
			a.router.core.Tell(admission.StreamGap{Service: a.service, Target: a.target.ID, Gap: now.Sub(last)})
			a.router.metrics.gap.RecordDuration(now.Sub(last))
		}
		last = now
		if !follows(a.lastEvent, id) {
			return a.again(ctx, admission.Broken, true, errors.New("event "+id+" does not follow "+a.lastEvent))
		}
		_, err = a.writer.Write(event)
		if err == nil {
			err = controller.Flush()
		}
		if err != nil {
			a.note(admission.Good, nil)
			a.outcome = "callerLeft"
			panic(http.ErrAbortHandler)
		}
		a.lastEvent = id
	}
}

// firstEvent gives the head of the answer, once.
func (a *attempt) firstEvent(now time.Time, response *target.Response, id string, resumed bool) {
	if a.timer != nil {
		a.timer.Stop()
	}
	a.first = now.Sub(a.began)
	a.router.metrics.first.RecordDuration(now.Sub(a.exchange.began))
	a.router.core.Tell(admission.AttemptResult{Service: a.service, Target: a.target.ID, Outcome: admission.Good, TimeToFirstOutput: a.first})
	if resumed {
		events.Log(a.logger, events.StreamResumed, log.Fields{"target": a.target.ID, "after": a.lastEvent, "id": id})
		return
	}
	a.begin(response)
	a.writer.WriteHeader(response.StatusCode)
}

// follows reports whether an event comes right after another one.
func follows(last, id string) bool {
	before, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return true
	}
	after, err := strconv.ParseUint(id, 10, 64)
	return err == nil && after == before+1
}

// again asks for another target, if the request may have one, and otherwise ends it.
func (a *attempt) again(ctx context.Context, outcome admission.Outcome, ran bool, cause error) bool {
	switch cause := context.Cause(ctx); {
	case ctx.Err() == nil || errors.Is(cause, errFirstEvent):
	case errors.Is(cause, errMoved):
		outcome = admission.Moved
	default:
		a.mayHaveRun = a.mayHaveRun || ran
		a.note(admission.Good, nil) // The caller left or the time is over.
		a.expire()
		return true
	}
	a.note(outcome, cause)
	a.mayHaveRun = a.mayHaveRun || ran
	if ran && !a.route.Repeatable() {
		if a.sent {
			a.abort("answerCut")
		}
		a.fail(http.StatusBadGateway, "mayHaveRun")
		return true
	}
	if outcome == admission.GroupDown && !a.sent {
		a.router.core.Finish(a.id)
		if a.mayHaveRun {
			a.fail(http.StatusBadGateway, "groupDown")
		} else {
			a.refuse(admission.GroupClosedRetryAfter, "groupDown")
		}
		return true
	}
	a.router.core.Tell(admission.Retry{ID: a.id, MayHaveRun: ran, ResponseStarted: a.sent})
	return false
}

// note logs how an attempt ended and tells the reducer.
func (a *attempt) note(outcome admission.Outcome, cause error) {
	fields := log.Fields{
		"service": a.service, "target": a.target.ID, "outcome": outcome.String(),
		"took": time.Since(a.began).String(), "first": a.first.String(), "lastEvent": a.lastEvent,
	}
	if cause != nil {
		fields["error"] = cause.Error()
	}
	events.Log(a.logger, events.AttemptEnded, fields)
	first := a.first
	if a.route.Kind == fleet.Stream {
		first = 0 // It was told with the first event.
	}
	a.router.core.Tell(admission.AttemptResult{Service: a.service, Target: a.target.ID, Outcome: outcome, TimeToFirstOutput: first})
}
