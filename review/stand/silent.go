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
	// maxRounds is how often the channels go silent, until the rule is broken.
	maxRounds = 3
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
// gone silent, up to maxRounds times. It reports whether the old service gets requests that were
// sent later than applyTime after the ack, while all machines are in touch.
func playSilent(d *deployment, trouble bool) (broken bool, err error) {
	zones := []string{"tn-north-a", "tn-north-a", "tn-north-b", "tn-north-c"}
	services := []string{"order-desk", "ledger"}
	d.store.PutConfiguration(moveConfiguration(1, services[0]))
	q := newRequests()
	for _, service := range services {
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
	for round := 0; round < maxRounds && !broken; round++ {
		broken = d.moveRoute(q, p, round+2, services[round%2], services[(round+1)%2], trouble)
	}
	q.print(d.record)
	return broken, nil
}

// moveRoute lets the channels to the store go silent, moves the route with a version from one
// service to another, and reports whether the old service gets requests too late.
func (d *deployment) moveRoute(q *requests, p *proxy, version int, from, to string, trouble bool) bool {
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
	d.store.PutConfiguration(moveConfiguration(version, to))
	acked := time.Now()
	d.printf("version %d, which moves deposits from %s to %s, is acknowledged", version, from, to)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i, r := range d.routers {
		callers.Go(func() { sendDeposits(q, r, fmt.Sprintf("v%d-%d", version, i+1), stop) })
	}
	time.Sleep(time.Until(silent.Add(watchTime)))
	close(stop)
	callers.Wait()
	late, last := 0, time.Duration(0)
	for _, s := range q.order {
		for _, r := range s.runs {
			if s.at.After(acked) && strings.HasPrefix(r.replica, from) && s.at.Sub(acked) > applyTime && s.at.Sub(silent) > inTouchAfter {
				late, last = late+1, max(last, s.at.Sub(acked))
			}
		}
	}
	d.printf("%s ran %d deposits that were sent later than %s after the ack and %s after the channels went silent, the last %.3f s after the ack", from, late, applyTime, inTouchAfter, last.Seconds())
	return late > 0
}
