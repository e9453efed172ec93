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

// Groups change at the same time, each in its own goroutine: what is told last must be
// what holds last, or a group that is open again would stay refused.
func TestLastStateIsToldLast(t *testing.T) {
	c := qt.New(t)
	var mutex sync.Mutex
	var told admission.Groups
	p := &Planner{
		Logger: &log.Logger{Handler: discard.Default},
		Groups: func(g admission.Groups) {
			mutex.Lock()
			defer mutex.Unlock()
			told = g
		},
	}
	for range 300 {
		var group sync.WaitGroup
		for i := range 6 {
			group.Go(func() {
				name := fmt.Sprint(i)
				for range 5 {
					p.setState(name, groupState{service: "svc", closed: true, paces: map[string]float64{name: 4}})
					p.setState(name, groupState{service: "svc"})
				}
			})
		}
		group.Wait()
		c.Assert(told.Closed, qt.HasLen, 0)
		c.Assert(told.Paces, qt.HasLen, 0)
	}
}
