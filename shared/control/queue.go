package control

import "time"

const (
	priorities = 10
	// queueBudget is the longest wait that a queued request may expect; it is
	// half of the time within which a first token is due.
	queueBudget = 150 * time.Millisecond
	// queueTimeout is when a queued request is refused for good.
	queueTimeout = 250 * time.Millisecond
	// minQueued is the queue's bound while the rate is low or not yet known.
	minQueued = 4
	// rateHalfLife smooths the rate at which the queue empties.
	rateHalfLife = time.Second
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
	rate   float64
	rateAt time.Time
	taken  int
}

// level is one priority's queues in turn order.
type level struct {
	turns  []*turn
	byName map[string]*turn
}

// turn is one organisation's queue.
type turn struct {
	name    string
	weight  int
	deficit int
	waiting []queued
}

// push adds a request behind its organisation's others.
func (q *fairQueue) push(priority int, organisation string, weight int, r queued) {
	l := &q.levels[min(max(priority, 0), priorities-1)]
	if l.byName == nil {
		l.byName = make(map[string]*turn)
	}
	t, ok := l.byName[organisation]
	if !ok {
		t = &turn{name: organisation}
		l.byName[organisation] = t
		l.turns = append(l.turns, t)
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
			q.taken++
			return r, true
		}
	}
	return queued{}, false
}

func (l *level) pop() (queued, bool) {
	if len(l.turns) == 0 {
		return queued{}, false
	}
	t := l.turns[0]
	if t.deficit == 0 {
		t.deficit = t.weight
	}
	r := t.waiting[0]
	t.waiting = t.waiting[1:]
	t.deficit--
	switch {
	case len(t.waiting) == 0:
		l.turns = l.turns[1:]
		delete(l.byName, t.name)
	case t.deficit == 0:
		l.turns = append(l.turns[1:], t)
	}
	return r, true
}

// unpop puts a request back in front after no target was free for it.
func (q *fairQueue) unpop(priority int, organisation string, weight int, r queued) {
	q.taken--
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
		for _, t := range q.levels[p].turns {
			ahead += len(t.waiting)
		}
	}
	bound := max(minQueued, int(q.rate*queueBudget.Seconds()))
	return ahead < bound
}

// measure updates the rate at which requests leave.
func (q *fairQueue) measure(now time.Time) {
	if q.rateAt.IsZero() {
		q.rateAt, q.taken = now, 0
		return
	}
	passed := now.Sub(q.rateAt)
	if passed < rateHalfLife/4 {
		return
	}
	share := min(1, passed.Seconds()/rateHalfLife.Seconds())
	q.rate += share * (float64(q.taken)/passed.Seconds() - q.rate)
	q.rateAt, q.taken = now, 0
}

// expire removes and returns the requests that waited too long.
func (q *fairQueue) expire(now time.Time) []RequestID {
	var late []RequestID
	for p := range q.levels {
		l := &q.levels[p]
		kept := l.turns[:0]
		for _, t := range l.turns {
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
		l.turns = kept
	}
	return late
}
