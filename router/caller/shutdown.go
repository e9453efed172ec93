package caller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"chervilswitch.example/shared/events"

	"github.com/apex/log"
)

const (
	// listenShare is the fraction of the grace period in which a stopping instance still
	// accepts connections, since callers cache its address.
	listenShare = 0.45
	// answerMargin is reserved at the end of the grace period to answer the requests that
	// are still in flight, and closeMargin of it to close connections.
	answerMargin = 400 * time.Millisecond
	closeMargin  = 150 * time.Millisecond
	// stoppingRetryAfter is the Retry-After of requests that a stopping instance refuses.
	// Other instances can take them at once.
	stoppingRetryAfter = 50 * time.Millisecond
)

var errStopping = errors.New("the instance stops")

// plannedStop is the schedule of a planned stop.
type plannedStop struct {
	began time.Time
	grace time.Duration
}

// listenEnd is when the instance stops to accept connections.
func (p plannedStop) listenEnd() time.Time {
	return p.began.Add(time.Duration(listenShare * float64(p.grace)))
}

// answerEnd is when requests in flight are answered, and closeEnd when connections close.
func (p plannedStop) answerEnd() time.Time { return p.began.Add(p.grace - answerMargin) }
func (p plannedStop) closeEnd() time.Time  { return p.began.Add(p.grace - closeMargin) }

// mayStart reports whether a request that no target has received may be sent to one: it
// must be able to finish, so its deadline is at answerEnd at the latest.
func (p plannedStop) mayStart(deadline time.Time) bool { return !deadline.After(p.answerEnd()) }

// isStopping reports whether a planned stop has begun.
func (r *Router) isStopping() bool { return r.stop.Load() != nil }

// shutdown accepts connections until listenEnd, waits for the requests in flight, and
// answers those that are left at answerEnd.
func (r *Router) shutdown(callers *http.Server) error {
	stop := plannedStop{began: time.Now(), grace: time.Duration(r.current.Load().GracePeriod)}
	events.Log(r.logger, events.Stopping, log.Fields{"grace": stop.grace.String()})
	r.stop.Store(&stop)
	r.entries.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), stop.closeEnd())
	defer cancel()
	go r.publishRegistration(ctx, true)
	answer := time.AfterFunc(time.Until(stop.answerEnd()), r.endRequests)
	defer answer.Stop()
	listen := time.NewTimer(time.Until(stop.listenEnd()))
	defer listen.Stop()
	<-listen.C
	if err := callers.Shutdown(ctx); err != nil {
		events.Log(r.logger, events.RequestFailed, log.Fields{"error": err.Error(), "after": time.Since(stop.began).String()})
	}
	return nil
}

// mayStart reports whether the request may be sent to its first target; see
// plannedStop.mayStart. Later attempts go on: the request may have run.
func (x *exchange) mayStart() bool {
	stop := x.router.stop.Load()
	return stop == nil || x.started || x.mayHaveRun || stop.mayStart(x.deadline)
}
