package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"chervilswitch.example/shared/fleet"

	qt "github.com/frankban/quicktest"
)

// hedgeLoad is a load on a plain service of 20 targets behind one reducer.
type hedgeLoad struct {
	share, perSecond float64
	// pace returns the factor by which a target is slower than usual.
	pace func(target int, at time.Duration) float64
	// crashes makes each slow target close the connection instead of answering.
	crashes bool

	state           *State
	random          *rand.Rand
	start, now      time.Time
	due             []hedgeStep // By time, earliest first.
	submitted       map[RequestID]time.Time
	active          map[RequestID][]string
	took            []time.Duration
	hedges, refused int
}

// hedgeStep is the end of an attempt, or the time of a HedgeDue without a target.
type hedgeStep struct {
	at     time.Time
	id     RequestID
	target string
	began  time.Time
	failed bool
}

func (l *hedgeLoad) String() string {
	return fmt.Sprintf("p50 %s, p99 %s, p99.9 %s, extra work %.4f, answered %d, refused %d",
		l.quantile(0.5), l.quantile(0.99), l.quantile(0.999), share(l.hedges, len(l.took)+l.refused), len(l.took), l.refused)
}

func (l *hedgeLoad) quantile(q float64) time.Duration {
	slices.Sort(l.took)
	return l.took[int(q*float64(len(l.took)))].Round(100 * time.Microsecond)
}

// run plays 60 s with the same arrivals for each share.
func (l hedgeLoad) run(share float64) *hedgeLoad {
	l.share, l.random, l.start = share, rand.New(rand.NewPCG(1, 2)), time.Unix(100, 0)
	arrivals := rand.New(rand.NewPCG(3, 4))
	l.state, l.now = New("entry-a", "a", RetryBudget{Ratio: 0.2, Slack: 92}), l.start
	l.submitted, l.active = make(map[RequestID]time.Time), make(map[RequestID][]string)
	l.reduce(HedgeLimit{Share: share})
	update := ServiceTargets{Service: fleet.Service{Name: testService}}
	for i := range 20 {
		update.Targets = append(update.Targets, fleet.Target{ID: fmt.Sprintf("t%02d", i), Service: testService, DataCentre: "a", Slots: 6})
	}
	l.reduce(update)
	next := l.start
	for id := RequestID(1); next.Sub(l.start) < time.Minute; id++ {
		next = next.Add(time.Duration(arrivals.ExpFloat64() / l.perSecond * float64(time.Second)))
		l.advance(next)
		l.submitted[id] = l.now
		l.reduce(Submit{Request: Request{ID: id, Service: testService, Objective: testObjective, MaxAttempts: 2, Repeatable: true, Deadline: l.now.Add(8 * time.Second)}})
	}
	l.advance(next.Add(time.Minute))
	return &l
}

func (l *hedgeLoad) advance(until time.Time) {
	for len(l.due) > 0 && !l.due[0].at.After(until) {
		s := l.due[0]
		l.due, l.now = l.due[1:], s.at
		switch {
		case l.submitted[s.id].IsZero():
		case s.target == "":
			l.reduce(HedgeDue{ID: s.id})
		case slices.Contains(l.active[s.id], s.target):
			l.end(s)
		}
	}
	l.now = until
	l.reduce(Tick{})
}

func (l *hedgeLoad) end(s hedgeStep) {
	others := slices.DeleteFunc(slices.Clone(l.active[s.id]), func(t string) bool { return t == s.target })
	if s.failed {
		l.active[s.id] = others
		l.reduce(AttemptResult{ID: s.id, Service: testService, Target: s.target, Outcome: Broken})
		if len(others) > 0 {
			l.reduce(AttemptDropped{ID: s.id, Target: s.target, MayHaveRun: true})
		} else {
			l.reduce(Retry{ID: s.id, MayHaveRun: true})
		}
		return
	}
	for _, other := range others {
		l.reduce(AttemptDropped{ID: s.id, Target: other, MayHaveRun: true, Lost: true})
	}
	l.reduce(AttemptResult{ID: s.id, Service: testService, Target: s.target, TimeToFirstOutput: l.now.Sub(s.began)})
	l.took = append(l.took, l.now.Sub(l.submitted[s.id]))
	delete(l.submitted, s.id)
	l.reduce(Finish{ID: s.id})
}

// reduce runs the attempts that an event leads to: 15 ms each, log-normal.
func (l *hedgeLoad) reduce(e Event) {
	begin := func(id RequestID, target string) {
		var i int
		_, _ = fmt.Sscanf(target, "t%d", &i)
		pace := l.pace(i, l.now.Sub(l.start))
		took := time.Duration(pace * 15 * math.Exp(0.5*l.random.NormFloat64()) * float64(time.Millisecond))
		l.active[id] = append(l.active[id], target)
		l.schedule(hedgeStep{at: l.now.Add(took), id: id, target: target, began: l.now, failed: l.crashes && pace > 1})
	}
	for _, effect := range l.state.Reduce(l.now, e) {
		switch d := effect.(type) {
		case Dispatch:
			begin(d.ID, d.Target.ID)
			if d.HedgeAfter > 0 {
				l.schedule(hedgeStep{at: l.now.Add(d.HedgeAfter), id: d.ID})
			}
		case Hedge:
			if d.Verdict == HedgeStarted {
				l.hedges++
				begin(d.ID, d.Target.ID)
			}
		case Refuse:
			l.refused++
			delete(l.submitted, d.ID)
		}
	}
}

func (l *hedgeLoad) schedule(s hedgeStep) {
	i, _ := slices.BinarySearchFunc(l.due, s, func(a, b hedgeStep) int { return a.at.Compare(b.at) })
	l.due = slices.Insert(l.due, i, s)
}

// At any time a tenth of the targets, others each second, is 20 times as slow.
func slowTenth(target int, at time.Duration) float64 {
	if (target+int(at.Seconds()))%10 == 0 {
		return 20
	}
	return 1
}

// Second attempts cut the slowest answers if a tenth of the targets is slow, and spare the
// targets if all are slow or if more requests arrive than they can answer.
func TestHedgesUnderLoad(t *testing.T) {
	const hedgeShare = 0.05
	allSlow := func(_ int, at time.Duration) float64 {
		if at > 20*time.Second && at < 40*time.Second {
			return 10
		}
		return 1
	}
	overload := func(target int, at time.Duration) float64 { return 20 * slowTenth(target, at) }
	for name, load := range map[string]hedgeLoad{
		"slow tenth":         {perSecond: 400, pace: slowTenth},
		"slow tenth crashes": {perSecond: 400, pace: slowTenth, crashes: true},
		"all slow":           {perSecond: 400, pace: allSlow},
		"overload":           {perSecond: 600, pace: overload},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			without, with := load.run(0), load.run(hedgeShare)
			c.Logf("%s without: %s", name, without)
			c.Logf("%s with:    %s", name, with)
			c.Assert(without.hedges, qt.Equals, 0)
			extra := share(with.hedges, len(with.took)+with.refused)
			c.Assert(extra <= hedgeShare, qt.IsTrue)
			c.Assert(with.quantile(0.5) <= without.quantile(0.5)*21/20, qt.IsTrue)
			for _, s := range with.state.services[testService].targets {
				c.Assert(s.running, qt.Equals, 0)
			}
			switch name {
			case "slow tenth":
				c.Assert(with.quantile(0.99) < without.quantile(0.99)*3/4, qt.IsTrue)
				c.Assert(with.quantile(0.999) < without.quantile(0.999)/2, qt.IsTrue)
			case "slow tenth crashes": // Two attempts that run together leave none after a crash of both.
				c.Assert(with.quantile(0.99) < without.quantile(0.99), qt.IsTrue)
				c.Assert(with.quantile(0.999) < without.quantile(0.999)/2, qt.IsTrue)
				c.Assert(with.refused <= without.refused+len(with.took)/1000, qt.IsTrue)
			default:
				c.Assert(extra < hedgeShare/2, qt.IsTrue)
				c.Assert(with.quantile(0.99) <= without.quantile(0.99)*21/20, qt.IsTrue)
				c.Assert(len(with.took) >= len(without.took)*99/100, qt.IsTrue)
			}
		})
	}
}

// newHedgeState returns a reducer with a limit, three targets and enough times to first
// output, and a request that runs and whose second attempt is due.
func newHedgeState(c *qt.C, limit float64, now time.Time, targets ...fleet.Target) (*State, Dispatch) {
	st := New("entry-a", "a", RetryBudget{Ratio: 0.2, Slack: 92})
	st.Reduce(now, HedgeLimit{Share: limit})
	service := fleet.Service{Name: testService}
	if targets[0].Group != "" {
		engine := testEngine()
		service.Engine = &engine
	}
	st.Reduce(now, ServiceTargets{Service: service, Targets: targets})
	var d Dispatch
	for id := RequestID(1); id <= 100; id++ {
		d = st.Reduce(now, Submit{Request: Request{
			ID: id, Service: testService, MaxAttempts: 2, Repeatable: true, Movable: true, Identity: Identity(uint64(id)), Deadline: now.Add(8 * time.Second),
		}})[0].(Dispatch)
		if id < 100 {
			st.Reduce(now, AttemptResult{ID: id, Service: testService, Target: d.Target.ID, TimeToFirstOutput: 30 * time.Millisecond})
			st.Reduce(now, Finish{ID: id})
		}
	}
	c.Assert(d.HedgeAfter, qt.Equals, map[bool]time.Duration{true: 60 * time.Millisecond}[limit > 0])
	return st, d
}

func plainTargets() (all []fleet.Target) {
	for _, id := range []string{"t1", "t2", "t3"} {
		all = append(all, fleet.Target{ID: id, Service: testService, DataCentre: "a", Slots: 6})
	}
	return all
}

func due(st *State, now time.Time) Hedge { return st.Reduce(now, HedgeDue{ID: 100})[0].(Hedge) }

// The first attempt answers in the instant in which the second is due, before or after it.
func TestHedgeInTheInstantOfTheAnswer(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	st, d := newHedgeState(c, 0.1, now, plainTargets()...)
	output := AttemptResult{ID: 100, Service: testService, Target: d.Target.ID, TimeToFirstOutput: d.HedgeAfter}
	now = now.Add(d.HedgeAfter)
	st.Reduce(now, output)
	c.Assert(due(st, now).Verdict, qt.Equals, HedgeNotNeeded)
	st, d = newHedgeState(c, 0.1, now, plainTargets()...)
	h := due(st, now)
	c.Assert(h.Verdict, qt.Equals, HedgeStarted)
	c.Assert(h.Target.ID, qt.Not(qt.Equals), d.Target.ID)
	c.Assert(due(st, now).Verdict, qt.Equals, HedgeNotNeeded)
	st.Reduce(now, AttemptDropped{ID: 100, Target: h.Target.ID, MayHaveRun: true, Lost: true})
	st.Reduce(now, output)
	c.Assert(st.Running(), qt.DeepEquals, map[string]int{d.Target.ID: 1})
	// The loser may have run, so that no attempt is left.
	c.Assert(st.Reduce(now, Retry{ID: 100, MayHaveRun: true})[0].(Refuse).Reason, qt.Equals, NoAttempts)
	c.Assert(st.Running(), qt.HasLen, 0)
}

// One attempt crashes its target, a rank, while the other one runs. The request is convicted
// and leaves the other target as well. A loser that is cancelled is no evidence.
func TestHedgeCrashIsEvidence(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	var ranks []fleet.Target
	for _, id := range []string{"a1", "a2", "b1", "b2"} {
		ranks = append(ranks, fleet.Target{ID: id, Service: testService, Group: id[:1], Slots: 12})
	}
	st, d := newHedgeState(c, 0.1, now, ranks...)
	h := due(st, now)
	c.Assert(h.Target.Group, qt.Not(qt.Equals), d.Target.Group)
	st.Reduce(now, AttemptResult{ID: 100, Service: testService, Target: h.Target.ID, Outcome: Broken, Lost: true, Begun: true})
	c.Assert(st.Reduce(now, AttemptDropped{ID: 100, Target: h.Target.ID, MayHaveRun: true}), qt.DeepEquals, []Effect{Move{ID: 100}})
	c.Assert(st.Reduce(now, Retry{ID: 100, MayHaveRun: true})[0].(Refuse).Reason, qt.Equals, Quarantined)
	evidence, _ := st.CrashEvidence()
	c.Assert(evidence.Reports, qt.HasLen, 1)
	st, d = newHedgeState(c, 0.1, now, ranks...)
	h = due(st, now)
	c.Assert(st.Reduce(now, AttemptDropped{ID: 100, Target: d.Target.ID, MayHaveRun: true, Lost: true}), qt.HasLen, 0)
	c.Assert(st.Running(), qt.DeepEquals, map[string]int{h.Target.ID: 1})
	c.Assert(st.services[testService].targets[d.Target.ID].failures, qt.Equals, 0.0)
	c.Assert(st.quarantine.crashes, qt.HasLen, 0)
}

// What keeps a second attempt from starting.
func TestHedgeIsDeclined(t *testing.T) {
	now := time.Unix(100, 0)
	entries := EntryInstances{Names: []string{"entry-a", "entry-b", "entry-c", "entry-d"}}
	for want, change := range map[HedgeVerdict]func(*State, Dispatch){
		HedgeNotNeeded: func(st *State, _ Dispatch) { st.Reduce(now, HedgeLimit{}) },
		HedgePressure:  func(st *State, _ Dispatch) { st.services[testService].waiting.push(&activeRequest{}) },
		HedgeSuspect: func(st *State, d Dispatch) {
			report := CrashReport{Target: "t9", At: now, Reporter: "entry-b", Begun: []string{Identity(100)}, Rank: true}
			st.quarantine.recordCrash(report)
		},
		HedgeAllSlow: func(st *State, d Dispatch) {
			for range latestOutputs / 2 {
				st.Reduce(now, AttemptResult{Service: testService, Target: d.Target.ID, TimeToFirstOutput: d.HedgeAfter})
			}
		},
		HedgeOverLimit: func(st *State, _ Dispatch) { st.services[testService].hedging.allowance.tokens = 0.9 },
		// Another instance holds as much of the budget; it has spent this instance's part too.
		HedgeNoBudget: func(st *State, _ Dispatch) {
			st.Reduce(now, entries)
			st.services[testService].retryTokens = tokenBucket{at: now, tokens: 92 * budgetShare / 4 * hedgeReserve}
		},
		HedgeNoTarget: func(st *State, _ Dispatch) {
			st.Reduce(now, PeerLoad{Peer: "entry-b", Running: map[string]int{"t1": 3, "t2": 3, "t3": 3}})
		},
	} {
		t.Run(want.String(), func(t *testing.T) {
			c := qt.New(t)
			st, d := newHedgeState(c, 0.1, now, plainTargets()...)
			change(st, d)
			c.Assert(due(st, now).Verdict, qt.Equals, want)
			c.Assert(st.Running(), qt.DeepEquals, map[string]int{d.Target.ID: 1})
		})
	}
	c := qt.New(t)
	st, _ := newHedgeState(c, 0, now, plainTargets()...)
	c.Assert(due(st, now).Verdict, qt.Equals, HedgeNotNeeded)
	// Four instances together save up hedgeBurst attempts at most.
	st, _ = newHedgeState(c, 1, now, plainTargets()...)
	st.Reduce(now, entries)
	st.Reduce(now, Submit{Request: Request{ID: 101, Service: testService, MaxAttempts: 2}})
	c.Assert(st.services[testService].hedging.allowance.tokens, qt.Equals, hedgeBurst/4.0)
}

// Requests of two groups of ranks are late. A second attempt starts in the third one, though
// this instance waits for nothing else.
func TestHedgeAvoidsLateGroups(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	var ranks []fleet.Target
	for _, id := range []string{"a1", "a2", "b1", "b2", "c1", "c2"} {
		ranks = append(ranks, fleet.Target{ID: id, Service: testService, Group: id[:1], Slots: 12})
	}
	st, d := newHedgeState(c, 0.1, now, ranks...)
	late := map[string]bool{d.Target.Group: true}
	for id := RequestID(101); len(late) < 2; id++ {
		late[st.Reduce(now, Submit{Request: Request{ID: id, Service: testService}})[0].(Dispatch).Target.Group] = true
	}
	h := due(st, now.Add(d.HedgeAfter))
	c.Assert(h.Verdict, qt.Equals, HedgeStarted)
	c.Assert(late[h.Target.Group], qt.IsFalse)
}
