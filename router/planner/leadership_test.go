package planner

import (
	"testing"

	"chervilswitch.example/platform"
	"chervilswitch.example/platform/platformtest"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
)

func TestFencingTokensRiseWhenStoreIsRestored(t *testing.T) {
	c := qt.New(t)
	fake := &platformtest.Store{}
	store := platform.NewStore(fake.Start())
	defer fake.Close()
	newLeadership := func(instance string) *Leadership {
		return &Leadership{Instance: instance, Store: store, Logger: &log.Logger{Handler: discard.Default}}
	}
	claim := func(l *Leadership) uint64 {
		for range 3 { // A claim at another end than the topic's fails and learns the end.
			if token := l.claim(t.Context()); token != 0 {
				return token
			}
		}
		return 0
	}
	empty := fake.Copy()
	first, second := newLeadership("entry-a"), newLeadership("entry-b")
	lost := claim(first)
	c.Assert(claim(second) > lost, qt.IsTrue)
	lost = second.Token()
	fake.Restore(empty)
	restored := claim(newLeadership("entry-c"))
	c.Assert(restored > lost, qt.IsTrue, qt.Commentf("token %d after %d", restored, lost))
	c.Assert(claim(first) > restored, qt.IsTrue)
}
