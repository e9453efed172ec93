package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"chervilswitch.example/platform/platformtest"
)

// ran is one request that a replica received.
type ran struct {
	replica string
	at      time.Time
}

// sent is one request of a caller: when it was sent and to which router, where it ran, and
// how it was answered.
type sent struct {
	attempt, entry string
	at, answered   time.Time
	status         int
	err            error
	runs           []ran
}

// requests holds the requests of a run by their ID.
type requests struct {
	mutex sync.Mutex
	byID  map[string]*sent
	order []*sent
}

func newRequests() *requests { return &requests{byID: make(map[string]*sent)} }

// send sends a request, waits for its answer and notes both.
func (q *requests) send(c *caller, r *router, call platformtest.Call) *sent {
	s := &sent{attempt: call.Attempt, entry: r.name, at: time.Now()}
	q.mutex.Lock()
	q.byID[s.attempt] = s
	q.order = append(q.order, s)
	q.mutex.Unlock()
	status, err := c.send(r.callers, call)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	s.answered, s.status, s.err = time.Now(), status, err
	return s
}

// noteRun notes that a replica runs a request.
func (q *requests) noteRun(attempt, replica string) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if s := q.byID[attempt]; s != nil {
		s.runs = append(s.runs, ran{replica, time.Now()})
	}
}

// runsAfter returns the requests that reached a replica after a time.
func (q *requests) runsAfter(replica string, at time.Time) (late []ran) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for _, s := range q.order {
		for _, r := range s.runs {
			if r.replica == replica && r.at.After(at) {
				late = append(late, r)
			}
		}
	}
	return late
}

// print writes a line for each request to the record, and the number of answers by status.
func (q *requests) print(d *record) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	statuses := make(map[int]int)
	d.printf("all requests, with times since the start: sent, run, answered")
	for _, s := range q.order {
		var runs []string
		for _, r := range s.runs {
			runs = append(runs, fmt.Sprintf("ran at %s %.3f", r.replica, r.at.Sub(d.start).Seconds()))
		}
		if len(runs) == 0 {
			runs = []string{"did not run"}
		}
		answer := fmt.Sprintf("status %d", s.status)
		if s.err != nil {
			answer += ", then the channel ended"
		}
		fmt.Fprintf(d.file, "%s to %s: sent %.3f, %s, %s %.3f\n", s.attempt, s.entry, s.at.Sub(d.start).Seconds(), strings.Join(runs, ", "), answer, s.answered.Sub(d.start).Seconds())
		statuses[s.status]++
	}
	var codes []int
	for status := range statuses {
		codes = append(codes, status)
	}
	slices.Sort(codes)
	for _, status := range codes {
		d.printf("answers with status %d: %d", status, statuses[status])
	}
}

// startShop starts a plain replica that works on each request for a time.
func (q *requests) startShop(id string, work time.Duration) (*platformtest.Replica, error) {
	return platformtest.StartReplica(id, func(w *platformtest.ResponseWriter, r platformtest.Run) {
		q.noteRun(r.Attempt, id)
		time.Sleep(work)
		w.WriteResponse(200, "done")
	})
}
