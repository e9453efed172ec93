package peer

import (
	"context"
	"crypto/tls"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chervilswitch.example/shared/control"
	"chervilswitch.example/shared/events"
	"chervilswitch.example/shared/operator"
	"chervilswitch.example/shared/platform"
	"chervilswitch.example/shared/wait"

	"github.com/apex/log"
)

const (
	tickInterval = 50 * time.Millisecond
	// longPollWait is how long a read waits for new records.
	longPollWait      = 300 * time.Millisecond
	readRetryInterval = 100 * time.Millisecond
	listInterval      = 500 * time.Millisecond
	responseTimeout   = time.Second
	// sourceInterval is the pause between two state requests to a source of log records.
	sourceInterval = 500 * time.Millisecond
	// contactInterval is the pause between two state requests to any other peer.
	contactInterval   = time.Second
	redialInterval    = 250 * time.Millisecond
	eventQueueLength  = 4096
	appendQueueLength = 1024
	// relayedReadInterval is the interval of log reads in a process that receives the
	// log from its peers.
	relayedReadInterval = 30 * time.Second
	// maxRelayedAge is the time since the log was last known to be read to its end, by
	// this process or a peer, after which a process reads the log itself. It is below
	// the 2 s after which control.State.Gate no longer returns GateFresh.
	maxRelayedAge = 1700 * time.Millisecond
)

// Options is the configuration of a node.
type Options struct {
	Identity control.Identity
	Platform *platform.Client
	// Seeds are the addresses of peers to contact before the inventory is known.
	Seeds []netip.AddrPort
	// Streams are the log streams to read in addition to the configuration.
	Streams []platform.Stream
	// HandleEffect executes the effects that the node does not execute itself. It runs
	// on the control goroutine and must not block or retain the state.
	HandleEffect func(*control.State, control.Effect)
	Logger       log.Interface
}

// View is an immutable copy of the parts of the control state that request handling
// reads.
type View struct {
	Inventory operator.Inventory
	// Organisations maps the hash of each API key to the name of its organisation.
	Organisations map[string]string
	Applied       platform.Offset
}

// Node owns the control state of a process. A single goroutine, the control goroutine,
// applies all events.
type Node struct {
	options Options
	state   *control.State
	events  chan control.Event
	queries chan func(*control.State)
	appends chan control.Append
	view    atomic.Pointer[View]
	done    chan struct{}
	tls     *tls.Config

	mutex sync.Mutex
	peers map[string]*peerLoop
}

// NewNode creates a node. Run starts it.
func NewNode(options Options) *Node {
	n := &Node{
		options: options,
		state:   control.NewState(options.Identity),
		events:  make(chan control.Event, eventQueueLength),
		queries: make(chan func(*control.State)),
		appends: make(chan control.Append, appendQueueLength),
		done:    make(chan struct{}),
		peers:   make(map[string]*peerLoop),
	}
	n.view.Store(new(View))
	return n
}

// UseTLS sets the TLS configuration for dialing peers; nil selects plain TCP. It must
// be called before Run.
func (n *Node) UseTLS(config *tls.Config) { n.tls = config }

// View returns the newest view. Callers must not modify it.
func (n *Node) View() *View { return n.view.Load() }

// Send passes an event to the control goroutine. It drops the event if the node has
// ended.
func (n *Node) Send(e control.Event) {
	select {
	case n.events <- e:
	case <-n.done:
	}
}

// Query runs a function on the control goroutine and waits for it to return. It returns
// false if the node or the context ended before the function started.
func (n *Node) Query(ctx context.Context, f func(*control.State)) bool {
	finished := make(chan struct{})
	wrapped := func(s *control.State) {
		f(s)
		close(finished)
	}
	select {
	case n.queries <- wrapped:
	case <-n.done:
		return false
	case <-ctx.Done():
		return false
	}
	<-finished
	return true
}

// Run runs the node until the context ends.
func (n *Node) Run(ctx context.Context) {
	defer close(n.done)
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	streams := append([]platform.Stream{platform.ConfigStream}, n.options.Streams...)
	for _, stream := range streams {
		group.Go(func() { n.readStream(ctx, stream) })
	}
	group.Go(func() { n.pollInstances(ctx) })
	group.Go(func() { n.runAppends(ctx) })
	for _, seed := range n.options.Seeds {
		group.Go(func() { n.maintainLink(ctx, "", seed, sourceInterval) })
	}
	n.runLoop(ctx, &group)
}

func (n *Node) runLoop(ctx context.Context, group *sync.WaitGroup) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.reduce(ctx, control.Tick{}, group)
		case e := <-n.events:
			n.reduce(ctx, e, group)
		case f := <-n.queries:
			f(n.state)
		}
	}
}

func (n *Node) reduce(ctx context.Context, e control.Event, group *sync.WaitGroup) {
	for _, effect := range n.state.Reduce(time.Now(), e) {
		switch effect := effect.(type) {
		case control.Append:
			n.queueAppend(effect)
		case control.FetchRecords:
			group.Go(func() { n.fetchRecords(ctx, effect) })
		case control.ConfigChanged:
			n.onChanged(ctx, effect, group)
		case control.LogDecision:
			n.logDecision(effect)
		case control.Propose:
			n.sendToInstance(effect.Target, NewProposalMessage(effect.Group, effect.Rank, effect.Proposal))
		default:
			n.options.HandleEffect(n.state, effect)
		}
	}
}

func (n *Node) queueAppend(a control.Append) {
	select {
	case n.appends <- a:
	default:
		// The reducer repeats the append if it does not read the record back.
		events.Log(n.options.Logger, events.AppendDropped, log.Fields{"stream": a.Stream})
	}
}

func (n *Node) logDecision(d control.LogDecision) {
	events.Log(n.options.Logger, events.Event(d.Code), log.Fields{
		"request": d.Request, "chosen": d.Chosen, "reason": d.Reason, "weighed": d.Weighed,
	})
}

func (n *Node) onChanged(ctx context.Context, c control.ConfigChanged, group *sync.WaitGroup) {
	n.publishView()
	for _, outcome := range c.Outcomes {
		events.Log(n.options.Logger, events.ChangeRead, log.Fields{
			"id": outcome.ID, "offset": outcome.Offset, "outcome": outcome.Outcome, "detail": outcome.Detail,
		})
	}
	n.updatePeers(ctx, group)
}

func (n *Node) publishView() { n.view.Store(NewView(n.state.Config())) }

// NewView copies the parts of a configuration that request handling reads.
func NewView(config *control.Config) *View {
	inventory := config.Inventory()
	view := &View{
		Inventory: operator.Inventory{
			DataCentres:   maps.Clone(inventory.DataCentres),
			Instances:     maps.Clone(inventory.Instances),
			Services:      maps.Clone(inventory.Services),
			Groups:        maps.Clone(inventory.Groups),
			Organisations: maps.Clone(inventory.Organisations),
		},
		Organisations: make(map[string]string),
		Applied:       config.Applied(),
	}
	for name, organisation := range view.Inventory.Organisations {
		for _, sum := range organisation.KeyHashes {
			view.Organisations[sum] = name
		}
	}
	return view
}

// readStream reads one stream of the log until the context ends.
func (n *Node) readStream(ctx context.Context, stream platform.Stream) {
	next := platform.Offset(1)
	longPoll := time.Duration(0) // The first read returns the end of the stream at once.
	for ctx.Err() == nil {
		if stream == platform.ConfigStream {
			next = n.nextConfigOffset(ctx, next)
		}
		requestedAt := time.Now()
		page, err := n.options.Platform.Read(ctx, stream, next, longPoll)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			events.Log(n.options.Logger, events.LogUnreadable, log.Fields{"stream": stream, "error": err.Error()})
			wait.Sleep(ctx, readRetryInterval)
			continue
		}
		longPoll = longPollWait
		if count := len(page.Records); count > 0 {
			next = page.Records[count-1].Offset + 1
		}
		next = max(next, page.First)
		n.Send(control.LogPage{Stream: stream, RequestedAt: requestedAt, Page: page})
		n.waitWhileRelayed(ctx, stream)
	}
}

// nextConfigOffset returns the offset after the newest applied record of the
// configuration. This skips records that peers sent and reads missing records again. It
// returns next if there is no configuration yet.
func (n *Node) nextConfigOffset(ctx context.Context, next platform.Offset) platform.Offset {
	n.Query(ctx, func(s *control.State) {
		if s.Config().Ready() {
			next = s.Config().Applied() + 1
		}
	})
	return next
}

// waitWhileRelayed delays the next read of the configuration while peers relay it in
// time.
func (n *Node) waitWhileRelayed(ctx context.Context, stream platform.Stream) {
	if stream != platform.ConfigStream || n.isReader() {
		return
	}
	until := time.Now().Add(relayedReadInterval)
	for ctx.Err() == nil && time.Now().Before(until) {
		var age time.Duration
		n.Query(ctx, func(s *control.State) { age = s.EvidenceAge(time.Now()) })
		if age > maxRelayedAge {
			return // Peers are late; reading the log itself keeps the process ready for new work.
		}
		wait.Sleep(ctx, readRetryInterval)
	}
}

// isReader reports whether this process reads the log itself: it is a reader of its
// data centre, or the inventory does not contain it yet.
func (n *Node) isReader() bool {
	self := n.options.Identity
	if _, known := n.View().Inventory.Instances[self.Instance]; !known {
		return true
	}
	return slices.Contains(control.LogReaders(&n.View().Inventory, self.DataCentre), self.Instance)
}

// pollInstances reads the instance list of the platform periodically.
func (n *Node) pollInstances(ctx context.Context) {
	for ctx.Err() == nil {
		if list, err := n.options.Platform.Instances(ctx); err == nil {
			n.Send(control.InstanceList{Instances: list})
		}
		wait.Sleep(ctx, listInterval)
	}
}

// runAppends executes the queued appends in order.
func (n *Node) runAppends(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-n.appends:
			if _, err := n.options.Platform.Append(ctx, a.Stream, a.Data); err != nil {
				events.Log(n.options.Logger, events.AppendUncertain, log.Fields{"stream": a.Stream, "error": err.Error()})
			}
		}
	}
}
