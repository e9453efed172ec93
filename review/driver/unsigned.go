package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"chervilswitch.example/platform/platformtest"
)

// unsigned lets one of six replicas spoil a part of its answers: they say 200, with the ID
// of the request, but have no signature, and the body is not the service's. It breaks the
// rule if a caller gets a success without a signature.
func unsigned(r *recorder, trouble bool) (string, error) {
	const (
		routers, replicas, slots = 4, 6, 6
		callersEach              = 4 // At each router.
		requestsEach             = 200
		spoilEvery               = 33 // Of the faulty replica's answers, 3 in 100.
		routeTimeout             = time.Second
		service                  = "order-desk"
		spoiled                  = "<html>gateway restarted</html>"
	)
	configuration := platformtest.Configuration(1, []platformtest.Route{
		{Prefix: "/deposit/", Kind: "unsafe", Service: service, Attempts: 1, Timeout: routeTimeout, Objective: 100 * time.Millisecond},
		{Prefix: "/status/", Kind: "safe", Service: service, Attempts: 2, Timeout: routeTimeout, Objective: 100 * time.Millisecond},
	}, map[string]string{key: organisation})
	d, store, err := newDeployment(r, trouble, configuration)
	if err != nil {
		return "", err
	}
	defer d.stop()
	var mutex sync.Mutex
	spoiledCount := 0
	for i := range replicas {
		id := fmt.Sprintf("i-%d", i)
		count := 0
		_, err := d.addReplica(id, service, fmt.Sprintf("zone-%c", 'a'+i%3), slots, func(w *platformtest.ResponseWriter, run platformtest.Run) {
			time.Sleep(15 * time.Millisecond)
			mutex.Lock()
			count++
			spoil := trouble && i == 0 && count%spoilEvery == 0
			if spoil {
				spoiledCount++
			}
			mutex.Unlock()
			r.log("run      %s at %s, answer spoiled %t", run.Attempt, id, spoil)
			if spoil {
				w.WriteUnsigned("200 OK", fmt.Sprintf("Content-Type: text/html\r\nContent-Length: %d\r\n\r\n%s", len(spoiled), spoiled))
				return
			}
			w.WriteResponse(http.StatusOK, "result of "+run.Attempt)
		})
		if err != nil {
			return "", err
		}
	}
	if err := d.startRouters(routers, store); err != nil {
		return "", err
	}

	var group sync.WaitGroup
	paths := []string{"/deposit/a", "/status/a"}
	bare := make(map[string]int) // Successes without a signature, by path.
	successes := 0
	for _, entry := range d.routers {
		for c := range callersEach {
			group.Go(func() {
				client := &http.Client{Transport: &http.Transport{}}
				for n := range requestsEach {
					id := fmt.Sprintf("%s-%d-%d", entry.name, c, n)
					path := paths[n%len(paths)]
					got := send(client, 2*routeTimeout, entry.callers, platformtest.Call{
						Method: http.MethodPost, Path: path, Attempt: id, Key: key, Body: id, Left: routeTimeout,
					})
					r.log("answered %s %s status %d signed %t body %q", id, path, got.status, got.signed, got.body)
					mutex.Lock()
					if got.status/100 == 2 {
						successes++
						if !got.signed {
							bare[path]++
						}
					}
					mutex.Unlock()
				}
			})
		}
	}
	group.Wait()
	r.log("%d spoiled answers; %d successes, of them without a signature: %v", spoiledCount, successes, bare)
	if trouble && spoiledCount == 0 {
		return "", fmt.Errorf("the faulty replica got no requests")
	}
	if len(bare) > 0 {
		return fmt.Sprintf("successes without a signature reached callers: %v of %d spoiled answers", bare, spoiledCount), nil
	}
	return "", nil
}
