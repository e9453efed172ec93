package control

import "time"

const (
	priorities = 10
	// maxExpectedWait is the longest wait that a queued request may expect; it is
	// half of the time within which a first token is due.
	maxExpectedWait = 150 * time.Millisecond
	// queueTimeout is when a queued request is refused for good.
	queueTimeout = 250 * time.Millisecond
	// minQueueBound is the queue's bound while the rate is low or not yet known.
	minQueueBound = 4
	// rateTimeConstant smooths the rate at which the queue empties.
	rateTimeConstant = time.Second
)

// queued is a request that waits for a target.
type queued struct {
	id      RequestID
	arrived time.Time
}

// fairQueue holds waiting requests by priority and organisation. Within a
// priority each organisation gets its weight in turn (deficit round robin with
// requests of equal cost). The zero value is empty.
type fairQueue struct {
	levels [priorities]level
	length int
	// rate is the smoothed number of requests that left for a target in a second.
	rate     float64
	rateAt   time.Time
	dequeued int
}

// level is one priority's queues in turn order.
type level struct {
	organisations []*organisationQueue
	byName        map[string]*organisationQueue
}

// organisationQueue is one organisation's queue.
type organisationQueue struct {
	name    string
	weight  int
	deficit int
	waiting []queued
}

// push adds a request behind its organisation's others.
func (q *fairQueue) push(priority int, organisation string, weight int, r queued) {
	l := &q.levels[min(max(priority, 0), priorities-1)]
	if l.byName == nil {
		l.byName = make(map[string]*organisationQueue)
	}
	t, ok := l.byName[organisation]
	if !ok {
		t = &organisationQueue{name: organisation}
		l.byName[organisation] = t
		l.organisations = append(l.organisations, t)
	}
	t.weight = weight
	t.waiting = append(t.waiting, r)
	q.length++
}

// pop takes the next request, highest priority first.
func (q *fairQueue) pop() (queued, bool) {
	for p := priorities - 1; p >= 0; p-- {
		if r, ok := q.levels[p].pop(); ok {
			q.length--
			q.dequeued++
			return r, true
		}
	}
	return queued{}, false
}

func (l *level) pop() (queued, bool) {
	if len(l.organisations) == 0 {
		return queued{}, false
	}
	t := l.organisations[0]
	if t.deficit == 0 {
		t.deficit = t.weight
	}
	r := t.waiting[0]
	t.waiting = t.waiting[1:]
	t.deficit--
	switch {
	case len(t.waiting) == 0:
		l.organisations = l.organisations[1:]
		delete(l.byName, t.name)
	case t.deficit == 0:
		l.organisations = append(l.organisations[1:], t)
	}
	return r, true
}

// pushFront puts a request back in front after no target was free for it.
func (q *fairQueue) pushFront(priority int, organisation string, weight int, r queued) {
	q.dequeued--
	l := &q.levels[min(max(priority, 0), priorities-1)]
	if t, ok := l.byName[organisation]; ok {
		t.waiting = append([]queued{r}, t.waiting...)
		t.deficit++
		q.length++
		return
	}
	q.push(priority, organisation, weight, r)
}

// accepts reports whether a request that joins now can expect a target within
// the budget, given its priority and what waits ahead of it.
func (q *fairQueue) accepts(priority int) bool {
	ahead := 0
	for p := min(max(priority, 0), priorities-1); p < priorities; p++ {
		for _, t := range q.levels[p].organisations {
			ahead += len(t.waiting)
		}
	}
	bound := max(minQueueBound, int(q.rate*maxExpectedWait.Seconds()))
	return ahead < bound
}

// updateRate updates the rate at which requests leave.
func (q *fairQueue) updateRate(now time.Time) {
	if q.rateAt.IsZero() {
		q.rateAt, q.dequeued = now, 0
		return
	}
	passed := now.Sub(q.rateAt)
	if passed < rateTimeConstant/4 {
		return
	}
	share := min(1, passed.Seconds()/rateTimeConstant.Seconds())
	q.rate += share * (float64(q.dequeued)/passed.Seconds() - q.rate)
	q.rateAt, q.dequeued = now, 0
}

// expire removes and returns the requests that waited too long.
func (q *fairQueue) expire(now time.Time) []RequestID {
	var late []RequestID
	for p := range q.levels {
		l := &q.levels[p]
		kept := l.organisations[:0]
		for _, t := range l.organisations {
			for len(t.waiting) > 0 && now.Sub(t.waiting[0].arrived) > queueTimeout {
				late = append(late, t.waiting[0].id)
				t.waiting = t.waiting[1:]
				q.length--
			}
			if len(t.waiting) == 0 {
				delete(l.byName, t.name)
				continue
			}
			kept = append(kept, t)
		}
		l.organisations = kept
	}
	return late
}
