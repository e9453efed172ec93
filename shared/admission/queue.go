package admission

import (
	"cmp"
	"slices"
	"time"
)

// activeRequest is a request that waits or runs.
type activeRequest struct {
	request     Request
	parts       []string  // See Request.parts.
	queuedSince time.Time // Time of submission, or of the last retry that had to wait.
	attempts    int
	// attemptsRun counts the attempts that a target may have executed.
	attemptsRun int
	// tried lists the targets of earlier attempts.
	tried []string
	// target is the ID of the target that runs the request; empty while it waits.
	target string
	// moving is true from a Move until the Retry that follows.
	moving bool
	// responseStarted is true if the caller has received a part of the response.
	responseStarted bool
	// outstanding is what the request adds to its target, and unread the part of its time
	// for the prompt until the first event. written counts the output tokens of all
	// attempts.
	outstanding outstanding
	unread      time.Duration
	written     int
	// answered is true if a target has sent output for the request.
	answered bool
	// advance is by how much the request goes before its priority; see State.thin.
	advance int
	// refuseAt is when the request is refused if it still waits.
	refuseAt time.Time
	hedge    hedgeState
}

// rank returns the priority at which the request waits.
func (e *activeRequest) rank() int { return e.request.Priority - e.advance }

// queue orders waiting requests by priority. Within a priority it serves organisations
// round-robin, and the requests of one organisation in order of arrival, after its
// retries. The zero value is empty.
type queue struct {
	levels []level
	length int
}

// level holds the requests of one priority, by organisation in round-robin order.
type level struct {
	priority      int
	organisations []*organisationQueue
}

// organisationQueue holds the waiting requests of one organisation, first to last.
type organisationQueue struct {
	organisation string
	waiting      []*activeRequest
}

// push adds a request behind the others of its organisation.
func (q *queue) push(e *activeRequest) {
	o := q.organisationQueue(e)
	o.waiting = append(o.waiting, e)
	q.length++
}

// pushFront adds a request before the others of its organisation.
func (q *queue) pushFront(e *activeRequest) {
	o := q.organisationQueue(e)
	o.waiting = slices.Insert(o.waiting, 0, e)
	q.length++
}

// organisationQueue returns the queue of a request's organisation and priority, and
// creates it if necessary.
func (q *queue) organisationQueue(e *activeRequest) *organisationQueue {
	at, found := slices.BinarySearchFunc(q.levels, e.rank(), func(l level, p int) int { return cmp.Compare(l.priority, p) })
	if !found {
		q.levels = slices.Insert(q.levels, at, level{priority: e.rank()})
	}
	l := &q.levels[at]
	for _, o := range l.organisations {
		if o.organisation == e.request.Organisation {
			return o
		}
	}
	o := &organisationQueue{organisation: e.request.Organisation}
	l.organisations = append(l.organisations, o)
	return o
}

// take removes and returns the first request that fits, or nil. It considers only the
// first request of each organisation. An organisation whose request is taken goes to the
// end of its priority; the others keep their places.
func (q *queue) take(fits func(*activeRequest) bool) *activeRequest {
	for i := range q.levels {
		l := &q.levels[i]
		for at, o := range l.organisations {
			if !fits(o.waiting[0]) {
				continue
			}
			e := o.waiting[0]
			o.waiting = o.waiting[1:]
			l.organisations = slices.Delete(l.organisations, at, at+1)
			if len(o.waiting) > 0 {
				l.organisations = append(l.organisations, o)
			}
			q.length--
			return e
		}
	}
	return nil
}

// remove removes and returns the requests that match.
func (q *queue) remove(matches func(*activeRequest) bool) []*activeRequest {
	var removed []*activeRequest
	for i := range q.levels {
		l := &q.levels[i]
		for _, o := range l.organisations {
			o.waiting = slices.DeleteFunc(o.waiting, func(e *activeRequest) bool {
				if !matches(e) {
					return false
				}
				removed = append(removed, e)
				return true
			})
		}
		l.organisations = slices.DeleteFunc(l.organisations, func(o *organisationQueue) bool { return len(o.waiting) == 0 })
	}
	q.length -= len(removed)
	return removed
}

// each calls a function for each waiting request.
func (q *queue) each(visit func(*activeRequest)) {
	for _, l := range q.levels {
		for _, o := range l.organisations {
			for _, e := range o.waiting {
				visit(e)
			}
		}
	}
}

// ahead returns the number of waiting requests of the same or a more urgent priority.
func (q *queue) ahead(priority int) int {
	count := 0
	for _, l := range q.levels {
		if l.priority > priority {
			break
		}
		for _, o := range l.organisations {
			count += len(o.waiting)
		}
	}
	return count
}
