package entries

import (
	"context"
	"net/netip"
	"testing"

	"chervilswitch.example/shared/admission"
	"chervilswitch.example/shared/fleet"
	"chervilswitch.example/shared/peer"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
)

// emptyCore knows nothing.
type emptyCore struct{}

func (emptyCore) Learn([]fleet.Record, string) bool       { return false }
func (emptyCore) Tell(admission.Event)                    {}
func (emptyCore) Running() map[string]int                 { return nil }
func (emptyCore) End(fleet.Topic) int64                   { return 0 }
func (emptyCore) Since(fleet.Topic, int64) []fleet.Record { return nil }
func (emptyCore) SetEntries(int)                          {}

// setOf gives the set of one instance that has heard of others.
func setOf(ctx context.Context, name string, others ...*peer.EntryUpdate) *Membership {
	nowhere := netip.MustParseAddrPort("127.0.0.1:1")
	s := NewMembership(ctx, fleet.Instance{Name: name, Incarnation: 1, Peers: nowhere}, emptyCore{}, &log.Logger{Handler: discard.Default})
	for _, m := range others {
		m.Incarnation = 1
		s.Register(fleet.Instance{Name: m.Instance, Incarnation: 1, Peers: nowhere})
		s.hear(m)
	}
	return s
}

// The instance with the lowest name that can claim the duty does; one whose claims do
// not reach the store must not keep the others from it.
func TestLeads(t *testing.T) {
	for name, row := range map[string]struct {
		own    uint64
		others []*peer.EntryUpdate
		leads  bool
	}{
		"alone":               {leads: true},
		"lower name":          {others: []*peer.EntryUpdate{{Instance: "a"}}},
		"higher name":         {others: []*peer.EntryUpdate{{Instance: "c"}}, leads: true},
		"lower name, unable":  {others: []*peer.EntryUpdate{{Instance: "a", Unable: true}}, leads: true},
		"lower name, leaving": {others: []*peer.EntryUpdate{{Instance: "a", Stopping: true}}, leads: true},
		"unable, but holds":   {others: []*peer.EntryUpdate{{Instance: "a", Unable: true, Duty: 3}}},
		"holds a lower token": {own: 5, others: []*peer.EntryUpdate{{Instance: "a", Duty: 3}}, leads: true},
		"deposed":             {own: 3, others: []*peer.EntryUpdate{{Instance: "c", Duty: 5}}},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			qt.Assert(t, setOf(ctx, "b", row.others...).Leads(row.own), qt.Equals, row.leads)
		})
	}
}
