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

	"github.com/apex/log"
)

const (
	tickEvery  = 50 * time.Millisecond
	readWait   = 300 * time.Millisecond
	readAgain  = 100 * time.Millisecond
	listEvery  = 500 * time.Millisecond
	askTimeout = time.Second
	// askEvery separates the questions to sources of news, contactEvery others.
	askEvery     = 500 * time.Millisecond
	contactEvery = time.Second
	redialEvery  = 250 * time.Millisecond
	eventBacklog = 4096
	appendQueue  = 1024
	// relayedReadEvery is how often a process that is no reader looks at the
	// log itself while it hears of it from others.
	relayedReadEvery = 30 * time.Second
	// relayedEvidence is how old evidence from others may be before a process
	// reads the log itself; it is less than what counts as fresh.
	relayedEvidence = 1700 * time.Millisecond
)

// Options are what a node needs from its program's settings.
type Options struct {
	Identity control.Identity
	Platform *platform.Client
	// Seeds are addresses of peers to ask before the inventory is known.
	Seeds []netip.AddrPort
	// Streams are read besides the configuration.
	Streams []platform.Stream
	// HandleEffect does the effects that concern traffic, on the control goroutine.
	// It must not block, nor keep the state.
	HandleEffect func(*control.State, control.Effect)
	Logger       log.Interface
}

// View is what traffic may read of the control state. It never changes.
type View struct {
	Inventory operator.Inventory
	// Organisations finds an organisation by the hash of one of its keys.
	Organisations map[string]string
	Applied       platform.Offset
}

// Node owns a process's control state. One goroutine reduces all events.
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

// NewNode gives a node that Run starts.
func NewNode(options Options) *Node {
	n := &Node{
		options: options,
		state:   control.NewState(options.Identity),
		events:  make(chan control.Event, eventBacklog),
		queries: make(chan func(*control.State)),
		appends: make(chan control.Append, appendQueue),
		done:    make(chan struct{}),
		peers:   make(map[string]*peerLoop),
	}
	n.view.Store(new(View))
	return n
}

// UseTLS sets how peers are dialed; nil means plain TCP. Call it before Run.
func (n *Node) UseTLS(config *tls.Config) { n.tls = config }

// View is the newest view; callers must not change it.
func (n *Node) View() *View { return n.view.Load() }

// Send hands an event to the control goroutine. It gives up when the node ends.
func (n *Node) Send(e control.Event) {
	select {
	case n.events <- e:
	case <-n.done:
	}
}

// Query runs a function on the control goroutine and waits for it. It returns
// false if the node or the context ended first.
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

// Run drives the node until the context ends.
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
	group.Go(func() { n.readList(ctx) })
	group.Go(func() { n.appendAll(ctx) })
	for _, seed := range n.options.Seeds {
		group.Go(func() { n.keepPeer(ctx, "", seed, askEvery) })
	}
	n.reduceAll(ctx, &group)
}

func (n *Node) reduceAll(ctx context.Context, group *sync.WaitGroup) {
	ticker := time.NewTicker(tickEvery)
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
		case control.AskRecords:
			group.Go(func() { n.askRecords(ctx, effect) })
		case control.Changed:
			n.onChanged(ctx, effect, group)
		case control.Decided:
			n.logDecision(effect)
		case control.Propose:
			n.sendRank(effect.Target, NewProposalMessage(effect.Group, effect.Rank, effect.Proposal))
		default:
			n.options.HandleEffect(n.state, effect)
		}
	}
}

func (n *Node) queueAppend(a control.Append) {
	select {
	case n.appends <- a:
	default:
		// The reducer sends a record that it did not read back again.
		events.Log(n.options.Logger, events.AppendDropped, log.Fields{"stream": a.Stream})
	}
}

func (n *Node) logDecision(d control.Decided) {
	events.Log(n.options.Logger, events.Event(d.Code), log.Fields{
		"request": d.Request, "chosen": d.Chosen, "reason": d.Reason, "weighed": d.Weighed,
	})
}

func (n *Node) onChanged(ctx context.Context, c control.Changed, group *sync.WaitGroup) {
	n.publishView()
	for _, outcome := range c.Outcomes {
		events.Log(n.options.Logger, events.ChangeRead, log.Fields{
			"id": outcome.ID, "offset": outcome.Offset, "outcome": outcome.Outcome, "detail": outcome.Detail,
		})
	}
	n.updatePeers(ctx, group)
}

func (n *Node) publishView() { n.view.Store(NewView(n.state.Config())) }

// NewView copies what traffic reads of a configuration.
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

// readStream follows one stream of the log.
func (n *Node) readStream(ctx context.Context, stream platform.Stream) {
	next := platform.Offset(1)
	wait := time.Duration(0) // The first read tells at once where the stream ends.
	for ctx.Err() == nil {
		if stream == platform.ConfigStream {
			next = n.resume(ctx, next)
		}
		asked := time.Now()
		page, err := n.options.Platform.Read(ctx, stream, next, wait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			events.Log(n.options.Logger, events.LogUnreadable, log.Fields{"stream": stream, "error": err.Error()})
			sleep(ctx, readAgain)
			continue
		}
		wait = readWait
		if count := len(page.Records); count > 0 {
			next = page.Records[count-1].Offset + 1
		}
		next = max(next, page.First)
		n.Send(control.LogPage{Stream: stream, AskedAt: asked, Page: page})
		n.pauseRelayed(ctx, stream)
	}
}

// resume skips what peers already told, and goes back when records are missing.
func (n *Node) resume(ctx context.Context, next platform.Offset) platform.Offset {
	n.Query(ctx, func(s *control.State) {
		if s.Config().Ready() {
			next = s.Config().Applied() + 1
		}
	})
	return next
}

// pauseRelayed waits while others read the log for this process.
func (n *Node) pauseRelayed(ctx context.Context, stream platform.Stream) {
	if stream != platform.ConfigStream || n.reader() {
		return
	}
	until := time.Now().Add(relayedReadEvery)
	for ctx.Err() == nil && time.Now().Before(until) {
		var age time.Duration
		n.Query(ctx, func(s *control.State) { age = s.EvidenceAge(time.Now()) })
		if age > relayedEvidence {
			return // Others do not tell it in time; it must not close for that.
		}
		sleep(ctx, readAgain)
	}
}

// reader tells whether this process follows the log itself: a reader of its data
// centre, or one that the inventory does not know yet.
func (n *Node) reader() bool {
	self := n.options.Identity
	if _, known := n.View().Inventory.Instances[self.Instance]; !known {
		return true
	}
	return slices.Contains(control.Readers(&n.View().Inventory, self.DataCentre), self.Instance)
}

func (n *Node) readList(ctx context.Context) {
	for ctx.Err() == nil {
		if list, err := n.options.Platform.Instances(ctx); err == nil {
			n.Send(control.InstanceList{Instances: list})
		}
		sleep(ctx, listEvery)
	}
}

func (n *Node) appendAll(ctx context.Context) {
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

// sleep waits for a while or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
