package admission

import "time"

const (
	// localPreference is the least penalty, in running requests, of a target in another
	// data centre.
	localPreference = 0.25
	// maxPreference bounds the penalty of a target in another data centre, as a fraction
	// of the home target's limit. The ranks of a group execute each pass together, and the
	// part of a pass that is a rank's own grows little with each running request.
	maxPreference = 0.3
	// plainReserve is the fraction of a plain target's limit that must be free for it to be
	// preferred: beyond, its requests wait for each other.
	plainReserve = 0.5
	// similarTimes is the ratio up to which the times to first output of two targets count
	// as equal: requests differ as much.
	similarTimes = 2
	// timesMemory is the age from which a time to first output no longer counts in the
	// choice between data centres, so that a target that was slow is tried again.
	timesMemory = 5 * time.Second
)

// locality decides whether a request is sent to another data centre.
type locality struct {
	// spill is the penalty, in running requests, of a target in another data centre for
	// each request that the best home target has room for.
	spill float64
}

// newLocality returns the locality under which another data centre is chosen if it has
// twice the room of this one.
func newLocality() locality { return locality{spill: 1} }

// candidate is a target that has room for a request.
type candidate struct {
	target *target
	// running is the estimated number of its requests, from all instances.
	running, limit int
	// room is the number of requests that the target has room for, less its penalties.
	room float64
}

// choose returns the better one of the best targets of this and of the other data
// centres. The preference for this one shrinks with its room, so that requests move
// gradually and every target fills up.
func (p locality) choose(at time.Time, s *service, home, remote candidate) candidate {
	switch {
	case home.target == nil:
		return remote
	case remote.target == nil:
		return home
	}
	// The mean of the service does not show a slow data centre if most requests stay in it.
	home.room += s.latencyPenalty(home.target) - s.slowness(at, home.target, remote.target)
	remote.room += s.latencyPenalty(remote.target) - s.slowness(at, remote.target, home.target)
	unused := home.room
	if s.Engine == nil {
		unused -= plainReserve * float64(home.limit)
	}
	preference := max(localPreference, min(p.spill*unused, maxPreference*float64(home.limit)))
	if remote.room > home.room+preference {
		return remote
	}
	return home
}

// slowness returns the penalty, in running requests, of a target of a plain service that
// responds more slowly than another one.
func (s *service) slowness(at time.Time, t, other *target) float64 {
	if s.Engine != nil || other.timeToFirstOutput == 0 || at.Sub(t.measuredAt) > timesMemory {
		return 0
	}
	return max(0, float64(t.timeToFirstOutput)/float64(other.timeToFirstOutput)-similarTimes)
}
