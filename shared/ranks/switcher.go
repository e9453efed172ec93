package ranks

import (
	"errors"
	"time"
)

const (
	// holdLead is how many passes ahead of the last begun one the group is held:
	// the next pass may begin before the order arrives.
	holdLead = 2
	// prepareSlack is added to the time of copying before a preparation is given
	// up; orders that got no answer are given again within it.
	prepareSlack = 1500 * time.Millisecond
	// retryEvery is when an order that was refused is given again.
	retryEvery = 50 * time.Millisecond
	// fenceStep is a pass that no group reaches: at 20 passes a second it is 1,700
	// years away.
	fenceStep = 1 << 40
	// settleTime is when reports from before a release have been replaced.
	settleTime = 500 * time.Millisecond
	// versionsPerToken leaves each holder of the duty its own versions.
	versionsPerToken = 1 << 20
	// fencesPerToken leaves each holder of the duty its own fencing tokens: one for
	// each switch, and one more for undoing it.
	fencesPerToken = 1 << 20
)

// phase is how far a switch has come.
type phase int

const (
	idle phase = iota
	fencing
	unfencing
	preparing
	holding
	arming
	releasing
)

// String names the phase in logs.
func (p phase) String() string {
	return [...]string{"idle", "fencing", "unfencing", "preparing", "holding", "arming", "releasing"}[p]
}

// Switcher moves a group from map to map. A switch prepares the map on all ranks,
// holds the group before a pass, arms all ranks for that pass, and releases it when
// every rank has confirmed. A rank that confirmed switches by itself, so until all
// have confirmed or none is armed, the pass stays held.
//
// A switch whose pass is held is never undone, only completed: all ranks are
// prepared, so arming the rest is always possible, and whoever releases the pass has
// seen every rank armed. So two holders of the duty that do not know of each other
// agree, and orders that are carried out late do no harm: a late Prepare names an old
// version, a late Hold or Arm a pass that has begun, a late Release one that is not
// held.
//
// A new holder of the duty does not know what is under way. It first fences all
// ranks, by a hold far ahead that it takes back: ranks then refuse all earlier
// orders, and their reports are final. A rank that is held already keeps its hold,
// and the switch that the hold belongs to is completed. The zero value serves
// nobody; use NewSwitcher.
type Switcher struct {
	token uint64
	count uint64 // Versions that were given out under this token.
	fence uint64 // Fencing tokens that were used under this token.
	copy  time.Duration

	epoch   uint64
	fenced  bool // All ranks were fenced in this epoch.
	reports map[int]Report
	size    int

	phase   phase
	since   time.Time
	version uint64
	planned Map
	step    uint64
	holder  int
	done    map[int]bool
	open    map[int]time.Time // When an order to a rank was given or refused.
	given   map[int]bool      // Ranks with an order that has not ended.
	settled time.Time         // When the last switch ended.
	taken   map[int]uint64    // The holds that unfencing takes back, by rank.
}

// NewSwitcher gives a switcher for the holder of a fencing token; expertCopy is how
// long a rank takes to copy one expert.
func NewSwitcher(token uint64, expertCopy time.Duration) *Switcher {
	return &Switcher{token: token, copy: expertCopy, reports: make(map[int]Report)}
}

// Idle reports whether a switch can be planned: all ranks are known and open, have
// one map, and nothing is under way.
func (s *Switcher) Idle() bool {
	if s.phase != idle || s.size == 0 || len(s.reports) < s.size || !s.fenced {
		return false
	}
	first := s.reports[0].Map
	for _, r := range s.reports {
		if !r.Open || r.Map != first || r.Armed != 0 || r.Held {
			return false
		}
	}
	return true
}

// Phase names what is under way.
func (s *Switcher) Phase() string { return s.phase.String() }

// Step is the last pass that any rank reported.
func (s *Switcher) Step() uint64 {
	last := uint64(0)
	for _, r := range s.reports {
		last = max(last, r.Step)
	}
	return last
}

// Version is the map that all ranks report; ok is false while they differ.
func (s *Switcher) Version() (version uint64, ok bool) {
	if s.size == 0 || len(s.reports) < s.size {
		return 0, false
	}
	version = s.reports[0].Map
	for _, r := range s.reports {
		if r.Map != version {
			return 0, false
		}
	}
	return version, true
}

// Epoch is the group's formation.
func (s *Switcher) Epoch() uint64 { return s.epoch }

// Reduce takes one event and returns what is to be done.
func (s *Switcher) Reduce(at time.Time, event Event) []Effect {
	switch e := event.(type) {
	case ReportReceived:
		return s.report(at, e.Report)
	case SwitchRequested:
		return s.plan(at, e.Map)
	case OrderEnded:
		return s.end(at, e)
	default:
		return s.advance(at)
	}
}

// report takes a rank's state. A new epoch ends whatever was under way: the group
// opened with nothing prepared, armed or held.
func (s *Switcher) report(at time.Time, r Report) []Effect {
	if r.Ranks == 0 || r.Epoch < s.epoch {
		return nil
	}
	var effects []Effect
	if r.Epoch > s.epoch {
		if s.phase != idle {
			effects = append(effects, SwitchAborted{Version: s.version, Reason: "the group formed anew"})
		}
		s.epoch, s.size = r.Epoch, r.Ranks
		clear(s.reports)
		s.rest()
		s.fenced = false
	}
	s.reports[r.Rank] = r
	return append(effects, s.advance(at)...)
}

func (s *Switcher) rest() {
	s.phase, s.planned, s.version, s.step = idle, nil, 0, 0
	s.done, s.open, s.given = nil, nil, nil
}

// fenceHold is the pass that fencing holds.
func (s *Switcher) fenceHold() uint64 { return fenceStep + s.fencingToken() }

// fencingToken is the token that orders bear now.
func (s *Switcher) fencingToken() uint64 { return s.token*fencesPerToken + s.fence }

// enter begins a phase and gives its order to the ranks concerned.
func (s *Switcher) enter(at time.Time, p phase) []Effect {
	if s.phase == idle {
		s.fence++
	}
	s.phase, s.since = p, at
	s.done, s.open, s.given = make(map[int]bool), make(map[int]time.Time), make(map[int]bool)
	return s.give(at)
}

// give sends the phase's order to each rank that has not confirmed it and has no
// order on its way.
func (s *Switcher) give(at time.Time) []Effect {
	var effects []Effect
	for rank := range s.size {
		if s.done[rank] || s.given[rank] || at.Sub(s.open[rank]) < retryEvery {
			continue
		}
		order := s.order(rank)
		if order == nil {
			continue
		}
		s.given[rank], s.open[rank] = true, at
		effects = append(effects, SendOrder{Rank: rank, Token: s.fencingToken(), Epoch: s.epoch, Order: order})
	}
	return effects
}

// order is what the phase asks of a rank, or nil.
func (s *Switcher) order(rank int) Order {
	switch s.phase {
	case fencing:
		return Hold{Step: s.fenceHold()}
	case unfencing:
		if step := s.taken[rank]; step != 0 {
			return Release{Step: step}
		}
	case preparing:
		return Prepare{Version: s.version, Map: s.planned}
	case holding:
		if rank == s.holder {
			return Hold{Step: s.step}
		}
	case arming:
		return Arm{Version: s.version, Step: s.step}
	case releasing:
		if rank == s.holder {
			return Release{Step: s.step}
		}
	}
	return nil
}

func (s *Switcher) plan(at time.Time, m Map) []Effect {
	if !s.Idle() {
		return nil
	}
	s.version, s.planned = s.nextVersion(), m
	return s.enter(at, preparing)
}

// nextVersion is higher than all versions that the ranks have had.
func (s *Switcher) nextVersion() uint64 {
	highest := uint64(0)
	for _, r := range s.reports {
		highest = max(highest, r.Map, r.Prepared, r.Armed)
	}
	s.count++
	return max(highest+1, s.token*versionsPerToken+s.count)
}

// end takes the end of an order. Orders of an earlier phase no longer matter: a
// confirmation shows in the reports too.
func (s *Switcher) end(at time.Time, e OrderEnded) []Effect {
	if e.Token != s.fencingToken() {
		return nil // It belongs to an earlier switch, or was undone.
	}
	if errors.Is(e.Err, ErrFenced) {
		return []Effect{LeadershipLost{}}
	}
	if e.Report.Ranks != 0 && e.Report.Epoch > s.epoch {
		return s.report(at, e.Report)
	}
	if s.phase == idle || !same(s.order(e.Rank), e.Order) {
		return nil
	}
	s.given[e.Rank] = false
	if s.phase == fencing || s.phase == unfencing {
		return s.endFence(at, e)
	}
	if e.Err == nil {
		if s.phase != preparing { // A preparation is done when the copy is.
			s.done[e.Rank] = true
		}
		return s.advance(at)
	}
	if e.Report.Ranks != 0 && e.Report.Epoch == s.epoch {
		s.reports[e.Rank] = e.Report
	}
	if r := e.Report; s.phase == holding && errors.Is(e.Err, ErrRefused) && r.Held && r.HeldStep > r.Step {
		// A hold of this planner that was carried out late. Nothing is armed for it.
		return []Effect{SendOrder{Rank: e.Rank, Token: s.fencingToken(), Epoch: s.epoch, Order: Release{Step: r.HeldStep}}}
	}
	if s.phase == holding && errors.Is(e.Err, ErrRefused) {
		s.step = max(s.step, s.Step()) + holdLead // The pass had begun.
		s.open[e.Rank] = time.Time{}
	}
	return s.advance(at)
}

// endFence takes the end of an order that fences a rank or ends that. A rank that
// is held otherwise cannot be fenced and need not be: its hold shows what is under
// way.
func (s *Switcher) endFence(at time.Time, e OrderEnded) []Effect {
	if e.Report.Ranks != 0 {
		s.reports[e.Rank] = e.Report
	}
	foreign := errors.Is(e.Err, ErrRefused) && e.Report.Held && e.Report.HeldStep != s.fenceHold()
	switch {
	case e.Err == nil && s.phase == fencing:
		s.done[e.Rank], s.taken[e.Rank] = true, s.fenceHold()
	case e.Err == nil:
		s.done[e.Rank] = true
	case foreign && s.phase == fencing && e.Report.HeldStep < fenceStep:
		s.done[e.Rank] = true
	case foreign && s.phase == fencing: // Another holder's fence that was left.
		return []Effect{SendOrder{Rank: e.Rank, Token: s.fencingToken(), Epoch: s.epoch, Order: Release{Step: e.Report.HeldStep}}}
	}
	return s.advance(at)
}

// same compares what makes an order the phase's own.
func same(a, b Order) bool {
	switch x := a.(type) {
	case Prepare:
		y, ok := b.(Prepare)
		return ok && x.Version == y.Version
	case nil:
		return false
	default:
		return a == b
	}
}

// advance moves on when the phase's condition holds.
func (s *Switcher) advance(at time.Time) []Effect {
	if s.size == 0 {
		return nil
	}
	switch s.phase {
	case idle:
		return s.recover(at)
	case fencing:
		if len(s.done) == s.size {
			return s.enter(at, unfencing)
		}
	case unfencing:
		if len(s.done) == len(s.taken) {
			return s.resolve(at)
		}
	case preparing:
		if s.all(func(r Report) bool { return r.Prepared == s.version }) {
			s.holder, s.step = 0, s.Step()+holdLead
			return s.enter(at, holding)
		}
		if at.Sub(s.since) > s.copy*time.Duration(s.changes())+prepareSlack {
			effects := []Effect{SwitchAborted{Version: s.version, Reason: "a rank did not prepare"}}
			s.rest()
			return effects
		}
	case holding:
		if s.done[s.holder] {
			return s.enter(at, arming)
		}
	case arming:
		if len(s.done) == s.size {
			return s.enter(at, releasing)
		}
	case releasing:
		if s.done[s.holder] {
			return s.finish(at)
		}
	}
	return s.give(at)
}

// finish ends a switch whose pass was released.
func (s *Switcher) finish(at time.Time) []Effect {
	version, m := s.version, s.planned
	for rank, r := range s.reports {
		// Reports from before the release are out of date.
		r.Held, r.Armed, r.ArmedStep = false, 0, 0
		if m != nil {
			r.Map = version
		}
		r.Step = max(r.Step, s.step)
		s.reports[rank] = r
	}
	s.rest()
	s.settled = at
	if m == nil {
		return []Effect{SwitchAborted{Version: version, Reason: "it was undone"}}
	}
	return []Effect{SwitchCompleted{Version: version, Map: m}}
}

// recover begins with fencing if the ranks may hold what an earlier holder of the
// duty, or a late order, left.
func (s *Switcher) recover(at time.Time) []Effect {
	if len(s.reports) < s.size || at.Sub(s.settled) < settleTime {
		return nil
	}
	left := !s.fenced
	for _, r := range s.reports {
		left = left || r.Held && r.HeldStep > r.Step || r.Armed != 0
	}
	if !left {
		return nil
	}
	s.taken = make(map[int]uint64)
	return s.enter(at, fencing)
}

// resolve completes the switch that fenced ranks report, if any. A held pass with
// ranks that are not all prepared belongs to no switch: nobody arms before all are.
func (s *Switcher) resolve(at time.Time) []Effect {
	s.fenced = true
	for rank, r := range s.reports {
		if !r.Held || r.HeldStep >= fenceStep || r.HeldStep <= r.Step {
			continue
		}
		s.holder, s.step, s.version, s.planned = rank, r.HeldStep, r.Prepared, nil
		if r.Prepared > r.Map && s.all(func(o Report) bool { return o.Prepared == r.Prepared }) {
			s.planned = Map{} // Its experts are read from the ranks afterwards.
			return s.enter(at, arming)
		}
		return s.enter(at, releasing)
	}
	s.rest()
	s.settled = at
	return nil
}

// changes is how many experts the slowest rank copies, at most.
func (s *Switcher) changes() int { return max(1, len(s.planned)) }

// all reports whether every rank's report meets a condition.
func (s *Switcher) all(meets func(Report) bool) bool {
	if len(s.reports) < s.size {
		return false
	}
	for _, r := range s.reports {
		if !meets(r) {
			return false
		}
	}
	return true
}
