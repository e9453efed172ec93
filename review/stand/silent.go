package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"chervilswitch.example/platform/platformtest"
)

const (
	// inTouchAfter is the stabilityWindowMs of the small sites, and applyTime their
	// configurationApplyMs.
	inTouchAfter = 3 * time.Second
	applyTime    = 2 * time.Second
	// settleTime is how long the routers run before. Then the channels go silent pollAge after a
	// read of the operators' records began, of the 2 s that it lasts while there are none.
	settleTime = 5 * time.Second
	pollAge    = 1955 * time.Millisecond
	// watchTime is how long deposits are sent after that.
	watchTime = 8 * time.Second
)

// moveConfiguration returns a configuration in which deposits go to a service.
func moveConfiguration(version int, service string) map[string]any {
	route := func(prefix, service string) platformtest.Route {
		return platformtest.Route{Prefix: prefix, Kind: "unsafe", Service: service, Attempts: 1, Timeout: time.Second, Objective: 100 * time.Millisecond}
	}
	return platformtest.Configuration(version, []platformtest.Route{
		route("/deposits/", service), route("/desk/", "order-desk"), route("/ledger/", "ledger"),
	}, map[string]string{"key": "tenant"})
}

// playSilent moves a route to another service right after all open channels to the store have
// gone silent, and reports whether the old service gets requests that were sent later than
// applyTime after the ack, while all machines are in touch.
func playSilent(d *deployment, trouble bool) (broken bool, err error) {
	zones := []string{"tn-north-a", "tn-north-a", "tn-north-b", "tn-north-c"}
	d.store.PutConfiguration(moveConfiguration(1, "order-desk"))
	q := newRequests()
	for _, service := range []string{"order-desk", "ledger"} {
		for _, zone := range zones[1:] {
			s, err := q.startShop(service+"-"+zone, 15*time.Millisecond)
			if err != nil {
				return false, err
			}
			d.register(s, func() map[string]any { return s.Registration(service, zone, "ready") })
		}
	}
	p, err := startProxy(d.store.address)
	if err != nil {
		return false, err
	}
	d.storeProxy = func(int) *proxy { return p }
	if err := d.startRouters(zones...); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	began := time.Now()
	for !d.store.lastRead("keyed.op").After(began) {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(time.Until(d.store.lastRead("keyed.op").Add(pollAge)))
	silent := time.Now()
	if trouble {
		d.printf("%d open channels to the store go silent; new ones work", p.silence())
	}
	time.Sleep(100 * time.Millisecond)
	d.store.PutConfiguration(moveConfiguration(2, "ledger"))
	acked := time.Now()
	d.printf("version 2, which moves deposits from order-desk to ledger, is acknowledged")
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i, r := range d.routers {
		callers.Go(func() { sendDeposits(q, r, fmt.Sprint(i+1), stop) })
	}
	time.Sleep(time.Until(silent.Add(watchTime)))
	close(stop)
	callers.Wait()
	late, last := 0, time.Duration(0)
	for _, s := range q.order {
		for _, r := range s.runs {
			if strings.HasPrefix(r.replica, "order-desk") && s.at.Sub(acked) > applyTime && s.at.Sub(silent) > inTouchAfter {
				late, last = late+1, max(last, s.at.Sub(acked))
			}
		}
	}
	d.printf("the old service ran %d deposits that were sent later than %s after the ack and %s after the channels went silent, the last %.3f s after the ack", late, applyTime, inTouchAfter, last.Seconds())
	q.print(d.record)
	return late > 0, nil
}
