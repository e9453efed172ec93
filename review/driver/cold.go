package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"chervilswitch.example/platform/platformtest"
)

// coldRestart kills all routers at the same moment, under load, and starts them again. The
// replicas become cold for coldTime at that moment. It breaks the rule if a cold replica gets
// more requests in a second, from all routers together, than its service's cold rate allows.
func coldRestart(r *recorder, trouble bool) (string, error) {
	const (
		routers, replicas, slots = 12, 3, 10
		callersEach              = 4 // At each router.
		coldPerSecond            = 15
		overshoot, coldSlack     = 1.5, 5
		allowed                  = coldPerSecond*overshoot + coldSlack
		routeTimeout             = time.Second
		playTime, killAfter      = 16 * time.Second, 6 * time.Second
		downTime                 = time.Second
		coldTime                 = 3 * time.Second
		service                  = "atelier-llm"
	)
	configuration := platformtest.Configuration(1, []platformtest.Route{
		{Prefix: "/note/", Kind: "safe", Service: service, Attempts: 1, Timeout: routeTimeout, Objective: 500 * time.Millisecond},
	}, map[string]string{key: organisation})
	configuration["services"].([]map[string]any)[0]["coldPerS"] = coldPerSecond
	d, store, err := newDeployment(r, trouble, configuration)
	if err != nil {
		return "", err
	}
	defer d.stop()
	type arrival struct{ sent, arrived time.Time }
	var mutex sync.Mutex
	sent := make(map[string]time.Time)
	arrivals := make([][]arrival, replicas)
	for i := range replicas {
		id := fmt.Sprintf("i-%d", i)
		_, err := d.addReplica(id, service, fmt.Sprintf("zone-%c", 'a'+i%3), slots, func(w *platformtest.ResponseWriter, run platformtest.Run) {
			now := time.Now()
			mutex.Lock()
			arrivals[i] = append(arrivals[i], arrival{sent[run.Attempt], now})
			mutex.Unlock()
			time.Sleep(20 * time.Millisecond)
			w.WriteResponse(http.StatusOK, "result of "+run.Attempt)
		})
		if err != nil {
			return "", err
		}
	}
	if err := d.startRouters(routers, store); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second) // All know all.

	began := time.Now()
	var group sync.WaitGroup
	var served, refused, failed atomic.Int64
	for _, entry := range d.routers {
		for c := range callersEach {
			group.Go(func() {
				client := &http.Client{Transport: &http.Transport{}}
				for n := 0; time.Since(began) < playTime; n++ {
					id := fmt.Sprintf("%s-%d-%d", entry.name, c, n)
					mutex.Lock()
					sent[id] = time.Now()
					mutex.Unlock()
					got := send(client, 2*routeTimeout, entry.callers, platformtest.Call{
						Method: http.MethodGet, Path: "/note/" + id, Attempt: id, Key: key, Left: routeTimeout,
					})
					switch got.status {
					case http.StatusOK:
						served.Add(1)
					case 0:
						failed.Add(1)
					default:
						refused.Add(1)
					}
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(killAfter)
	if trouble {
		r.log("all routers are killed")
		for _, entry := range d.routers {
			_ = entry.command.Process.Kill()
		}
		for _, entry := range d.routers {
			<-entry.exited
		}
	}
	time.Sleep(downTime)
	coldFrom := time.Now()
	for i, replica := range d.replicas {
		registration := replica.Registration(service, fmt.Sprintf("zone-%c", 'a'+i%3), "ready")
		for name := range registration {
			if strings.HasPrefix(name, "cold") {
				registration[name] = coldTime.Milliseconds()
			}
		}
		registration["slots"] = slots
		d.store.PutTarget(replica.ID, registration)
	}
	r.log("the replicas are cold for %s", coldTime)
	if trouble {
		for _, entry := range d.routers {
			if err := d.start(entry); err != nil {
				return "", err
			}
		}
	}
	group.Wait()

	mutex.Lock()
	defer mutex.Unlock()
	worst, worstAt, worstReplica := 0, time.Time{}, 0
	for i, list := range arrivals {
		for _, first := range list {
			if first.sent.Before(coldFrom) || first.sent.Add(time.Second).After(coldFrom.Add(coldTime)) {
				continue // The replica is not cold for the whole second.
			}
			inside := 0
			for _, a := range list {
				if !a.sent.Before(first.sent) && a.arrived.Sub(first.sent) < time.Second {
					inside++
				}
			}
			if inside > worst {
				worst, worstAt, worstReplica = inside, first.sent, i
			}
		}
		perSecond := make(map[int]int)
		for _, a := range list {
			perSecond[int(a.arrived.Sub(began).Seconds())]++
		}
		line := ""
		for second := range int(playTime.Seconds()) + 1 {
			line += fmt.Sprintf(" %d", perSecond[second])
		}
		r.log("i-%d got in each second:%s", i, line)
	}
	r.log("served %d, refused %d, without an answer %d", served.Load(), refused.Load(), failed.Load())
	r.log("most in a second: %d, at i-%d from %.3f s on; allowed %.1f", worst, worstReplica, worstAt.Sub(r.began).Seconds(), float64(allowed))
	if float64(worst) > allowed {
		return fmt.Sprintf("a cold replica got %d requests in a second, %.1f are allowed", worst, float64(allowed)), nil
	}
	return "", nil
}
