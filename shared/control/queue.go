package control

import "time"

const (
	// priorities is the number of priorities, 0 to 9.
	priorities = 10
	// maxExpectedWait is the expected wait above which requests are not queued: half
	// of the latency objective for the first token.
	maxExpectedWait = 150 * time.Millisecond
	// queueTimeout is how long a request may be queued before it is refused.
	queueTimeout = 250 * time.Millisecond
	// minQueueBound is the minimum limit on the queue's length, which applies while the
	// dequeue rate is low or unknown.
	minQueueBound = 4
	// rateTimeConstant is the time constant of the smoothed dequeue rate.
	rateTimeConstant = time.Second
)

// queued is a request that waits for a target.
type queued struct {
	id      RequestID
	arrived time.Time
}

// fairQueue queues requests by priority and organisation. Within a priority it
// serves organisations by deficit round robin: each gets as many requests per round
// as its weight, and all requests have the same cost. The zero value is empty.
type fairQueue struct {
	levels [priorities]level
	length int
	// rate is the smoothed number of requests dequeued per second.
	rate   float64
	rateAt time.Time
	// dequeued counts the requests dequeued since rateAt.
	dequeued int
}

// level holds the queues of one priority in round-robin order.
type level struct {
	organisations []*organisationQueue
	byName        map[string]*organisationQueue
}

// organisationQueue is an organisation's queue at one priority. deficit is the number
// of requests that it may still dequeue in the current round.
type organisationQueue struct {
	name    string
	weight  int
	deficit int
	waiting []queued
}

// push adds a request at the end of its organisation's queue.
func (q *fairQueue) push(priority int, organisation string, weight int, r queued) {
	l := &q.levels[min(max(priority, 0), priorities-1)]
	if l.byName == nil {
		l.byName = make(map[string]*organisationQueue)
	}
	o, ok := l.byName[organisation]
	if !ok {
		o = &organisationQueue{name: organisation}
		l.byName[organisation] = o
		l.organisations = append(l.organisations, o)
	}
	o.weight = weight
	o.waiting = append(o.waiting, r)
	q.length++
}

// pop removes and returns the next request, highest priority first.
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

// pop removes and returns the next request of the priority.
func (l *level) pop() (queued, bool) {
	if len(l.organisations) == 0 {
		return queued{}, false
	}
	o := l.organisations[0]
	if o.deficit == 0 {
		o.deficit = o.weight
	}
	r := o.waiting[0]
	o.waiting = o.waiting[1:]
	o.deficit--
	switch {
	case len(o.waiting) == 0:
		l.organisations = l.organisations[1:]
		delete(l.byName, o.name)
	case o.deficit == 0:
		l.organisations = append(l.organisations[1:], o)
	}
	return r, true
}

// pushFront returns a popped request to the front of its organisation's queue, since
// no target is free for it.
func (q *fairQueue) pushFront(priority int, organisation string, weight int, r queued) {
	q.dequeued--
	l := &q.levels[min(max(priority, 0), priorities-1)]
	if o, ok := l.byName[organisation]; ok {
		o.waiting = append([]queued{r}, o.waiting...)
		o.deficit++
		q.length++
		return
	}
	q.push(priority, organisation, weight, r)
}

// accepts reports whether a request with this priority that is queued now can expect a
// target within maxExpectedWait, given the requests ahead of it.
func (q *fairQueue) accepts(priority int) bool {
	ahead := 0
	for p := min(max(priority, 0), priorities-1); p < priorities; p++ {
		for _, o := range q.levels[p].organisations {
			ahead += len(o.waiting)
		}
	}
	bound := max(minQueueBound, int(q.rate*maxExpectedWait.Seconds()))
	return ahead < bound
}

// updateRate updates the smoothed dequeue rate.
func (q *fairQueue) updateRate(now time.Time) {
	if q.rateAt.IsZero() {
		q.rateAt, q.dequeued = now, 0
		return
	}
	elapsed := now.Sub(q.rateAt)
	if elapsed < rateTimeConstant/4 {
		return
	}
	weight := min(1, elapsed.Seconds()/rateTimeConstant.Seconds())
	q.rate += weight * (float64(q.dequeued)/elapsed.Seconds() - q.rate)
	q.rateAt, q.dequeued = now, 0
}

// expire removes and returns the requests that were queued for longer than
// queueTimeout.
func (q *fairQueue) expire(now time.Time) []RequestID {
	var expired []RequestID
	for p := range q.levels {
		l := &q.levels[p]
		remaining := l.organisations[:0]
		for _, o := range l.organisations {
			for len(o.waiting) > 0 && now.Sub(o.waiting[0].arrived) > queueTimeout {
				expired = append(expired, o.waiting[0].id)
				o.waiting = o.waiting[1:]
				q.length--
			}
			if len(o.waiting) == 0 {
				delete(l.byName, o.name)
				continue
			}
			remaining = append(remaining, o)
		}
		l.organisations = remaining
	}
	return expired
}
