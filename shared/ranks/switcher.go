package ranks

import (
	"errors"
	"time"
)

const (
	// holdLeadSteps is the number of passes from the last reported one to the held one.
	// It exceeds 1 because the next pass may begin before the order arrives.
	holdLeadSteps = 2
	// prepareSlack is added to the estimated copying time before a switch is aborted.
	// It leaves time to repeat unanswered orders.
	prepareSlack = 1500 * time.Millisecond
	// retryInterval is the minimum time between two orders of a phase to a rank.
	retryInterval = 50 * time.Millisecond
	// minFenceStep is the first pass number that is used for fencing. No group reaches
	// it: at 20 passes per second it takes 1,700 years.
	minFenceStep = 1 << 40
	// maxReportAge is how long the stored reports may still be from before the end of a
	// switch or a recovery. No recovery starts in that time.
	maxReportAge = 500 * time.Millisecond
	// versionsPerLeader is the size of the range of map versions reserved for a leader.
	versionsPerLeader = 1 << 20
	// tokensPerLeader is the size of the range of fencing tokens reserved for a leader,
	// which uses one for each switch and one for each recovery.
	tokensPerLeader = 1 << 20
)

// phase is the current part of a switch or of a recovery. A recovery fences and unfences
// the ranks before it resumes the switch that they report, if any.
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

// String returns the name of the phase.
func (p phase) String() string {
	return [...]string{"idle", "fencing", "unfencing", "preparing", "holding", "arming", "releasing"}[p]
}

// Switcher switches a group from one map to the next. It is a state machine without
// I/O: Reduce takes events and returns effects. A switch has four phases:
//
//  1. Prepare the map on all ranks.
//  2. Hold the group before a future pass.
//  3. Arm all ranks for that pass.
//  4. Release the pass after every rank has confirmed that it is armed.
//
// An armed rank changes its map by itself when the pass begins. The pass therefore
// stays held until all ranks are armed or none is.
//
// Within an epoch, a switch whose pass is held is always completed and never undone. All
// ranks are prepared by then, so the remaining ones can be armed, and a leader releases
// the pass only after every rank is armed. Two leaders that do not know of each other
// thus reach the same result. Ranks refuse most orders that arrive late: a late Prepare
// has an old version, a late Hold or Arm a pass that has already begun, and a late
// Release a pass that is not held. If a late order still leaves a rank held or armed,
// the leader starts a recovery.
//
// A new leader does not know the state of a switch that its predecessor started. It
// first fences all ranks with a Hold for a pass far in the future, and then releases
// that pass again. From then on the ranks refuse all earlier orders, so that none can
// still change their state. A rank that is already held keeps its hold, and the leader
// completes the switch to which the hold belongs.
//
// The zero value cannot be used; call NewSwitcher.
type Switcher struct {
	leaderToken    uint64
	versionsIssued uint64 // Versions used by this leader.
	tokensIssued   uint64 // Fencing tokens used by this leader.
	copyTime       time.Duration

	epoch   uint64
	fenced  bool // All ranks have been fenced in this epoch.
	reports map[int]Report
	size    int

	phase      phase
	phaseStart time.Time
	version    uint64
	planned    Map    // Nil if a held pass is only released; empty after a recovery.
	step       uint64 // The held pass.
	holdRank   int    // The rank that holds it.
	confirmed  map[int]bool
	// lastSent is the time of the last order by rank. The zero time allows the next
	// order at once.
	lastSent   map[int]time.Time
	inFlight   map[int]bool   // Ranks with an order that has no result yet.
	lastEnded  time.Time      // When the last switch or recovery ended.
	fenceHolds map[int]uint64 // By rank, the held pass that unfencing releases.
}

// NewSwitcher returns a switcher for the leader with the given token; expertCopy is how
// long a rank takes to copy one expert.
func NewSwitcher(leaderToken uint64, expertCopy time.Duration) *Switcher {
	return &Switcher{leaderToken: leaderToken, copyTime: expertCopy, reports: make(map[int]Report)}
}

// Idle reports whether a switch can start: all ranks are fenced, open and neither armed
// nor held, they report the same map, and no switch is in progress.
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

// Phase returns the name of the current phase.
func (s *Switcher) Phase() string { return s.phase.String() }

// Step returns the highest pass number that a rank has reported.
func (s *Switcher) Step() uint64 {
	last := uint64(0)
	for _, r := range s.reports {
		last = max(last, r.Step)
	}
	return last
}

// Version returns the version of the map that all ranks report; ok is false if they
// differ or if a rank has not reported yet.
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

// Epoch returns the highest epoch that a rank has reported.
func (s *Switcher) Epoch() uint64 { return s.epoch }

// Reduce handles one event and returns the resulting effects.
func (s *Switcher) Reduce(at time.Time, event Event) []Effect {
	switch e := event.(type) {
	case ReportReceived:
		return s.handleReport(at, e.Report)
	case SwitchRequested:
		return s.handleRequest(at, e.Map)
	case OrderEnded:
		return s.handleOrderEnded(at, e)
	default:
		return s.advance(at)
	}
}

// handleReport records a rank's state. A new epoch ends the current switch, because a
// group that has formed again has nothing prepared, armed or held.
func (s *Switcher) handleReport(at time.Time, r Report) []Effect {
	if r.Ranks == 0 || r.Epoch < s.epoch {
		return nil
	}
	var effects []Effect
	if r.Epoch > s.epoch {
		if s.phase != idle {
			effects = append(effects, SwitchAborted{Version: s.version, Reason: "the group entered a new epoch"})
		}
		s.epoch, s.size = r.Epoch, r.Ranks
		clear(s.reports)
		s.reset()
		s.fenced = false
	}
	s.reports[r.Rank] = r
	return append(effects, s.advance(at)...)
}

// reset ends the current switch.
func (s *Switcher) reset() {
	s.phase, s.planned, s.version, s.step = idle, nil, 0, 0
	s.confirmed, s.lastSent, s.inFlight = nil, nil, nil
}

// fenceHoldStep returns the pass that is held to fence the ranks.
func (s *Switcher) fenceHoldStep() uint64 { return minFenceStep + s.fencingToken() }

// fencingToken returns the token that the orders of the current switch or recovery
// carry.
func (s *Switcher) fencingToken() uint64 { return s.leaderToken*tokensPerLeader + s.tokensIssued }

// enterPhase starts a phase and sends its orders. The first phase of a switch or recovery
// uses a new token.
func (s *Switcher) enterPhase(at time.Time, p phase) []Effect {
	if s.phase == idle {
		s.tokensIssued++
	}
	s.phase, s.phaseStart = p, at
	s.confirmed, s.lastSent, s.inFlight = make(map[int]bool), make(map[int]time.Time), make(map[int]bool)
	return s.sendOrders(at)
}

// sendOrders sends the phase's order to each rank that has neither confirmed it nor has
// an order in flight.
func (s *Switcher) sendOrders(at time.Time) []Effect {
	var effects []Effect
	for rank := range s.size {
		if s.confirmed[rank] || s.inFlight[rank] || at.Sub(s.lastSent[rank]) < retryInterval {
			continue
		}
		order := s.order(rank)
		if order == nil {
			continue
		}
		s.inFlight[rank], s.lastSent[rank] = true, at
		effects = append(effects, SendOrder{Rank: rank, Token: s.fencingToken(), Epoch: s.epoch, Order: order})
	}
	return effects
}

// order returns the order that a rank must execute in the current phase, or nil if there
// is none.
func (s *Switcher) order(rank int) Order {
	switch s.phase {
	case fencing:
		return Hold{Step: s.fenceHoldStep()}
	case unfencing:
		if step := s.fenceHolds[rank]; step != 0 {
			return Release{Step: step}
		}
	case preparing:
		return Prepare{Version: s.version, Map: s.planned}
	case holding:
		if rank == s.holdRank {
			return Hold{Step: s.step}
		}
	case arming:
		return Arm{Version: s.version, Step: s.step}
	case releasing:
		if rank == s.holdRank {
			return Release{Step: s.step}
		}
	}
	return nil
}

// handleRequest starts a switch to a map if the switcher is idle.
func (s *Switcher) handleRequest(at time.Time, m Map) []Effect {
	if !s.Idle() {
		return nil
	}
	s.version, s.planned = s.nextVersion(), m
	return s.enterPhase(at, preparing)
}

// nextVersion returns a version higher than any that the ranks report or that this leader
// has used.
func (s *Switcher) nextVersion() uint64 {
	highest := uint64(0)
	for _, r := range s.reports {
		highest = max(highest, r.Map, r.Prepared, r.Armed)
	}
	s.versionsIssued++
	return max(highest+1, s.leaderToken*versionsPerLeader+s.versionsIssued)
}

// handleOrderEnded records the result of an order. Results of an earlier phase are
// ignored, because the reports show the effects of those orders as well.
func (s *Switcher) handleOrderEnded(at time.Time, e OrderEnded) []Effect {
	if e.Token != s.fencingToken() {
		return nil // The order belongs to an earlier switch or recovery.
	}
	if errors.Is(e.Err, ErrFenced) {
		return []Effect{LeadershipLost{}}
	}
	if e.Report.Ranks != 0 && e.Report.Epoch > s.epoch {
		return s.handleReport(at, e.Report)
	}
	if s.phase == idle || !sameOrder(s.order(e.Rank), e.Order) {
		return nil
	}
	s.inFlight[e.Rank] = false
	if s.phase == fencing || s.phase == unfencing {
		return s.handleFenceEnded(at, e)
	}
	if e.Err == nil {
		if s.phase != preparing { // Prepared ranks are recognised by their reports.
			s.confirmed[e.Rank] = true
		}
		return s.advance(at)
	}
	if e.Report.Ranks != 0 && e.Report.Epoch == s.epoch {
		s.reports[e.Rank] = e.Report
	}
	if r := e.Report; s.phase == holding && errors.Is(e.Err, ErrRefused) && r.Held && r.HeldStep > r.Step {
		// An earlier Hold was executed late. No rank is armed for its pass, so the pass
		// can be released.
		return []Effect{SendOrder{Rank: e.Rank, Token: s.fencingToken(), Epoch: s.epoch, Order: Release{Step: r.HeldStep}}}
	}
	if s.phase == holding && errors.Is(e.Err, ErrRefused) {
		s.step = max(s.step, s.Step()) + holdLeadSteps // The pass has already begun.
		s.lastSent[e.Rank] = time.Time{}
	}
	return s.advance(at)
}

// handleFenceEnded records the result of an order of the phases fencing and unfencing.
// A rank that is held for a switch cannot be fenced, and it need not be: its hold
// identifies the switch in progress.
func (s *Switcher) handleFenceEnded(at time.Time, e OrderEnded) []Effect {
	if e.Report.Ranks != 0 {
		s.reports[e.Rank] = e.Report
	}
	otherHold := errors.Is(e.Err, ErrRefused) && e.Report.Held && e.Report.HeldStep != s.fenceHoldStep()
	switch {
	case e.Err == nil && s.phase == fencing:
		s.confirmed[e.Rank], s.fenceHolds[e.Rank] = true, s.fenceHoldStep()
	case e.Err == nil:
		s.confirmed[e.Rank] = true
	case otherHold && s.phase == fencing && e.Report.HeldStep < minFenceStep:
		s.confirmed[e.Rank] = true
	case otherHold && s.phase == fencing: // An earlier leader or recovery left its fence hold.
		return []Effect{SendOrder{Rank: e.Rank, Token: s.fencingToken(), Epoch: s.epoch, Order: Release{Step: e.Report.HeldStep}}}
	}
	return s.advance(at)
}

// sameOrder reports whether two orders are equal. It compares only the versions of
// Prepare orders, whose maps are not comparable.
func sameOrder(a, b Order) bool {
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

// advance enters the next phase if the current one is complete, and otherwise repeats
// its orders.
func (s *Switcher) advance(at time.Time) []Effect {
	if s.size == 0 {
		return nil
	}
	switch s.phase {
	case idle:
		return s.startRecovery(at)
	case fencing:
		if len(s.confirmed) == s.size {
			return s.enterPhase(at, unfencing)
		}
	case unfencing:
		if len(s.confirmed) == len(s.fenceHolds) {
			return s.resumeSwitch(at)
		}
	case preparing:
		if s.allReports(func(r Report) bool { return r.Prepared == s.version }) {
			s.holdRank, s.step = 0, s.Step()+holdLeadSteps
			return s.enterPhase(at, holding)
		}
		if at.Sub(s.phaseStart) > s.copyTime*time.Duration(s.estimatedCopies())+prepareSlack {
			effects := []Effect{SwitchAborted{Version: s.version, Reason: "a rank did not prepare the map in time"}}
			s.reset()
			return effects
		}
	case holding:
		if s.confirmed[s.holdRank] {
			return s.enterPhase(at, arming)
		}
	case arming:
		if len(s.confirmed) == s.size {
			return s.enterPhase(at, releasing)
		}
	case releasing:
		if s.confirmed[s.holdRank] {
			return s.finish(at)
		}
	}
	return s.sendOrders(at)
}

// finish ends a switch whose pass has been released.
func (s *Switcher) finish(at time.Time) []Effect {
	version, m := s.version, s.planned
	for rank, r := range s.reports {
		// The report is from before the release.
		r.Held, r.Armed, r.ArmedStep = false, 0, 0
		if m != nil {
			r.Map = version
		}
		r.Step = max(r.Step, s.step)
		s.reports[rank] = r
	}
	s.reset()
	s.lastEnded = at
	if m == nil {
		return []Effect{SwitchAborted{Version: version, Reason: "a held pass without a prepared map was released"}}
	}
	return []Effect{SwitchCompleted{Version: version, Map: m}}
}

// startRecovery fences the ranks if this leader has not done so in this epoch, or if a
// late order left a rank held or armed.
func (s *Switcher) startRecovery(at time.Time) []Effect {
	if len(s.reports) < s.size || at.Sub(s.lastEnded) < maxReportAge {
		return nil
	}
	needed := !s.fenced
	for _, r := range s.reports {
		needed = needed || r.Held && r.HeldStep > r.Step || r.Armed != 0
	}
	if !needed {
		return nil
	}
	s.fenceHolds = make(map[int]uint64)
	return s.enterPhase(at, fencing)
}

// resumeSwitch completes the switch that the fenced ranks report, if any. If a pass is
// held but not all ranks are prepared, it only releases the pass: ranks are never armed
// before all are prepared.
func (s *Switcher) resumeSwitch(at time.Time) []Effect {
	s.fenced = true
	for rank, r := range s.reports {
		if !r.Held || r.HeldStep >= minFenceStep || r.HeldStep <= r.Step {
			continue
		}
		s.holdRank, s.step, s.version, s.planned = rank, r.HeldStep, r.Prepared, nil
		if r.Prepared > r.Map && s.allReports(func(o Report) bool { return o.Prepared == r.Prepared }) {
			s.planned = Map{} // The experts are read from the ranks later.
			return s.enterPhase(at, arming)
		}
		return s.enterPhase(at, releasing)
	}
	s.reset()
	s.lastEnded = at
	return nil
}

// estimatedCopies estimates how many experts a rank copies for the switch, as one per
// set.
func (s *Switcher) estimatedCopies() int { return max(1, len(s.planned)) }

// allReports reports whether every rank has reported and all reports meet a condition.
func (s *Switcher) allReports(meets func(Report) bool) bool {
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
