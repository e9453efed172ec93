package main

import (
	"fmt"
	"net/http"
	"time"

	"chervilswitch.example/platform/platformtest"
)

// revokedKey takes a key away from a caller, who goes on using it on a route that allows
// requests without a key. It breaks the rule if a request with the key runs later than the
// time in which a configuration must be in force.
func revokedKey(r *recorder, trouble bool) (string, error) {
	const (
		routers, replicas, slots = 4, 3, 6
		requests                 = 40
		applyTime                = 2 * time.Second
		slack                    = time.Second
		routeTimeout             = time.Second
		service                  = "order-desk"
		openPath, closedPath     = "/open/a", "/status/a"
		otherKey                 = "key-2"
	)
	routes := []platformtest.Route{
		{Prefix: "/open/", Kind: "safe", Service: service, Attempts: 2, Timeout: routeTimeout, Objective: 100 * time.Millisecond, Anonymous: true},
		{Prefix: "/status/", Kind: "safe", Service: service, Attempts: 2, Timeout: routeTimeout, Objective: 100 * time.Millisecond},
	}
	d, store, err := newDeployment(r, trouble, platformtest.Configuration(1, routes, map[string]string{key: organisation, otherKey: "workshop-2"}))
	if err != nil {
		return "", err
	}
	defer d.stop()
	for i := range replicas {
		id := fmt.Sprintf("i-%d", i)
		_, err := d.addReplica(id, service, fmt.Sprintf("zone-%c", 'a'+i%3), slots, func(w *platformtest.ResponseWriter, run platformtest.Run) {
			r.log("run      %s %s at %s for tenant %q", run.Attempt, run.URI, id, run.Tenant)
			w.WriteResponse(http.StatusOK, "result of "+run.Attempt)
		})
		if err != nil {
			return "", err
		}
	}
	if err := d.startRouters(routers, store); err != nil {
		return "", err
	}
	client := &http.Client{Transport: &http.Transport{}}
	call := func(id, path string, entry *router) result {
		got := send(client, 2*routeTimeout, entry.callers, platformtest.Call{Method: http.MethodGet, Path: path, Attempt: id, Key: key, Left: routeTimeout})
		r.log("answered %s %s status %d signed %t", id, path, got.status, got.signed)
		return got
	}
	for i, entry := range d.routers {
		for _, path := range []string{openPath, closedPath} {
			if got := call(fmt.Sprintf("before-%d", i), path, entry); got.status != http.StatusOK {
				return "", fmt.Errorf("%s answered %d before the key was taken away", entry.name, got.status)
			}
		}
	}
	if trouble {
		d.store.PutConfiguration(platformtest.Configuration(2, routes, map[string]string{otherKey: "workshop-2"}))
		r.log("version 2 takes %s away", key)
	} else {
		d.store.PutConfiguration(platformtest.Configuration(2, routes, map[string]string{key: organisation, otherKey: "workshop-2"}))
		r.log("version 2 changes nothing")
	}
	time.Sleep(applyTime + slack)
	denied, ran := 0, 0
	for n := range requests {
		entry := d.routers[n%routers]
		if call(fmt.Sprintf("closed-%d", n), closedPath, entry).status == http.StatusUnauthorized {
			denied++
		}
		if got := call(fmt.Sprintf("open-%d", n), openPath, entry); got.status == http.StatusOK && got.signed {
			ran++
		}
	}
	r.log("later than %s after version 2: %d of %d denied on the route that needs a key, %d of %d run on the open one", applyTime, denied, requests, ran, requests)
	switch {
	case trouble && denied < requests:
		return "", fmt.Errorf("the key is not taken away: %d of %d denied", denied, requests)
	case trouble && ran > 0:
		return fmt.Sprintf("%d of %d requests with a key that version 2 dropped ran %s after it", ran, requests, applyTime+slack), nil
	case !trouble && ran < requests:
		return "", fmt.Errorf("%d of %d requests ran without trouble", ran, requests)
	}
	return "", nil
}
