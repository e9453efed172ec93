package target

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"chervilswitch.example/shared/control"
	"chervilswitch.example/shared/events"
	"chervilswitch.example/shared/operator"
	"chervilswitch.example/shared/peer"
	"chervilswitch.example/shared/platform"
	"chervilswitch.example/shared/settings"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
)

const (
	// drainPoll separates the looks at whether the last attempt has ended.
	drainPoll = 50 * time.Millisecond
	// deliverGrace is how long a stopping agent waits for answers to be read.
	deliverGrace = 10 * time.Second
	idleConns    = 64
)

// Agent serves the attempts for one target.
type Agent struct {
	options Options
	node    *peer.Node
	// operators is the listener for health checks and metrics.
	operators *settings.OperatorServer
	logger    log.Interface
	client    *http.Client
	// ctx ends all work at once; kill ends it.
	ctx  context.Context
	kill context.CancelFunc

	mutex   sync.Mutex
	waiters map[control.AttemptID]chan decision
	outputs map[control.AttemptID]*output
	bodies  map[control.AttemptID]*attempt
	// steps ends the order of a rank's present step.
	steps map[int]context.CancelFunc
}

// decision is what the reducer answered to a submission or a question.
type decision struct {
	verdict control.Verdict
	load    control.Load
	// reads is the attempt whose output answers the question.
	reads control.AttemptID
}

// Run serves until the context ends, then until the last attempt has ended.
func Run(ctx context.Context, options Options) error {
	logger := &log.Logger{Handler: json.New(os.Stderr), Level: log.InfoLevel}
	listener, err := net.Listen("tcp", options.Peer.String())
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	return NewAgent(options, logger).Serve(ctx, listener)
}

// NewAgent gives an agent that Serve starts.
func NewAgent(options Options, logger log.Interface) *Agent {
	ctx, kill := context.WithCancel(context.Background())
	a := &Agent{
		ctx:     ctx,
		kill:    kill,
		options: options,
		logger:  logger.WithField("instance", options.Instance),
		client:  newClient(&http.Transport{MaxIdleConnsPerHost: idleConns, DisableCompression: true}),
		waiters: make(map[control.AttemptID]chan decision),
		outputs: make(map[control.AttemptID]*output),
		bodies:  make(map[control.AttemptID]*attempt),
		steps:   make(map[int]context.CancelFunc),
	}
	a.node = peer.NewNode(a.nodeOptions())
	a.operators = a.newOperators()
	return a
}

// newClient gives a client that hands redirects on to the caller.
func newClient(transport *http.Transport) *http.Client {
	return &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport:     transport,
	}
}

// Applied is the last offset of the configuration that is in force here.
func (a *Agent) Applied() platform.Offset { return a.node.View().Applied }

// Serve answers peers on a listener until the context ends and the work is done.
func (a *Agent) Serve(ctx context.Context, listener net.Listener) error {
	hard, cancel := a.ctx, a.kill
	defer cancel()
	listener, dialTLS, err := a.options.PeerTLS.Secure(listener)
	if err != nil {
		return err
	}
	a.node.UseTLS(dialTLS)
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() { a.node.Run(hard) })
	if a.options.ReportsLoad {
		group.Go(func() { a.pollLoad(hard) })
	}
	group.Go(func() { a.serveOperators(hard) })
	group.Go(func() { a.sweep(hard) })
	events.Log(a.logger, events.Started, log.Fields{"peer": a.options.Peer, "target": a.options.Target})
	context.AfterFunc(ctx, func() {
		events.Log(a.logger, events.Stopping, nil)
		a.node.Send(control.DrainStarted{})
		a.awaitIdle(hard)
		cancel()
	})
	err = peer.Serve(hard, listener, a.servePeer)
	events.Log(a.logger, events.Stopped, nil)
	return err
}

// Kill ends the agent at once, whatever is in flight.
func (a *Agent) Kill() { a.kill() }

func (a *Agent) nodeOptions() peer.Options {
	return peer.Options{
		Identity: control.Identity{
			Instance:    a.options.Instance,
			DataCentre:  a.options.DataCentre,
			Role:        operator.RoleAgent,
			Incarnation: uint64(time.Now().UnixNano()),
			Service:     a.options.Service,
			Retention:   time.Duration(a.options.LogRetention),
		},
		Platform:     platform.NewClient(a.options.Platform, nil),
		Seeds:        a.options.Seeds,
		Streams:      a.streams(),
		HandleEffect: a.handle,
		Logger:       a.logger,
	}
}

// streams are the keys of a plain service. Model requests are idempotent and have
// none, so the agent of an engine spares the log the reading.
func (a *Agent) streams() []platform.Stream {
	if a.options.ReportsLoad {
		return nil
	}
	return []platform.Stream{platform.IntentStream(a.options.Service)}
}

// awaitIdle waits until no attempt is at work and answers have been read.
func (a *Agent) awaitIdle(ctx context.Context) {
	var idleSince time.Time
	for ctx.Err() == nil {
		running := 0
		a.node.Query(ctx, func(s *control.State) { running = s.Running() })
		switch {
		case running > 0:
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = time.Now()
		case a.delivered() || time.Since(idleSince) > deliverGrace:
			return
		}
		time.Sleep(drainPoll)
	}
}

func (a *Agent) delivered() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, o := range a.outputs {
		if !o.delivered() {
			return false
		}
	}
	return true
}

// handle does the reducer's effects; it runs on the control goroutine.
func (a *Agent) handle(s *control.State, effect control.Effect) {
	switch e := effect.(type) {
	case control.Run:
		a.run(e.Attempt)
		a.decide(e.Attempt, decision{verdict: control.Verdict{Outcome: control.OutcomeAdmitted}, load: s.Load(), reads: e.Attempt})
	case control.Join:
		a.decide(e.Attempt, decision{verdict: control.Verdict{Outcome: control.OutcomeAdmitted}, load: s.Load(), reads: e.Runs})
	case control.Refuse:
		a.decide(e.Attempt, decision{verdict: e.Verdict, load: s.Load()})
	case control.Stop:
		a.stop(e.Attempt)
	case control.RankEffect:
		a.handleRank(e.Rank, e.Output)
	}
}

func (a *Agent) decide(id control.AttemptID, d decision) {
	a.countVerdict(d.verdict)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if waiter, ok := a.waiters[id]; ok {
		delete(a.waiters, id)
		waiter <- d // The channel holds one and is used once.
	}
}

// ask sends an event about an attempt and waits for the decision on it.
func (a *Agent) ask(ctx context.Context, id control.AttemptID, e control.Event) (decision, bool) {
	waiter := make(chan decision, 1)
	a.mutex.Lock()
	old, busy := a.waiters[id]
	a.waiters[id] = waiter
	a.mutex.Unlock()
	if busy {
		close(old) // An earlier stream for the same attempt; this one replaces it.
	}
	a.node.Send(e)
	select {
	case d, ok := <-waiter:
		return d, ok
	case <-ctx.Done():
		return decision{}, false
	}
}

// sweep forgets old outputs.
func (a *Agent) sweep(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			a.sweepOnce(now)
		}
	}
}

func (a *Agent) sweepOnce(now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for id, o := range a.outputs {
		if o.expired(now) {
			delete(a.outputs, id)
		}
	}
}

func (a *Agent) stop(id control.AttemptID) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if o, ok := a.outputs[id]; ok {
		o.cancel()
	}
}
