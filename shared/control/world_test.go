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

// world simulates a deployment: it connects processes through a log and a network
// that the test controls. Its clock advances only when the test sets it.
type world struct {
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

func newWorld(t fataler) *world {
	w := &world{
		t: t, now: time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC), config: newTestLog(), intents: newTestLog(),
		processes: make(map[string]*process), next: 1,
	}
	inventory := testInventory()
	w.config.append(encodeRecord(t, changeRecord("inventory", 0, inventory.Edits()...)))
	return w
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
func (w *world) start(name string) *process {
	instance := testInventory().Instances[name]
	w.next++
	p := &process{
		name: name, verdicts: make(map[AttemptID]Verdict), joins: make(map[AttemptID]AttemptID),
		failures: make(map[RequestID]Failure),
		state: NewState(Identity{
			Instance: name, DataCentre: instance.DataCentre, Role: instance.Role,
			Incarnation: w.next, Service: instance.Service, Retention: 24 * time.Hour,
		}),
	}
	w.processes[name] = p
	w.sync(p)
	w.send(p, Tick{}) // The process claims its instance.
	w.sync(p)
	return p
}

func (w *world) startAll() {
	for _, name := range sortedKeys(testInventory().Instances) {
		w.start(name)
	}
	w.queryAll()
}

// send applies one event to a process and records its effects.
func (w *world) send(p *process, e Event) {
	effects := p.state.Reduce(w.now, e)
	p.history = append(p.history, recordedEvent{at: w.now, event: e, effects: effects})
	for _, effect := range effects {
		switch effect := effect.(type) {
		case Append:
			w.pending = append(w.pending, effect)
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
	if !w.holdAppends {
		w.commitAll()
	}
}

func (w *world) commitAll() {
	for len(w.pending) > 0 {
		w.commit(0)
	}
}

// commit makes one pending append take effect.
func (w *world) commit(i int) {
	a := w.pending[i]
	w.pending = append(w.pending[:i:i], w.pending[i+1:]...)
	if a.Stream == platform.ConfigStream {
		w.config.append(a.Data)
	} else {
		w.intents.append(a.Data)
	}
}

// sync makes a process read both streams to their ends.
func (w *world) sync(p *process) {
	w.send(p, LogPage{Stream: platform.ConfigStream, RequestedAt: w.now, Page: w.config.page(p.state.config.Applied() + 1)})
	if p.state.self.Service == testService {
		w.send(p, LogPage{Stream: platform.IntentStream(testService), RequestedAt: w.now, Page: w.intents.page(p.state.agent.keys.lastRead + 1)})
	}
}

// query makes a process query another one for its heartbeat and, if it is behind, its
// records.
func (w *world) query(p, peer *process) {
	w.send(p, HeartbeatReceived{RequestedAt: w.now, Beat: peer.state.Beat(w.now)})
	for _, query := range p.fetches {
		if records, whole := peer.state.config.Tail(query.From); whole {
			w.send(p, RecordsReceived{Records: records})
		} else {
			w.send(p, RecordsReceived{Snapshot: peer.state.config.Snapshot("peer")})
		}
	}
	p.fetches = nil
}

func (w *world) queryAll() {
	for _, name := range sortedKeys(w.processes) {
		for _, peer := range sortedKeys(w.processes) {
			if name != peer {
				w.query(w.processes[name], w.processes[peer])
			}
		}
	}
}

// advance moves the clock forward in small steps. Processes in logDown do not read the
// log. Processes in isolated exchange heartbeats only with each other and only within
// their data centre.
func (w *world) advance(d time.Duration, logDown, isolated map[string]bool) {
	const interval = 250 * time.Millisecond
	for until := w.now.Add(d); w.now.Before(until); {
		w.now = w.now.Add(interval)
		for _, name := range sortedKeys(w.processes) {
			p := w.processes[name]
			if !logDown[name] {
				w.sync(p)
			}
			w.send(p, Tick{})
			for _, peer := range sortedKeys(w.processes) {
				if name != peer && isolated[name] == isolated[peer] && !(isolated[name] && p.state.self.DataCentre != w.processes[peer].state.self.DataCentre) {
					w.query(p, w.processes[peer])
				}
			}
		}
	}
}

func (w *world) publish(id string, edits ...operator.Edit) {
	base := platform.Offset(len(w.config.records))
	w.config.append(encodeRecord(w.t, changeRecord(id, base, edits...)))
}

func (w *world) submit(p *process, attempt AttemptID, key string) Verdict {
	s := Submission{
		Attempt: attempt, Incarnation: p.state.self.Incarnation, Method: "POST", Path: "/deposits", Key: key, Fingerprint: 1,
	}
	if p.state.self.Service == testModel {
		s.Idempotent, s.Key = true, ""
	}
	w.send(p, AttemptSubmitted{Submission: s})
	return p.verdicts[attempt]
}

// TestReplayedEventsGiveSameEffects guards against nondeterminism in the reducer: it
// replays the recorded events of each process with a new State.
func TestReplayedEventsGiveSameEffects(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t)
	w.startAll()
	desk, entry := w.processes["desk-a"], w.processes["entry-a"]
	for i := range 20 {
		w.submit(desk, AttemptID(fmt.Sprint("r", i)), fmt.Sprint("k", i%7))
		w.send(entry, RequestArrived{Request: Request{ID: RequestID(fmt.Sprint("q", i)), Organisation: fmt.Sprint("o", i%3), Service: testModel, Idempotent: true}})
		w.advance(250*time.Millisecond, nil, nil)
	}
	w.publish("out", dataCentreEdit("a", true))
	w.advance(time.Second, nil, nil)
	for _, p := range w.processes {
		again := NewState(p.state.self)
		for _, s := range p.history {
			effects := again.Reduce(s.at, s.event)
			c.Assert(reflect.DeepEqual(effects, s.effects), qt.IsTrue, qt.Commentf("%s: %#v", p.name, s.event))
		}
	}
}
