package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"chervilswitch.example/demo/site"
	"chervilswitch.example/shared/control"
	"chervilswitch.example/shared/operator"
	"chervilswitch.example/shared/peer"
	"chervilswitch.example/shared/platform"
	"chervilswitch.example/standin/engine"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
)

// The size of the reference deployment and the resource limits, both from the users'
// requirements, and the extent of the measurements.
const (
	referenceEntries           = 370
	referenceReplicas          = 650
	referenceOrganisations     = 25_000
	referenceModels            = 5
	referenceDataCentres       = 5
	referenceRequestsPerSecond = 3400.0
	referenceChangesPerDay     = 660.0
	referenceRestartsPerDay    = 68.0 + 17.0
	maxCoreFraction            = 0.016
	maxMegabytes               = 128.0
	maxKilobytesPerSecond      = 14.0
	maxAppendsPerSecond        = 300.0
	retainedKeysPerTarget      = 50_000
	secondsPerDay              = 86_400.0
	exchangesPerRun            = 4000
	idleDuration               = 4 * time.Second
)

// linearFit is a line fitted to values measured at several sizes.
type linearFit struct {
	Name      string    `json:"name"`
	Unit      string    `json:"unit"`
	Sizes     []float64 `json:"sizes"`
	Values    []float64 `json:"values"`
	Slope     float64   `json:"per"`
	Intercept float64   `json:"base"`
}

// newLinearFit fits a line by least squares.
func newLinearFit(name, unit string, sizes, values []float64) linearFit {
	n, sumX, sumY, sumXX, sumXY := float64(len(sizes)), 0.0, 0.0, 0.0, 0.0
	for i := range sizes {
		sumX += sizes[i]
		sumY += values[i]
		sumXX += sizes[i] * sizes[i]
		sumXY += sizes[i] * values[i]
	}
	slope := (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	return linearFit{Name: name, Unit: unit, Sizes: sizes, Values: values, Slope: slope, Intercept: (sumY - slope*sumX) / n}
}

// valueAt returns the value of the line at a size.
func (f linearFit) valueAt(size float64) float64 { return f.Intercept + f.Slope*size }

// capacity holds the measured costs as functions of size. exchangeBytes is the size of
// one heartbeat exchange in bytes.
type capacity struct {
	memory, apply, view, snapshot linearFit
	exchangeCPU, linkMemory       linearFit
	decide, heartbeat, tick       linearFit
	keys, plan, inForce, idleCPU  linearFit
	exchangeBytes                 float64
}

// measureCapacity measures the costs of the daemons and replaces the tables of the
// capacity page.
func measureCapacity(ctx context.Context, page string) (result, error) {
	var c capacity
	c.measureState()
	if err := c.measureLinks(ctx); err != nil {
		return result{}, err
	}
	c.measureReducer()
	c.measureKeys()
	c.measurePlans()
	if err := c.measureSites(ctx); err != nil {
		return result{}, err
	}
	slopes, sums := c.slopeTable(), c.budgetTable()
	if err := writeTables(page, slopes, sums); err != nil {
		return result{}, err
	}
	return result{name: "Capacity", figures: c.slopes(), table: slopes}, nil
}

// heapBytes returns the memory in use by heap and stacks after garbage collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// cpuSeconds returns the processor time that this process has used, or 0 on failure.
func cpuSeconds() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	seconds := func(t syscall.Timeval) float64 { return float64(t.Sec) + float64(t.Usec)/1e6 }
	return seconds(usage.Utime) + seconds(usage.Stime)
}

// newInventory returns an inventory with the data centres and models of the reference
// deployment and the given numbers of organisations, entries and replicas.
func newInventory(organisations, entries, replicas int) *operator.Inventory {
	v := &operator.Inventory{
		DataCentres: make(map[string]operator.DataCentre), Instances: make(map[string]operator.Instance),
		Services: make(map[string]operator.Service), Organisations: make(map[string]operator.Organisation),
	}
	for i := range referenceDataCentres {
		v.DataCentres[fmt.Sprint("dc-", i)] = operator.DataCentre{Region: fmt.Sprint("region-", i%2)}
	}
	for i := range referenceModels {
		v.Services[fmt.Sprint("model-", i)] = operator.Service{
			Kind: operator.KindModel, Models: []string{fmt.Sprint("m-", i)}, ColdLimit: 4, WarmLimit: 32,
		}
	}
	address := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
	}
	for i := range entries {
		v.Instances[fmt.Sprintf("entry-%03d", i)] = operator.Instance{
			DataCentre: fmt.Sprint("dc-", i%referenceDataCentres), Role: operator.RoleEntry, Peer: address(i), Caller: address(i),
		}
	}
	for i := range replicas {
		v.Instances[fmt.Sprintf("replica-%03d", i)] = operator.Instance{
			DataCentre: fmt.Sprint("dc-", i%referenceDataCentres), Role: operator.RoleAgent,
			Peer: address(entries + i), Service: fmt.Sprint("model-", i%referenceModels),
		}
	}
	for i := range organisations {
		v.Organisations[fmt.Sprintf("organisation-%05d", i)] = operator.Organisation{
			KeyHashes: []string{fmt.Sprintf("%064x", i)}, Share: 1 + i%3,
		}
	}
	return v
}

// changeRecord returns the log record after base that applies the edits.
func changeRecord(id string, base platform.Offset, edits []operator.Edit) platform.Record {
	record := control.Record{Format: control.RecordFormat, ID: id, Kind: control.RecordChange, Base: base, Edits: edits}
	data, err := record.Encode()
	if err != nil {
		panic(err) // Cannot happen: the edits are already encoded.
	}
	return platform.Record{Offset: base + 1, Data: data}
}

// measureState measures the cost of the configuration at several numbers of
// organisations, with the instances of the reference deployment.
func (c *capacity) measureState() {
	sizes := []float64{2500, 5000, 12_500, 25_000}
	var memory, apply, view, snapshot []float64
	for _, size := range sizes {
		record := changeRecord("all", 0, newInventory(int(size), referenceEntries, referenceReplicas).Edits())
		before := heapBytes()
		state := control.NewState(control.Identity{Instance: "entry-000", DataCentre: "dc-0", Role: operator.RoleEntry})
		state.Reduce(time.Now(), control.RecordsReceived{Records: []platform.Record{record}})
		record.Data = nil
		memory = append(memory, (heapBytes()-before)/1e6)
		started := time.Now()
		published := peer.NewView(state.Config())
		view = append(view, time.Since(started).Seconds()*1e3)
		bytes := 0
		for _, r := range state.Config().Snapshot("s") {
			data, _ := r.Encode() // Cannot fail: its parts were decoded from JSON.
			bytes += len(data)
		}
		snapshot = append(snapshot, float64(bytes)/1e6)
		apply = append(apply, applyTime(state))
		runtime.KeepAlive(published)
	}
	c.memory = newLinearFit("configuration in memory", "MB by organisations", sizes, memory)
	c.apply = newLinearFit("applying one change", "us by organisations", sizes, apply)
	c.view = newLinearFit("publishing the view for traffic", "ms by organisations", sizes, view)
	c.snapshot = newLinearFit("one snapshot in the log", "MB by organisations", sizes, snapshot)
}

// applyTime returns the median time to apply a change of one object, in microseconds.
func applyTime(state *control.State) float64 {
	var times []float64
	for i := range 101 {
		value, _ := json.Marshal(operator.DataCentre{Region: fmt.Sprint(i)}) // Cannot fail for a string.
		edit := operator.Edit{Key: operator.Key{Collection: operator.DataCentres, Name: "dc-0"}, Value: value}
		record := changeRecord(fmt.Sprint("c", i), state.Config().Applied(), []operator.Edit{edit})
		started := time.Now()
		state.Reduce(time.Now(), control.RecordsReceived{Records: []platform.Record{record}})
		times = append(times, time.Since(started).Seconds()*1e6)
	}
	return quantile(times, 0.5)
}

// countingListener counts the bytes that its connections read and write.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

// Accept wraps the next connection so that its bytes are counted.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, bytes: &l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// measureLinks measures the cost of connections between processes and of heartbeats
// over them, at several numbers of connections.
func (c *capacity) measureLinks(ctx context.Context) error {
	sizes := []float64{4, 8, 16, 32, 64}
	var memory, processor []float64
	for _, size := range sizes {
		m, p, b, err := measureLinkCost(ctx, int(size))
		if err != nil {
			return err
		}
		memory = append(memory, m/1e3)
		processor = append(processor, p*1e6)
		c.exchangeBytes = b
	}
	c.linkMemory = newLinearFit("memory of links, both ends", "KB by links", sizes, memory)
	c.exchangeCPU = newLinearFit("processor time of one question, both ends", "us by links", sizes, processor)
	return nil
}

// measureLinkCost opens a number of connections and exchanges heartbeats over each. It
// returns the memory of all connections in bytes, and the processor time in seconds and
// the bytes of one exchange.
func measureLinkCost(ctx context.Context, count int) (memory, processor, bytes float64, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, 0, 0, err
	}
	listener := &countingListener{Listener: inner}
	node := peer.NewNode(peer.Options{
		Identity:     control.Identity{Instance: "replica-000", DataCentre: "dc-0", Role: operator.RoleAgent, Service: "model-0", Incarnation: 1 << 60},
		Platform:     platform.NewClient(netip.MustParseAddrPort("127.0.0.1:1"), nil),
		HandleEffect: func(*control.State, control.Effect) {},
		Logger:       &log.Logger{Handler: discard.Default, Level: log.InfoLevel},
	})
	var group sync.WaitGroup
	group.Go(func() { node.Run(ctx) })
	group.Go(func() {
		_ = peer.Serve(ctx, listener, func(ctx context.Context, first *peer.Open, s *peer.Stream) { node.HandleStream(ctx, first, s) })
	})
	defer group.Wait()
	defer cancel()
	before := heapBytes()
	streams, closeAll, err := openStreams(ctx, inner.Addr().(*net.TCPAddr).AddrPort(), count)
	if err != nil {
		return 0, 0, 0, err
	}
	defer closeAll()
	memory = heapBytes() - before
	bytesBefore, cpuBefore := listener.bytes.Load(), cpuSeconds()
	if err := exchangeHeartbeats(streams, exchangesPerRun); err != nil {
		return 0, 0, 0, err
	}
	done := float64(exchangesPerRun / count * count)
	return memory, (cpuSeconds() - cpuBefore) / done, float64(listener.bytes.Load()-bytesBefore) / done, nil
}

// openStreams opens connections to an agent with one heartbeat stream on each, and
// returns the streams and a function that closes the connections.
func openStreams(ctx context.Context, address netip.AddrPort, count int) ([]*peer.Stream, func(), error) {
	var streams []*peer.Stream
	var open []*peer.Link
	closeAll := func() {
		for _, link := range open {
			_ = link.Close()
		}
	}
	for range count {
		link, err := peer.Dial(ctx, address, nil)
		if err != nil {
			closeAll()
			return nil, nil, err
		}
		open = append(open, link)
		s, err := link.Open(&peer.Open{Kind: &peer.Open_Ask{Ask: &peer.StateRequest{}}})
		if err == nil {
			err = s.ReceiveWithin(new(peer.Heartbeat), time.Minute)
		}
		if err != nil {
			closeAll()
			return nil, nil, err
		}
		streams = append(streams, s)
	}
	return streams, closeAll, nil
}

// exchangeHeartbeats exchanges about total heartbeats, the same number over each stream.
func exchangeHeartbeats(streams []*peer.Stream, total int) error {
	for range total / len(streams) {
		for _, s := range streams {
			if err := s.Send(&peer.StateRequest{}); err != nil {
				return err
			}
			if err := s.ReceiveWithin(new(peer.Heartbeat), time.Minute); err != nil {
				return err
			}
		}
	}
	return nil
}

// measureReducer measures the reducer of an entry at several numbers of targets and of
// requests in flight.
func (c *capacity) measureReducer() {
	sizes := []float64{10, 65, 200, 650}
	var decide, heartbeat []float64
	for _, size := range sizes {
		d, b := reducerTimes(int(size))
		decide = append(decide, d)
		heartbeat = append(heartbeat, b)
	}
	c.decide = newLinearFit("deciding one request, all events", "us by targets", sizes, decide)
	c.heartbeat = newLinearFit("taking one peer's answer", "us by targets", sizes, heartbeat)
	running := []float64{0, 16, 64, 256}
	var tick []float64
	for _, size := range running {
		tick = append(tick, tickTime(int(size)))
	}
	c.tick = newLinearFit("one tick", "us by requests in flight", running, tick)
}

// newEntryState returns the state of an entry that has received the heartbeats of a
// number of targets of one service, those heartbeats, and the time of the state.
func newEntryState(targets int) (*control.State, []control.Heartbeat, time.Time) {
	v := newInventory(10, 4, targets)
	for name, instance := range v.Instances {
		if instance.Role == operator.RoleAgent {
			instance.Service = "model-0"
			v.Instances[name] = instance
		}
	}
	now := time.Now()
	state := control.NewState(control.Identity{Instance: "entry-000", DataCentre: "dc-0", Role: operator.RoleEntry, Incarnation: 1})
	record := changeRecord("all", 0, v.Edits())
	state.Reduce(now, control.LogPage{Stream: platform.ConfigStream, RequestedAt: now, Page: platform.Page{Records: []platform.Record{record}, First: 1, Next: 2}})
	var heartbeats []control.Heartbeat
	for name, instance := range v.Instances {
		if instance.Role == operator.RoleAgent {
			heartbeats = append(heartbeats, control.Heartbeat{
				Instance: name, DataCentre: instance.DataCentre, Role: operator.RoleAgent, Incarnation: 1, Service: "model-0",
				Applied: 1, EvidenceOffset: 1, Load: control.Load{Limit: 32, Credit: 1 << 20, FirstOutput: 50 * time.Millisecond},
			})
		}
	}
	for _, b := range heartbeats {
		state.Reduce(now, control.HeartbeatReceived{RequestedAt: now, Heartbeat: b})
	}
	return state, heartbeats, now
}

// reducerTimes returns the time in microseconds to process all events of one request and
// to process one heartbeat.
func reducerTimes(targets int) (decide, heartbeat float64) {
	const rounds = 20_000
	state, heartbeats, now := newEntryState(targets)
	started := time.Now()
	for i := range rounds {
		id := control.RequestID(fmt.Sprint("o/", i))
		request := control.Request{ID: id, Organisation: "o", Service: "model-0", Idempotent: true, Replayable: true}
		for _, effect := range state.Reduce(now, control.RequestArrived{Request: request}) {
			f, ok := effect.(control.Forward)
			if !ok {
				continue
			}
			load := control.Load{Limit: 32, Credit: 1 << 20}
			state.Reduce(now, control.VerdictReceived{Request: id, Attempt: f.Attempt, Verdict: control.Verdict{Outcome: control.OutcomeAdmitted}, Load: load})
			state.Reduce(now, control.AttemptFirstOutput{Request: id, Attempt: f.Attempt})
			state.Reduce(now, control.AttemptEnded{Request: id, Attempt: f.Attempt, Load: load})
		}
	}
	decide = time.Since(started).Seconds() * 1e6 / rounds
	started = time.Now()
	for i := range rounds {
		state.Reduce(now, control.HeartbeatReceived{RequestedAt: now, Heartbeat: heartbeats[i%len(heartbeats)]})
	}
	return decide, time.Since(started).Seconds() * 1e6 / rounds
}

// tickTime returns the time of one tick in microseconds.
func tickTime(inFlight int) float64 {
	const rounds = 2000
	state, _, now := newEntryState(65)
	for i := range inFlight {
		state.Reduce(now, control.RequestArrived{Request: control.Request{ID: control.RequestID(fmt.Sprint("o/", i)), Organisation: "o", Service: "model-0"}})
	}
	started := time.Now()
	for range rounds {
		state.Reduce(now, control.Tick{})
	}
	return time.Since(started).Seconds() * 1e6 / rounds
}

// measureKeys measures the memory of the idempotency keys that an agent holds.
func (c *capacity) measureKeys() {
	sizes := []float64{1000, 4000, 16_000, 64_000}
	var memory []float64
	for _, size := range sizes {
		before := heapBytes()
		state := control.NewState(control.Identity{Instance: "replica-000", Role: operator.RoleAgent, Service: "model-0", Incarnation: 1})
		page := platform.Page{First: 1, Next: platform.Offset(size) + 1}
		for i := range int(size) {
			data, _ := json.Marshal(control.Intent{ // Cannot fail for strings and numbers.
				Format: control.RecordFormat, Instance: "replica-001", Incarnation: 1,
				Keys: []control.IntentKey{{Key: fmt.Sprintf("organisation-00001/%032x", i), Fingerprint: 1}},
			})
			page.Records = append(page.Records, platform.Record{Offset: platform.Offset(i + 1), Data: data})
		}
		state.Reduce(time.Now(), control.LogPage{Stream: platform.IntentStream("model-0"), RequestedAt: time.Now(), Page: page})
		page.Records = nil
		memory = append(memory, (heapBytes()-before)/1e6)
		runtime.KeepAlive(state)
	}
	c.keys = newLinearFit("idempotency keys in memory", "MB by keys", sizes, memory)
}

// measurePlans measures the worst time to plan the expert map of one layer.
func (c *capacity) measurePlans() {
	sizes := []float64{64, 128, 192, 256}
	var times []float64
	for _, experts := range sizes {
		group := skewCase{ranks: int(experts) / 8, experts: int(experts)}
		trace := group.trace(1)
		var worst float64
		for seed := range 5 {
			demand := control.Demand{Tokens: trace[seed*10], Speed: group.speeds()}
			started := time.Now()
			control.Improve(control.NewPlacement(group.ranks, group.experts, group.slots()), demand, control.Payback{})
			worst = max(worst, time.Since(started).Seconds()*1e3)
		}
		times = append(times, worst)
	}
	c.plan = newLinearFit("planning a layer from cold, 8 experts a rank", "ms by experts", sizes, times)
}

// measureSites runs deployments with several numbers of agents. It measures the time
// until a change is in force on all daemons, and the processor time of idle daemons.
func (c *capacity) measureSites(ctx context.Context) error {
	sizes := []float64{8, 16, 32, 64}
	var inForce, idle []float64
	for _, size := range sizes {
		f, i, err := measureIdleSite(ctx, int(size))
		if err != nil {
			return err
		}
		inForce = append(inForce, f)
		idle = append(idle, i)
	}
	c.inForce = newLinearFit("a change in force everywhere", "s by agents, 4 entries", sizes, inForce)
	c.idleCPU = newLinearFit("processor time of an idle deployment, stand-ins included", "% of a core by agents", sizes, idle)
	return nil
}

// measureIdleSite returns the longest propagation time of several changes in seconds,
// and the processor time of an idle deployment in percent of a core.
func measureIdleSite(ctx context.Context, agents int) (inForce, corePercent float64, err error) {
	s, err := site.Start(ctx, site.Options{
		Entries: 4, Replicas: agents, ColdLimit: 4, WarmLimit: 16, Engine: engine.Options{},
		AddressKeep: time.Second, Logger: &log.Logger{Handler: discard.Default, Level: log.InfoLevel},
	})
	if err != nil {
		return 0, 0, err
	}
	defer s.Close()
	if err := s.AwaitReady(ctx); err != nil {
		return 0, 0, err
	}
	before := cpuSeconds()
	time.Sleep(idleDuration)
	corePercent = 100 * (cpuSeconds() - before) / idleDuration.Seconds()
	var worst time.Duration
	for range seeds {
		took, err := s.MeasurePropagation(ctx)
		if err != nil {
			return 0, 0, err
		}
		worst = max(worst, took)
	}
	return worst.Seconds(), corePercent, nil
}

func (c *capacity) slopes() []linearFit {
	return []linearFit{
		c.memory, c.apply, c.view, c.snapshot, c.linkMemory, c.exchangeCPU,
		c.decide, c.heartbeat, c.tick, c.keys, c.plan, c.inForce, c.idleCPU,
	}
}

func (c *capacity) slopeTable() *table {
	t := newTable("what", "unit", "at sizes", "measured", "slope", "at zero")
	for _, s := range c.slopes() {
		t.addRow(s.Name, s.Unit, formatValues(s.Sizes), formatValues(s.Values), fmt.Sprintf("%.3g", s.Slope), fmt.Sprintf("%.3g", s.Intercept))
	}
	t.addRow("bytes of one question and its answer, yamux included", "bytes", "64 links", formatCell(c.exchangeBytes), "", "")
	return t
}

func formatValues(values []float64) string {
	texts := make([]string, len(values))
	for i, value := range values {
		texts[i] = formatCell(value)
	}
	return strings.Join(texts, ", ")
}

// writeTables replaces the tables between the markers of a page.
func writeTables(file string, slopes, sums *table) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	page := string(raw)
	for name, t := range map[string]*table{"slopes": slopes, "sums": sums} {
		begin, end := "<!-- "+name+" -->\n", "<!-- end of "+name+" -->"
		i, j := strings.Index(page, begin), strings.Index(page, end)
		if i < 0 || j < i {
			return fmt.Errorf("page %s has no markers for the table %q", file, name)
		}
		page = page[:i+len(begin)] + "\n" + t.String() + "\n" + page[j:]
	}
	return os.WriteFile(file, []byte(page), 0o644)
}
