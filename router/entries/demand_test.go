package entries

import (
	"context"
	"fmt"
	"testing"
	"time"

	"chervilswitch.example/shared/admission"
	"chervilswitch.example/shared/peer"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
)

// demandCore is an emptyCore with a demand that keeps those that it is told.
type demandCore struct {
	emptyCore
	own      []admission.ServiceDemand
	reported []admission.PeerDemand
}

func (d *demandCore) Demand() []admission.ServiceDemand { return d.own }
func (d *demandCore) HandleEvent(e admission.Event) {
	if demand, ok := e.(admission.PeerDemand); ok {
		d.reported = append(d.reported, demand)
	}
}

// Demand is sent when it changes and is known unchanged from each message. It weighs little,
// and nothing without a lack of room. Late messages of an earlier link change nothing.
func TestDemandIsSentWhenItChanges(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // No links are wanted.
	sender, receiver := &demandCore{}, &demandCore{}
	from, to := newFleetMember(ctx, 0, 45, sender), newFleetMember(ctx, 1, 45, receiver)
	mb, in := from.members[instance(1).Name], &inbound{}
	send := func() int {
		from.demands.at = time.Time{}
		state := from.stateFor(mb)
		to.applyState(state, in)
		raw, err := proto.Marshal(&peer.EntryUpdate{Demands: state.GetDemands()})
		c.Assert(err, qt.IsNil)
		return len(raw)
	}
	c.Assert(send(), qt.Equals, 0)
	c.Assert(receiver.reported, qt.HasLen, 0)
	demand := admission.ServiceDemand{Service: "model", Levels: []admission.LevelDemand{
		{Priority: -1, Waiting: 3, Offered: 80, Refused: 2}, {Priority: 1, Offered: 112, Refused: 56}, {Priority: 2, Waiting: 130, Offered: 40, Refused: 28},
	}}
	sender.own = []admission.ServiceDemand{demand}
	three := send()
	demand.OverShare = 7
	for i := range 8 {
		demand.Organisations = append(demand.Organisations, admission.OrganisationDemand{Organisation: fmt.Sprintf("organisation-%d", i), Offered: 40, Usual: 5})
	}
	sender.own = []admission.ServiceDemand{demand}
	largest := send()
	c.Assert(receiver.reported[len(receiver.reported)-1], qt.DeepEquals, admission.PeerDemand{Peer: instance(0).Name, Services: sender.own})
	applied := len(receiver.reported)
	c.Assert(send(), qt.Equals, 0)
	c.Assert(receiver.reported, qt.HasLen, applied+1) // Its age is that of the last message.
	c.Logf("%d bytes for three priorities, %d with eight organisations", three, largest)
	c.Assert(three <= 32, qt.IsTrue)
	c.Assert(largest <= 256, qt.IsTrue)
	sender.own = nil
	send()
	c.Assert(receiver.reported[len(receiver.reported)-1], qt.DeepEquals, admission.PeerDemand{Peer: instance(0).Name})

	to.applyState(&peer.EntryUpdate{Instance: instance(0).Name, Incarnation: 1}, &inbound{})
	applied = len(receiver.reported)
	to.applyState(&peer.EntryUpdate{Instance: instance(0).Name, Incarnation: 1, Demands: []*peer.ServiceDemand{encodeDemand(demand)}}, in)
	c.Assert(receiver.reported, qt.HasLen, applied)
}
