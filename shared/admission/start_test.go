package admission

import (
	"fmt"
	"testing"
	"time"

	"chervilswitch.example/shared/fleet"

	qt "github.com/frankban/quicktest"
)

// All instances restart at the same moment, under load, while the targets are cold. Each
// took the whole cold rate of each target until it had heard of the others: 48 requests in a
// second reached a target of which 27.5 were allowed.
func TestRestartOfAllInstancesKeepsColdRate(t *testing.T) {
	const (
		instances, targets = 12, 3
		coldRate           = 15.0
		allowed            = 1.5*coldRate + 5
		learnTime          = 200 * time.Millisecond
		playTime           = 2 * time.Second
		step               = 5 * time.Millisecond
	)
	c := qt.New(t)
	start := time.Unix(50, 0)
	update := ServiceTargets{Service: fleet.Service{Name: testService, ColdRate: coldRate}}
	for i := range targets {
		update.Targets = append(update.Targets, fleet.Target{ID: fmt.Sprintf("t%d", i), Service: testService, Slots: 100, Incarnation: 1, ColdFor: time.Minute})
	}
	var states []*State
	var names []string
	for i := range instances {
		names = append(names, fmt.Sprintf("entry-%02d", i))
		st := New(names[i], "a", RetryBudget{Ratio: 0.2, Slack: 92})
		st.Reduce(start, update)
		states = append(states, st)
	}
	sent := make(map[string][]time.Time)
	served, id := 0, RequestID(0)
	for now := start; now.Before(start.Add(playTime)); now = now.Add(step) {
		for _, st := range states {
			if now.Equal(start.Add(learnTime)) {
				st.Reduce(now, EntryInstances{Names: names})
			}
			id++
			effects := st.Reduce(now, Submit{Request: Request{ID: id, Service: testService, MaxAttempts: 1, Deadline: now.Add(time.Second)}})
			for _, effect := range append(effects, st.Reduce(now, Tick{})...) {
				if d, ok := effect.(Dispatch); ok {
					sent[d.Target.ID] = append(sent[d.Target.ID], now)
					served++
					st.Reduce(now, Finish{ID: d.ID})
				}
			}
		}
	}
	for target, times := range sent {
		for i, first := range times {
			inside := 0
			for _, at := range times[i:] {
				if at.Sub(first) < time.Second {
					inside++
				}
			}
			c.Assert(float64(inside) <= allowed, qt.IsTrue, qt.Commentf("%s got %d requests in a second, %.1f are allowed", target, inside, allowed))
		}
	}
	// Once the instances know each other, the rate is used.
	c.Assert(float64(served) >= 0.7*coldRate*targets*(playTime-learnTime).Seconds(), qt.IsTrue, qt.Commentf("%d served", served))
}
