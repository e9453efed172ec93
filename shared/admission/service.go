package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"chervilswitch.example/shared/fleet"
)

const (
	// groupPause is how long nothing is sent to a group after one of its ranks
	// said that it waits for another.
	groupPause = 400 * time.Millisecond
	// rateWeight smooths the time between two ends while requests wait.
	rateWeight = 0.1
	// startInterval is the time between two finished requests that is assumed
	// before any was measured.
	startInterval = 50 * time.Millisecond
	// localPreference is how many running requests a target in another data centre
	// is worth in a choice.
	localPreference = 0.25
)

// service is one service's targets, queue and limits.
type service struct {
	fleet.Service
	targets map[string]*target
	order   []string // Targets' names, sorted, so that choices repeat.
	turn    int      // Where the search for a target begins.
	waiting queue
	// passes is by group of ranks; targets of no group share one.
	passes map[string]*passModel
	maxGap time.Duration
	paused time.Time // Until when the group takes nothing.

	// finished is the smoothed time between two ends while requests wait.
	finished time.Duration
	lastEnd  time.Time
	// first is the smoothed time to the first output over all targets.
	first   time.Duration
	retries bucket
}

func newService() *service {
	return &service{targets: make(map[string]*target), passes: make(map[string]*passModel), finished: startInterval}
}

// update takes a new list of targets and keeps what is known of those that stay.
func (s *service) update(e ServiceTargets) {
	s.Service = e.Service
	kept := make(map[string]*target, len(e.Targets))
	for _, t := range e.Targets {
		known, ok := s.targets[t.ID]
		if !ok || known.Incarnation != t.Incarnation {
			fresh := &target{}
			if ok {
				fresh.running = known.running
			}
			known = fresh
		}
		known.Target = t
		kept[t.ID] = known
	}
	s.targets = kept
	s.order = slices.Sorted(maps.Keys(kept))
}

// pass is the model of a group's passes.
func (s *service) pass(group string) *passModel {
	p, ok := s.passes[group]
	if !ok {
		p = &passModel{}
		s.passes[group] = p
	}
	return p
}

// limits gives how much each target may have from all entry instances.
func (s *service) limits() func(*target) int {
	if s.Engine == nil {
		return func(t *target) int { return t.Slots * plainDepth }
	}
	groups := make(map[string]int, len(s.passes))
	return func(t *target) int {
		p := s.pass(t.Group)
		limit, ok := groups[t.Group]
		if !ok {
			limit = p.plan(s.Engine, s.maxGap)
			groups[t.Group] = limit
		}
		if t.pace > p.used {
			return 0
		}
		return limit
	}
}

// setPaces notes how slow the targets are.
func (s *service) setPaces(pace func(target string) float64) {
	for _, p := range s.passes {
		p.paces = p.paces[:0]
	}
	for _, id := range s.order {
		t := s.targets[id]
		t.pace = pace(id)
		p := s.pass(t.Group)
		p.paces = append(p.paces, t.pace)
	}
	for _, p := range s.passes {
		slices.Sort(p.paces)
	}
}

// begin counts a request on a target.
func (s *service) begin(at time.Time, t *target) {
	if s.groupRunning(t.Group) == 0 {
		s.pass(t.Group).shown = at
	}
	t.running++
}

// groupRunning is how many requests from here run on a group.
func (s *service) groupRunning(group string) (sum int) {
	for _, t := range s.targets {
		if t.Group == group {
			sum += t.running
		}
	}
	return sum
}

// stalled reports whether a group has requests from here and shows nothing: all its
// ranks wait for one of them.
func (s *service) stalled(at time.Time, group string) bool {
	return group != "" && at.Sub(s.pass(group).shown) > stallTime && s.groupRunning(group) > 0
}

// holdsUp reports whether the requests of a slow rank make all events of its group
// late, and the group does without the rank.
func (s *service) holdsUp(t *target, loads loads) bool {
	p := s.pass(t.Group)
	p.plan(s.Engine, s.maxGap)
	if t.pace <= p.used || s.maxGap <= 0 {
		return false
	}
	running, _ := s.groupLoad(t.Group, loads)
	return p.pass(s.Engine, running, t.pace) > float64(s.maxGap)
}

// groupLoad is the mean number of requests of a group's targets that are used, and
// the pace of the slowest that has any, by what is known.
func (s *service) groupLoad(group string, loads loads) (running, pace float64) {
	sum, count, used := 0, 0, s.pass(group).used
	for _, t := range s.targets {
		if t.Group != group {
			continue
		}
		n := t.running + loads.of(t.ID)
		sum += n
		if t.pace <= used || n > 0 {
			count++
		}
		if n > 0 {
			pace = max(pace, t.pace)
		}
	}
	return float64(sum) / float64(max(1, count)), pace
}

// choose finds the target with the least work that a request may be sent to.
func (s *service) choose(at time.Time, e *entry, st *State) (*target, int) {
	if at.Before(s.paused) || st.isClosed(s.Name) {
		return nil, 0
	}
	extra := 0
	if e.ran+len(e.tried) > 0 {
		extra = 1 // A retry has waited already.
	}
	limits := s.limits()
	var best *target
	bestScore, bestRunning := 0.0, 0
	for i := range s.order {
		t := s.targets[s.order[(i+s.turn)%len(s.order)]]
		running := t.running + st.loads.of(t.ID)
		limit := limits(t)
		if limit == 0 {
			continue // A repeat does not go to a rank that is left out either.
		}
		limit += extra
		if running >= limit || at.Before(t.resting) || slices.Contains(e.tried, t.ID) || t.cold(at, s.ColdRate, st.entries) {
			continue
		}
		// Groups differ in how much they bear; ranks of one group do not.
		score := float64(running) - float64(limit) + failurePenalty*t.failures + s.slowness(t)
		if t.DataCentre != st.dataCentre {
			score += localPreference
		}
		if best == nil || score < bestScore {
			best, bestScore, bestRunning = t, score, running
		}
	}
	if best != nil {
		s.turn++
		if s.ColdRate > 0 {
			best.coldRate.take()
		}
	}
	return best, bestRunning
}

// slowness is how many requests a slow target of a plain service is worth in a
// choice. Ranks of a group are all as slow as the slowest.
func (s *service) slowness(t *target) float64 {
	if s.Engine != nil || t.first == 0 || s.first == 0 {
		return 0
	}
	return max(0, float64(t.first)/float64(s.first)-1)
}

// expectedWait is how long a request would wait behind others.
func (s *service) expectedWait(ahead int) time.Duration {
	return time.Duration(ahead+1) * s.finished
}

// ended measures how often requests end while others wait.
func (s *service) ended(at time.Time) {
	if !s.lastEnd.IsZero() && s.waiting.length > 0 {
		s.finished += time.Duration(rateWeight * float64(min(time.Second, at.Sub(s.lastEnd))-s.finished))
	}
	s.lastEnd = at
}

// loads is what other entry instances have running, with its sum by target.
type loads struct {
	peers map[string]map[string]int
	sums  map[string]int
}

func newLoads() loads {
	return loads{peers: make(map[string]map[string]int), sums: make(map[string]int)}
}

func (l loads) of(target string) int { return l.sums[target] }

// set notes what a peer has running now; nil forgets the peer.
func (l loads) set(peer string, running map[string]int) {
	for target, n := range l.peers[peer] {
		if l.sums[target] -= n; l.sums[target] == 0 {
			delete(l.sums, target)
		}
	}
	delete(l.peers, peer)
	if running == nil {
		return
	}
	l.peers[peer] = running
	for target, n := range running {
		l.sums[target] += n
	}
}

// sortedRefusals keeps effects in an order that repeats.
func sortedRefusals(entries []*entry) []*entry {
	slices.SortFunc(entries, func(a, b *entry) int { return cmp.Compare(a.request.ID, b.request.ID) })
	return entries
}
