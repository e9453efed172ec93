package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"chervilswitch.example/platform/platformtest"
)

// shutdown stops a router with SIGTERM and sends it streams more than 3 s later, while it
// still takes requests. It breaks the rule if a stream that was passed on to a replica ends
// without its last event, although neither its time limit nor its route's timeout is reached.
func shutdown(r *recorder, trouble bool) (string, error) {
	const (
		routers, replicas, slots = 4, 6, 12
		streamEvents             = 48
		eventGap                 = 100 * time.Millisecond
		routeTimeout             = 8 * time.Second
		excusedTime              = 3 * time.Second // Requests sent up to then may be cut.
		gracePeriod              = 8 * time.Second
		service                  = "atelier-llm"
	)
	configuration := platformtest.Configuration(1, []platformtest.Route{{
		Prefix: "/note/", Kind: "streaming", Service: service, Attempts: 2, Timeout: routeTimeout,
		Objective: 500 * time.Millisecond, MaxGap: 120 * time.Millisecond, Resume: true,
	}}, map[string]string{key: organisation})
	d, store, err := newDeployment(r, trouble, configuration)
	if err != nil {
		return "", err
	}
	defer d.stop()
	var mutex sync.Mutex
	ran := make(map[string]bool)
	for i := range replicas {
		id := fmt.Sprintf("i-%d", i)
		_, err := d.addReplica(id, service, fmt.Sprintf("zone-%c", 'a'+i%3), slots, func(w *platformtest.ResponseWriter, run platformtest.Run) {
			r.log("run      %s at %s after event %q", run.Attempt, id, run.LastEvent)
			mutex.Lock()
			ran[run.Attempt] = true
			mutex.Unlock()
			w.StartStream()
			for n := 1; n <= streamEvents; n++ {
				time.Sleep(eventGap)
				w.WriteEvent(n)
			}
			w.EndStream()
			r.log("ended    %s at %s", run.Attempt, id)
		})
		if err != nil {
			return "", err
		}
	}
	if err := d.startRouters(routers, store); err != nil {
		return "", err
	}

	time.Sleep(time.Second)
	entry := d.routers[0]
	stopped := time.Now()
	if trouble {
		r.log("%s gets SIGTERM; its grace period is %s", entry.name, gracePeriod)
		if err := entry.command.Process.Signal(syscall.SIGTERM); err != nil {
			return "", err
		}
	}
	var group sync.WaitGroup
	var cut []string
	sent := 0
	for after := excusedTime + 50*time.Millisecond; after <= excusedTime+550*time.Millisecond; after += 100 * time.Millisecond {
		time.Sleep(time.Until(stopped.Add(after)))
		id := fmt.Sprintf("note-%d", after.Milliseconds())
		sent++
		group.Go(func() {
			r.log("sent     %s to %s, %s after the SIGTERM", id, entry.name, time.Since(stopped).Round(time.Millisecond))
			got := send(&http.Client{Transport: &http.Transport{}}, routeTimeout+time.Second, entry.callers, platformtest.Call{
				Method: http.MethodPost, Path: "/note/" + id, Attempt: id, Key: key, Body: "describe the lume", Left: routeTimeout,
			})
			events := strings.Count(got.body, "data:")
			r.log("answered %s status %d, %d of %d events, whole %t, %s after it was sent: %v", id, got.status, events, streamEvents, got.complete, got.took.Round(time.Millisecond), got.err)
			mutex.Lock()
			defer mutex.Unlock()
			if ran[id] && !got.complete && got.took < routeTimeout {
				cut = append(cut, id)
			}
		})
	}
	if trouble { // The platform kills what is left.
		select {
		case <-entry.exited:
			r.log("%s ended %s after the SIGTERM", entry.name, time.Since(stopped).Round(time.Millisecond))
		case <-time.After(time.Until(stopped.Add(gracePeriod))):
			_ = entry.command.Process.Kill()
			r.log("%s gets SIGKILL", entry.name)
		}
	}
	group.Wait()
	r.log("sent %d later than %s after the SIGTERM, passed on %d, cut off %d", sent, excusedTime, len(ran), len(cut))
	if !trouble && len(ran) != sent {
		return "", fmt.Errorf("%d of %d streams ran without trouble", len(ran), sent)
	}
	if len(cut) > 0 {
		return fmt.Sprintf("%d of %d streams that were sent later than %s after the SIGTERM and passed on were cut off", len(cut), len(ran), excusedTime), nil
	}
	return "", nil
}
