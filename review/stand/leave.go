package main

import (
	"fmt"
	"sync"
	"time"

	"chervilswitch.example/platform/platformtest"
)

const (
	// deskGap is the pause between two replicas of a release, the first of which leaves
	// firstLeaves after the channels have gone silent.
	deskGap     = time.Second
	firstLeaves = 500 * time.Millisecond
)

// fleet is a deployment with the bounds of its site.
type fleet struct {
	zones []string // Of the routers.
	// desks is the number of replicas, of which some are replaced.
	desks, leaving int
	// drain is drainMs, touch is stabilityWindowMs, and serveOn is how long a replica serves
	// after the ack of its removal: "at times many seconds" longer than drainMs.
	drain, touch, serveOn time.Duration
}

var (
	smallFleet = fleet{
		zones: []string{"tn-north-a", "tn-north-a", "tn-north-b", "tn-north-c"}, desks: 6, leaving: 3,
		drain: 2 * time.Second, touch: inTouchAfter, serveOn: 10 * time.Second,
	}
	largeFleet = fleet{zones: drainZones, desks: 12, leaving: 5, drain: drainTime, touch: 4 * time.Second, serveOn: drainTime + lingerTime}
)

// playLeave replaces replicas one after the other right after all open channels to the store
// have gone silent. It reports whether a router that is in touch again sent a request to one
// later than drainMs after the store had acknowledged that it is gone.
func (f fleet) playLeave(d *deployment, trouble bool) (broken bool, err error) {
	d.store.PutConfiguration(moveConfiguration(1, "order-desk"))
	q, count := newRequests(), 0
	next := func() (*platformtest.Replica, error) {
		count++
		s, err := q.startShop(fmt.Sprintf("i-%04d", count), 15*time.Millisecond)
		if err == nil {
			zone := f.zones[count%len(f.zones)]
			d.register(s, func() map[string]any { return s.Registration("order-desk", zone, "ready") })
		}
		return s, err
	}
	var live []*platformtest.Replica
	for range f.desks {
		s, err := next()
		if err != nil {
			return false, err
		}
		live = append(live, s)
	}
	p, err := startProxy(d.store.address)
	if err != nil {
		return false, err
	}
	d.storeProxy = func(int) *proxy { return p }
	if err := d.startRouters(f.zones...); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i, r := range d.routers {
		for j := range callersOfEach {
			callers.Go(func() { sendDeposits(q, r, fmt.Sprintf("%d-%d", i+1, j+1), stop) })
		}
	}
	time.Sleep(settleTime)
	silent := time.Now()
	if trouble {
		d.printf("%d open channels to the store go silent; new ones work", p.silence())
	}
	var left []leaving
	for i, old := range live[:f.leaving] {
		fresh, err := next()
		if err != nil {
			return false, err
		}
		time.Sleep(time.Until(silent.Add(firstLeaves + time.Duration(i)*deskGap)))
		l := leaving{old, d.withdraw(old)}
		left = append(left, l)
		d.printf("the store has removed %s; %s has come", old.ID, fresh.ID)
		time.AfterFunc(f.serveOn, old.Close)
	}
	time.Sleep(time.Until(left[len(left)-1].acked.Add(f.serveOn)))
	close(stop)
	callers.Wait()
	touch := silent.Add(f.touch)
	for _, l := range left {
		late, last, routers := 0, time.Duration(0), make(map[string]bool)
		for _, s := range q.order {
			for _, r := range s.runs {
				if r.replica == l.ID && s.at.After(touch) && r.at.Sub(l.acked) > f.drain {
					late, last, routers[s.entry] = late+1, max(last, r.at.Sub(l.acked)), true
				}
			}
		}
		d.printf("%s got %d requests later than %s after the ack, sent by %d routers later than %s after the channels went silent, the last %.3f s after the ack", l.ID, late, f.drain, len(routers), f.touch, last.Seconds())
		broken = broken || late > 0
	}
	q.print(d.record)
	return broken, nil
}
