package admission

import (
	"time"

	"chervilswitch.example/shared/fleet"
)

const (
	// maxWorkPenalty is the largest penalty, in running requests, of a target whose requests
	// have more left than others, so that their work decides only between targets of
	// similar load.
	maxWorkPenalty = 1
	// minMeanPart is the part of a mean request's time below which the mean of what is left
	// does not fall, so that requests that are nearly done do not weigh much.
	minMeanPart = 4
	// memoryShare is the fraction of an engine's memory that requests may hold. The sizes
	// of other instances' requests are unknown, and their numbers known with a delay.
	memoryShare = 0.9
)

// outstanding sums up the requests of known size that this instance runs on a target.
type outstanding struct {
	requests int
	// time is the engine's time for what is still to read and to write.
	time time.Duration
	// tokens is the most memory that the requests hold.
	tokens int
}

// add adds what another one holds; with sign -1 it subtracts it.
func (o *outstanding) add(other outstanding, sign int) {
	o.requests += sign * other.requests
	o.time += time.Duration(sign) * other.time
	o.tokens += sign * other.tokens
}

// start counts a request as running on a target. A resumed stream is read again up to the
// last token that was written.
func (t *target) start(e *activeRequest, engine *fleet.Engine) {
	t.running++
	work := e.request.Work
	if engine == nil || !work.Known() {
		return
	}
	e.unread = engine.ReadTime(work.Prompt + e.written)
	unwritten := engine.WriteTime(max(0, work.ExpectedOutput(engine)-e.written))
	e.outstanding = outstanding{requests: 1, time: e.unread + unwritten, tokens: work.MaxTokens(engine)}
	t.outstanding.add(e.outstanding, 1)
}

// end counts a request as no longer running on a target.
func (t *target) end(e *activeRequest) {
	if t.running > 0 {
		t.running--
	}
	t.outstanding.add(e.outstanding, -1)
	if t.running == 0 {
		t.outstanding = outstanding{} // Requests from before a new registration are unknown to it.
	}
}

// endSecond counts a second attempt as no longer running on a target.
func (t *target) endSecond() { t.running = max(0, t.running-1) }

// progress subtracts what a target has done for a request since its last event.
func (st *State) progress(s *service, id RequestID, targetID string) {
	e, ok := st.requests[id]
	if !ok || s.Engine == nil || e.target != targetID || e.outstanding.requests == 0 {
		return
	}
	done := min(e.outstanding.time, e.unread+s.Engine.WriteTime(s.Engine.Stride))
	e.written += s.Engine.Stride
	e.unread = 0
	e.outstanding.time -= done
	if t, ok := s.targets[targetID]; ok {
		t.outstanding.time = max(0, t.outstanding.time-done)
	}
}

// meanOutstanding returns the mean time that is left of this instance's requests of known
// size, but at least a part of that of a mean request; 0 if there are none.
func (s *service) meanOutstanding() time.Duration {
	if s.Engine == nil {
		return 0
	}
	sum := outstanding{}
	for _, id := range s.targetIDs {
		sum.add(s.targets[id].outstanding, 1)
	}
	if sum.requests == 0 {
		return 0
	}
	return max(sum.time/time.Duration(sum.requests), s.Engine.MeanTime()/minMeanPart)
}

// workPenalty returns the penalty, in running requests, of a target whose requests from
// this instance have more left than the mean; it is negative if they have less. Other
// instances' requests count as mean ones.
func (t *target) workPenalty(mean time.Duration) float64 {
	if mean == 0 || t.outstanding.requests == 0 {
		return 0
	}
	excess := float64(t.outstanding.time)/float64(mean) - float64(t.outstanding.requests)
	return max(-maxWorkPenalty, min(maxWorkPenalty, excess))
}

// hasMemory reports whether a request fits into a target's memory beside those that run.
// A target without requests rejects by itself what is larger than its memory.
func (s *service) hasMemory(t *target, running int, work fleet.Work) bool {
	if s.Engine == nil || s.Engine.MemoryTokens <= 0 || running == 0 {
		return true
	}
	unknown := max(0, running-t.outstanding.requests)
	held := t.outstanding.tokens + unknown*fleet.Work{}.MaxTokens(s.Engine)
	return float64(held+work.MaxTokens(s.Engine)) <= memoryShare*float64(s.Engine.MemoryTokens)
}
