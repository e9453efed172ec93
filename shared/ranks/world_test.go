package ranks

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"
)

// world is a group of ranks that obeys the engines' rules, with orders that get
// lost or are carried out late, holders of the duty that die or pause, and ranks
// that restart. It checks before each pass that all ranks have one map.
type world struct {
	random *rand.Rand
	now    time.Time
	step   uint64
	epoch  uint64
	ranks  []*simulatedRank
	fenced bool

	planners []*simulatedPlanner
	token    uint64
	// late holds orders that a rank carries out some ticks later.
	late []lateOrder
	// loss is the part of orders that get no answer.
	loss float64

	trace    func(string, ...any)
	broken   string
	switches int
	undone   int
}

type simulatedRank struct {
	sequence          uint64
	fence             uint64
	agentFence        uint64
	highest           uint64
	mapping           uint64
	prepared, copying uint64
	copyLeft          int
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

// simulatedPlanner is one holder of the duty with its orders under way.
type simulatedPlanner struct {
	switcher *Switcher
	token    uint64
	paused   int
	dead     bool
	// pending are events on their way to the switcher.
	pending []delayed
	// under way are orders that an executor tries.
	trying []*trial
}

type delayed struct {
	event Event
	ticks int
}

type trial struct {
	give  SendOrder
	ticks int // Until the next try.
	// deaf trials were given up by the holder of the duty and go on all the same, as
	// those of a sidecar do that was paused.
	deaf bool
}

func newWorld(seed uint64, size int, fenced bool) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), epoch: 1, fenced: fenced, loss: 0.3,
	}
	for range size {
		w.ranks = append(w.ranks, &simulatedRank{incarnation: 1})
	}
	w.takeOver()
	return w
}

// takeOver makes a new holder of the duty.
func (w *world) takeOver() {
	w.token++
	w.planners = append(w.planners, &simulatedPlanner{switcher: NewSwitcher(w.token, 10*time.Millisecond), token: w.token})
}

const tick = 10 * time.Millisecond

// run plays ticks of time and returns what broke, if anything.
func (w *world) run(ticks int, faults bool) string {
	for range ticks {
		w.now = w.now.Add(tick)
		if faults {
			w.fault()
		}
		w.copies()
		w.deliverLate()
		for _, p := range w.planners {
			w.play(p)
		}
		if w.random.IntN(3) == 0 {
			w.pass()
		}
		if w.broken != "" {
			return w.broken
		}
	}
	return ""
}

// fault lets something go wrong, now and then.
func (w *world) fault() {
	last := w.planners[len(w.planners)-1]
	switch w.random.IntN(400) {
	case 0:
		last.dead = true
		w.takeOver()
	case 1:
		last.paused = 20 + w.random.IntN(400)
		w.takeOver()
	case 2:
		w.restart(w.random.IntN(len(w.ranks)))
	}
	if len(w.planners) > 4 {
		w.planners = w.planners[1:]
	}
}

// restart lets a rank lose everything; the group opens in a new epoch.
func (w *world) restart(rank int) {
	w.epoch++
	w.step++
	for i, r := range w.ranks {
		agentFence := r.agentFence
		fence, sequence, highest := r.fence, r.sequence, r.highest
		incarnation := r.incarnation
		if i == rank {
			fence, sequence, highest = 0, 0, 0
			incarnation++
		}
		*r = simulatedRank{fence: fence, sequence: sequence, highest: highest, agentFence: agentFence, incarnation: incarnation}
	}
}

func (w *world) copies() {
	for _, r := range w.ranks {
		if r.copying != 0 {
			if r.copyLeft--; r.copyLeft <= 0 {
				r.prepared, r.copying = r.copying, 0
			}
		}
	}
}

func (w *world) deliverLate() {
	w.late = slices.DeleteFunc(w.late, func(l lateOrder) bool {
		if l.ticks > 0 {
			return false
		}
		_ = w.carryOut(l.rank, l.command) // Nobody hears of it.
		return true
	})
	for i := range w.late {
		w.late[i].ticks--
	}
}

// pass begins a pass unless a rank holds it.
func (w *world) pass() {
	next := w.step + 1
	for _, r := range w.ranks {
		if r.held && r.heldStep == next {
			return
		}
	}
	for _, r := range w.ranks {
		if r.armed != 0 && r.armedStep == next {
			r.mapping, r.armed, r.armedStep = r.armed, 0, 0
		}
	}
	w.step = next
	for _, r := range w.ranks {
		if r.mapping != w.ranks[0].mapping {
			w.broken = "a pass began with two maps"
		}
	}
}

func (w *world) report(rank int) Report {
	r := w.ranks[rank]
	return Report{
		Group: "g", Rank: rank, Ranks: len(w.ranks), Epoch: w.epoch, Open: true, Incarnation: r.incarnation,
		Sequence: r.sequence, Step: w.step, Map: r.mapping, Prepared: r.prepared,
		Armed: r.armed, ArmedStep: r.armedStep, Held: r.held, HeldStep: r.heldStep,
	}
}

// carryOut applies the engine's rules to an order.
func (w *world) carryOut(rank int, c Command) error {
	r := w.ranks[rank]
	if w.trace != nil {
		defer func(before simulatedRank) {
			w.trace("t%d step %d rank %d order %T%v token %d -> map %d prep %d armed %d@%d held %v@%d", w.now.UnixMilli()/10%100000, w.step, rank, c.Order, c.Order, c.Token, r.mapping, r.prepared, r.armed, r.armedStep, r.held, r.heldStep)
		}(*r)
	}
	if w.fenced && c.Token < r.fence {
		return ErrFenced.New("token")
	}
	if c.Epoch != w.epoch {
		return ErrRefused.New("epoch")
	}
	if c.Expected != r.sequence {
		return ErrRefused.New("sequence")
	}
	switch o := c.Order.(type) {
	case Prepare:
		if o.Version <= r.highest || r.armed != 0 {
			return ErrRefused.New("version")
		}
		r.highest, r.copying, r.copyLeft = o.Version, o.Version, 1+w.random.IntN(20)
	case Hold:
		if r.held && r.heldStep == o.Step {
			return nil
		}
		if o.Step <= w.step || r.held && r.heldStep > w.step {
			return ErrRefused.New("begun")
		}
		r.held, r.heldStep = true, o.Step
	case Arm:
		if r.armed == o.Version && r.armedStep == o.Step {
			return nil
		}
		if r.prepared != o.Version || o.Step <= w.step {
			return ErrRefused.New("not prepared")
		}
		r.armed, r.armedStep = o.Version, o.Step
	case Release:
		if !r.held || r.heldStep != o.Step {
			return ErrRefused.New("not held")
		}
		r.held, r.heldStep = false, 0
	}
	// Orders that begin nothing may leave no trace of their token.
	r.fence = max(r.fence, c.Token)
	r.sequence++
	return nil
}

// play moves one holder of the duty on.
func (w *world) play(p *simulatedPlanner) {
	if p.dead {
		return
	}
	if p.paused > 0 {
		p.paused--
		return
	}
	for rank := range w.ranks {
		if w.random.IntN(8) == 0 {
			w.queue(p, ReportReceived{Report: w.report(rank)})
		}
	}
	w.tryOrders(p)
	var due []Event
	p.pending = slices.DeleteFunc(p.pending, func(d delayed) bool {
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
		w.obey(p, p.switcher.Reduce(w.now, e))
	}
	w.obey(p, p.switcher.Reduce(w.now, Tick{}))
	if p.switcher.Idle() && w.random.IntN(5) == 0 {
		w.obey(p, p.switcher.Reduce(w.now, SwitchRequested{Map: Map{{{0}}}}))
	}
}

func (w *world) queue(p *simulatedPlanner, e Event) {
	p.pending = append(p.pending, delayed{event: e, ticks: w.random.IntN(3)})
}

func (w *world) obey(p *simulatedPlanner, effects []Effect) {
	for _, effect := range effects {
		if w.trace != nil {
			w.trace("t%d planner %d phase %s: %T %v", w.now.UnixMilli()/10%100000, p.token, p.switcher.Phase(), effect, effect)
		}
		switch e := effect.(type) {
		case SendOrder:
			p.trying = append(p.trying, &trial{give: e, ticks: w.random.IntN(3)})
		case SwitchCompleted:
			if w.trace != nil {
				w.trace("planner %d switched %d", p.token, e.Version)
			}
			w.switches++
		case SwitchAborted:
			w.undone++
		case LeadershipLost:
			p.dead = true
		}
	}
}

// tryOrders runs the real executor against a rank, one try at a time.
func (w *world) tryOrders(p *simulatedPlanner) {
	p.trying = slices.DeleteFunc(p.trying, func(t *trial) bool {
		if t.ticks > 0 {
			t.ticks--
			return false
		}
		rank := t.give.Rank
		if t.give.Token < w.ranks[rank].agentFence {
			if !t.deaf {
				w.queue(p, OrderEnded{Rank: rank, Token: t.give.Token, Order: t.give.Order, Err: ErrFenced.New("sidecar")})
			}
			return true
		}
		w.ranks[rank].agentFence = t.give.Token
		ctx, cancel := context.WithCancel(context.Background())
		engine := &simulatedEngine{world: w, rank: rank, stop: cancel}
		report, err := (&Executor{Engine: engine, CheckToken: w.fencedAt(rank)}).Execute(ctx, t.give.Token, t.give.Epoch, t.give.Order)
		cancel()
		if !t.deaf {
			w.queue(p, OrderEnded{Rank: rank, Token: t.give.Token, Order: t.give.Order, Report: report, Err: err})
		}
		if errors.Is(err, ErrUnanswered) && w.random.IntN(4) == 0 {
			t.deaf, t.ticks = true, 20+w.random.IntN(600)
			return false
		}
		return true
	})
}

// fencedAt is a sidecar's memory of tokens.
func (w *world) fencedAt(rank int) func(uint64) error {
	return func(token uint64) error {
		if token < w.ranks[rank].agentFence {
			return ErrFenced.New("sidecar")
		}
		return nil
	}
}

// simulatedEngine answers one executor. A lost order ends the executor's time.
type simulatedEngine struct {
	world *world
	rank  int
	stop  context.CancelFunc
}

func (e *simulatedEngine) Report(context.Context) (Report, error) { return e.world.report(e.rank), nil }

func (e *simulatedEngine) Order(_ context.Context, c Command) error {
	w := e.world
	if w.random.Float64() >= w.loss {
		return w.carryOut(e.rank, c)
	}
	e.stop()
	switch w.random.IntN(3) {
	case 0: // Carried out now, the answer is lost.
		_ = w.carryOut(e.rank, c)
	case 1: // Carried out 2 to 12 s later.
		w.late = append(w.late, lateOrder{rank: e.rank, command: c, ticks: 200 + w.random.IntN(1000)})
	}
	return ErrUnanswered.New("lost")
}
