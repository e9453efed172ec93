package admission

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// pressureInterval is how often pressure is computed: twice between two state messages.
	pressureInterval = 100 * time.Millisecond
	// pressureBegins and pressureEnds are the parts of the demand that lack room when
	// pressure begins, and below which it ends.
	pressureBegins, pressureEnds = 0.02, 0.01
	// minLacking is the number of requests without room that begins pressure at least.
	minLacking = 3
	// pressureHold is how long the lack must be over before pressure ends: five messages.
	pressureHold = time.Second
	// guaranteedPart is the part of the mean chance of all requests that each priority and
	// each organisation keeps.
	guaranteedPart = 0.5
	// givenPart is the part of the room that was found that is given out to requests which
	// find no spare room, so that queues become shorter.
	givenPart = 0.97
	// reserveTime is the arrivals of more urgent requests for which room is kept free: those
	// between two state messages.
	reserveTime = 200 * time.Millisecond
	// reserveFade is the time constant with which the reserve fades once the more urgent
	// requests lack nothing.
	reserveFade = 2 * time.Second
	// maxReserve bounds the reserve as a part of the whole room.
	maxReserve = 0.125
	// pressureRetryAfter is the least delay of a refused caller whose request gave way to
	// more urgent ones. Each step of urgency adds as much.
	pressureRetryAfter = 600 * time.Millisecond
)

// pressure holds the decisions that follow from the demand at all instances while requests
// lack room. The zero value is that without a lack.
type pressure struct {
	on      bool
	at      time.Time // When it was computed.
	lacking time.Time // When requests last lacked room.
	// chance is the part of all requests that finds room, and guaranteed the part that
	// every priority and organisation keeps.
	chance, guaranteed float64
	levels             []pressureLevel // The most urgent first.
	// shares holds, by organisation above its share, the part of its requests within it.
	shares map[string]float64
}

// pressureLevel is the pressure on one priority.
type pressureLevel struct {
	priority int
	// admitted is the part of the requests that is admitted without spare room.
	admitted float64
	// reserve is the room that the requests leave free for more urgent ones, and shareReserve
	// that which requests above the share of their organisation leave.
	reserve, shareReserve float64
	// fading is the part of the arrivals for which room is kept.
	fading float64
}

// PressureChanged reports that the requests for a service lack room, or no longer do.
type PressureChanged struct {
	Service string
	On      bool
	// Chance is the part of all requests that finds room, and Admitted the part of each
	// priority, by number, that is admitted without spare room.
	Chance   float64
	Admitted map[int]float64
	// Waiting, Offered and Refused describe the demand at all instances; see LevelDemand.
	// OldestReport is the age of the oldest report of another instance.
	Waiting, Offered, Refused int
	Peers                     int
	OldestReport              time.Duration
}

// ShareChanged reports that an organisation exceeds its share of a service that lacks room,
// or no longer does.
type ShareChanged struct {
	Service, Organisation string
	// Share is the part of its requests that is within its share; 1 if it does not exceed it.
	Share float64
}

func (PressureChanged) effect() {}
func (ShareChanged) effect()    {}

// level returns the pressure on a priority.
func (p *pressure) level(priority int) pressureLevel {
	for i := range p.levels {
		if p.levels[i].priority == priority {
			return p.levels[i]
		}
	}
	return pressureLevel{priority: priority, admitted: 1}
}

// admitted returns the part of each priority that is admitted without spare room.
func (p *pressure) admitted() map[int]float64 {
	admitted := make(map[int]float64, len(p.levels))
	for _, l := range p.levels {
		admitted[l.priority] = l.admitted
	}
	return admitted
}

// urgency returns how many priorities are more urgent than the given one.
func (p *pressure) urgency(priority int) int {
	at := slices.IndexFunc(p.levels, func(l pressureLevel) bool { return l.priority >= priority })
	if at < 0 {
		return len(p.levels)
	}
	return at
}

// differs reports whether the requests for a service differ in priority or organisation, so
// that some can give way to others.
func (s *service) differs(at time.Time) bool {
	return len(s.demand.organisations) > 1 || len(s.allLevels(at)) > 1
}

// updatePressure derives the pressure on a service from the demand at all instances.
func (st *State) updatePressure(at time.Time, name string, s *service) []Effect {
	p := &s.pressure
	if !p.at.IsZero() && at.Sub(p.at) < pressureInterval {
		return nil
	}
	elapsed := at.Sub(p.at)
	if !p.on && !p.at.IsZero() {
		s.demand.calm += elapsed
	}
	p.at = at
	s.demand.forget(at)
	levels := s.allLevels(at)
	waiting, offered, refused, overShare := 0.0, 0.0, 0.0, s.demand.allOverShare(at)
	for _, l := range levels {
		waiting, offered, refused = waiting+l.waiting, offered+l.offered, refused+l.refused
	}
	lacking, all := waiting+refused+overShare, offered+overShare
	wasOn := p.on
	switch {
	case lacking >= max(minLacking, pressureBegins*all) && s.differs(at):
		p.on, p.lacking = true, at
	case p.on && lacking >= max(minLacking/2.0, pressureEnds*all):
		p.lacking = at
	case p.on && at.Sub(p.lacking) > pressureHold:
		p.on = false
	}
	if !p.on {
		before := p.shares
		*p = pressure{at: at}
		if !wasOn {
			return nil
		}
		return append([]Effect{PressureChanged{Service: name, Chance: 1}}, shareChanges(name, before, nil)...)
	}
	served := max(0, offered-refused)
	p.chance = min(1, served/max(1, all))
	p.guaranteed = guaranteedPart * p.chance
	p.setLevels(levels, served, s.room(st), elapsed)
	before := p.shares
	p.shares = s.demand.shares(at, served, all, p.chance, before)
	effects := shareChanges(name, before, p.shares)
	if !wasOn {
		changed := PressureChanged{
			Service: name, On: true, Chance: p.chance, Admitted: p.admitted(),
			Waiting: int(waiting), Offered: int(offered), Refused: int(refused), Peers: len(s.demand.peers),
		}
		for _, r := range s.demand.peers {
			changed.OldestReport = max(changed.OldestReport, at.Sub(r.at))
		}
		effects = append([]Effect{changed}, effects...)
	}
	return effects
}

// setLevels gives the room that was found to the priorities, the most urgent first, beyond
// the part that each of them keeps. served is a decayed count, room a number of requests.
func (p *pressure) setLevels(levels []levelSum, served, room float64, elapsed time.Duration) {
	before := *p
	p.levels = make([]pressureLevel, 0, len(levels))
	left := givenPart * served
	for _, l := range levels {
		left -= p.guaranteed * l.offered
	}
	fade := math.Exp(-float64(elapsed) / float64(reserveFade))
	lacking, offered, peersWaiting := 0.0, 0.0, 0.0
	for i, l := range levels {
		given := max(0, min(left, (1-p.guaranteed)*l.offered))
		left -= given
		next := pressureLevel{priority: l.priority, admitted: 1, fading: before.level(l.priority).fading * fade}
		if l.offered > 0 {
			next.admitted = min(1, p.guaranteed+given/l.offered)
		}
		if i > 0 && lacking >= max(1, pressureBegins*offered) {
			next.fading = 1
		}
		arrivals := func(count float64) float64 { return count * float64(reserveTime) / float64(demandTime) }
		next.reserve = min(maxReserve*room, peersWaiting+next.fading*arrivals(offered))
		lacking, offered, peersWaiting = lacking+l.waiting+l.refused, offered+l.offered, peersWaiting+l.peersWaiting
		next.shareReserve = min(maxReserve*room, peersWaiting+arrivals(offered))
		p.levels = append(p.levels, next)
	}
}

// room returns the number of requests that all targets may run.
func (s *service) room(st *State) float64 {
	limits, sum := s.limits(), 0
	for _, t := range s.targets {
		sum += limits(t)
	}
	return float64(sum)
}

// freeRoom returns the number of requests that the targets that this instance may use can
// take now.
func (st *State) freeRoom(at time.Time, s *service) (free float64) {
	limits := s.limits()
	for i, id := range s.targetIDs {
		t := s.targets[id]
		left := limits(t) - t.running - st.peerLoads.total(id)
		if left <= 0 || st.isClosed(at, s, t.Group) || at.Before(t.backoffUntil) || t.notice.wait(at) > 0 || st.rateWait(at, s, t, i) > 0 {
			continue
		}
		free += float64(left)
	}
	return free
}

// leavesRoom reports whether the targets have room for a request beyond what more urgent
// ones need, at any instance.
func (st *State) leavesRoom(at time.Time, s *service, e *activeRequest) bool {
	if !s.pressure.on || e.advance > 0 || len(e.tried) > 0 {
		return true
	}
	reserve := s.pressure.level(e.request.Priority).reserve
	return reserve == 0 || st.freeRoom(at, s) >= reserve+1
}

// thin decides under pressure whether a new request that finds no spare room is admitted:
// first by the share of its organisation, then by its priority. Of the less urgent requests
// a part is advanced, so that none of the priorities starves.
func (st *State) thin(at time.Time, s *service, e *activeRequest) (reason Reason, refused bool) {
	p, priority := &s.pressure, e.request.Priority
	organisation := s.demand.organisation(e.request.Organisation)
	counts := s.demand.level(priority)
	counts.allowedWait = s.allowedWait(e.request)
	if organisation != nil {
		organisation.offered.add(at, 1)
	}
	if !p.on {
		counts.offered.add(at, 1)
		if organisation != nil {
			organisation.usual.add(s.demand.calm)
		}
		return 0, false
	}
	l, free := p.level(priority), st.freeRoom(at, s)
	share, over := p.shares[e.request.Organisation]
	if over && organisation != nil && free < l.shareReserve+1 && !organisation.admitted.add(share) {
		s.demand.overShare.add(at, 1)
		return OverShare, true
	}
	counts.offered.add(at, 1)
	if l.admitted >= 1 || free >= l.reserve+1 {
		return 0, false
	}
	if !counts.admitted.add(l.admitted) {
		if p.urgency(priority) == 0 {
			return QueueFull, true
		}
		return LessUrgent, true
	}
	if counts.advanced.add(min(1, p.guaranteed/l.admitted)) {
		e.advance = priority - p.levels[0].priority
	}
	return 0, false
}

// allowedWaitOf returns how long a request may wait. One that goes before its priority may
// wait no longer than the more urgent ones, which would otherwise be refused more often.
func (s *service) allowedWaitOf(e *activeRequest) time.Duration {
	wait := s.allowedWait(e.request)
	if e.advance == 0 {
		return wait
	}
	for priority, counts := range s.demand.levels {
		if priority < e.request.Priority && counts.allowedWait > 0 {
			wait = min(wait, counts.allowedWait)
		}
	}
	return wait
}

// pressureDelay returns the delay after which a caller whose request gave way should retry.
// Less urgent ones return later, and those of a priority spread over time.
func (s *service) pressureDelay(r Request) time.Duration {
	const parts = 8
	step := pressureRetryAfter * time.Duration(1+s.pressure.urgency(r.Priority))
	return min(maxRetryAfter, step+pressureRetryAfter*time.Duration(r.ID%parts)/parts)
}

// shareChanges returns the organisations that have come to exceed their share, or no longer do.
func shareChanges(service string, before, after map[string]float64) []Effect {
	var effects []Effect
	for _, name := range slices.Sorted(maps.Keys(after)) {
		if _, ok := before[name]; !ok {
			effects = append(effects, ShareChanged{Service: service, Organisation: name, Share: after[name]})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if _, ok := after[name]; !ok {
			effects = append(effects, ShareChanged{Service: service, Organisation: name, Share: 1})
		}
	}
	return effects
}
