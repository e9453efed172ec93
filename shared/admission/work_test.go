package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"chervilswitch.example/shared/fleet"

	qt "github.com/frankban/quicktest"
)

// One prompt in ten is twelve times as long, and prompts are read while six others arrive.
// If their sizes are known, it is rarer that a rank reads two long ones at once, and ranks
// run at most one request more.
func TestLongPromptsSpreadOverRanks(t *testing.T) {
	c := qt.New(t)
	play := func(known bool) (together, widest int) {
		now := time.Unix(100, 0)
		st := newGroupState(now, 12, "r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8")
		random := rand.New(rand.NewPCG(5, 5))
		long, target, counts, running := make(map[RequestID]bool), make(map[RequestID]string), make(map[string]int), []RequestID{}
		for id := RequestID(1); id < 10000; id++ {
			for len(running) >= 24+random.IntN(24) {
				i := random.IntN(len(running))
				st.Reduce(now, Finish{ID: running[i]})
				counts[target[running[i]]]--
				running = append(running[:i], running[i+1:]...)
			}
			r := Request{ID: id, Service: testService, MaxAttempts: 2, Work: fleet.Work{Prompt: 400, MaxOutput: 100, Output: 80}}
			if long[id] = random.IntN(10) == 0; long[id] {
				r.Work.Prompt = 5000
			}
			if !known {
				r.Work = fleet.Work{}
			}
			target[id] = st.Reduce(now, Submit{Request: r})[0].(Dispatch).Target.ID
			counts[target[id]]++
			widest = max(widest, counts[target[id]])
			running = append(running, id)
			for other := max(id, 7) - 6; long[id] && other < id; other++ {
				if long[other] && target[other] == target[id] {
					together++
				}
			}
			if id > 6 {
				st.Reduce(now, AttemptResult{ID: id - 6, Service: testService, Target: target[id-6], Outcome: Good, TimeToFirstOutput: time.Millisecond})
			}
		}
		return together, widest
	}
	together, widest := play(true)
	unknownTogether, unknownWidest := play(false)
	c.Logf("long prompts that met another one: %d, with unknown sizes %d; most requests on a rank %d, %d", together, unknownTogether, widest, unknownWidest)
	c.Assert(together*2 < unknownTogether, qt.IsTrue)
	c.Assert(widest <= unknownWidest+1, qt.IsTrue)
}

// What has been read and written no longer counts, also on the target on which a stream
// resumes, and the end of all requests leaves nothing.
func TestOutstandingWorkFollowsTheStream(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	st := newGroupState(now, 12, "r1", "r2")
	s := st.service(testService)
	work := fleet.Work{Prompt: 835, MaxOutput: 100, Output: 97}
	first := st.Reduce(now, Submit{Request: Request{ID: 1, Service: testService, MaxAttempts: 2, Work: work}})[0].(Dispatch).Target.ID
	whole := s.Engine.MeanTime()
	c.Assert(s.targets[first].outstanding, qt.Equals, outstanding{requests: 1, time: whole, tokens: 935})
	st.Reduce(now, AttemptResult{ID: 1, Service: testService, Target: first, Outcome: Good, TimeToFirstOutput: time.Millisecond})
	st.Reduce(now, StreamGap{ID: 1, Service: testService, Target: first, Gap: time.Millisecond})
	c.Assert(s.targets[first].outstanding.time, qt.Equals, whole-s.Engine.ReadTime(835)-2*s.Engine.WriteTime(4))
	second := st.Reduce(now, Retry{ID: 1, MayHaveRun: true, ResponseStarted: true})[0].(Dispatch).Target.ID
	c.Assert(s.targets[first].outstanding, qt.Equals, outstanding{})
	c.Assert(s.targets[second].outstanding.time, qt.Equals, s.Engine.ReadTime(835+8)+s.Engine.WriteTime(97-8))
	for range 60 { // The estimate was too low.
		st.Reduce(now, StreamGap{ID: 1, Service: testService, Target: second, Gap: time.Millisecond})
	}
	c.Assert(s.targets[second].outstanding.time, qt.Equals, time.Duration(0))
	st.Reduce(now, Finish{ID: 1})
	c.Assert(s.targets[second].outstanding, qt.Equals, outstanding{})
}

// Two requests of 600 tokens do not fit into an engine's memory of 1,000, and other
// instances' requests count as mean ones. A rank without requests rejects by itself what is
// too large.
func TestMemoryBoundsRequests(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	st := newGroupState(now, 12, "r1", "r2", "r3")
	engine := st.service(testService).Engine
	engine.MemoryTokens, engine.MeanPromptTokens, engine.MeanOutputTokens = 1000, 500, 100
	st.Reduce(now, PeerLoad{Peer: "entry-b", Running: map[string]int{"r3": 1}})
	submit := func(id RequestID, prompt int) []Effect {
		return st.Reduce(now, Submit{Request: Request{ID: id, Service: testService, MaxAttempts: 2, Work: fleet.Work{Prompt: prompt, MaxOutput: 100}}})
	}
	taken := map[string]bool{submit(1, 500)[0].(Dispatch).Target.ID: true, submit(2, 2000)[0].(Dispatch).Target.ID: true}
	c.Assert(taken, qt.DeepEquals, map[string]bool{"r1": true, "r2": true})
	c.Assert(submit(3, 500), qt.HasLen, 0) // It waits.
	c.Assert(submit(4, 100), qt.HasLen, 0)
	effects := st.Reduce(now, Finish{ID: 2})
	c.Assert(effects[0].(Dispatch).ID, qt.Equals, RequestID(3))
	c.Assert(effects[1].(Dispatch).ID, qt.Equals, RequestID(4))
}
