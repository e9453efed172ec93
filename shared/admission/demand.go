package admission

import (
	"cmp"
	"maps"
	"math"
	"math/bits"
	"slices"
	"time"
)

const (
	// demandTime is the time constant of the decayed counts of requests: about the time for
	// which a stream holds its slot.
	demandTime = 2 * time.Second
	// demandAge is how long the demand that a peer reported counts: an instance counts as
	// silent after as long.
	demandAge = 1500 * time.Millisecond
	// usualTime is the time constant of the usual demand of an organisation: many times
	// that of a burst.
	usualTime = time.Minute
	// maxLevels bounds the priorities that are told apart. Less urgent ones count as the
	// last of them.
	maxLevels = 12
	// maxNamed bounds the organisations of a service that an instance names to the others.
	maxNamed = 8
	// maxOrganisations bounds the organisations of a service that an instance counts.
	maxOrganisations = 4096
)

// decayed is a count that decays with demandTime, so that a steady rate gives a count of the
// rate times demandTime.
type decayed struct {
	count float64
	at    time.Time
}

func (d *decayed) add(at time.Time, n float64) { d.count, d.at = d.value(at)+n, at }

func (d *decayed) value(at time.Time) float64 {
	if d.count == 0 || !at.After(d.at) {
		return d.count
	}
	return d.count * math.Exp(-float64(at.Sub(d.at))/float64(demandTime))
}

// LevelDemand is an instance's demand of one priority. Offered and Refused are decayed counts.
type LevelDemand struct {
	Priority, Waiting int
	// Offered counts the requests that ask for room, without those above the share of
	// their organisation, and Refused those of them that got none.
	Offered, Refused int
}

// OrganisationDemand is an instance's demand of one organisation, as a decayed count, and
// what a demand at its usual rate would count.
type OrganisationDemand struct {
	Organisation   string
	Offered, Usual int
}

// ServiceDemand is an instance's demand for a service.
type ServiceDemand struct {
	Service string
	Levels  []LevelDemand // The most urgent first.
	// OverShare counts the requests refused because their organisation is above its share.
	OverShare int
	// Organisations names those with much more demand than usual.
	Organisations []OrganisationDemand
}

// Equal reports whether two demands are the same.
func (d ServiceDemand) Equal(other ServiceDemand) bool {
	return d.Service == other.Service && d.OverShare == other.OverShare && slices.Equal(d.Levels, other.Levels) && slices.Equal(d.Organisations, other.Organisations)
}

// PeerDemand reports the demand at another entry instance. It replaces that instance's
// previous report. Services without a lack of room are left out.
type PeerDemand struct {
	Peer     string
	Services []ServiceDemand
}

func (PeerDemand) event() {}

// peerDemand is a report and the time at which it arrived.
type peerDemand struct {
	at     time.Time
	demand ServiceDemand
}

// demand counts the requests for one service at this instance, and holds the reports of the
// others. The zero value is empty.
type demand struct {
	levels        map[int]*levelCounts
	organisations map[string]*organisationCounts
	overShare     decayed
	calm          time.Duration // The time without pressure.
	// claimed holds since when organisations are named, by any instance.
	claimed map[string]time.Time
	peers   map[string]peerDemand
}

// levelCounts counts the requests of one priority.
type levelCounts struct {
	offered, refused decayed
	// allowedWait is that of the latest request.
	allowedWait time.Duration
	// admitted and advanced accumulate the parts of requests that are due to be admitted
	// under pressure, and to be advanced.
	admitted, advanced accumulator
}

// organisationCounts counts the requests of one organisation.
type organisationCounts struct {
	offered  decayed
	usual    average
	admitted accumulator
}

// average is a rate of requests, smoothed over usualTime. Its time is that without pressure,
// so that demand beyond the room does not become usual.
type average struct {
	count float64
	at    time.Duration
}

func (a *average) add(calm time.Duration) { a.count, a.at = a.value(calm)+1, calm }

func (a *average) value(calm time.Duration) float64 {
	return a.count * math.Exp(-float64(calm-a.at)/float64(usualTime))
}

// perSecond returns the rate at a time without pressure, at least demandTime.
func (a *average) perSecond(calm time.Duration) float64 {
	calm = max(calm, demandTime)
	return a.value(calm) / ((1 - math.Exp(-float64(calm)/float64(usualTime))) * usualTime.Seconds())
}

// accumulator selects a part of a sequence of requests, evenly spread.
type accumulator float64

// add adds a part and reports whether the next request is selected.
func (a *accumulator) add(part float64) bool {
	*a += accumulator(part)
	if *a < 1 {
		return false
	}
	*a--
	return true
}

// level returns the counts of a priority, and creates them if necessary.
func (d *demand) level(priority int) *levelCounts {
	l, ok := d.levels[priority]
	if ok {
		return l
	}
	if d.levels == nil {
		d.levels = make(map[int]*levelCounts)
	}
	l = &levelCounts{}
	d.levels[priority] = l
	return l
}

// organisation returns the counts of an organisation, and creates them if necessary. It
// returns nil without a name, or if there are too many.
func (d *demand) organisation(name string) *organisationCounts {
	o, ok := d.organisations[name]
	if ok || name == "" || len(d.organisations) >= maxOrganisations {
		return o
	}
	if d.organisations == nil {
		d.organisations = make(map[string]*organisationCounts)
	}
	o = &organisationCounts{}
	d.organisations[name] = o
	return o
}

// setPeer replaces the report of a peer.
func (d *demand) setPeer(at time.Time, peer string, reported ServiceDemand) {
	if d.peers == nil {
		d.peers = make(map[string]peerDemand)
	}
	d.peers[peer] = peerDemand{at: at, demand: reported}
}

// forget removes counts that have decayed, and outdated reports.
func (d *demand) forget(at time.Time) {
	const negligible = 0.05
	maps.DeleteFunc(d.levels, func(_ int, l *levelCounts) bool { return l.offered.value(at) < negligible })
	maps.DeleteFunc(d.organisations, func(_ string, o *organisationCounts) bool {
		return o.offered.value(at) < negligible && o.usual.value(d.calm) < negligible
	})
	maps.DeleteFunc(d.peers, func(_ string, p peerDemand) bool { return at.Sub(p.at) > demandAge })
}

// levelSum is the demand of one priority at all instances. Offered, refused and the peers'
// part of waiting may be demandAge old.
type levelSum struct {
	priority              int
	waiting, peersWaiting float64
	offered, refused      float64
}

// ownLevels returns the demand of this instance by priority, the most urgent first.
func (s *service) ownLevels(at time.Time) []levelSum {
	sums := make(map[int]*levelSum)
	sum := func(priority int) *levelSum {
		l, ok := sums[priority]
		if !ok {
			l = &levelSum{priority: priority}
			sums[priority] = l
		}
		return l
	}
	for priority, counts := range s.demand.levels {
		l := sum(priority)
		l.offered, l.refused = counts.offered.value(at), counts.refused.value(at)
	}
	s.waiting.each(func(e *activeRequest) { sum(e.request.Priority).waiting++ })
	return sortedLevels(sums)
}

// allLevels returns the demand of all instances by priority, the most urgent first.
func (s *service) allLevels(at time.Time) []levelSum {
	sums := make(map[int]*levelSum)
	for _, l := range s.ownLevels(at) {
		sums[l.priority] = &l
	}
	for _, p := range s.demand.peers {
		if at.Sub(p.at) > demandAge {
			continue
		}
		for _, reported := range p.demand.Levels {
			l, ok := sums[reported.Priority]
			if !ok {
				l = &levelSum{priority: reported.Priority}
				sums[reported.Priority] = l
			}
			l.waiting += float64(reported.Waiting)
			l.peersWaiting += float64(reported.Waiting)
			l.offered += float64(reported.Offered)
			l.refused += float64(reported.Refused)
		}
	}
	return sortedLevels(sums)
}

func sortedLevels(sums map[int]*levelSum) []levelSum {
	levels := make([]levelSum, 0, len(sums))
	for _, l := range sums {
		levels = append(levels, *l)
	}
	slices.SortFunc(levels, func(a, b levelSum) int { return cmp.Compare(a.priority, b.priority) })
	return levels
}

// Demand returns what the other entry instances must know about the demand at this one, by
// service. Services without a lack of room are left out, and so are those whose requests
// differ in neither priority nor organisation.
func (st *State) Demand(at time.Time) []ServiceDemand {
	var all []ServiceDemand
	for _, name := range slices.Sorted(maps.Keys(st.services)) {
		s := st.services[name]
		if reported, ok := s.reportedDemand(at); ok {
			reported.Service = name
			all = append(all, reported)
		}
	}
	return all
}

func (s *service) reportedDemand(at time.Time) (ServiceDemand, bool) {
	levels := s.ownLevels(at)
	lacking := 0.0
	for _, l := range levels {
		lacking += l.waiting + l.refused
	}
	if !s.pressure.on && lacking < 1 || !s.differs(at) {
		return ServiceDemand{}, false
	}
	var reported ServiceDemand
	for i, l := range levels {
		if i >= maxLevels {
			last := &reported.Levels[maxLevels-1]
			last.Waiting += int(l.waiting)
			last.Offered += rounded(l.offered)
			last.Refused += rounded(l.refused)
			continue
		}
		reported.Levels = append(reported.Levels, LevelDemand{
			Priority: l.priority, Waiting: int(l.waiting), Offered: rounded(l.offered), Refused: rounded(l.refused),
		})
	}
	if s.pressure.on {
		reported.OverShare = rounded(s.demand.overShare.value(at))
		reported.Organisations = s.demand.named(at, s.demand.weights())
	}
	return reported, true
}

// rounded returns a count with about three significant bits, so that a steady demand causes
// few changes.
func rounded(count float64) int {
	n := uint(math.Round(count))
	if shift := bits.Len(n) - 3; shift > 0 {
		n = (n + 1<<(shift-1)) >> shift << shift
	}
	return int(n)
}
