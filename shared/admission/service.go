package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"chervilswitch.example/shared/fleet"
)

const (
	// groupPause is how long a group receives no requests after a target reported that it
	// waits for a missing rank.
	groupPause = 400 * time.Millisecond
	// finishWeight is the weight of the latest interval between two finished requests.
	finishWeight = 0.1
	// initialFinishInterval is the interval between two finished requests that is
	// assumed before the first measurement.
	initialFinishInterval = 50 * time.Millisecond
)

// service holds the targets, the queue and the limits of one service.
type service struct {
	fleet.Service
	targets   map[string]*target
	targetIDs []string // Sorted, so that choices are deterministic.
	// targetsVersion increases with each change of targetIDs.
	targetsVersion uint64
	searchOffset   int // Where chooseTarget begins, modulo len(targetIDs).
	waiting        queue
	demand         demand
	pressure       pressure
	// passModels holds a model for each group; targets without a group share one.
	passModels map[string]*passModel
	maxGap     time.Duration // Largest MaxGap of all requests so far.
	// pausedUntil is the latest pausedUntil of all groups. Outside of pauses it saves
	// looking up each group.
	pausedUntil time.Time

	// finishInterval is the smoothed interval between two finished requests, measured
	// while requests wait.
	finishInterval time.Duration
	lastFinish     time.Time
	// timeToFirstOutput is smoothed over all targets; 0 before the first measurement.
	timeToFirstOutput time.Duration
	retryTokens       tokenBucket
	hedging           hedging
}

func newService() *service {
	return &service{targets: make(map[string]*target), passModels: make(map[string]*passModel), finishInterval: initialFinishInterval}
}

// update replaces the list of targets and keeps the state of those that remain. A target
// with another incarnation keeps only the number of its running requests.
func (s *service) update(e ServiceTargets) {
	s.Service = e.Service
	kept := make(map[string]*target, len(e.Targets))
	for _, t := range e.Targets {
		state, ok := s.targets[t.ID]
		if !ok || state.Incarnation != t.Incarnation {
			newState := &target{}
			if ok {
				newState.running, newState.outstanding = state.running, state.outstanding
			}
			state = newState
		}
		state.Target = t
		kept[t.ID] = state
	}
	s.targets = kept
	if ids := slices.Sorted(maps.Keys(kept)); !slices.Equal(s.targetIDs, ids) {
		s.targetIDs = ids
		s.targetsVersion++
	}
}

// passModelOf returns the model of a group's passes, and creates it if necessary.
func (s *service) passModelOf(group string) *passModel {
	p, ok := s.passModels[group]
	if !ok {
		p = &passModel{}
		s.passModels[group] = p
	}
	return p
}

// limits returns a function that gives the number of requests that a target may run, over
// all entry instances.
func (s *service) limits() func(*target) int {
	if s.Engine == nil {
		return func(t *target) int { return t.Slots * requestsPerPlainSlot }
	}
	groups := make(map[string]int, len(s.passModels))
	return func(t *target) int {
		p := s.passModelOf(t.Group)
		limit, ok := groups[t.Group]
		if !ok {
			limit = p.plan(s.Engine, s.maxGap)
			groups[t.Group] = limit
		}
		if t.pace > p.maxUsedPace {
			return 0
		}
		return limit
	}
}

// setPaces updates the paces of all targets.
func (s *service) setPaces(pace func(target string) float64) {
	for _, p := range s.passModels {
		p.paces = p.paces[:0]
	}
	for _, id := range s.targetIDs {
		t := s.targets[id]
		t.pace = pace(id)
		p := s.passModelOf(t.Group)
		p.paces = append(p.paces, t.pace)
	}
	for _, p := range s.passModels {
		slices.Sort(p.paces)
	}
}

// recordStart counts a new running request on a target.
func (s *service) recordStart(at time.Time, t *target, e *activeRequest) {
	s.noteIdle(at, t)
	t.start(e, s.Engine)
}

// recordSecondStart counts a second attempt at a request on a target. Its work counts as the
// mean until it is the only attempt.
func (s *service) recordSecondStart(at time.Time, t *target) {
	s.noteIdle(at, t)
	t.running++
}

// noteIdle notes that an idle group of a target receives a request.
func (s *service) noteIdle(at time.Time, t *target) {
	if s.groupRunning(t.Group) == 0 {
		s.passModelOf(t.Group).lastOutput = at
	}
}

// groupRunning returns the number of this instance's requests that run on a group.
func (s *service) groupRunning(group string) (sum int) {
	for _, t := range s.targets {
		if t.Group == group {
			sum += t.running
		}
	}
	return sum
}

// stalled reports whether a group runs requests of this instance and has produced no
// output for longer than stallTimeout. All ranks of a group wait for one that stops.
func (s *service) stalled(at time.Time, group string) bool {
	return group != "" && at.Sub(s.passModelOf(group).lastOutput) > stallTimeout && s.groupRunning(group) > 0
}

// delaysGroup reports whether a rank is too slow for new requests and makes all events of
// its group late while it runs requests.
func (s *service) delaysGroup(t *target, peerLoads peerLoads) bool {
	p := s.passModelOf(t.Group)
	p.plan(s.Engine, s.maxGap)
	if t.pace <= p.maxUsedPace || s.maxGap <= 0 {
		return false
	}
	running, _ := s.groupLoad(t.Group, peerLoads)
	return p.passDuration(s.Engine, running, t.pace) > float64(s.maxGap)
}

// groupLoad returns the estimated mean number of requests on the used targets of a group,
// and the pace of the slowest target with requests.
func (s *service) groupLoad(group string, peerLoads peerLoads) (running, pace float64) {
	sum, count, maxUsedPace := 0, 0, s.passModelOf(group).maxUsedPace
	for _, t := range s.targets {
		if t.Group != group {
			continue
		}
		n := t.running + peerLoads.total(t.ID)
		sum += n
		if t.pace <= maxUsedPace || n > 0 {
			count++
		}
		if n > 0 {
			pace = max(pace, t.pace)
		}
	}
	return float64(sum) / float64(max(1, count)), pace
}

// chooseTarget returns the target with the lowest load that a request may be sent to; see
// locality for the choice between data centres. The candidate is without a target if none
// has room.
func (s *service) chooseTarget(at time.Time, e *activeRequest, st *State) candidate {
	extra := 0
	if e.attemptsRun+len(e.tried) > 0 {
		extra = 1 // Retries may exceed the limit, as they have waited already.
	}
	limits := s.limits()
	meanOutstanding := s.meanOutstanding()
	var home, remote candidate
	for i := range s.targetIDs {
		index := (i + s.searchOffset) % len(s.targetIDs)
		t := s.targets[s.targetIDs[index]]
		running := t.running + st.peerLoads.total(t.ID)
		limit := limits(t)
		if limit == 0 || st.isClosed(at, s, t.Group) {
			continue // Retries avoid excluded ranks as well.
		}
		if e.hedge.late != nil && !s.mayTakeHedge(at, e, t, running, limit) {
			continue
		}
		limit += extra
		if running >= limit || at.Before(t.backoffUntil) || slices.Contains(e.tried, t.ID) || t.notice.wait(at) > 0 || st.rateWait(at, s, t, index) > 0 || !s.hasMemory(t, running, e.request.Work) {
			continue
		}
		best := &home
		if t.DataCentre != st.dataCentre {
			best = &remote
		}
		// Free capacity is compared, because limits differ between groups.
		room := float64(limit) - float64(running) - failurePenalty*t.failures - s.latencyPenalty(t) - t.workPenalty(meanOutstanding) - t.notice.penalty(at, len(e.tried) > 0)
		if best.target == nil || room > best.room {
			*best = candidate{target: t, running: running, limit: limit - extra, room: room}
		}
	}
	best := st.locality.choose(at, s, home, remote)
	if t := best.target; t != nil {
		s.searchOffset++
		t.takeTokens()
		if t.notice != nil && t.notice.onTrial {
			t.backOff(at, trialInterval)
		}
	}
	return best
}

// latencyPenalty returns the penalty, in running requests, of a slow target of a plain
// service. It is 0 for ranks, as all ranks of a group are as slow as the slowest.
func (s *service) latencyPenalty(t *target) float64 {
	if s.Engine != nil || t.timeToFirstOutput == 0 || s.timeToFirstOutput == 0 {
		return 0
	}
	return max(0, float64(t.timeToFirstOutput)/float64(s.timeToFirstOutput)-1)
}

// expectedWait returns how long a request waits behind a number of others.
func (s *service) expectedWait(ahead int) time.Duration {
	return time.Duration(ahead+1) * s.finishInterval
}

// serviceWait returns how long the rates and the notices of all targets but those that were
// tried keep a request waiting behind a number of others, and the reason: RateLimited,
// Paused, or NoTarget if all are leaving. It is 0 if some target that this instance may use
// takes a request now.
func (st *State) serviceWait(at time.Time, s *service, tried []string, ahead int) (time.Duration, Reason) {
	first, perSecond, reason := noToken, 0.0, RateLimited
	limits := s.limits()
	leaving := len(s.targetIDs) > 0
	for i, id := range s.targetIDs {
		t := s.targets[id]
		leaving = leaving && t.notice != nil && t.notice.Leaving
		if limits(t) == 0 || st.isClosed(at, s, t.Group) || slices.Contains(tried, id) {
			continue
		}
		rate, pause := st.rateWait(at, s, t, i), t.notice.wait(at)
		wait := max(rate, pause)
		if wait == 0 {
			return 0, reason
		}
		if wait < noToken {
			if wait < first {
				first, reason = wait, RateLimited
				if pause >= rate {
					reason = Paused
				}
			}
			perSecond += t.lowestRate()
		}
	}
	if leaving {
		return first, NoTarget
	}
	if first == noToken || ahead == 0 {
		return first, reason
	}
	return first + time.Duration(float64(ahead)/perSecond*float64(time.Second)), reason
}

// recordFinish updates the interval between finished requests while others wait.
func (s *service) recordFinish(at time.Time) {
	if !s.lastFinish.IsZero() && s.waiting.length > 0 {
		s.finishInterval += time.Duration(finishWeight * float64(min(time.Second, at.Sub(s.lastFinish))-s.finishInterval))
	}
	s.lastFinish = at
}

// peerLoads holds the requests that other entry instances run, and their sums by target.
type peerLoads struct {
	peers map[string]map[string]int
	sums  map[string]int
}

func newPeerLoads() peerLoads {
	return peerLoads{peers: make(map[string]map[string]int), sums: make(map[string]int)}
}

// total returns the number of requests that all peers run on a target.
func (l peerLoads) total(target string) int { return l.sums[target] }

// set replaces the load of a peer; nil removes the peer.
func (l peerLoads) set(peer string, running map[string]int) {
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

// sortByID sorts requests by ID, so that the order of effects is deterministic.
func sortByID(requests []*activeRequest) []*activeRequest {
	slices.SortFunc(requests, func(a, b *activeRequest) int { return cmp.Compare(a.request.ID, b.request.ID) })
	return requests
}
