package admission

import (
	"testing"
	"time"

	"chervilswitch.example/shared/fleet"

	qt "github.com/frankban/quicktest"
)

// noticed plays requests against the reducer of the only instance.
type noticed struct {
	*qt.C
	st    *State
	now   time.Time
	start time.Time
	next  RequestID
}

func newNoticed(t *testing.T, targets ...string) *noticed {
	n := &noticed{C: qt.New(t), start: time.Unix(50, 0)}
	n.now = n.start
	n.st = newStates(1, fleet.Service{Name: testService})[0]
	n.register(1, targets...)
	return n
}

func (n *noticed) register(incarnation uint64, targets ...string) {
	update := ServiceTargets{Service: fleet.Service{Name: testService}}
	for _, id := range targets {
		update.Targets = append(update.Targets, fleet.Target{ID: id, Service: testService, Slots: 4, Incarnation: incarnation})
	}
	n.st.Reduce(n.now, update)
}

// respond applies the head of a target's response.
func (n *noticed) respond(target string, pause time.Duration, leaving bool) []Effect {
	notice := TargetNotice{Target: target, Incarnation: 1, Leaving: leaving}
	if pause > 0 {
		notice.PausedUntil = n.now.Add(pause)
	}
	return n.st.Reduce(n.now, ResponseHead{Notice: notice})
}

// submit submits a request and returns its effects.
func (n *noticed) submit() []Effect {
	n.next++
	return n.st.Reduce(n.now, Submit{Request: Request{ID: n.next, Service: testService, MaxAttempts: 2, Deadline: n.now.Add(time.Second)}})
}

// play sends a request each 10 ms for a duration, each of which ends at once, and returns
// how many each target got.
func (n *noticed) play(d time.Duration) map[string]int {
	sent := make(map[string]int)
	for until := n.now.Add(d); n.now.Before(until); n.now = n.now.Add(10 * time.Millisecond) {
		for _, effect := range append(n.submit(), n.st.Reduce(n.now, Tick{})...) {
			if dispatch, ok := effect.(Dispatch); ok {
				sent[dispatch.Target.ID]++
				n.st.Reduce(n.now, Finish{ID: dispatch.ID})
			}
		}
	}
	return sent
}

func TestTargetThatAsksForPauseGetsNoRequests(t *testing.T) {
	n := newNoticed(t, "a", "b", "c")
	n.respond("a", 3*time.Second, false)
	n.respond("a", time.Second, false) // A later response does not shorten the pause.
	n.now = n.now.Add(100 * time.Millisecond)
	n.respond("a", 0, false) // Nor does one that was on its way.
	sent := n.play(2800 * time.Millisecond)
	n.Assert(sent["a"], qt.Equals, 0)
	n.Assert(sent["b"]+sent["c"], qt.Equals, 280)
	n.play(100 * time.Millisecond)
	n.Assert(n.play(time.Second)["a"] > 0, qt.IsTrue)
}

// A target that still wants no requests must not be sent many at once when its pause ends.
func TestTargetIsTriedOnceAfterItsPause(t *testing.T) {
	n := newNoticed(t, "a", "b", "c")
	n.respond("a", time.Second, false)
	n.now = n.now.Add(time.Second)
	n.Assert(n.play(trialInterval)["a"] <= 1, qt.IsTrue)
	n.respond("a", 0, false)
	n.Assert(n.play(time.Second)["a"] > 10, qt.IsTrue)
}

func TestRequestsAreRefusedAtOnceWhileAllTargetsPause(t *testing.T) {
	n := newNoticed(t, "a", "b")
	for range 8 * requestsPerPlainSlot {
		n.submit() // Fills both targets.
	}
	n.Assert(n.submit(), qt.HasLen, 0) // Waits.
	waiting := n.next
	n.respond("a", 5*time.Second, false)
	refused := n.respond("b", 3*time.Second, false)
	n.Assert(refused[len(refused)-1], qt.Equals, Refuse{ID: waiting, RetryAfter: 3 * time.Second, Reason: Paused, ExpectedWait: 3 * time.Second})
	n.now = n.now.Add(time.Second)
	n.Assert(n.submit(), qt.DeepEquals, []Effect{Refuse{ID: n.next, RetryAfter: 2 * time.Second, Reason: Paused, ExpectedWait: 2 * time.Second}})
	// A request that was rejected by the last target is refused at once as well.
	n.now = n.now.Add(2 * time.Second)
	for id := range RequestID(2) {
		n.st.Reduce(n.now, Finish{ID: id + 1})
		n.st.Reduce(n.now, Finish{ID: id + 2})
	}
	effects := n.submit()
	n.Assert(effects[0].(Dispatch).Target.ID, qt.Equals, "b")
	n.respond("b", 3*time.Second, false)
	effects = n.st.Reduce(n.now, Retry{ID: n.next})
	n.Assert(effects, qt.DeepEquals, []Effect{Refuse{ID: n.next, RetryAfter: 2 * time.Second, Reason: Paused, ExpectedWait: 2 * time.Second}})
}

func TestLeavingTargetGetsNoRequests(t *testing.T) {
	n := newNoticed(t, "a", "b")
	n.respond("a", 0, true)
	n.register(1, "b")
	n.now = n.now.Add(time.Second)
	n.register(1, "a", "b") // Its registration returns, as after a lapse.
	n.respond("a", 0, false)
	n.Assert(n.play(time.Second), qt.DeepEquals, map[string]int{"b": 100})
	n.respond("b", 0, true)
	n.Assert(n.submit(), qt.DeepEquals, []Effect{Refuse{ID: n.next, RetryAfter: noTargetRetryAfter, Reason: NoTarget, ExpectedWait: noToken}})
	n.register(2, "a") // A restart.
	n.Assert(n.play(100 * time.Millisecond)["a"], qt.Equals, 10)
}

// A target that asks one instance for a pause may still take the others' requests.
func TestPauseOfAnotherInstanceIsAvoidedWhileOthersHaveRoom(t *testing.T) {
	n := newNoticed(t, "a", "b")
	n.st.Reduce(n.now, PeerNotices{Peer: "entry-001", Notices: []TargetNotice{{Target: "a", Incarnation: 1, PausedUntil: n.now.Add(time.Second)}}})
	notices, _ := n.st.TargetNoticesSince(0)
	n.Assert(notices, qt.HasLen, 0) // Only what this instance was asked itself.
	n.Assert(n.play(900*time.Millisecond), qt.DeepEquals, map[string]int{"b": 90})
	n.respond("b", time.Second, false)
	n.Assert(n.play(100*time.Millisecond), qt.DeepEquals, map[string]int{"a": 10})
	notices, version := n.st.TargetNoticesSince(0)
	n.Assert(notices, qt.DeepEquals, []TargetNotice{{Target: "b", Incarnation: 1, PausedUntil: n.start.Add(1900 * time.Millisecond)}})
	notices, _ = n.st.TargetNoticesSince(version)
	n.Assert(notices, qt.HasLen, 0)
}

func TestNoticesAreForgotten(t *testing.T) {
	n := newNoticed(t, "a", "b")
	n.respond("a", time.Second, false)
	n.respond("b", 0, true)
	n.now = n.now.Add(2 * limitMemory)
	n.st.Reduce(n.now, Tick{})
	n.Assert(n.st.notices.known, qt.HasLen, 1) // The leaving target is still registered.
	n.register(1, "a")
	n.now = n.now.Add(2 * limitMemory)
	n.st.Reduce(n.now, Tick{})
	n.Assert(n.st.notices.known, qt.HasLen, 0)
}
