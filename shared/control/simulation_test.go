package control

import (
	"fmt"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"chervilswitch.example/shared/operator"
	"chervilswitch.example/shared/platform"

	qt "github.com/frankban/quicktest"
)

const (
	testService = "desk"
	testModel   = "assistant"
	coldLimit   = 2
	warmLimit   = 8
)

// recordedEvent is an event with its time and the effects that it returned.
type recordedEvent struct {
	at      time.Time
	event   Event
	effects []Effect
}

// process is one State with its recorded events and effects.
type process struct {
	name    string
	state   *State
	history []recordedEvent
	runs    []AttemptID
	stops   []AttemptID
	// verdicts contains the verdict on each attempt, and joins the attempt whose
	// response it shares.
	verdicts   map[AttemptID]Verdict
	joins      map[AttemptID]AttemptID
	forwards   []Forward
	reattaches []Reattach
	failures   map[RequestID]Failure
	fetches    []FetchRecords
}

// simulation is a simulated deployment: it connects processes through a log and a
// network that the test controls. Its clock advances only when the test sets it.
type simulation struct {
	t         fataler
	now       time.Time
	config    *testLog
	intents   *testLog
	pending   []Append
	processes map[string]*process
	next      uint64
	// holdAppends keeps appends pending until the test commits them.
	holdAppends bool
}

func newSimulation(t fataler) *simulation {
	sim := &simulation{
		t: t, now: time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC), config: newTestLog(), intents: newTestLog(),
		processes: make(map[string]*process), next: 1,
	}
	inventory := testInventory()
	sim.config.append(encodeRecord(t, changeRecord("inventory", 0, inventory.Edits()...)))
	return sim
}

func testInventory() *operator.Inventory {
	v := &operator.Inventory{
		DataCentres: map[string]operator.DataCentre{"a": {}, "b": {}, "c": {}},
		Instances:   make(map[string]operator.Instance),
		Services: map[string]operator.Service{
			testService: {Kind: operator.KindPlain, ColdLimit: coldLimit, WarmLimit: warmLimit},
			testModel:   {Kind: operator.KindModel, Models: []string{"m"}, ColdLimit: coldLimit, WarmLimit: warmLimit},
		},
	}
	for i, centre := range []string{"a", "b", "c"} {
		port := uint16(i)
		v.Instances["entry-"+centre] = operator.Instance{
			DataCentre: centre, Role: operator.RoleEntry,
			Peer: testAddress(100 + port), Caller: testAddress(200 + port),
		}
		v.Instances["desk-"+centre] = operator.Instance{DataCentre: centre, Role: operator.RoleAgent, Peer: testAddress(300 + port), Service: testService}
		v.Instances["model-"+centre] = operator.Instance{DataCentre: centre, Role: operator.RoleAgent, Peer: testAddress(400 + port), Service: testModel}
	}
	return v
}

func testAddress(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), port)
}

// start starts a process. An earlier process of the same name keeps its state, and the
// test may continue to use it.
func (sm *simulation) start(name string) *process {
	instance := testInventory().Instances[name]
	sm.next++
	p := &process{
		name: name, verdicts: make(map[AttemptID]Verdict), joins: make(map[AttemptID]AttemptID),
		failures: make(map[RequestID]Failure),
		state: NewState(Identity{
			Instance: name, DataCentre: instance.DataCentre, Role: instance.Role,
			Incarnation: sm.next, Service: instance.Service, Retention: 24 * time.Hour,
		}),
	}
	sm.processes[name] = p
	sm.sync(p)
	sm.send(p, Tick{}) // The process claims its instance.
	sm.sync(p)
	return p
}

func (sm *simulation) startAll() {
	for _, name := range sortedKeys(testInventory().Instances) {
		sm.start(name)
	}
	sm.queryAll()
}

// send applies one event to a process and records its effects.
func (sm *simulation) send(p *process, e Event) {
	effects := p.state.Reduce(sm.now, e)
	p.history = append(p.history, recordedEvent{at: sm.now, event: e, effects: effects})
	for _, effect := range effects {
		switch effect := effect.(type) {
		case Append:
			sm.pending = append(sm.pending, effect)
		case Run:
			p.runs = append(p.runs, effect.Attempt)
			p.verdicts[effect.Attempt] = Verdict{Outcome: OutcomeAdmitted}
		case Stop:
			p.stops = append(p.stops, effect.Attempt)
		case Refuse:
			p.verdicts[effect.Attempt] = effect.Verdict
		case Join:
			p.joins[effect.Attempt] = effect.Runs
		case Forward:
			p.forwards = append(p.forwards, effect)
		case Reattach:
			p.reattaches = append(p.reattaches, effect)
		case Fail:
			p.failures[effect.Request] = effect.Failure
		case FetchRecords:
			p.fetches = append(p.fetches, effect)
		}
	}
	if !sm.holdAppends {
		sm.commitAll()
	}
}

func (sm *simulation) commitAll() {
	for len(sm.pending) > 0 {
		sm.commit(0)
	}
}

// commit makes one pending append take effect.
func (sm *simulation) commit(i int) {
	a := sm.pending[i]
	sm.pending = append(sm.pending[:i:i], sm.pending[i+1:]...)
	if a.Stream == platform.ConfigStream {
		sm.config.append(a.Data)
	} else {
		sm.intents.append(a.Data)
	}
}

// sync makes a process read both streams to their ends.
func (sm *simulation) sync(p *process) {
	sm.send(p, LogPage{Stream: platform.ConfigStream, RequestedAt: sm.now, Page: sm.config.page(p.state.config.Applied() + 1)})
	if p.state.self.Service == testService {
		sm.send(p, LogPage{Stream: platform.IntentStream(testService), RequestedAt: sm.now, Page: sm.intents.page(p.state.agent.keys.lastRead + 1)})
	}
}

// query makes a process query another one for its heartbeat and, if it is behind, its
// records.
func (sm *simulation) query(p, peer *process) {
	sm.send(p, HeartbeatReceived{RequestedAt: sm.now, Heartbeat: peer.state.Heartbeat(sm.now)})
	for _, query := range p.fetches {
		if records, whole := peer.state.config.Tail(query.From); whole {
			sm.send(p, RecordsReceived{Records: records})
		} else {
			sm.send(p, RecordsReceived{Snapshot: peer.state.config.Snapshot("peer")})
		}
	}
	p.fetches = nil
}

func (sm *simulation) queryAll() {
	for _, name := range sortedKeys(sm.processes) {
		for _, peer := range sortedKeys(sm.processes) {
			if name != peer {
				sm.query(sm.processes[name], sm.processes[peer])
			}
		}
	}
}

// advance moves the clock forward in small steps. Processes in logDown do not read the
// log. Processes in isolated exchange heartbeats only with each other and only within
// their data centre.
func (sm *simulation) advance(d time.Duration, logDown, isolated map[string]bool) {
	const interval = 250 * time.Millisecond
	for until := sm.now.Add(d); sm.now.Before(until); {
		sm.now = sm.now.Add(interval)
		for _, name := range sortedKeys(sm.processes) {
			p := sm.processes[name]
			if !logDown[name] {
				sm.sync(p)
			}
			sm.send(p, Tick{})
			for _, peer := range sortedKeys(sm.processes) {
				if name != peer && isolated[name] == isolated[peer] && !(isolated[name] && p.state.self.DataCentre != sm.processes[peer].state.self.DataCentre) {
					sm.query(p, sm.processes[peer])
				}
			}
		}
	}
}

func (sm *simulation) publish(id string, edits ...operator.Edit) {
	base := platform.Offset(len(sm.config.records))
	sm.config.append(encodeRecord(sm.t, changeRecord(id, base, edits...)))
}

func (sm *simulation) submit(p *process, attempt AttemptID, key string) Verdict {
	s := Submission{
		Attempt: attempt, Incarnation: p.state.self.Incarnation, Method: "POST", Path: "/deposits", Key: key, Fingerprint: 1,
	}
	if p.state.self.Service == testModel {
		s.Idempotent, s.Key = true, ""
	}
	sm.send(p, AttemptSubmitted{Submission: s})
	return p.verdicts[attempt]
}

// TestReplayedEventsGiveSameEffects guards against nondeterminism in the reducer: it
// replays the recorded events of each process with a new State.
func TestReplayedEventsGiveSameEffects(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(t)
	sim.startAll()
	desk, entry := sim.processes["desk-a"], sim.processes["entry-a"]
	for i := range 20 {
		sim.submit(desk, AttemptID(fmt.Sprint("r", i)), fmt.Sprint("k", i%7))
		sim.send(entry, RequestArrived{Request: Request{ID: RequestID(fmt.Sprint("q", i)), Organisation: fmt.Sprint("o", i%3), Service: testModel, Idempotent: true}})
		sim.advance(250*time.Millisecond, nil, nil)
	}
	sim.publish("out", dataCentreEdit("a", true))
	sim.advance(time.Second, nil, nil)
	for _, p := range sim.processes {
		again := NewState(p.state.self)
		for _, s := range p.history {
			effects := again.Reduce(s.at, s.event)
			c.Assert(reflect.DeepEqual(effects, s.effects), qt.IsTrue, qt.Commentf("%s: %#v", p.name, s.event))
		}
	}
}
