package entries

import (
	"maps"
	"slices"
	"sync"
	"time"

	"chervilswitch.example/shared/admission"
	"chervilswitch.example/shared/peer"
)

// numbersPerLevel is how many numbers describe the demand of one priority in a message.
const numbersPerLevel = 4

// ownDemands holds the demand at this instance, which the messages to all others share.
type ownDemands struct {
	mutex   sync.Mutex
	at      time.Time
	demands []admission.ServiceDemand // It is replaced, not changed.
}

// get returns the demand. If it is older than loadsAge, it reads it anew.
func (d *ownDemands) get(read func() []admission.ServiceDemand) []admission.ServiceDemand {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if now := time.Now(); now.Sub(d.at) > loadsAge {
		d.at, d.demands = now, read()
	}
	return d.demands
}

// addDemands adds the demands that have changed since the last message to an instance to a
// state message for it.
func (m *Membership) addDemands(state *peer.EntryUpdate, mb *member) {
	demands := m.demands.get(m.core.Demand)
	sent := make(map[string]admission.ServiceDemand, len(mb.sent.demands))
	for _, d := range mb.sent.demands {
		sent[d.Service] = d
	}
	for _, d := range demands {
		if before, ok := sent[d.Service]; !ok || !before.Equal(d) {
			state.Demands = append(state.Demands, encodeDemand(d))
		}
		delete(sent, d.Service)
	}
	for _, service := range slices.Sorted(maps.Keys(sent)) {
		state.Demands = append(state.Demands, &peer.ServiceDemand{Service: service})
	}
	mb.sent.demands = demands
}

func encodeDemand(d admission.ServiceDemand) *peer.ServiceDemand {
	encoded := &peer.ServiceDemand{Service: d.Service, OverShare: uint64(d.OverShare)}
	for _, l := range d.Levels {
		zigzag := uint64(int64(l.Priority)<<1) ^ uint64(int64(l.Priority)>>63)
		encoded.Levels = append(encoded.Levels, zigzag, uint64(l.Waiting), uint64(l.Offered), uint64(l.Refused))
	}
	for _, o := range d.Organisations {
		encoded.Organisations = append(encoded.Organisations, &peer.OrganisationDemand{Organisation: o.Organisation, Offered: uint64(o.Offered), Usual: uint64(o.Usual)})
	}
	return encoded
}

func decodeDemand(encoded *peer.ServiceDemand) admission.ServiceDemand {
	d := admission.ServiceDemand{Service: encoded.GetService(), OverShare: int(encoded.GetOverShare())}
	for numbers := range slices.Chunk(encoded.GetLevels(), numbersPerLevel) {
		if len(numbers) < numbersPerLevel {
			break // Of an instance with another format.
		}
		priority := int(int64(numbers[0]>>1) ^ -int64(numbers[0]&1))
		d.Levels = append(d.Levels, admission.LevelDemand{Priority: priority, Waiting: int(numbers[1]), Offered: int(numbers[2]), Refused: int(numbers[3])})
	}
	for _, o := range encoded.GetOrganisations() {
		d.Organisations = append(d.Organisations, admission.OrganisationDemand{Organisation: o.GetOrganisation(), Offered: int(o.GetOffered()), Usual: int(o.GetUsual())})
	}
	return d
}

// applyDemands applies the demands that another instance reports. Each message confirms the
// demands that it leaves out.
func (m *Membership) applyDemands(state *peer.EntryUpdate, in *inbound) {
	if in.demands == nil {
		in.demands = make(map[string]admission.ServiceDemand)
	}
	had := len(in.demands) > 0
	for _, encoded := range state.GetDemands() {
		if d := decodeDemand(encoded); len(d.Levels) > 0 {
			in.demands[d.Service] = d
		} else {
			delete(in.demands, d.Service)
		}
	}
	if had || len(in.demands) > 0 {
		m.core.HandleEvent(admission.PeerDemand{Peer: state.GetInstance(), Services: slices.Collect(maps.Values(in.demands))})
	}
}
