package entries

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"chervilswitch.example/platform/platformtest"
	"chervilswitch.example/router/core"
	"chervilswitch.example/shared/admission"
	"chervilswitch.example/shared/fleet"
	"chervilswitch.example/shared/peer"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
)

// recordingCore is an emptyCore that keeps the loads that it is told.
type recordingCore struct {
	emptyCore
	running map[string]int
	loads   []admission.PeerLoad
}

func (r *recordingCore) Running() map[string]int { return r.running }
func (r *recordingCore) HandleEvent(e admission.Event) {
	if load, ok := e.(admission.PeerLoad); ok {
		r.loads = append(r.loads, load)
	}
}

// instance returns the registration of the i-th instance of a fleet in 5 data centres.
func instance(i int) fleet.Instance {
	address := netip.MustParseAddrPort("127.0.0.1:1")
	return fleet.Instance{Name: fmt.Sprintf("entry-%02d", i), DataCentre: fmt.Sprintf("dc-%d", i%5), Incarnation: 1, Peers: address, Callers: address}
}

// newFleetMember returns the membership of the i-th of a number of instances that has
// heard of all others.
func newFleetMember(ctx context.Context, i, instances int, state Core) *Membership {
	m := NewMembership(ctx, instance(i), state, &log.Logger{Handler: discard.Default})
	for other := range instances {
		m.Register(instance(other))
		if other != i {
			m.applyState(&peer.EntryUpdate{Instance: instance(other).Name, Incarnation: 1, TakesChanges: true}, &inbound{})
		}
	}
	return m
}

// A message after the first one holds only what has changed, and the receiver knows the
// same loads as from whole messages.
func TestStateMessagesHoldChangesOnly(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // No links are wanted.
	sender := &recordingCore{running: map[string]int{"i-1": 1}}
	for i := range 40 {
		sender.running[fmt.Sprintf("i-%d", i)] = 2
	}
	receiver := &recordingCore{}
	from, to := newFleetMember(ctx, 0, 59, sender), newFleetMember(ctx, 1, 59, receiver)
	mb, in := from.members[instance(1).Name], &inbound{}
	send := func() int {
		from.loads.at = time.Time{}
		state := from.stateFor(mb)
		to.applyState(state, in)
		raw, err := proto.Marshal(state)
		c.Assert(err, qt.IsNil)
		return len(raw)
	}
	whole := send()
	c.Assert(receiver.loads[len(receiver.loads)-1].Running, qt.DeepEquals, sender.running)
	sender.running["i-1"] = 3
	delete(sender.running, "i-7")
	sender.running["i-99"] = 1
	changes := send()
	c.Assert(receiver.loads[len(receiver.loads)-1].Running, qt.DeepEquals, sender.running)
	applied := len(receiver.loads)
	unchanged := send()
	c.Assert(receiver.loads, qt.HasLen, applied)
	c.Logf("%d bytes for a whole message, %d for three changes, %d for none", whole, changes, unchanged)
	c.Assert(unchanged <= 100, qt.IsTrue)
	c.Assert(changes <= unchanged+60, qt.IsTrue)

	// A new link begins with all loads, and late messages of the earlier one change nothing.
	mb.sent = sentState{}
	c.Assert(from.stateFor(mb).GetRunningChanges(), qt.IsFalse)
	to.applyState(&peer.EntryUpdate{Instance: instance(0).Name, Incarnation: 1}, &inbound{})
	applied = len(receiver.loads)
	to.applyState(&peer.EntryUpdate{Instance: instance(0).Name, Incarnation: 1, RunningChanges: true, Running: map[string]int32{"i-1": 9}}, in)
	c.Assert(receiver.loads, qt.HasLen, applied)
}

// An instance of a version without changes receives all loads each time.
func TestOlderVersionsReceiveWholeMessages(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	m := newFleetMember(ctx, 0, 2, &recordingCore{running: map[string]int{"i-1": 1}})
	mb := m.members[instance(1).Name]
	mb.takesChanges = false
	for range 2 {
		state := m.stateFor(mb)
		qt.Assert(t, state.GetRunningChanges(), qt.IsFalse)
		qt.Assert(t, state.GetRunning(), qt.HasLen, 1)
	}
}

// Two instances read for all, and one of each other data centre for it.
func TestReadersAreFewInLargeFleets(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	roles := func(instances int) (readers, local int) {
		for i := range instances {
			switch role, _ := newFleetMember(ctx, i, instances, emptyCore{}).ReaderRole(); role {
			case Reader:
				readers++
			case LocalReader:
				local++
			}
		}
		return readers, local
	}
	for instances, expected := range map[int][2]int{1: {1, 0}, 4: {2, 0}, 8: {2, 0}, 17: {2, 3}, 59: {2, 3}} {
		readers, local := roles(instances)
		qt.Check(t, [2]int{readers, local}, qt.Equals, expected, qt.Commentf("%d instances", instances))
	}
}

// configurationRecord returns the record of a configuration of some size.
func configurationRecord(c *qt.C, version uint64, offset int64, routes int) fleet.Record {
	var list []platformtest.Route
	for i := range routes {
		list = append(list, platformtest.Route{Prefix: fmt.Sprintf("/r%d/", i), Kind: "safe", Service: "s", Attempts: 1})
	}
	raw, err := json.Marshal(platformtest.Configuration(int(version), list, nil))
	c.Assert(err, qt.IsNil)
	return fleet.Record{Topic: fleet.OperatorTopic, Key: "config", Position: fleet.Position{Era: 1, Offset: offset}, Value: raw}
}

// fleetNode is an instance of a fleet whose messages the test carries.
type fleetNode struct {
	core       *core.Core
	membership *Membership
	inbound    map[int]*inbound
}

// newFleet returns instances that know each other and are connected by nothing.
func newFleet(t *testing.T, instances int) []*fleetNode {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	nodes := make([]*fleetNode, instances)
	for i := range nodes {
		state := core.New(core.Options{Instance: instance(i).Name, Logger: &log.Logger{Handler: discard.Default}})
		nodes[i] = &fleetNode{core: state, inbound: make(map[int]*inbound), membership: newFleetMember(ctx, i, instances, state)}
	}
	return nodes
}

// exchange sends a message from each instance to each other one unless the pair is cut, and
// returns the bytes of all.
func exchange(c *qt.C, nodes []*fleetNode, cut func(from, to int) bool) (bytes int) {
	for from, node := range nodes {
		for to, other := range nodes {
			if from == to || cut(from, to) {
				continue
			}
			state := node.membership.stateFor(node.membership.members[instance(to).Name])
			raw, err := proto.Marshal(state)
			c.Assert(err, qt.IsNil)
			bytes += len(raw)
			if other.inbound[from] == nil {
				other.inbound[from] = &inbound{}
			}
			other.membership.applyState(state, other.inbound[from])
		}
	}
	return bytes
}

// The store gives a third of the instances nothing, and the others a large configuration.
// All use it within half a second, and it is sent few times to each instance that lacks it.
func TestLargeConfigurationIsForwardedByFew(t *testing.T) {
	synctest.Test(t, largeConfigurationIsForwardedByFew)
}

func largeConfigurationIsForwardedByFew(t *testing.T) {
	c := qt.New(t)
	const instances, withoutStore = 30, 10 // Instances 20 to 29 are turned away.
	nodes := newFleet(t, instances)
	nobody := func(int, int) bool { return false }
	exchange(c, nodes, nobody)
	record := configurationRecord(c, 2, 5, 1400)
	for _, node := range nodes[:instances-withoutStore] {
		node.core.ApplyRecords([]fleet.Record{record}, core.SourceStore)
	}
	sent, began := 0, time.Now()
	for time.Since(began) < 500*time.Millisecond {
		sent += exchange(c, nodes, nobody)
		time.Sleep(40 * time.Millisecond)
	}
	for i, node := range nodes {
		c.Assert(node.core.ConfigurationVersion(), qt.Equals, uint64(2), qt.Commentf("instance %d", i))
	}
	c.Logf("%d bytes a record, %d sent in all", len(record.Value), sent)
	c.Assert(sent < 4*withoutStore*len(record.Value), qt.IsTrue) // Two readers and one of the data centre.
}

// A data centre is cut off from the others, and the store serves only one instance there.
// The others of the data centre learn from it.
func TestCutDataCentreLearnsFromItsReader(t *testing.T) {
	synctest.Test(t, cutDataCentreLearnsFromItsReader)
}

func cutDataCentreLearnsFromItsReader(t *testing.T) {
	c := qt.New(t)
	nodes := newFleet(t, 30)
	cut := func(from, to int) bool { return (from%5 == 4) != (to%5 == 4) }
	exchange(c, nodes, func(int, int) bool { return false })
	nodes[4].core.ApplyRecords([]fleet.Record{configurationRecord(c, 2, 5, 1)}, core.SourceStore)
	c.Assert(slices.ContainsFunc([]int{9, 14, 19}, func(i int) bool { return nodes[i].core.ConfigurationVersion() != 0 }), qt.IsFalse)
	for began := time.Now(); time.Since(began) < 2*time.Second; time.Sleep(50 * time.Millisecond) {
		exchange(c, nodes, cut)
	}
	for i := 4; i < 30; i += 5 {
		c.Assert(nodes[i].core.ConfigurationVersion(), qt.Equals, uint64(2), qt.Commentf("instance %d", i))
	}
	c.Assert(nodes[0].core.ConfigurationVersion(), qt.Equals, uint64(0))
}

// A reader says how far its messages cover the store, so that those who hear it need no
// records of others, and that the configuration is current.
func TestCompleteMessagesCoverTheStore(t *testing.T) { synctest.Test(t, completeMessagesCoverTheStore) }

func completeMessagesCoverTheStore(t *testing.T) {
	c := qt.New(t)
	nodes := newFleet(t, 12)
	nobody := func(int, int) bool { return false }
	exchange(c, nodes, nobody)
	record := configurationRecord(c, 2, 5, 1)
	nodes[0].core.ApplyRecords([]fleet.Record{record}, core.SourceStore)
	nodes[0].core.Confirm()
	time.Sleep(operatorForwardDelay)
	exchange(c, nodes, nobody)
	exchange(c, nodes, nobody)
	other := nodes[7]
	c.Assert(other.core.ConfigurationVersion(), qt.Equals, uint64(2))
	c.Assert(other.membership.latestEnd(fleet.OperatorTopic, other.core.End(fleet.OperatorTopic)), qt.Equals, fleet.Position{Era: 1, Offset: 6})
	c.Assert(other.core.End(fleet.OperatorTopic), qt.Equals, fleet.Position{})
	c.Assert(time.Since(other.core.ConfirmedAt()) < 2*time.Second, qt.IsTrue)
}

// The time at which messages last covered more of the targets' topic stands still while only
// others speak that know no more.
func TestHeldRisesWithTheTopicOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		nodes := newFleet(t, 12)
		hear := func(from int, end int64) (fleet.Position, time.Duration) {
			time.Sleep(stateInterval)
			nodes[7].membership.applyState(&peer.EntryUpdate{
				Instance: instance(from).Name, Incarnation: 1, Complete: true, TargetEra: 1, TargetEnd: end,
			}, &inbound{})
			position, at := nodes[7].membership.Held(fleet.TargetTopic)
			return position, time.Since(at)
		}
		_, age := hear(0, 5)
		c.Check(age, qt.Equals, time.Duration(0))
		_, age = hear(1, 5)
		c.Check(age, qt.Equals, stateInterval)
		_, age = hear(2, 3) // It lags behind.
		c.Check(age, qt.Equals, 2*stateInterval)
		position, age := hear(0, 6)
		c.Check(age, qt.Equals, time.Duration(0))
		c.Check(position, qt.Equals, fleet.Position{Era: 1, Offset: 6})
	})
}

// An instance to which no complete messages come reads the store more often.
func TestInstanceWithoutReadersReadsItself(t *testing.T) {
	synctest.Test(t, instanceWithoutReadersReadsItself)
}

func instanceWithoutReadersReadsItself(t *testing.T) {
	c := qt.New(t)
	nodes := newFleet(t, 12)
	role := func() ReaderRole {
		role, _ := nodes[7].membership.ReaderRole()
		return role
	}
	c.Assert(role(), qt.Equals, Uncovered)
	exchange(c, nodes, func(int, int) bool { return false })
	exchange(c, nodes, func(int, int) bool { return false })
	c.Assert(role(), qt.Equals, Checker)
	for range 8 { // Others still send, but none that covers the store.
		time.Sleep(stateInterval)
		for i := range 12 {
			if i != 7 {
				nodes[7].membership.applyState(&peer.EntryUpdate{Instance: instance(i).Name, Incarnation: 1}, &inbound{})
			}
		}
	}
	c.Assert(role(), qt.Equals, Uncovered)
}
