package admission

import (
	"fmt"
	"math/rand/v2"
	"time"

	"chervilswitch.example/shared/fleet"
)

// play is a load on a group of ranks that run in lock-step, seen through one
// reducer. Time goes in passes: each pass gives every running stream one event and
// takes as long as its slowest rank.
type play struct {
	random *rand.Rand
	engine fleet.Engine
	ranks  int
	// perSecond is the requests at a time from the start.
	perSecond func(at time.Duration) float64
	// stretch is how much longer passes are than modelled at a time from the start.
	stretch func(at time.Duration) float64
	// pace is how many times slower than usual a rank is; nil means none is.
	pace func(rank int, at time.Duration) float64
	// retries tells whether refused callers come back once.
	retries bool
	length  time.Duration
	// fixed keeps streams where they began.
	fixed bool
	// untold keeps from the reducer which ranks are slow.
	untold bool
	// unlimited takes the reducer's limit away.
	unlimited bool

	state   *State
	now     time.Time
	start   time.Time
	streams map[RequestID]*playedStream
	next    RequestID
	back    []playedReturn

	result playResult
}

type playedStream struct {
	rank    int
	asked   time.Time // Of the caller's first try.
	again   bool
	prompt  float64 // Tokens still to read.
	read    float64 // Tokens of the whole prompt.
	events  int     // Events still to come.
	started bool
	late    bool
	last    time.Time
	waiting bool
	target  string
	size    int
}

type playedReturn struct {
	at, asked time.Time
	size      int
}

// playResult is what callers got.
type playResult struct {
	asked, onTime, late, refused, abandoned int
	// worstGap is the longest pause between two events.
	worstGap time.Duration
	// longestRefusal is the longest wait before a refusal.
	longestRefusal time.Duration
}

func (r playResult) String() string {
	return fmt.Sprintf("asked %d, on time %.3f, late %.3f, refused %.3f, abandoned %.3f, longest wait for a refusal %s",
		r.asked, share(r.onTime, r.asked), share(r.late, r.asked), share(r.refused, r.asked), share(r.abandoned, r.asked), r.longestRefusal)
}

// worth is the mean benefit: late answers count a quarter.
func (r playResult) worth() float64 {
	return share(r.onTime, r.asked) + share(r.late, r.asked)/4
}

func share(n, of int) float64 { return float64(n) / float64(max(1, of)) }

const (
	playObjective = 500 * time.Millisecond
	playGap       = 120 * time.Millisecond
	playPatience  = 2 * time.Second
	playPaceAge   = 500 * time.Millisecond
	playService   = "model"
)

func sfaxEngine() fleet.Engine {
	return fleet.Engine{
		Slots: 12, Step: 4550 * time.Microsecond, StepPerSequence: 905 * time.Microsecond,
		StepPerContext: 18 * time.Microsecond, Stride: 4, PrefillRate: 61400, MeanPromptTokens: 835, MeanOutputTokens: 97,
	}
}

func (p *play) run(seed uint64) playResult {
	p.random = rand.New(rand.NewPCG(seed, 7))
	p.engine = sfaxEngine()
	p.start = time.Unix(5000, 0)
	p.now = p.start
	p.streams = make(map[RequestID]*playedStream)
	p.state = New("a", RetryBudget{Ratio: 0.2, Slack: 92})
	targets := make([]fleet.Target, p.ranks)
	for rank := range targets {
		targets[rank] = fleet.Target{ID: fmt.Sprintf("r%02d", rank), Service: playService, DataCentre: "a", Slots: p.engine.Slots}
	}
	service := fleet.Service{Name: playService, Engine: &p.engine}
	if p.unlimited {
		service.Engine = nil
		for rank := range targets {
			targets[rank].Slots = 1000
		}
	}
	p.do(ServiceTargets{Service: service, Targets: targets, Entries: 1})
	for p.now.Sub(p.start) < p.length {
		p.tellPaces()
		p.pass()
	}
	return p.result
}

// tellPaces tells the reducer of the slow ranks, as the planner does.
func (p *play) tellPaces() {
	if p.pace == nil || p.untold {
		return
	}
	paces := make(map[string]float64)
	for rank := range p.ranks {
		if pace := p.pace(rank, p.now.Sub(p.start)-playPaceAge); pace > 1 {
			paces[fmt.Sprintf("r%02d", rank)] = pace
		}
	}
	p.do(Groups{Instance: "planner", Paces: paces})
}

func (p *play) do(e Event) {
	var moved []RequestID
	for _, effect := range p.state.Reduce(p.now, e) {
		switch d := effect.(type) {
		case Dispatch:
			s := p.streams[d.ID]
			s.waiting = false
			s.target = d.Target.ID
			_, _ = fmt.Sscanf(d.Target.ID, "r%d", &s.rank)
		case Refuse:
			p.refused(d)
		case Move:
			moved = append(moved, d.ID)
		}
	}
	for _, id := range moved {
		s := p.streams[id]
		s.waiting, s.prompt = true, s.read+float64(p.engine.Stride*(s.size-s.events))
		p.do(Retry{ID: id, MayHaveRun: true, ResponseStarted: s.started})
	}
}

func (p *play) refused(d Refuse) {
	s := p.streams[d.ID]
	delete(p.streams, d.ID)
	p.result.longestRefusal = max(p.result.longestRefusal, p.now.Sub(s.last))
	if p.retries && !s.again {
		p.back = append(p.back, playedReturn{at: p.now.Add(d.RetryAfter), asked: s.asked, size: s.size})
		return
	}
	p.result.refused++
}

// pass lets callers arrive and every rank run one pass.
func (p *play) pass() {
	at := p.now.Sub(p.start)
	running := make([]int, p.ranks)
	reading := make([]float64, p.ranks)
	budget := float64(p.engine.Stride * 512)
	for _, s := range p.streams {
		if s.waiting {
			continue
		}
		if s.prompt > 0 {
			n := min(s.prompt, budget-reading[s.rank])
			s.prompt -= n
			reading[s.rank] += n
			continue
		}
		running[s.rank]++
	}
	longest := 5 * time.Millisecond
	for rank := range running {
		d := time.Duration(0)
		if running[rank] > 0 {
			d = time.Duration(float64(modelled(&p.engine, float64(running[rank]))) * p.stretch(at))
		}
		d += time.Duration(reading[rank] / p.engine.PrefillRate * float64(time.Second))
		longest = max(longest, d)
	}
	if p.pace != nil {
		longest = max(longest, p.slowPass(at, running, reading))
	}
	end := p.now.Add(longest)
	p.arrive(longest)
	p.now = end
	p.events()
	p.do(Tick{})
}

// slowPass is a pass of a group in which ranks are slow: the slowest rank's own part,
// and the experts', whose map is taken to fit the ranks' speeds.
func (p *play) slowPass(at time.Duration, running []int, reading []float64) time.Duration {
	const expertShare = 0.85
	base := float64(modelled(&p.engine, 0))
	own, work := 0.0, 0.0
	for rank := range running {
		if running[rank] == 0 && reading[rank] == 0 {
			continue // It holds none of the others up.
		}
		w := float64(modelled(&p.engine, float64(running[rank]))) - base + reading[rank]/p.engine.PrefillRate*float64(time.Second)
		own = max(own, p.pace(rank, at)*(base+(1-expertShare)*w))
		work += w
	}
	return time.Duration(own + expertShare*p.stretch(at)*work/float64(p.ranks))
}

// arrive lets callers ask within a pass.
func (p *play) arrive(d time.Duration) {
	const slice = 10 * time.Millisecond
	for ; d > 0; d -= slice {
		for _, r := range p.back {
			if !r.at.After(p.now) {
				p.ask(r.asked, true, r.size)
			}
		}
		kept := p.back[:0]
		for _, r := range p.back {
			if r.at.After(p.now) {
				kept = append(kept, r)
			}
		}
		p.back = kept
		expected := p.perSecond(p.now.Sub(p.start)) * min(d, slice).Seconds()
		for expected > 0 && p.random.Float64() < expected {
			p.result.asked++
			p.ask(p.now, false, 1+int(p.random.ExpFloat64()*23))
			expected--
		}
		p.do(Tick{})
		p.now = p.now.Add(min(d, slice))
	}
}

func (p *play) ask(asked time.Time, again bool, size int) {
	p.next++
	size = min(size, 60)
	s := &playedStream{asked: asked, again: again, prompt: 100 + p.random.ExpFloat64()*735, events: size, size: size, waiting: true, last: p.now}
	s.read = s.prompt
	p.streams[p.next] = s
	p.do(Submit{Request: Request{
		ID: p.next, Service: playService, Organisation: fmt.Sprint(p.random.IntN(10)), Priority: 1,
		Objective: playObjective, Elapsed: p.now.Sub(asked), Deadline: p.now.Add(8 * time.Second), MaxGap: playGap, MaxAttempts: 2, Movable: !p.fixed,
	}})
}

// events gives each running stream the event of the pass that ended.
func (p *play) events() {
	for id, s := range p.streams {
		switch {
		case !s.started && p.now.Sub(s.asked) > playPatience+time.Second && !s.waiting:
			p.result.abandoned++
			p.drop(id)
		case s.waiting || s.prompt > 0:
		default:
			p.event(id, s)
		}
	}
}

func (p *play) event(id RequestID, s *playedStream) {
	if !s.started {
		s.started = true
		s.late = p.now.Sub(s.asked) > playObjective
		p.do(AttemptResult{Service: playService, Target: s.target, Outcome: Good, TimeToFirstOutput: p.now.Sub(s.last)})
	} else {
		gap := p.now.Sub(s.last)
		p.result.worstGap = max(p.result.worstGap, gap)
		s.late = s.late || gap > playGap
		p.do(StreamGap{Service: playService, Target: s.target, Gap: gap})
	}
	s.last = p.now
	if s.events--; s.events > 0 {
		return
	}
	if s.late {
		p.result.late++
	} else {
		p.result.onTime++
	}
	p.drop(id)
}

func (p *play) drop(id RequestID) {
	delete(p.streams, id)
	p.do(Finish{ID: id})
}

// steady is the same at all times.
func steady(x float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return x }
}
