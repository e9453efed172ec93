package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"chervilswitch.example/shared/fleet"

	qt "github.com/frankban/quicktest"
)

// prompts plays requests with parts against one instance's reducer with plenty of targets.
type prompts struct {
	*qt.C
	state *State
	now   time.Time
	next  RequestID
	// targets holds the target of each running request.
	targets map[RequestID]string
	changes []QuarantineChanged
	moved   []RequestID
}

func newPrompts(t *testing.T, instance string) *prompts {
	p := &prompts{C: qt.New(t), state: New(instance, "a", RetryBudget{Ratio: 0.2, Slack: 92}), now: time.Unix(1000, 0), targets: make(map[RequestID]string)}
	update := ServiceTargets{Service: fleet.Service{Name: testService}}
	for i := range 20 {
		update.Targets = append(update.Targets, fleet.Target{ID: fmt.Sprintf("t%02d", i), Service: testService, Slots: 100, Incarnation: 1})
	}
	p.reduce(update)
	return p
}

func (p *prompts) reduce(e Event) []Effect {
	effects := p.state.Reduce(p.now, e)
	for _, effect := range effects {
		switch e := effect.(type) {
		case Dispatch:
			p.targets[e.ID] = e.Target.ID
		case QuarantineChanged:
			p.changes = append(p.changes, e)
		case Move:
			p.moved = append(p.moved, e.ID)
		}
	}
	return effects
}

// submit returns the id of a new request, and its refusal if it is refused.
func (p *prompts) submit(parts ...string) (RequestID, *Refuse) {
	p.next++
	effects := p.reduce(Submit{Request: Request{
		ID: p.next, Service: testService, MaxAttempts: 2, Deadline: p.now.Add(8 * time.Second), Movable: true, SharedParts: parts,
	}})
	for _, effect := range effects {
		if r, ok := effect.(Refuse); ok {
			return p.next, &r
		}
	}
	return p.next, nil
}

func (p *prompts) admitted(parts ...string) bool {
	id, refused := p.submit(parts...)
	p.reduce(Finish{ID: id})
	return refused == nil
}

// answer submits a request that a target answers.
func (p *prompts) answer(parts ...string) {
	id, refused := p.submit(parts...)
	p.Assert(refused, qt.IsNil)
	p.output(id)
	p.reduce(Finish{ID: id})
}

func (p *prompts) output(id RequestID) {
	p.now = p.now.Add(100 * time.Millisecond)
	p.reduce(AttemptResult{ID: id, Service: testService, Target: p.targets[id], Incarnation: 1, TimeToFirstOutput: 100 * time.Millisecond})
}

// lose reports that a request's target closed the connection without output.
func (p *prompts) lose(id RequestID, begun bool) []Effect {
	p.reduce(AttemptResult{ID: id, Service: testService, Target: p.targets[id], Incarnation: 1, Outcome: Broken, Lost: true, Begun: begun})
	return p.reduce(Retry{ID: id, MayHaveRun: true})
}

// crash submits a request that crashes its target.
func (p *prompts) crash(parts ...string) {
	id, refused := p.submit(parts...)
	p.Assert(refused, qt.IsNil)
	p.now = p.now.Add(100 * time.Millisecond)
	p.lose(id, true)
}

func TestPartThatCrashedATargetIsRefused(t *testing.T) {
	p := newPrompts(t, "entry-a")
	p.answer("shared")
	id, _ := p.submit("shared", "bad")
	effects := p.lose(id, true)
	refused, ok := effects[0].(Refuse) // The request itself is not sent again.
	p.Assert(ok, qt.IsTrue)
	p.Assert(refused.Reason, qt.Equals, Quarantined)
	_, again := p.submit("shared", "bad")
	p.Assert(again, qt.IsNotNil)
	p.Assert(again.RetryAfter, qt.Equals, baseHold)
	p.Assert(p.admitted("shared"), qt.IsTrue)
	p.Assert(p.admitted("other"), qt.IsTrue)
	p.Assert(p.admitted(), qt.IsTrue)
}

func TestWaitingAndRunningRequestsLeaveWithTheirPart(t *testing.T) {
	p := newPrompts(t, "entry-a")
	p.answer("shared")
	running, _ := p.submit("shared", "bad")
	sound, _ := p.submit("shared")
	p.crash("shared", "bad")
	p.Assert(p.moved, qt.DeepEquals, []RequestID{running})
	effects := p.reduce(Retry{ID: running, MayHaveRun: true})
	p.Assert(effects[0].(Refuse).Reason, qt.Equals, Quarantined)
	p.Assert(p.targets[sound], qt.Not(qt.Equals), "")
}

func TestPartsAnsweredAfterTheCrashAreCleared(t *testing.T) {
	p := newPrompts(t, "entry-a")
	running, _ := p.submit("new")
	p.crash("new", "bad")
	p.Assert(p.admitted("new"), qt.IsFalse)
	p.output(running)
	p.Assert(p.admitted("new"), qt.IsTrue)
	p.Assert(p.admitted("new", "bad"), qt.IsFalse)
	_, refused := p.submit("bad")
	p.Assert(refused.RetryAfter > baseHold-time.Second, qt.IsTrue) // The only part that is left.
	last := p.changes[len(p.changes)-1]
	p.Assert(last.Change, qt.Equals, PartCleared)
	p.Assert(last.Parts, qt.DeepEquals, []string{"new"})
}

func TestTargetThatSendsOutputHasNotCrashed(t *testing.T) {
	p := newPrompts(t, "entry-a")
	id, _ := p.submit("first")
	target := p.targets[id]
	p.lose(id, true)
	p.Assert(p.admitted("first"), qt.IsFalse)
	p.now = p.now.Add(100 * time.Millisecond) // Output may have been on its way.
	p.reduce(StreamGap{Service: testService, Target: target, Gap: 150 * time.Millisecond})
	p.Assert(p.admitted("first"), qt.IsFalse)
	p.now = p.now.Add(refuteAfter)
	p.reduce(StreamGap{Service: testService, Target: target, Gap: 100 * time.Millisecond})
	p.Assert(p.admitted("first"), qt.IsTrue)
	p.Assert(p.changes[len(p.changes)-1].Change, qt.Equals, CrashRefuted)
}

// A target that was restarted says nothing about the crash before.
func TestOutputAfterARestartDoesNotRefuteTheCrash(t *testing.T) {
	p := newPrompts(t, "entry-a")
	id, _ := p.submit("first")
	target := p.targets[id]
	p.lose(id, true)
	p.now = p.now.Add(3 * time.Second)
	p.reduce(AttemptResult{Service: testService, Target: target, Incarnation: 1, TimeToFirstOutput: 100 * time.Millisecond})
	p.Assert(p.admitted("first"), qt.IsFalse)
}

// A target dies of another cause while a request waits at it: the request's new part is
// refused for a short time only, and then tried by one request at a time.
func TestWeakEvidenceIsTriedSoon(t *testing.T) {
	p := newPrompts(t, "entry-a")
	id, _ := p.submit("new")
	p.lose(id, false)
	p.Assert(p.admitted("new"), qt.IsFalse)
	p.now = p.now.Add(shortHold)
	trial, refused := p.submit("new")
	p.Assert(refused, qt.IsNil)
	_, second := p.submit("new")
	p.Assert(second, qt.IsNotNil)
	p.Assert(second.RetryAfter, qt.Equals, trialRetryAfter)
	p.output(trial)
	p.Assert(p.admitted("new"), qt.IsTrue)
	p.Assert(p.admitted("new"), qt.IsTrue)
}

func TestPartWithAnsweredHistoryNeedsTwoCrashes(t *testing.T) {
	p := newPrompts(t, "entry-a")
	p.answer("old")
	p.crash("old")
	p.Assert(p.admitted("old"), qt.IsTrue) // One crash may have another cause.
	p.now = p.now.Add(shortHold + time.Second)
	p.crash("old")
	p.Assert(p.admitted("old"), qt.IsFalse)
	p.now = p.now.Add(baseHold - time.Second)
	p.Assert(p.admitted("old"), qt.IsFalse)
}

func TestOldEvidenceEndsAndHoldsGrow(t *testing.T) {
	p := newPrompts(t, "entry-a")
	p.crash("bad")
	p.now = p.now.Add(baseHold)
	p.crash("bad") // The trial.
	_, refused := p.submit("bad")
	p.Assert(refused.RetryAfter, qt.Equals, 2*baseHold)
	p.now = p.now.Add(EvidenceAge)
	p.reduce(Tick{})
	p.Assert(p.state.quarantine.active(), qt.IsFalse)
	p.Assert(p.admitted("bad"), qt.IsTrue)
}

// Requests with the same part run on two targets. The request on the second target ends
// at the first crash, but the target crashes all the same, and loses others.
func TestCrashTogetherWithAnotherSuspectsNoOthers(t *testing.T) {
	p := newPrompts(t, "entry-a")
	p.answer("shared")
	bystander, _ := p.submit("new")
	p.crash("shared", "bad")
	p.now = p.now.Add(20 * time.Millisecond)
	p.lose(bystander, false)
	p.Assert(p.admitted("new"), qt.IsTrue)
	p.Assert(p.admitted("shared", "bad"), qt.IsFalse)
}

// Two responses have begun when a target crashes, and nothing is known of one part of
// each. The part that begins a prompt is tried first; its answer leaves the other one.
func TestDeeperPartIsHeldWhileFirstPartIsTried(t *testing.T) {
	p := newPrompts(t, "entry-a")
	p.answer("shared")
	first, _ := p.submit("new")
	p.now = p.now.Add(100 * time.Millisecond)
	target := p.targets[first]
	p.lose(first, true)
	second, _ := p.submit("shared", "bad")
	p.targets[second] = target
	p.lose(second, true)
	p.Assert(p.admitted("new"), qt.IsFalse)
	p.now = p.now.Add(shortHold)
	p.Assert(p.admitted("shared", "bad"), qt.IsFalse)
	p.answer("new")
	p.Assert(p.admitted("shared", "bad"), qt.IsFalse)
	p.now = p.now.Add(baseHold)
	p.Assert(p.admitted("shared", "bad"), qt.IsTrue)
}

// While a group waits for a crashed rank, all its ranks cut their requests off.
func TestCutsOfAStalledGroupAreNoCrashes(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	st := newGroupState(now, 12, "r1", "r2")
	st.Reduce(now, Submit{Request: Request{ID: 1, Service: testService, MaxGap: testMaxGap, MaxAttempts: 2, Deadline: now.Add(8 * time.Second), SharedParts: []string{"new"}}})
	now = now.Add(1500 * time.Millisecond)
	st.Reduce(now, AttemptResult{ID: 1, Service: testService, Target: "r1", Outcome: Broken, Lost: true, Begun: true})
	c.Assert(st.quarantine.active(), qt.IsFalse)
}

// exchangeEvidence sends each instance's evidence to the other until nothing changes, and
// returns the number of messages.
func exchangeEvidence(a, b *prompts) int {
	versions := map[*prompts]uint64{}
	for messages := 0; ; messages++ {
		sent := false
		for from, to := range map[*prompts]*prompts{a: b, b: a} {
			evidence, version := from.state.CrashEvidence()
			if version != versions[from] {
				versions[from], sent = version, true
				to.reduce(evidence)
			}
		}
		if !sent || messages > 10 {
			return messages
		}
	}
}

func TestEvidenceIsSharedByInstances(t *testing.T) {
	a, b := newPrompts(t, "entry-a"), newPrompts(t, "entry-b")
	b.answer("shared")
	a.now = b.now
	a.crash("shared", "bad")
	b.now = a.now
	a.Assert(a.admitted("shared"), qt.IsFalse) // Nothing is known about it here.
	a.Assert(exchangeEvidence(a, b) < 5, qt.IsTrue)
	for _, p := range []*prompts{a, b} {
		p.Assert(p.admitted("shared"), qt.IsTrue)
		_, refused := p.submit("shared", "bad")
		p.Assert(refused, qt.IsNotNil)
	}
	// Only the reporter tries the part as soon as the hold has passed.
	a.now, b.now = a.now.Add(baseHold), b.now.Add(baseHold)
	b.Assert(b.admitted("shared", "bad"), qt.IsFalse)
	a.Assert(a.admitted("shared", "bad"), qt.IsTrue)
	b.now = b.now.Add(reporterLead)
	b.Assert(b.admitted("shared", "bad"), qt.IsTrue)
}

func TestRefutationReachesOtherInstances(t *testing.T) {
	a, b := newPrompts(t, "entry-a"), newPrompts(t, "entry-b")
	a.crash("new")
	b.now = a.now
	target := a.state.quarantine.crashes[0].Target
	exchangeEvidence(a, b)
	b.Assert(b.admitted("new"), qt.IsFalse)
	b.now = b.now.Add(refuteAfter + 50*time.Millisecond)
	b.reduce(StreamGap{Service: testService, Target: target, Gap: time.Second})
	exchangeEvidence(a, b)
	a.Assert(a.admitted("new"), qt.IsTrue)
	b.Assert(b.admitted("new"), qt.IsTrue)
}

func TestEvidenceIsBounded(t *testing.T) {
	p := newPrompts(t, "entry-a")
	for i := range 3 * maxSoundParts {
		p.state.quarantine.recordSound(p.now, []string{fmt.Sprint(i)})
	}
	p.Assert(len(p.state.quarantine.sound.current)+len(p.state.quarantine.sound.previous) <= 2*maxSoundParts, qt.IsTrue)
	for i := range 3 * maxCrashes {
		parts := make([]string, 2*maxCrashParts)
		for j := range parts {
			parts[j] = fmt.Sprint(i, j)
		}
		for range 2 {
			p.reduce(CrashEvidence{
				Reports: []CrashReport{{Target: fmt.Sprint("x", i), At: p.now, Begun: parts}},
				Sound:   map[string]time.Time{fmt.Sprint("y", i): p.now, parts[0]: p.now.Add(-time.Hour)},
			})
		}
	}
	q := &p.state.quarantine
	p.Assert(len(q.crashes), qt.Equals, maxCrashes)
	p.Assert(slices.MaxFunc(q.crashes, func(a, b *CrashReport) int { return len(a.Begun) - len(b.Begun) }).Begun, qt.HasLen, maxCrashParts)
	p.Assert(len(q.peerSound) <= maxCrashes*2*maxCrashParts, qt.IsTrue)
}

func BenchmarkQuarantineJudge(b *testing.B) {
	q := quarantine{instance: "entry-a"}
	at := time.Unix(1000, 0)
	for i := range maxCrashes {
		r := CrashReport{Target: fmt.Sprint("x", i), At: at.Add(time.Duration(i) * time.Second)}
		for j := range maxCrashParts {
			r.Begun = append(r.Begun, fmt.Sprint(i, j))
		}
		q.recordCrash(r)
	}
	for b.Loop() {
		q.judge(at.Add(time.Minute), []string{"none", fmt.Sprint(5, 5)})
	}
}

// Instances see crashes, answers and refutations in random order, and exchange evidence
// at random times. Once they have exchanged all of it, they agree, and no part or request
// is refused that was answered after the last crash that names it.
func TestInstancesAgreeOnRandomEvidence(t *testing.T) {
	parts := []string{"p0", "p1", "p2", "p3", "p4", Identity(0), Identity(1), Identity(2)}
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		instances := []*quarantine{{instance: "entry-a"}, {instance: "entry-b"}, {instance: "entry-c"}}
		at := time.Unix(10_000, 0)
		answered, crashed := make(map[string]time.Time), make(map[string]time.Time)
		exchange := func(from, to *quarantine) { to.applyEvidence(at, from.evidence()) }
		for range 60 {
			at = at.Add(time.Duration(random.IntN(4000)) * time.Millisecond)
			q := instances[random.IntN(len(instances))]
			lost := []string{parts[random.IntN(len(parts))], parts[random.IntN(len(parts))]}
			switch random.IntN(6) {
			case 0:
				r := CrashReport{Target: fmt.Sprint("t", random.IntN(40)), Incarnation: 1, At: at, Reporter: q.instance, Begun: lost}
				if random.IntN(2) == 0 {
					r.Begun, r.Waiting = nil, lost
				}
				if q.find(r) == nil {
					q.recordCrash(r)
					crashed[lost[0]], crashed[lost[1]] = at, at
				}
			case 1:
				q.recordSound(at, lost[:1])
				answered[lost[0]] = at
			case 2:
				q.recordOutput(at, at.Add(-time.Second), &target{Target: fleet.Target{ID: fmt.Sprint("t", random.IntN(40)), Incarnation: 1}})
			default:
				exchange(q, instances[random.IntN(len(instances))])
			}
		}
		for range len(instances) {
			for _, from := range instances {
				for _, to := range instances {
					exchange(from, to)
				}
			}
		}
		c := qt.New(t)
		for i, crash := range instances[0].crashes {
			expected := instances[0].explain(crash).parts
			convicted, _ := instances[0].convicted(crash)
			for _, q := range instances[1:] {
				got := q.explain(q.crashes[i]).parts
				others, _ := q.convicted(q.crashes[i])
				c.Assert(others, qt.ContentEquals, convicted, qt.Commentf("seed %d crash %d", seed, i))
				c.Assert(got, qt.ContentEquals, expected, qt.Commentf("seed %d crash %d", seed, i))
			}
		}
		for _, part := range parts {
			first := instances[0].judge(at, []string{part})
			for _, q := range instances[1:] {
				// Instances other than the reporter admit a part later.
				left, firstLeft := max(0, q.judge(at, []string{part}).until.Sub(at)), max(0, first.until.Sub(at))
				c.Assert((left-firstLeft).Abs() <= reporterLead, qt.IsTrue, qt.Commentf("seed %d part %s", seed, part))
			}
			if answered[part].After(crashed[part]) {
				c.Assert(first.until.IsZero(), qt.IsTrue, qt.Commentf("seed %d part %s", seed, part))
			}
		}
	}
}
