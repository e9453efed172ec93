package admission

import (
	"fmt"
	"math/rand/v2"
	"time"

	"chervilswitch.example/shared/fleet"
)

// simulation applies a load to a group of ranks that run in lock-step behind one reducer.
// Time advances by passes: each pass gives every running stream one event and takes as
// long as its slowest rank.
type simulation struct {
	random *rand.Rand
	engine fleet.Engine
	ranks  int
	// perSecond returns the rate of requests at a time since the start.
	perSecond func(at time.Duration) float64
	// passRatio returns the ratio of the actual to the modelled pass at a time since
	// the start.
	passRatio func(at time.Duration) float64
	// pace returns the pace of a rank at a time since the start; if it is nil, no rank
	// is slow.
	pace func(rank int, at time.Duration) float64
	// retries lets refused callers retry once.
	retries  bool
	duration time.Duration
	// immovable keeps streams on their first target.
	immovable bool
	// pacesHidden withholds the paces of slow ranks from the reducer.
	pacesHidden bool
	// unlimited removes the reducer's limit.
	unlimited bool

	state          *State
	now            time.Time
	start          time.Time
	streams        map[RequestID]*simulatedStream
	next           RequestID
	pendingRetries []simulatedRetry

	result simulationResult
}

type simulatedStream struct {
	rank         int
	submitted    time.Time // Time of the caller's first try.
	retried      bool
	unreadTokens float64 // Prompt tokens still to read.
	promptTokens float64 // Size of the whole prompt.
	events       int     // Events still to send.
	started      bool
	late         bool
	last         time.Time
	waiting      bool
	target       string
	size         int
}

type simulatedRetry struct {
	at, submitted time.Time
	size          int
}

// simulationResult counts what callers received.
type simulationResult struct {
	submitted, onTime, late, refused, abandoned int
	// worstGap is the longest gap between two events of a stream.
	worstGap time.Duration
	// longestRefusal is the longest wait before a refusal.
	longestRefusal time.Duration
}

func (r simulationResult) String() string {
	return fmt.Sprintf("submitted %d, on time %.3f, late %.3f, refused %.3f, abandoned %.3f, longest wait for a refusal %s",
		r.submitted, share(r.onTime, r.submitted), share(r.late, r.submitted), share(r.refused, r.submitted), share(r.abandoned, r.submitted), r.longestRefusal)
}

// utility is the mean value of a request. A response on time counts 1, a late one 1/4.
func (r simulationResult) utility() float64 {
	return share(r.onTime, r.submitted) + share(r.late, r.submitted)/4
}

func share(n, of int) float64 { return float64(n) / float64(max(1, of)) }

const (
	testObjective   = 500 * time.Millisecond
	testMaxGap      = 120 * time.Millisecond
	clientTimeout   = 2 * time.Second
	paceReportDelay = 500 * time.Millisecond
	testService     = "model"
)

func testEngine() fleet.Engine {
	return fleet.Engine{
		Slots: 12, Step: 4550 * time.Microsecond, StepPerSequence: 905 * time.Microsecond,
		StepPerContext: 18 * time.Microsecond, Stride: 4, PrefillRate: 61400, MeanPromptTokens: 835, MeanOutputTokens: 97,
	}
}

func (p *simulation) run(seed uint64) simulationResult {
	p.random = rand.New(rand.NewPCG(seed, 7))
	p.engine = testEngine()
	p.start = time.Unix(5000, 0)
	p.now = p.start
	p.streams = make(map[RequestID]*simulatedStream)
	p.state = New("entry-a", "a", RetryBudget{Ratio: 0.2, Slack: 92})
	targets := make([]fleet.Target, p.ranks)
	for rank := range targets {
		targets[rank] = fleet.Target{ID: fmt.Sprintf("r%02d", rank), Service: testService, DataCentre: "a", Slots: p.engine.Slots}
	}
	service := fleet.Service{Name: testService, Engine: &p.engine}
	if p.unlimited {
		service.Engine = nil
		for rank := range targets {
			targets[rank].Slots = 1000
		}
	}
	p.reduce(ServiceTargets{Service: service, Targets: targets})
	for p.now.Sub(p.start) < p.duration {
		p.reportPaces()
		p.pass()
	}
	return p.result
}

// reportPaces reports the slow ranks to the reducer, with the planner's delay.
func (p *simulation) reportPaces() {
	if p.pace == nil || p.pacesHidden {
		return
	}
	paces := make(map[string]float64)
	for rank := range p.ranks {
		if pace := p.pace(rank, p.now.Sub(p.start)-paceReportDelay); pace > 1 {
			paces[fmt.Sprintf("r%02d", rank)] = pace
		}
	}
	p.reduce(GroupReport{Instance: "planner", Paces: paces})
}

func (p *simulation) reduce(e Event) {
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
		s.waiting, s.unreadTokens = true, s.promptTokens+float64(p.engine.Stride*(s.size-s.events))
		p.reduce(Retry{ID: id, MayHaveRun: true, ResponseStarted: s.started})
	}
}

func (p *simulation) refused(d Refuse) {
	s := p.streams[d.ID]
	delete(p.streams, d.ID)
	p.result.longestRefusal = max(p.result.longestRefusal, p.now.Sub(s.last))
	if p.retries && !s.retried {
		p.pendingRetries = append(p.pendingRetries, simulatedRetry{at: p.now.Add(d.RetryAfter), submitted: s.submitted, size: s.size})
		return
	}
	p.result.refused++
}

// pass runs one pass of every rank, during which new requests arrive.
func (p *simulation) pass() {
	at := p.now.Sub(p.start)
	running := make([]int, p.ranks)
	reading := make([]float64, p.ranks)
	budget := float64(p.engine.Stride * 512)
	for _, s := range p.streams {
		if s.waiting {
			continue
		}
		if s.unreadTokens > 0 {
			n := min(s.unreadTokens, budget-reading[s.rank])
			s.unreadTokens -= n
			reading[s.rank] += n
			continue
		}
		running[s.rank]++
	}
	longest := 5 * time.Millisecond
	for rank := range running {
		d := time.Duration(0)
		if running[rank] > 0 {
			d = time.Duration(float64(modelledPass(&p.engine, float64(running[rank]))) * p.passRatio(at))
		}
		d += time.Duration(reading[rank] / p.engine.PrefillRate * float64(time.Second))
		longest = max(longest, d)
	}
	if p.pace != nil {
		longest = max(longest, p.slowPass(at, running, reading))
	}
	end := p.now.Add(longest)
	p.submitArrivals(longest)
	p.now = end
	p.deliverEvents()
	p.reduce(Tick{})
}

// slowPass returns the duration of a pass with slow ranks. It is the time of the slowest
// rank outside the experts plus the time of the experts, whose work the expert map is
// assumed to balance over all ranks.
func (p *simulation) slowPass(at time.Duration, running []int, reading []float64) time.Duration {
	const expertShare = 0.85
	base := float64(modelledPass(&p.engine, 0))
	nonExpertTime, totalWork := 0.0, 0.0
	for rank := range running {
		if running[rank] == 0 && reading[rank] == 0 {
			continue // Idle ranks delay no other rank.
		}
		work := float64(modelledPass(&p.engine, float64(running[rank]))) - base + reading[rank]/p.engine.PrefillRate*float64(time.Second)
		nonExpertTime = max(nonExpertTime, p.pace(rank, at)*(base+(1-expertShare)*work))
		totalWork += work
	}
	return time.Duration(nonExpertTime + expertShare*p.passRatio(at)*totalWork/float64(p.ranks))
}

// submitArrivals submits the new requests and the retries of a pass.
func (p *simulation) submitArrivals(d time.Duration) {
	const slice = 10 * time.Millisecond
	for ; d > 0; d -= slice {
		for _, r := range p.pendingRetries {
			if !r.at.After(p.now) {
				p.submit(r.submitted, true, r.size)
			}
		}
		kept := p.pendingRetries[:0]
		for _, r := range p.pendingRetries {
			if r.at.After(p.now) {
				kept = append(kept, r)
			}
		}
		p.pendingRetries = kept
		expected := p.perSecond(p.now.Sub(p.start)) * min(d, slice).Seconds()
		for expected > 0 && p.random.Float64() < expected {
			p.result.submitted++
			p.submit(p.now, false, 1+int(p.random.ExpFloat64()*23))
			expected--
		}
		p.reduce(Tick{})
		p.now = p.now.Add(min(d, slice))
	}
}

func (p *simulation) submit(submitted time.Time, retried bool, size int) {
	p.next++
	size = min(size, 60)
	s := &simulatedStream{submitted: submitted, retried: retried, unreadTokens: 100 + p.random.ExpFloat64()*735, events: size, size: size, waiting: true, last: p.now}
	s.promptTokens = s.unreadTokens
	p.streams[p.next] = s
	p.reduce(Submit{Request: Request{
		ID: p.next, Service: testService, Organisation: fmt.Sprint(p.random.IntN(10)), Priority: 1,
		Objective: testObjective, Elapsed: p.now.Sub(submitted), Deadline: p.now.Add(8 * time.Second), MaxGap: testMaxGap, MaxAttempts: 2, Movable: !p.immovable,
	}})
}

// deliverEvents gives each running stream the event of the pass that has ended. It
// abandons running requests without an event one second after clientTimeout.
func (p *simulation) deliverEvents() {
	for id, s := range p.streams {
		switch {
		case !s.started && p.now.Sub(s.submitted) > clientTimeout+time.Second && !s.waiting:
			p.result.abandoned++
			p.finish(id)
		case s.waiting || s.unreadTokens > 0:
		default:
			p.deliverEvent(id, s)
		}
	}
}

func (p *simulation) deliverEvent(id RequestID, s *simulatedStream) {
	if !s.started {
		s.started = true
		s.late = p.now.Sub(s.submitted) > testObjective
		p.reduce(AttemptResult{Service: testService, Target: s.target, Outcome: Good, TimeToFirstOutput: p.now.Sub(s.last)})
	} else {
		gap := p.now.Sub(s.last)
		p.result.worstGap = max(p.result.worstGap, gap)
		s.late = s.late || gap > testMaxGap
		p.reduce(StreamGap{Service: testService, Target: s.target, Gap: gap})
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
	p.finish(id)
}

func (p *simulation) finish(id RequestID) {
	delete(p.streams, id)
	p.reduce(Finish{ID: id})
}

// steady returns a function that is constant over time.
func steady(x float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return x }
}
