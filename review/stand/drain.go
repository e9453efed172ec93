package main

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"chervilswitch.example/platform/platformtest"
)

// The bounds of the grown site, and doses that it names.
const (
	// drainTime is drainMs.
	drainTime = 3 * time.Second
	// lingerTime is how much longer than drainTime a replica serves: "at times many seconds".
	lingerTime = 8 * time.Second
	// cutTime is how long two of twelve routers are cut off from the store.
	cutTime = 5500 * time.Millisecond
	// releaseGap is the pause between two replicas of a release.
	releaseGap = 800 * time.Millisecond
	shops      = 12
	// callersOfEach is the number of callers of each router, and workTime how long a replica
	// works on a request.
	callersOfEach = 2
	workTime      = 60 * time.Millisecond
)

var drainZones = []string{
	"zone-alloa", "zone-alloa", "zone-alloa", "zone-falkirk", "zone-falkirk", "zone-falkirk",
	"zone-perth", "zone-perth", "zone-perth", "zone-stirling", "zone-stirling", "zone-stirling",
}

// leaving is a replica that the store has removed.
type leaving struct {
	*platformtest.Replica
	acked time.Time
}

// playDrain cuts two routers off from the store, and then replaces the replicas of a service
// one after the other. It reports whether another router sent a request to one later than
// drainTime after the store had acknowledged that it is gone.
func playDrain(d *deployment, trouble bool) (broken bool, err error) {
	d.store.PutConfiguration(platformtest.Configuration(1, []platformtest.Route{
		{Prefix: "/deposits/", Kind: "unsafe", Service: "order-desk", Attempts: 1, Timeout: time.Second, Objective: 100 * time.Millisecond},
	}, map[string]string{"key": "tenant"}))
	q, count := newRequests(), 0
	next := func() (*platformtest.Replica, error) {
		count++
		s, err := q.startShop(fmt.Sprintf("i-%04d", count), workTime)
		if err == nil {
			zone := drainZones[count%shops]
			d.register(s, func() map[string]any { return s.Registration("order-desk", zone, "ready") })
		}
		return s, err
	}
	var live []*platformtest.Replica
	for range shops {
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
	d.storeProxy = func(router int) *proxy {
		if router < 2 {
			return p
		}
		return nil
	}
	if err := d.startRouters(drainZones...); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i, r := range d.routers[2:] {
		for j := range callersOfEach {
			callers.Go(func() { sendDeposits(q, r, fmt.Sprintf("%d-%d", i+3, j+1), stop) })
		}
	}
	time.Sleep(5 * time.Second)
	if trouble {
		p.cut()
		d.printf("%s and %s are cut off from the store", d.routers[0].name, d.routers[1].name)
	}
	time.Sleep(cutTime)
	if trouble {
		p.heal()
		d.printf("they reach the store again")
	}
	left, err := d.release(live, next)
	close(stop)
	callers.Wait()
	for _, l := range left {
		late := q.runsAfter(l.ID, l.acked.Add(drainTime))
		if len(late) == 0 {
			d.printf("%s got no request later than %s after the ack of its leaving", l.ID, drainTime)
			continue
		}
		broken = true
		d.printf("%s got %d requests later than %s after the ack of its leaving, the last %.3f s after the ack", l.ID, len(late), drainTime, late[len(late)-1].at.Sub(l.acked).Seconds())
	}
	q.print(d.record)
	return broken, err
}

// release replaces replicas one after the other. The new one starts first. The old one doesn't
// report that it drains: its registration is removed, it serves on for a while, and ends.
func (d *deployment) release(live []*platformtest.Replica, next func() (*platformtest.Replica, error)) (left []leaving, err error) {
	var ends sync.WaitGroup
	defer ends.Wait()
	for _, old := range slices.Clone(live) {
		fresh, err := next()
		if err != nil {
			return left, err
		}
		time.Sleep(releaseGap / 2)
		acked := d.withdraw(old)
		d.printf("the store has removed %s; %s has come", old.ID, fresh.ID)
		left = append(left, leaving{old, acked})
		ends.Go(func() {
			time.Sleep(drainTime + lingerTime)
			old.Close()
			d.printf("%s has ended", old.ID)
		})
		time.Sleep(releaseGap / 2)
	}
	return left, nil
}

// sendDeposits sends deposits to a router, one after the other.
func sendDeposits(q *requests, r *router, name string, stop chan struct{}) {
	c := newCaller()
	for n := 1; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		q.send(c, r, platformtest.Call{
			Method: "POST", Path: "/deposits/1", Attempt: fmt.Sprintf("d-%s-%d", name, n), Key: "key", Body: "amount=5", Left: time.Second,
		})
	}
}
