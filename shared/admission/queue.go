package admission

import (
	"cmp"
	"slices"
	"time"
)

// entry is a request in the reducer, waiting or running.
type entry struct {
	request  Request
	arrived  time.Time
	attempts int
	// ran counts attempts that may have run.
	ran int
	// tried lists the targets that did not serve it.
	tried []string
	// target is where it runs; empty while it waits.
	target string
	// moving tells that it was asked to leave its target.
	moving bool
	// started tells that its caller has a part of the answer.
	started bool
	// giveUp is when a waiting request is refused.
	giveUp time.Time
}

// queue orders waiting requests by priority. Within a priority, organisations take
// turns, and an organisation's requests keep their order. The zero value is empty.
type queue struct {
	levels []level
	length int
}

// level is the requests of one priority: organisations in the order of their turns.
type level struct {
	priority int
	turns    []*turn
}

// turn is one organisation's waiting requests.
type turn struct {
	organisation string
	waiting      []*entry
}

// push adds a request behind its organisation's others.
func (q *queue) push(e *entry) {
	t := q.turn(e)
	t.waiting = append(t.waiting, e)
	q.length++
}

// pushFront puts a request before its organisation's others.
func (q *queue) pushFront(e *entry) {
	t := q.turn(e)
	t.waiting = slices.Insert(t.waiting, 0, e)
	q.length++
}

// turn finds or makes the organisation's turn.
func (q *queue) turn(e *entry) *turn {
	at, found := slices.BinarySearchFunc(q.levels, e.request.Priority, func(l level, p int) int { return cmp.Compare(l.priority, p) })
	if !found {
		q.levels = slices.Insert(q.levels, at, level{priority: e.request.Priority})
	}
	l := &q.levels[at]
	for _, t := range l.turns {
		if t.organisation == e.request.Organisation {
			return t
		}
	}
	t := &turn{organisation: e.request.Organisation}
	l.turns = append(l.turns, t)
	return t
}

// take removes the first request, in the queue's order, that fits. The order of
// turns changes only by what is taken.
func (q *queue) take(fits func(*entry) bool) *entry {
	for i := range q.levels {
		l := &q.levels[i]
		for at, t := range l.turns {
			if !fits(t.waiting[0]) {
				continue
			}
			e := t.waiting[0]
			t.waiting = t.waiting[1:]
			l.turns = slices.Delete(l.turns, at, at+1)
			if len(t.waiting) > 0 {
				l.turns = append(l.turns, t)
			}
			q.length--
			return e
		}
	}
	return nil
}

// remove takes out the requests that match.
func (q *queue) remove(matches func(*entry) bool) []*entry {
	var removed []*entry
	for i := range q.levels {
		l := &q.levels[i]
		for _, t := range l.turns {
			t.waiting = slices.DeleteFunc(t.waiting, func(e *entry) bool {
				if !matches(e) {
					return false
				}
				removed = append(removed, e)
				return true
			})
		}
		l.turns = slices.DeleteFunc(l.turns, func(t *turn) bool { return len(t.waiting) == 0 })
	}
	q.length -= len(removed)
	return removed
}

// ahead counts the requests that go before a new one of a priority.
func (q *queue) ahead(priority int) int {
	count := 0
	for _, l := range q.levels {
		if l.priority > priority {
			break
		}
		for _, t := range l.turns {
			count += len(t.waiting)
		}
	}
	return count
}
