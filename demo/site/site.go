// Package site runs a small deployment in one process over loopback: the production
// code of entries and agents, with stand-ins for the targets and the platform.
package site

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"chervilswitch.example/agent/target"
	"chervilswitch.example/entry/caller"
	"chervilswitch.example/operate/desk"
	"chervilswitch.example/shared/control"
	"chervilswitch.example/shared/operator"
	"chervilswitch.example/shared/peer"
	"chervilswitch.example/shared/platform"
	"chervilswitch.example/shared/settings"
	"chervilswitch.example/standin/engine"
	"chervilswitch.example/standin/plain"
	standin "chervilswitch.example/standin/platform"

	"github.com/apex/log"
)

// Names of the objects in the deployment's inventory, and the organisation's API key.
const (
	Model        = "cadran-7b"
	ModelService = "assistant"
	PlainService = "order-desk"
	Organisation = "medina"
	GroupName    = "experts"
	APIKey       = "demo-key-medina"
)

// DataCentres lists the data centres, to which instances are assigned round-robin.
var DataCentres = []string{"sfax-a", "sfax-b", "sfax-c"}

// Options configures a deployment. Logger is required.
type Options struct {
	// Entries, Replicas and Plains are the numbers of entries, model targets and
	// targets of the plain service.
	Entries  int
	Replicas int
	Plains   int
	// Engine configures every engine; its Name and ColdLimit are overwritten.
	Engine      engine.Options
	ColdLimit   int
	WarmLimit   int
	PlainDelay  time.Duration
	AddressKeep time.Duration
	// Between, if set, maps an agent's address to the one that the inventory
	// publishes, such as that of a proxy that injects network faults.
	Between func(agent netip.AddrPort) netip.AddrPort
	// Ranks puts the replicas into one lock-step group with one rank on each.
	Ranks  bool
	Logger log.Interface
}

// Process is a running entry or agent.
type Process struct {
	Name string
	// Stop begins a graceful shutdown; Kill ends the daemon at once. Done is closed
	// when the daemon has ended.
	Stop context.CancelFunc
	Kill func()
	Done chan struct{}
}

// Site is a running deployment.
type Site struct {
	Log       *standin.Log
	List      *standin.List
	Ledger    *plain.Ledger
	Engines   map[string]*engine.Engine
	Plains    map[string]*plain.Service
	Lockstep  *engine.Lockstep
	Processes map[string]*Process
	// Callers holds the entries' addresses for callers, Operators the addresses of
	// all daemons for operators; Platform is the address of the platform.
	Callers   map[string]netip.AddrPort
	Operators map[string]netip.AddrPort
	Platform  netip.AddrPort
	Inventory operator.Inventory

	options         Options
	ctx             context.Context
	cancel          context.CancelFunc
	goroutines      sync.WaitGroup
	agentOptions    map[string]any
	targetAddresses map[string]netip.AddrPort
	// applied returns, by instance, the last log offset that the daemon has applied.
	applied map[string]func() platform.Offset
}

// Start starts a deployment and publishes its inventory. It does not wait until the
// daemons are ready. The deployment ends with Close or with ctx.
func Start(ctx context.Context, options Options) (*Site, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &Site{
		Log: standin.NewLog(), List: new(standin.List), Ledger: new(plain.Ledger),
		Engines: make(map[string]*engine.Engine), Plains: make(map[string]*plain.Service),
		Processes: make(map[string]*Process), Callers: make(map[string]netip.AddrPort),
		Operators: make(map[string]netip.AddrPort), targetAddresses: make(map[string]netip.AddrPort),
		applied:      make(map[string]func() platform.Offset),
		Lockstep:     engine.NewLockstep(options.Replicas, options.Engine.Step),
		agentOptions: make(map[string]any), options: options, ctx: ctx, cancel: cancel,
	}
	if err := s.start(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// Close kills all daemons and waits until they and the stand-ins have ended.
func (s *Site) Close() {
	s.cancel()
	for _, p := range s.Processes {
		p.Kill()
	}
	s.goroutines.Wait()
}

func (s *Site) start() error {
	mux := http.NewServeMux()
	s.Log.Register(mux)
	s.List.Register(mux)
	address, err := s.serve(mux)
	if err != nil {
		return err
	}
	s.Platform = address
	s.initInventory()
	for i := range s.options.Replicas {
		if err := s.startEngine(fmt.Sprintf("replica-%02d", i), DataCentres[i%len(DataCentres)]); err != nil {
			return err
		}
	}
	for i := range s.options.Plains {
		if err := s.startPlainService(fmt.Sprintf("desk-%02d", i), DataCentres[i%len(DataCentres)]); err != nil {
			return err
		}
	}
	for i := range s.options.Entries {
		if err := s.startEntry(fmt.Sprintf("entry-%d", i), DataCentres[i%len(DataCentres)]); err != nil {
			return err
		}
	}
	return s.publish()
}

// initInventory creates an inventory with everything except the instances.
func (s *Site) initInventory() {
	sum := sha256.Sum256([]byte(APIKey))
	s.Inventory = operator.Inventory{
		DataCentres: make(map[string]operator.DataCentre),
		Instances:   make(map[string]operator.Instance),
		Services: map[string]operator.Service{
			ModelService: {Kind: operator.KindModel, Models: []string{Model}, ColdLimit: s.options.ColdLimit, WarmLimit: s.options.WarmLimit},
			PlainService: {
				Kind: operator.KindPlain, ColdLimit: 8, WarmLimit: 64,
				NonIdempotent: []operator.RequestRule{{Method: http.MethodPost, PathPrefix: "/deposits"}},
			},
		},
		Organisations: map[string]operator.Organisation{Organisation: {KeyHashes: []string{hex.EncodeToString(sum[:])}}},
	}
	if s.options.Ranks {
		s.Inventory.Groups = map[string]operator.Group{GroupName: {Service: ModelService, Ranks: s.options.Replicas, Layers: 1, Experts: 8, Slots: 8, Map: 1}}
	}
	for _, name := range DataCentres {
		s.Inventory.DataCentres[name] = operator.DataCentre{Region: "sfax"}
	}
}

func (s *Site) publish() error {
	p := desk.NewPublisher(platform.NewClient(s.Platform, nil))
	if err := p.Refresh(s.ctx); err != nil {
		return err
	}
	_, err := p.Publish(s.ctx, "site", operator.Diff(p.Config().Inventory(), &s.Inventory))
	return err
}

// serve runs an HTTP server on a free port until the deployment ends.
func (s *Site) serve(handler http.Handler) (netip.AddrPort, error) {
	listener, err := listen()
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: settings.HeaderTimeout}
	s.goroutines.Go(func() { _ = server.Serve(listener) })
	context.AfterFunc(s.ctx, func() { _ = server.Close() })
	return addressOf(listener), nil
}

// listen opens a listener on a free loopback port.
func listen() (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return listener, nil
}

func addressOf(l net.Listener) netip.AddrPort {
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// common returns the settings that entries and agents share, and the listener for
// operators.
func (s *Site) common(name, dataCentre string, peers netip.AddrPort) (settings.Common, net.Listener, error) {
	operators, err := listen()
	if err != nil {
		return settings.Common{}, nil, err
	}
	s.Operators[name] = addressOf(operators)
	return settings.Common{
		Instance: name, DataCentre: dataCentre, Peer: peers, Operators: addressOf(operators),
		Platform: s.Platform, LogRetention: settings.Duration(24 * time.Hour),
	}, operators, nil
}

// startEngine starts a stand-in engine and its agent.
func (s *Site) startEngine(name, dataCentre string) error {
	engineOptions := s.options.Engine
	engineOptions.Name = name
	engineOptions.ColdLimit = s.options.ColdLimit
	e := engine.New(engineOptions)
	mux := http.NewServeMux()
	e.Register(mux)
	s.Lockstep.Register(mux)
	address, err := s.serve(mux)
	if err != nil {
		return err
	}
	s.Engines[name] = e
	s.targetAddresses[name] = address
	return s.startAgent(name, dataCentre, ModelService, true)
}

// startPlainService starts a stand-in target of the plain service and its agent.
func (s *Site) startPlainService(name, dataCentre string) error {
	p := &plain.Service{Name: name, Ledger: s.Ledger, Delay: s.options.PlainDelay}
	address, err := s.serve(p)
	if err != nil {
		return err
	}
	s.Plains[name] = p
	s.targetAddresses[name] = address
	return s.startAgent(name, dataCentre, PlainService, false)
}

// startAgent starts an agent for a target and adds it to the inventory. reports is
// true for an engine, which reports its load and can be a rank.
func (s *Site) startAgent(name, dataCentre, service string, reports bool) error {
	listener, err := listen()
	if err != nil {
		return err
	}
	common, operators, err := s.common(name, dataCentre, addressOf(listener))
	if err != nil {
		return err
	}
	instance := operator.Instance{DataCentre: dataCentre, Role: operator.RoleAgent, Peer: common.Peer, Service: service}
	if s.options.Between != nil {
		instance.Peer = s.options.Between(common.Peer)
	}
	if s.options.Ranks && reports {
		instance.Group, instance.Ranks = GroupName, []int{len(s.Engines) - 1}
	}
	s.Inventory.Instances[name] = instance
	s.runAgent(target.Options{Common: common, Target: s.targetAddresses[name], Service: service, ReportsLoad: reports}, listener, operators)
	return nil
}

func (s *Site) runAgent(options target.Options, listener, operators net.Listener) {
	s.agentOptions[options.Instance] = options
	agent := target.NewAgent(options, s.options.Logger)
	s.applied[options.Instance] = agent.Applied
	s.run(options.Instance, func(ctx context.Context) error { return agent.Serve(ctx, listener, operators) }, agent.Kill)
}

// run starts a goroutine that runs a daemon until it is stopped or fails.
func (s *Site) run(name string, serve func(context.Context) error, kill func()) {
	ctx, stop := context.WithCancel(s.ctx)
	p := &Process{Name: name, Stop: stop, Kill: kill, Done: make(chan struct{})}
	s.Processes[name] = p
	s.goroutines.Go(func() {
		defer close(p.Done)
		if err := serve(ctx); err != nil {
			s.options.Logger.WithError(err).WithField("instance", name).Error("daemon failed")
		}
	})
}

func (s *Site) startEntry(name, dataCentre string) error {
	callers, err := listen()
	if err != nil {
		return err
	}
	peers, err := listen()
	if err != nil {
		return err
	}
	common, operators, err := s.common(name, dataCentre, addressOf(peers))
	if err != nil {
		return err
	}
	s.Callers[name] = addressOf(callers)
	s.Inventory.Instances[name] = operator.Instance{
		DataCentre: dataCentre, Role: operator.RoleEntry, Peer: common.Peer, Caller: addressOf(callers),
	}
	options := caller.Options{Common: common, Callers: addressOf(callers), AddressKeep: settings.Duration(s.options.AddressKeep)}
	entry := caller.NewEntry(options, s.options.Logger)
	s.applied[name] = entry.Applied
	s.run(name, func(ctx context.Context) error { return entry.Serve(ctx, callers, peers, operators) }, entry.Kill)
	return nil
}

// RestartAgent kills an agent and starts a new incarnation with the same settings and
// address.
func (s *Site) RestartAgent(name string) error {
	old := s.Processes[name]
	old.Kill()
	<-old.Done
	options := s.agentOptions[name].(target.Options)
	listener, err := net.Listen("tcp", options.Peer.String())
	if err != nil {
		return fmt.Errorf("listen on the address of the killed agent: %w", err)
	}
	operators, err := net.Listen("tcp", options.Operators.String())
	if err != nil {
		return fmt.Errorf("listen on the operators' address of the killed agent: %w", err)
	}
	s.runAgent(options, listener, operators)
	return nil
}

// Timeout and polling interval of AwaitReady.
const (
	readyTimeout      = time.Minute
	readyPollInterval = 20 * time.Millisecond
)

// AwaitReady waits until every running entry sees all its agents accept requests. It
// returns an error after readyTimeout.
func (s *Site) AwaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for name := range s.Callers {
		if err := s.awaitEntryReady(ctx, name); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) awaitEntryReady(ctx context.Context, name string) error {
	for {
		select {
		case <-s.Processes[name].Done:
			return nil
		case <-ctx.Done():
			return fmt.Errorf("entry %s is not ready: %w", name, ctx.Err())
		case <-time.After(readyPollInterval):
		}
		if s.allAgentsAccepting(ctx, name) {
			return nil
		}
	}
}

// allAgentsAccepting reports whether an entry's status page shows a fresh gate and that
// all the agents that it uses accept requests.
func (s *Site) allAgentsAccepting(ctx context.Context, name string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Operators[name].String()+"/status", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var status peer.Status
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		return false
	}
	open := 0
	for _, p := range status.Peers {
		if p.Role == string(operator.RoleAgent) && !p.Closed {
			open++
		}
	}
	return status.Gate == "fresh" && open == s.countUsedAgents(name)
}

// countUsedAgents returns the number of agents that an entry exchanges heartbeats with.
func (s *Site) countUsedAgents(entry string) int {
	instance := s.Inventory.Instances[entry]
	count := 0
	for _, p := range control.Peers(&s.Inventory, control.Identity{Instance: entry, DataCentre: instance.DataCentre, Role: operator.RoleEntry}) {
		if s.Inventory.Instances[p.Name].Role == operator.RoleAgent {
			count++
		}
	}
	return count
}

// appliedPollInterval is the resolution of MeasurePropagation.
const appliedPollInterval = 5 * time.Millisecond

// MeasurePropagation publishes a change and returns the time from its acceptance until
// all daemons have applied it, according to their own state.
func (s *Site) MeasurePropagation(ctx context.Context) (time.Duration, error) {
	p := desk.NewPublisher(platform.NewClient(s.Platform, nil))
	if err := p.Refresh(ctx); err != nil {
		return 0, err
	}
	centre := p.Config().Inventory().DataCentres[DataCentres[0]]
	centre.Region += "'"
	edit, err := desk.DataCentreOutEdit(DataCentres[0], centre, centre.Out)
	if err != nil {
		return 0, err
	}
	published, err := p.Publish(ctx, "site", []operator.Edit{edit})
	if err != nil {
		return 0, err
	}
	accepted := time.Now()
	for ctx.Err() == nil {
		if s.allApplied(published.Offset) {
			return time.Since(accepted), nil
		}
		time.Sleep(appliedPollInterval)
	}
	return 0, ctx.Err()
}

// allApplied reports whether all daemons have applied the log up to offset.
func (s *Site) allApplied(offset platform.Offset) bool {
	for _, applied := range s.applied {
		if applied() < offset {
			return false
		}
	}
	return true
}
