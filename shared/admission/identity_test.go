package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"chervilswitch.example/shared/fleet"

	qt "github.com/frankban/quicktest"
)

const testDigest = 0x42

// submitSame submits a request without parts, by its digest. It returns its ID, and its
// refusal if it is refused.
func (p *prompts) submitSame(digest uint64) (RequestID, *Refuse) {
	p.next++
	effects := p.reduce(Submit{Request: Request{
		ID: p.next, Service: testService, MaxAttempts: 3, Deadline: p.now.Add(time.Second), Identity: Identity(digest),
	}})
	for _, effect := range effects {
		if r, ok := effect.(Refuse); ok {
			return p.next, &r
		}
	}
	return p.next, nil
}

// loseAll reports that a target crashed and lost all of the requests, which run on it.
func (p *prompts) loseAll(target string, ids ...RequestID) {
	for _, id := range ids {
		p.reduce(AttemptResult{ID: id, Service: testService, Target: target, Incarnation: 1, Outcome: Broken, Lost: true})
	}
}

func (p *prompts) refuses(digest uint64) bool {
	id, refused := p.submitSame(digest)
	p.reduce(Finish{ID: id})
	return refused != nil
}

func TestSameRequestIsRefusedAfterTwoCrashes(t *testing.T) {
	p := newPrompts(t, "entry-a")
	id, _ := p.submitSame(testDigest)
	first := p.targets[id]
	effects := p.lose(id, false)
	p.Assert(effects, qt.HasLen, 1)
	p.Assert(effects[0].(Dispatch).Target.ID, qt.Not(qt.Equals), first) // One crash may have another cause.
	effects = p.lose(id, false)
	p.Assert(effects[0].(Refuse).Reason, qt.Equals, Quarantined)
	_, again := p.submitSame(testDigest)
	p.Assert(again.RetryAfter, qt.Equals, baseHold)
	p.Assert(p.refuses(testDigest+1), qt.IsFalse)
	p.Assert(slices.Contains(p.changes[len(p.changes)-1].Parts, Identity(testDigest)), qt.IsTrue)

	p.now = p.now.Add(baseHold)
	id, refused := p.submitSame(testDigest)
	p.Assert(refused, qt.IsNil)
	p.Assert(p.refuses(testDigest), qt.IsTrue) // One at a time.
	p.lose(id, false)
	for range 50 { // The third crash convicts it for as long as the evidence lasts.
		_, refused = p.submitSame(testDigest)
		p.Assert(refused, qt.IsNotNil)
		p.now = p.now.Add(time.Minute)
		p.reduce(Tick{})
	}
}

// A target begins a response before it crashes. If it has begun only one, with parts that are
// sound, one crash of a rank is enough. Of other targets it may have cut off a response.
func TestOnlyRequestThatARankHasBegunIsRefused(t *testing.T) {
	for _, group := range []string{"g", ""} {
		p := newPrompts(t, "entry-a")
		update := ServiceTargets{Service: fleet.Service{Name: testService}}
		for _, id := range []string{"t00", "t01", "t02"} {
			update.Targets = append(update.Targets, fleet.Target{ID: id, Service: testService, Slots: 100, Incarnation: 1, Group: group})
		}
		p.reduce(update)
		p.answer("sound")
		submit := func(digest uint64) (RequestID, []Effect) {
			p.next++
			return p.next, p.reduce(Submit{Request: Request{
				ID: p.next, Service: testService, MaxAttempts: 2, Deadline: p.now.Add(time.Second), Movable: true,
				SharedParts: []string{"sound"}, Identity: Identity(digest),
			}})
		}
		waiting, _ := submit(testDigest + 1)
		harmful, _ := submit(testDigest)
		p.lose(waiting, false)
		effects := p.lose(harmful, true)
		if group == "" {
			_, dispatched := effects[0].(Dispatch)
			p.Assert(dispatched, qt.IsTrue)
			continue
		}
		p.Assert(effects[0].(Refuse).Reason, qt.Equals, Quarantined)
		_, effects = submit(testDigest)
		p.Assert(effects[0].(Refuse).RetryAfter, qt.Equals, baseHold)
		p.Assert(p.admitted("sound"), qt.IsTrue)
	}
}

// A request that ran beside the harmful one is sent again, and is cleared by its answer.
func TestRequestLostBesideAHarmfulOneIsServed(t *testing.T) {
	p := newPrompts(t, "entry-a")
	harmful, _ := p.submitSame(testDigest)
	sound, _ := p.submitSame(testDigest + 1)
	p.loseAll("t00", harmful, sound)
	p.reduce(Retry{ID: sound, MayHaveRun: true})
	p.output(sound)
	p.reduce(Finish{ID: sound})
	p.reduce(Retry{ID: harmful, MayHaveRun: true})
	next, _ := p.submitSame(testDigest + 1)
	p.loseAll("t01", harmful, next)
	p.Assert(p.refuses(testDigest+1), qt.IsFalse)
	p.Assert(p.refuses(testDigest), qt.IsTrue)
}

// Two requests were lost together in both crashes. They run apart, so that the next crash
// tells which of them is harmful.
func TestRequestsLostTogetherRunApart(t *testing.T) {
	p := newPrompts(t, "entry-a")
	harmful, _ := p.submitSame(testDigest)
	sound, _ := p.submitSame(testDigest + 1)
	for _, target := range []string{"t00", "t01"} {
		p.loseAll(target, harmful, sound)
	}
	p.reduce(Finish{ID: harmful})
	p.reduce(Finish{ID: sound})
	harmful, refused := p.submitSame(testDigest)
	p.Assert(refused, qt.IsNil)
	_, refused = p.submitSame(testDigest + 1)
	p.Assert(refused.RetryAfter, qt.Equals, trialRetryAfter)
	p.loseAll("t02", harmful)
	p.reduce(Finish{ID: harmful})
	p.Assert(p.refuses(testDigest), qt.IsTrue)
	p.Assert(p.refuses(testDigest+1), qt.IsFalse)
}

func TestAnsweredRequestIsCleared(t *testing.T) {
	p := newPrompts(t, "entry-a")
	id, _ := p.submitSame(testDigest)
	p.lose(id, false)
	p.output(id)
	p.reduce(Finish{ID: id})
	p.Assert(p.changes[len(p.changes)-1].Change, qt.Equals, PartCleared)
	id, refused := p.submitSame(testDigest)
	p.Assert(refused, qt.IsNil)
	p.lose(id, false)
	p.Assert(p.refuses(testDigest), qt.IsFalse)
}

// Many requests look the same: their path, caller and body are equal. When targets die of
// another cause, those that are lost do not make the others suspicious.
func TestRequestsThatLookTheSameAreServed(t *testing.T) {
	p := newPrompts(t, "entry-a")
	for range 3 {
		id, _ := p.submitSame(testDigest)
		p.output(id)
		p.reduce(Finish{ID: id})
	}
	for i := range certainCrashes {
		p.now = p.now.Add(100 * time.Millisecond)
		p.Assert(p.refuses(testDigest), qt.IsFalse)
		first, _ := p.submitSame(testDigest)
		second, refused := p.submitSame(testDigest)
		p.Assert(refused, qt.IsNil) // Not one at a time either.
		p.loseAll(fmt.Sprintf("t%02d", i), first)
		p.reduce(Finish{ID: first})
		p.reduce(Finish{ID: second})
	}
	_, refused := p.submitSame(testDigest)
	p.Assert(refused.RetryAfter, qt.Equals, shortHold) // Without an answer for three crashes.
	p.now = p.now.Add(shortHold)
	id, refused := p.submitSame(testDigest)
	p.Assert(refused, qt.IsNil)
	p.output(id)
	p.Assert(p.refuses(testDigest), qt.IsFalse)
}

// The crashes happen at different instances. The third learns of them from the others, and
// the reporters keep them in the store.
func TestCrashesOfARequestAddUpOverInstances(t *testing.T) {
	a, b, third := newPrompts(t, "entry-a"), newPrompts(t, "entry-b"), newPrompts(t, "entry-c")
	for i, p := range []*prompts{a, b} {
		id, _ := p.submitSame(testDigest)
		p.loseAll(fmt.Sprintf("t%02d", i), id)
		p.reduce(Finish{ID: id})
		p.Assert(p.state.OwnCrashes(), qt.HasLen, 0)
	}
	for _, from := range []*prompts{a, b} {
		evidence, _ := from.state.CrashEvidence()
		for _, to := range []*prompts{a, b, third} {
			to.reduce(evidence)
		}
	}
	for _, p := range []*prompts{a, b, third} {
		p.Assert(p.refuses(testDigest), qt.IsTrue)
	}
	restarted := newPrompts(t, "entry-a")
	for _, p := range []*prompts{a, b} {
		own := p.state.OwnCrashes()
		p.Assert(own, qt.HasLen, 1)
		p.Assert(own[0].Begun, qt.DeepEquals, []string{Identity(testDigest)})
		restarted.reduce(CrashEvidence{Reports: own, Stored: true})
	}
	restarted.Assert(restarted.refuses(testDigest), qt.IsTrue)
}

// Requests that come once displace no parts, and crashes are bounded. Reports that turned
// out to be wrong are dropped first.
func TestEvidenceOfRequestsIsBounded(t *testing.T) {
	p := newPrompts(t, "entry-a")
	for digest := range uint64(2 * maxSoundParts) {
		id, _ := p.submitSame(digest)
		p.output(id)
		p.reduce(Finish{ID: id})
	}
	p.Assert(p.state.quarantine.sound.current, qt.HasLen, 0)
	p.Assert(len(p.state.quarantine.answered.current) <= maxSoundParts, qt.IsTrue)
	p.Assert(len(p.state.quarantine.answered.previous) <= maxSoundParts, qt.IsTrue)
	q := &p.state.quarantine
	for i, target := range []string{"first", "second"} {
		q.recordCrash(CrashReport{Target: target, At: p.now.Add(time.Duration(i) * time.Second), Waiting: []string{Identity(testDigest)}})
	}
	for i := range 4 * maxCrashes {
		q.recordCrash(CrashReport{Target: fmt.Sprint(i), At: p.now.Add(time.Duration(2+i) * time.Second), Waiting: []string{Identity(uint64(100 + i))}, Refuted: i > 0})
	}
	p.Assert(q.crashes, qt.HasLen, maxCrashes)
	p.Assert(p.refuses(testDigest), qt.IsTrue)
}

// A report that is dropped at once, since there are newer ones, is no news: instances with
// different reports would send it to each other for ever.
func TestDroppedReportIsNoNews(t *testing.T) {
	c := qt.New(t)
	q := quarantine{instance: "entry-a"}
	at := time.Unix(1000, 0)
	for i := range maxCrashes {
		q.recordCrash(CrashReport{Target: fmt.Sprint(i), At: at.Add(time.Duration(i) * time.Second), Waiting: []string{"p"}})
	}
	version := q.version
	old := CrashEvidence{Reports: []CrashReport{{Target: "old", At: at.Add(-time.Second), Waiting: []string{"p"}}}}
	c.Assert(q.applyEvidence(at.Add(time.Minute), old), qt.HasLen, 0)
	c.Assert(q.version, qt.Equals, version)
	c.Assert(q.crashes, qt.HasLen, maxCrashes)
	newer := CrashEvidence{Reports: []CrashReport{{Target: "new", At: at.Add(time.Minute), Waiting: []string{"p"}}}}
	c.Assert(q.applyEvidence(at.Add(time.Minute), newer), qt.HasLen, 1)
	c.Assert(q.version, qt.Equals, version+1)
}

// A rank may have begun the harmful request and a few others. If they were sent again, the
// next crash would stop the whole group once more.
func TestFewRequestsThatARankHasBegunAreRefusedTogether(t *testing.T) {
	for begun := 2; begun <= maxRankSuspects+1; begun++ {
		p := newPrompts(t, "entry-a")
		p.reduce(ServiceTargets{Service: fleet.Service{Name: testService}, Targets: []fleet.Target{
			{ID: "t00", Service: testService, Slots: 100, Incarnation: 1, Group: "g"}, {ID: "t01", Service: testService, Slots: 100, Incarnation: 1, Group: "g"},
		}})
		var ids []RequestID
		for i := range uint64(begun) {
			id, refused := p.submitSame(testDigest + i)
			p.Assert(refused, qt.IsNil)
			ids = append(ids, id)
		}
		for _, id := range ids {
			p.reduce(AttemptResult{ID: id, Service: testService, Target: "t00", Incarnation: 1, Outcome: Broken, Lost: true, Begun: true})
			p.reduce(Finish{ID: id})
		}
		for i := range uint64(begun) {
			p.Assert(p.refuses(testDigest+i), qt.Equals, begun <= maxRankSuspects, qt.Commentf("%d requests had begun", begun))
		}
		p.Assert(p.refuses(testDigest+uint64(begun)), qt.IsFalse)
	}
}
