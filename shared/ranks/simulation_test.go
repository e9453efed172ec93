package ranks

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"
)

// simulation simulates a group of ranks that follow the engines' rules. Orders get lost
// or are executed late, leaders stop or pause, and ranks restart. At the start of each
// pass it checks that all ranks have the same map.
type simulation struct {
	random       *rand.Rand
	now          time.Time
	step         uint64
	epoch        uint64
	ranks        []*simulatedRank
	enginesFence bool

	planners []*simulatedPlanner
	token    uint64
	// lateOrders are executed by their rank some ticks later.
	lateOrders []lateOrder
	// lossRate is the fraction of orders that get no response.
	lossRate float64

	trace     func(string, ...any)
	violation string
	switches  int
	aborted   int
}

// simulatedRank is the state of a rank's engine, and the highest token that its sidecar
// has seen.
type simulatedRank struct {
	sequence          uint64
	highestToken      uint64
	sidecarToken      uint64
	highestVersion    uint64
	mapVersion        uint64
	prepared, copying uint64
	copyTicksLeft     int
	armed, armedStep  uint64
	held              bool
	heldStep          uint64
	incarnation       uint64
}

type lateOrder struct {
	rank    int
	command Command
	ticks   int
}

// simulatedPlanner is a leader, current or former, and its orders in flight.
type simulatedPlanner struct {
	switcher *Switcher
	token    uint64
	paused   int
	dead     bool
	// pending are events that the switcher has not received yet.
	pending []delayedEvent
	// attempts are the orders that an executor is sending.
	attempts []*attempt
}

type delayedEvent struct {
	event Event
	ticks int
}

type attempt struct {
	order SendOrder
	ticks int // Ticks until the next try.
	// detached attempts continue although the leader no longer waits for their result,
	// as those of a paused sidecar do.
	detached bool
}

func newSimulation(seed uint64, size int, enginesFence bool) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), epoch: 1, enginesFence: enginesFence, lossRate: 0.3,
	}
	for range size {
		s.ranks = append(s.ranks, &simulatedRank{incarnation: 1})
	}
	s.addLeader()
	return s
}

// addLeader adds a leader with a higher token. Earlier leaders may keep running.
func (s *simulation) addLeader() {
	s.token++
	s.planners = append(s.planners, &simulatedPlanner{switcher: NewSwitcher(s.token, 10*time.Millisecond), token: s.token})
}

const tick = 10 * time.Millisecond

// run simulates a number of ticks and returns a description of the violation, if any
// occurred.
func (s *simulation) run(ticks int, faults bool) string {
	for range ticks {
		s.now = s.now.Add(tick)
		if faults {
			s.injectFault()
		}
		s.advanceCopies()
		s.deliverLateOrders()
		for _, p := range s.planners {
			s.runPlanner(p)
		}
		if s.random.IntN(3) == 0 {
			s.beginPass()
		}
		if s.violation != "" {
			return s.violation
		}
	}
	return ""
}

// injectFault stops a leader, pauses it or restarts a rank, each in 1 of 400 ticks.
func (s *simulation) injectFault() {
	last := s.planners[len(s.planners)-1]
	switch s.random.IntN(400) {
	case 0:
		last.dead = true
		s.addLeader()
	case 1:
		last.paused = 20 + s.random.IntN(400)
		s.addLeader()
	case 2:
		s.restart(s.random.IntN(len(s.ranks)))
	}
	if len(s.planners) > 4 {
		s.planners = s.planners[1:]
	}
}

// restart restarts a rank. The group opens in a new epoch, in which no rank is prepared,
// armed or held. The restarted rank also loses its sequence, fencing token and highest
// version; its sidecar keeps its token.
func (s *simulation) restart(rank int) {
	s.epoch++
	s.step++
	for i, r := range s.ranks {
		sidecarToken := r.sidecarToken
		highestToken, sequence, highestVersion := r.highestToken, r.sequence, r.highestVersion
		incarnation := r.incarnation
		if i == rank {
			highestToken, sequence, highestVersion = 0, 0, 0
			incarnation++
		}
		*r = simulatedRank{highestToken: highestToken, sequence: sequence, highestVersion: highestVersion, sidecarToken: sidecarToken, incarnation: incarnation}
	}
}

func (s *simulation) advanceCopies() {
	for _, r := range s.ranks {
		if r.copying != 0 {
			if r.copyTicksLeft--; r.copyTicksLeft <= 0 {
				r.prepared, r.copying = r.copying, 0
			}
		}
	}
}

func (s *simulation) deliverLateOrders() {
	s.lateOrders = slices.DeleteFunc(s.lateOrders, func(l lateOrder) bool {
		if l.ticks > 0 {
			return false
		}
		_ = s.applyOrder(l.rank, l.command) // The sender has stopped waiting.
		return true
	})
	for i := range s.lateOrders {
		s.lateOrders[i].ticks--
	}
}

// beginPass begins the next pass unless a rank holds it.
func (s *simulation) beginPass() {
	next := s.step + 1
	for _, r := range s.ranks {
		if r.held && r.heldStep == next {
			return
		}
	}
	for _, r := range s.ranks {
		if r.armed != 0 && r.armedStep == next {
			r.mapVersion, r.armed, r.armedStep = r.armed, 0, 0
		}
	}
	s.step = next
	for _, r := range s.ranks {
		if r.mapVersion != s.ranks[0].mapVersion {
			s.violation = "a pass began with different maps"
		}
	}
}

func (s *simulation) report(rank int) Report {
	r := s.ranks[rank]
	return Report{
		Group: "g", Rank: rank, Ranks: len(s.ranks), Epoch: s.epoch, Open: true, Incarnation: r.incarnation,
		Sequence: r.sequence, Step: s.step, Map: r.mapVersion, Prepared: r.prepared,
		Armed: r.armed, ArmedStep: r.armedStep, Held: r.held, HeldStep: r.heldStep,
	}
}

// applyOrder executes or refuses an order by the engines' rules.
func (s *simulation) applyOrder(rank int, c Command) error {
	r := s.ranks[rank]
	if s.trace != nil {
		defer func(before simulatedRank) {
			s.trace("t%d step %d rank %d order %T%v token %d -> map %d prep %d armed %d@%d held %v@%d", s.now.UnixMilli()/10%100000, s.step, rank, c.Order, c.Order, c.Token, r.mapVersion, r.prepared, r.armed, r.armedStep, r.held, r.heldStep)
		}(*r)
	}
	if s.enginesFence && c.Token < r.highestToken {
		return ErrFenced.New("token")
	}
	if c.Epoch != s.epoch {
		return ErrRefused.New("epoch")
	}
	if c.Expected != r.sequence {
		return ErrRefused.New("sequence")
	}
	switch o := c.Order.(type) {
	case Prepare:
		if o.Version <= r.highestVersion || r.armed != 0 {
			return ErrRefused.New("version")
		}
		r.highestVersion, r.copying, r.copyTicksLeft = o.Version, o.Version, 1+s.random.IntN(20)
	case Hold:
		if r.held && r.heldStep == o.Step {
			return nil
		}
		if o.Step <= s.step || r.held && r.heldStep > s.step {
			return ErrRefused.New("begun")
		}
		r.held, r.heldStep = true, o.Step
	case Arm:
		if r.armed == o.Version && r.armedStep == o.Step {
			return nil
		}
		if r.prepared != o.Version || o.Step <= s.step {
			return ErrRefused.New("not prepared")
		}
		r.armed, r.armedStep = o.Version, o.Step
	case Release:
		if !r.held || r.heldStep != o.Step {
			return ErrRefused.New("not held")
		}
		r.held, r.heldStep = false, 0
	}
	// Engines need not record the token of an order that changes nothing; those return
	// above.
	r.highestToken = max(r.highestToken, c.Token)
	r.sequence++
	return nil
}

// runPlanner simulates one tick of a leader.
func (s *simulation) runPlanner(p *simulatedPlanner) {
	if p.dead {
		return
	}
	if p.paused > 0 {
		p.paused--
		return
	}
	for rank := range s.ranks {
		if s.random.IntN(8) == 0 {
			s.enqueue(p, ReportReceived{Report: s.report(rank)})
		}
	}
	s.attemptOrders(p)
	var due []Event
	p.pending = slices.DeleteFunc(p.pending, func(d delayedEvent) bool {
		if d.ticks <= 0 {
			due = append(due, d.event)
			return true
		}
		return false
	})
	for i := range p.pending {
		p.pending[i].ticks--
	}
	for _, e := range due {
		s.applyEffects(p, p.switcher.Reduce(s.now, e))
	}
	s.applyEffects(p, p.switcher.Reduce(s.now, Tick{}))
	if p.switcher.Idle() && s.random.IntN(5) == 0 {
		s.applyEffects(p, p.switcher.Reduce(s.now, SwitchRequested{Map: Map{{{0}}}}))
	}
}

func (s *simulation) enqueue(p *simulatedPlanner, e Event) {
	p.pending = append(p.pending, delayedEvent{event: e, ticks: s.random.IntN(3)})
}

func (s *simulation) applyEffects(p *simulatedPlanner, effects []Effect) {
	for _, effect := range effects {
		if s.trace != nil {
			s.trace("t%d planner %d phase %s: %T %v", s.now.UnixMilli()/10%100000, p.token, p.switcher.Phase(), effect, effect)
		}
		switch e := effect.(type) {
		case SendOrder:
			p.attempts = append(p.attempts, &attempt{order: e, ticks: s.random.IntN(3)})
		case SwitchCompleted:
			if s.trace != nil {
				s.trace("planner %d switched %d", p.token, e.Version)
			}
			s.switches++
		case SwitchAborted:
			s.aborted++
		case LeadershipLost:
			p.dead = true
		}
	}
}

// attemptOrders runs the real executor against the simulated ranks, one try at a time.
func (s *simulation) attemptOrders(p *simulatedPlanner) {
	p.attempts = slices.DeleteFunc(p.attempts, func(t *attempt) bool {
		if t.ticks > 0 {
			t.ticks--
			return false
		}
		rank := t.order.Rank
		if t.order.Token < s.ranks[rank].sidecarToken {
			if !t.detached {
				s.enqueue(p, OrderEnded{Rank: rank, Token: t.order.Token, Order: t.order.Order, Err: ErrFenced.New("sidecar")})
			}
			return true
		}
		s.ranks[rank].sidecarToken = t.order.Token
		ctx, cancel := context.WithCancel(context.Background())
		engine := &simulatedEngine{simulation: s, rank: rank, stop: cancel}
		report, err := (&Executor{Engine: engine, CheckToken: s.checkTokenAt(rank)}).Execute(ctx, t.order.Token, t.order.Epoch, t.order.Order)
		cancel()
		if !t.detached {
			s.enqueue(p, OrderEnded{Rank: rank, Token: t.order.Token, Order: t.order.Order, Report: report, Err: err})
		}
		if errors.Is(err, ErrUnanswered) && s.random.IntN(4) == 0 {
			t.detached, t.ticks = true, 20+s.random.IntN(600)
			return false
		}
		return true
	})
}

// checkTokenAt returns a check against the highest token that a rank's sidecar has seen.
func (s *simulation) checkTokenAt(rank int) func(uint64) error {
	return func(token uint64) error {
		if token < s.ranks[rank].sidecarToken {
			return ErrFenced.New("sidecar")
		}
		return nil
	}
}

// simulatedEngine serves one executor. A lost order ends the executor's context, so that
// it makes no second try.
type simulatedEngine struct {
	simulation *simulation
	rank       int
	stop       context.CancelFunc
}

func (e *simulatedEngine) Report(context.Context) (Report, error) {
	return e.simulation.report(e.rank), nil
}

func (e *simulatedEngine) Order(_ context.Context, c Command) error {
	s := e.simulation
	if s.random.Float64() >= s.lossRate {
		return s.applyOrder(e.rank, c)
	}
	e.stop()
	switch s.random.IntN(3) {
	case 0: // Executed now, but the response is lost.
		_ = s.applyOrder(e.rank, c)
	case 1: // Executed 2 to 12 s later.
		s.lateOrders = append(s.lateOrders, lateOrder{rank: e.rank, command: c, ticks: 200 + s.random.IntN(1000)})
	}
	return ErrUnanswered.New("lost")
}
