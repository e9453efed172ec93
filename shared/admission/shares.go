package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// namedAbove is how many times the demand that is usual for it beside the others', at this
	// instance, an organisation must have to be named, beyond namedDeviations standard
	// deviations of both.
	namedAbove, namedDeviations = 1.5, 3
	// namedEnds is the same below which an organisation is no longer held to its share.
	namedEnds = 1.2
	// confirmTime is how long an organisation must be named before it is held to its share:
	// the others' figures arrive after two state messages.
	confirmTime = 400 * time.Millisecond
	// overShareBegins and overShareEnds are the parts of its share that an organisation's
	// demand exceeds when it is refused requests, and below which it no longer is.
	overShareBegins, overShareEnds = 1.15, 1.05
)

// weights returns, by organisation, what its usual demand counts, and at least the mean of all:
// a small or a new organisation may ask for as much as the mean one.
func (d *demand) weights() map[string]float64 {
	weights, total := make(map[string]float64, len(d.organisations)), 0.0
	for _, name := range slices.Sorted(maps.Keys(d.organisations)) {
		weights[name] = d.usual(name)
		total += weights[name]
	}
	mean := total / float64(max(1, len(weights)))
	for name, weight := range weights {
		weights[name] = max(weight, mean)
	}
	return weights
}

// growth returns how many times the usual demand all organisations but some have at this
// instance, at least 1.
func (d *demand) growth(at time.Time, without ...string) float64 {
	offered, usual := 0.0, 0.0
	for _, name := range slices.Sorted(maps.Keys(d.organisations)) {
		if !slices.Contains(without, name) {
			offered += d.organisations[name].offered.value(at)
			usual += d.usual(name)
		}
	}
	if usual == 0 {
		return 1
	}
	return max(1, offered/usual)
}

// usual returns what the usual demand of an organisation at this instance counts.
func (d *demand) usual(organisation string) float64 {
	o, ok := d.organisations[organisation]
	if !ok {
		return 0
	}
	return o.usual.perSecond(d.calm) * demandTime.Seconds()
}

// standsOut reports whether a demand is much more than usual beside a growth of the others'.
func (d *demand) standsOut(offered, usual, growth float64) bool {
	deviation := math.Sqrt(usual * (1 + demandTime.Seconds()/max(d.calm, demandTime).Seconds()))
	return offered > namedAbove*usual*growth && offered > namedAbove*usual+namedDeviations*deviation+1
}

// named returns the organisations with much more demand than usual at this instance or at
// another one, the largest first. The instances with a usual demand name them as well, so that
// chance at a few instances does not decide.
func (d *demand) named(at time.Time, weights map[string]float64) []OrganisationDemand {
	if len(d.organisations) < 2 {
		return nil
	}
	elsewhere := make(map[string]bool)
	for _, p := range d.peers {
		for _, o := range p.demand.Organisations {
			elsewhere[o.Organisation] = elsewhere[o.Organisation] || d.standsOut(float64(o.Offered), float64(o.Usual), 1)
		}
	}
	var named []OrganisationDemand
	for name, o := range d.organisations {
		if offered := o.offered.value(at); elsewhere[name] || d.standsOut(offered, weights[name], d.growth(at, name)) {
			named = append(named, OrganisationDemand{Organisation: name, Offered: rounded(offered), Usual: rounded(weights[name])})
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

// claim is the demand of an organisation at all instances and the weight of its share.
type claim struct {
	organisation    string
	offered, weight float64
}

// shares returns the organisations whose demand at all instances exceeds their max-min share,
// weighted by their usual demand, of the requests that find room, and the part of their requests
// that is within it. The organisations that no instance names are taken to ask for what is
// usual. Every organisation keeps guaranteedPart of the mean chance.
func (d *demand) shares(at time.Time, served, offered, chance float64, before map[string]float64) map[string]float64 {
	if len(d.organisations) < 2 {
		return nil // Nobody to give way to.
	}
	claims, weights := make(map[string]*claim), d.weights()
	add := func(o OrganisationDemand) {
		c, ok := claims[o.Organisation]
		if !ok {
			c = &claim{organisation: o.Organisation}
			claims[o.Organisation] = c
		}
		c.offered, c.weight = c.offered+float64(o.Offered), c.weight+float64(max(1, o.Usual))
	}
	for name := range before { // They are held until their demand falls.
		if o, ok := d.organisations[name]; ok {
			add(OrganisationDemand{Organisation: name, Offered: rounded(o.offered.value(at)), Usual: rounded(weights[name])})
		}
	}
	for _, o := range d.named(at, weights) {
		if _, ok := claims[o.Organisation]; !ok {
			add(o)
		}
	}
	for _, p := range d.peers {
		if at.Sub(p.at) <= demandAge {
			for _, o := range p.demand.Organisations {
				add(o)
			}
		}
	}
	claimed := make(map[string]time.Time, len(claims))
	for name := range claims {
		claimed[name] = at
		if since, ok := d.claimed[name]; ok {
			claimed[name] = since
		}
	}
	d.claimed = claimed
	growth := d.growth(at, slices.Collect(maps.Keys(claims))...)
	others := claim{offered: offered}
	sorted := make([]claim, 0, len(claims)+1)
	for _, c := range claims {
		others.offered -= c.offered
		sorted = append(sorted, *c)
	}
	others.offered = max(1, others.offered)
	others.weight = others.offered / growth
	sorted = append(sorted, others)
	slices.SortFunc(sorted, func(a, b claim) int {
		return cmp.Or(cmp.Compare(a.offered/a.weight, b.offered/b.weight), cmp.Compare(a.organisation, b.organisation))
	})
	left, weight := givenPart*served, 0.0
	for _, c := range sorted {
		weight += c.weight
	}
	over := make(map[string]float64)
	for _, c := range sorted {
		share := left * c.weight / weight
		left, weight = left-min(share, c.offered), weight-c.weight
		limit := overShareBegins * share
		if _, ok := before[c.organisation]; ok {
			limit = max(overShareEnds*share, namedEnds*c.weight*growth)
		} else if at.Sub(d.claimed[c.organisation]) < confirmTime || !d.standsOut(c.offered, c.weight, growth) {
			continue
		}
		if c.organisation != "" && c.offered > limit {
			over[c.organisation] = max(guaranteedPart*chance, share/c.offered)
		}
	}
	return over
}
