package planner

import (
	"fmt"
	"sync"
	"testing"

	"chervilswitch.example/shared/admission"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
)

// Groups change their state concurrently. If GroupReport were called outside the mutex, an
// older state could be published last, and requests to a group that is open again would
// still be refused.
func TestLatestGroupStateIsPublishedLast(t *testing.T) {
	c := qt.New(t)
	var mutex sync.Mutex
	var published admission.GroupReport
	p := &Planner{
		Logger: &log.Logger{Handler: discard.Default},
		GroupReport: func(g admission.GroupReport) {
			mutex.Lock()
			defer mutex.Unlock()
			published = g
		},
	}
	for range 300 {
		var goroutines sync.WaitGroup
		for i := range 6 {
			goroutines.Go(func() {
				name := fmt.Sprint(i)
				for range 5 {
					p.setState(name, groupState{closed: true, paces: map[string]float64{name: 4}})
					p.setState(name, groupState{})
				}
			})
		}
		goroutines.Wait()
		c.Assert(published.Closed, qt.HasLen, 0)
		c.Assert(published.Paces, qt.HasLen, 0)
	}
}
