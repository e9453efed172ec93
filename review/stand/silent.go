package main

import (
	"fmt"
	"time"

	"chervilswitch.example/platform/platformtest"
)

// playSilent removes a key right after all open channels to the store have gone silent, and
// reports whether requests with it run when the machine is in touch again.
func playSilent(d *deployment, trouble bool) (broken bool, err error) {
	const inTouchAfter, applyTime = 3 * time.Second, 2 * time.Second
	routes := []platformtest.Route{{Prefix: "/status/", Kind: "safe", Service: "order-desk", Attempts: 2, Timeout: time.Second, Objective: 100 * time.Millisecond}}
	d.store.PutConfiguration(platformtest.Configuration(1, routes, map[string]string{"key": "tenant", "dropped": "other"}))
	q := newRequests()
	for i := range 3 {
		s, err := q.startShop(fmt.Sprintf("i-%04d", i+1), 15*time.Millisecond)
		if err != nil {
			return false, err
		}
		d.register(s, func() map[string]any { return s.Registration("order-desk", "zone-a", "ready") })
	}
	p, err := startProxy(d.store.address)
	if err != nil {
		return false, err
	}
	d.storeProxy = func(int) *proxy { return p }
	if err := d.startRouters("zone-a"); err != nil {
		return false, err
	}
	r := d.routers[0]
	time.Sleep(7*time.Second + silentPhase)
	at := time.Now()
	if trouble {
		d.printf("%d open channels to the store go silent", p.silence())
	}
	time.Sleep(100 * time.Millisecond)
	d.store.PutConfiguration(platformtest.Configuration(2, routes, map[string]string{"key": "tenant"}))
	acked := time.Now()
	d.printf("version 2, without one key, is acknowledged")
	c := newCaller()
	late := 0
	for n := 0; time.Since(at) < 12*time.Second; n++ {
		s := q.send(c, r, platformtest.Call{Method: "GET", Path: "/status/1", Attempt: fmt.Sprintf("s-%d", n), Key: "dropped", Left: time.Second})
		if len(s.runs) > 0 && s.at.Sub(at) > inTouchAfter && s.at.Sub(acked) > applyTime {
			late++
		}
		if s.status != 200 {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	d.printf("%d requests with the dropped key ran", late)
	q.print(d.record)
	return late > 0, nil
}

var silentPhase time.Duration
