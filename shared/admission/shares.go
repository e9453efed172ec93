package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// namedAbove is how many times the mean demand of an organisation, at this instance, one
	// must have to be named to the others.
	namedAbove = 1.5
	// overShareBegins and overShareEnds are the parts of its share that an organisation's
	// demand exceeds when it is refused requests, and below which it no longer is.
	overShareBegins, overShareEnds = 1.15, 1.05
)

// named returns the organisations with much more demand than the others at this instance, the
// largest first.
func (d *demand) named(at time.Time) []OrganisationDemand {
	total := 0.0
	for _, o := range d.organisations {
		total += o.offered.value(at)
	}
	if len(d.organisations) < 2 {
		return nil
	}
	least := max(1, namedAbove*total/float64(len(d.organisations)))
	var named []OrganisationDemand
	for name, o := range d.organisations {
		if offered := o.offered.value(at); offered > least {
			named = append(named, OrganisationDemand{Organisation: name, Offered: rounded(offered)})
		}
	}
	slices.SortFunc(named, func(a, b OrganisationDemand) int {
		return cmp.Or(-cmp.Compare(a.Offered, b.Offered), cmp.Compare(a.Organisation, b.Organisation))
	})
	return named[:min(maxNamed, len(named))]
}

// allOverShare returns the requests refused at all instances because their organisations
// are above their shares.
func (d *demand) allOverShare(at time.Time) float64 {
	sum := d.overShare.value(at)
	for _, p := range d.peers {
		if at.Sub(p.at) <= demandAge {
			sum += float64(p.demand.OverShare)
		}
	}
	return sum
}

// shares returns the organisations whose demand at all instances exceeds their max-min share
// of the requests that find room, and the part of their requests that is within it. The
// organisations that no instance names are taken to be within their shares. Every
// organisation keeps guaranteedPart of the mean chance.
func (d *demand) shares(at time.Time, served, offered, chance float64, before map[string]float64) map[string]float64 {
	demands := make(map[string]float64)
	for _, o := range d.named(at) {
		demands[o.Organisation] = 0
	}
	for name := range before { // Named until now; a gap would end the hold.
		demands[name] = 0
	}
	for _, p := range d.peers {
		if at.Sub(p.at) > demandAge {
			continue
		}
		for _, o := range p.demand.Organisations {
			demands[o.Organisation] += float64(o.Offered)
		}
	}
	if len(d.organisations) < 2 {
		return nil // Nobody to give way to.
	}
	others := offered
	for name := range demands {
		if o, ok := d.organisations[name]; ok {
			demands[name] += o.offered.value(at)
		}
		others -= demands[name]
	}
	// The even share of all organisations is the least that the named ones get together.
	even := served / float64(max(len(d.organisations), len(demands)))
	left := max(givenPart*served-max(0, others), even*float64(len(demands)))
	names := slices.SortedFunc(maps.Keys(demands), func(a, b string) int { return cmp.Or(cmp.Compare(demands[a], demands[b]), cmp.Compare(a, b)) })
	over := make(map[string]float64)
	for i, name := range names {
		share := left / float64(len(names)-i)
		left -= min(share, demands[name])
		limit := overShareBegins * share
		if _, ok := before[name]; ok {
			limit = overShareEnds * share
		}
		if demands[name] > limit {
			over[name] = max(guaranteedPart*chance, share/demands[name])
		}
	}
	return over
}
