package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"chervilswitch.example/platform/platformtest"
)

// crashHang lets one of six replicas crash while it works on requests, three times in turn.
// It breaks the rule if, of the requests that have no answer at their route's timeout, more
// than half have none half a second later.
func crashHang(r *recorder, trouble bool) (string, error) {
	const (
		routers, replicas, slots = 4, 6, 12
		callersEach              = 16 // At each router.
		workTime                 = 300 * time.Millisecond
		routeTimeout             = 2 * time.Second
		answerSlack              = 500 * time.Millisecond
		patience                 = 6 * time.Second
		playTime                 = 26 * time.Second
		crashes                  = 3
		crashAfter, downTime     = 3 * time.Second, 4 * time.Second
		service                  = "order-desk"
	)
	configuration := platformtest.Configuration(1, []platformtest.Route{
		{Prefix: "/status/", Kind: "safe", Service: service, Attempts: 2, Timeout: routeTimeout, Objective: 500 * time.Millisecond},
	}, map[string]string{key: organisation})
	d, store, err := newDeployment(r, trouble, configuration)
	if err != nil {
		return "", err
	}
	defer d.stop()
	for i := range replicas {
		id := fmt.Sprintf("i-%d", i)
		_, err := d.addReplica(id, service, fmt.Sprintf("zone-%c", 'a'+i%3), slots, func(w *platformtest.ResponseWriter, run platformtest.Run) {
			r.log("run      %s at %s", run.Attempt, id)
			time.Sleep(workTime)
			w.WriteResponse(http.StatusOK, "status of "+run.URI)
		})
		if err != nil {
			return "", err
		}
	}
	if err := d.startRouters(routers, store); err != nil {
		return "", err
	}

	var (
		mutex           sync.Mutex
		sent, atTimeout int // Requests, and those without an answer at the route's timeout.
		unanswered      = make(map[string]int)
		group           sync.WaitGroup
	)
	end := time.Now().Add(playTime)
	for _, entry := range d.routers {
		for c := range callersEach {
			group.Go(func() {
				client := &http.Client{Transport: &http.Transport{}}
				for n := 0; time.Now().Before(end); n++ {
					id := fmt.Sprintf("%s-%d-%d", entry.name, c, n)
					r.log("sent     %s to %s", id, entry.name)
					got := send(client, patience, entry.callers, platformtest.Call{
						Method: http.MethodGet, Path: "/status/" + id, Attempt: id, Key: key,
					})
					r.log("answered %s status %d after %s error %v", id, got.status, got.took.Round(time.Millisecond), got.err)
					mutex.Lock()
					sent++
					if got.took > routeTimeout {
						atTimeout++
					}
					if got.status == 0 && got.took > routeTimeout+answerSlack {
						unanswered[entry.name]++
					}
					mutex.Unlock()
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	for n := 0; trouble && n < crashes; n++ {
		time.Sleep(crashAfter)
		replica := d.replicas[n]
		r.log("%s crashes", replica.ID)
		replica.Crash()
		time.Sleep(downTime)
		replica.Restart()
		d.register(replica, service, fmt.Sprintf("zone-%c", 'a'+n%3), slots)
		r.log("%s is back", replica.ID)
	}
	group.Wait()

	total := 0
	for _, entry := range d.routers {
		total += unanswered[entry.name]
		r.log("%s left %d requests unanswered; ready: %t", entry.name, unanswered[entry.name], platformtest.Ready(entry.readiness))
	}
	r.log("sent %d, unanswered at the route's timeout %d, of them unanswered %s later %d", sent, atTimeout, answerSlack, total)
	if sent < routers*callersEach {
		return "", fmt.Errorf("only %d requests were sent", sent)
	}
	if 2*total > atTimeout {
		return fmt.Sprintf("%d of %d requests without an answer at the route's timeout of %s had none %s later", total, atTimeout, routeTimeout, answerSlack), nil
	}
	return "", nil
}
