package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"chervilswitch.example/platform/platformtest"
)

// refusedAfterRun lets one of six replicas fail a part of the requests that it has run: it
// answers with a status that promises callers that the request has not run, without the
// header in which replicas make this promise. It breaks the rule if a request that may run
// once gets such a status although it has run.
func refusedAfterRun(r *recorder, trouble bool) (string, error) {
	const (
		routers, replicas, slots = 4, 6, 6
		callersEach              = 4 // At each router.
		requestsEach             = 150
		failEvery                = 3 // Of the faulty replica's requests.
		routeTimeout             = time.Second
		service                  = "order-desk"
	)
	statuses := []int{http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusServiceUnavailable}
	configuration := platformtest.Configuration(1, []platformtest.Route{
		{Prefix: "/deposit/", Kind: "unsafe", Service: service, Attempts: 1, Timeout: routeTimeout, Objective: 100 * time.Millisecond},
	}, map[string]string{key: organisation})
	d, store, err := newDeployment(r, trouble, configuration)
	if err != nil {
		return "", err
	}
	defer d.stop()
	var mutex sync.Mutex
	runs := make(map[string]int) // By attempt.
	deposits := make(map[string]int)
	failed := 0
	for i := range replicas {
		id := fmt.Sprintf("i-%d", i)
		count := 0
		_, err := d.addReplica(id, service, fmt.Sprintf("zone-%c", 'a'+i%3), slots, func(w *platformtest.ResponseWriter, run platformtest.Run) {
			time.Sleep(15 * time.Millisecond)
			mutex.Lock()
			runs[run.Attempt]++
			deposits[run.Body]++
			count++
			status := http.StatusOK
			if trouble && i == 0 && count%failEvery == 0 {
				status = statuses[failed%len(statuses)]
				failed++
			}
			mutex.Unlock()
			r.log("run      %s at %s, its answer %d", run.Attempt, id, status)
			w.WriteResponse(status, "deposit "+run.Body)
		})
		if err != nil {
			return "", err
		}
	}
	if err := d.startRouters(routers, store); err != nil {
		return "", err
	}

	var group sync.WaitGroup
	refused := make(map[int][]string) // Attempts that have run, by the status that denies it.
	twice := 0
	for _, entry := range d.routers {
		for c := range callersEach {
			group.Go(func() {
				client := &http.Client{Transport: &http.Transport{}}
				for n := range requestsEach {
					deposit := fmt.Sprintf("%s-%d-%d", entry.name, c, n)
					// Callers repeat a request that may run once only after a promise.
					for try := range 2 {
						id := fmt.Sprintf("%s-try-%d", deposit, try)
						got := send(client, 2*routeTimeout, entry.callers, platformtest.Call{
							Method: http.MethodPost, Path: "/deposit/a", Attempt: id, Key: key, Body: deposit, Left: routeTimeout,
						})
						r.log("answered %s status %d signed %t", id, got.status, got.signed)
						promise := got.status == 429 || got.status == 503 || got.status == 408 || got.status == 421
						mutex.Lock()
						if promise && runs[id] > 0 {
							refused[got.status] = append(refused[got.status], id)
						}
						mutex.Unlock()
						if !promise {
							break
						}
					}
				}
			})
		}
	}
	group.Wait()
	var found []string
	for _, status := range statuses {
		if ids := refused[status]; len(ids) > 0 {
			found = append(found, fmt.Sprintf("%d with status %d", len(ids), status))
		}
	}
	for deposit, count := range deposits {
		if count > 1 {
			twice++
			r.log("deposit %s was recorded %d times", deposit, count)
		}
	}
	r.log("%d answers of the faulty replica; refused although they had run: %v; deposits recorded more than once: %d", failed, found, twice)
	if trouble && failed < len(statuses) {
		return "", fmt.Errorf("the faulty replica answered only %d requests wrongly", failed)
	}
	if len(found) > 0 {
		return "requests that had run were answered as not run: " + strings.Join(found, ", "), nil
	}
	return "", nil
}
