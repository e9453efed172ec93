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
	"chervilswitch.example/shared/http1"
	"chervilswitch.example/shared/operator"
	"chervilswitch.example/shared/peer"
	"chervilswitch.example/shared/platform"
	"chervilswitch.example/shared/settings"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
)

const (
	// drainPollInterval separates the checks for running attempts during a drain.
	drainPollInterval = 50 * time.Millisecond
	// deliveryTimeout bounds how long a stopping agent waits until the remaining
	// responses are sent.
	deliveryTimeout = 10 * time.Second
	maxIdleConns    = 64
)

// Agent admits the attempts for one target, forwards them and sends the responses.
type Agent struct {
	options Options
	node    *peer.Node
	// operatorServer serves health checks and metrics.
	operatorServer *settings.OperatorServer
	logger         log.Interface
	client         *http.Client
	// ctx bounds all of the agent's work; kill cancels it.
	ctx  context.Context
	kill context.CancelFunc

	mutex   sync.Mutex
	waiters map[control.AttemptID]chan decision
	outputs map[control.AttemptID]*output
	pending map[control.AttemptID]*pendingAttempt
	// stepCancels holds, by rank, the function that cancels the command for the rank's
	// current step.
	stepCancels map[int]context.CancelFunc
}

// decision is the reducer's response to a submitted or attached attempt.
type decision struct {
	verdict control.Verdict
	load    control.Load
	// outputID is the attempt whose output the caller receives; empty if none.
	outputID control.AttemptID
}

// Run listens on the peer address and runs an agent as described at Agent.Serve.
func Run(ctx context.Context, options Options) error {
	logger := &log.Logger{Handler: json.New(os.Stderr), Level: log.InfoLevel}
	listener, err := net.Listen("tcp", options.Peer.String())
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	operators, err := net.Listen("tcp", options.Operators.String())
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	return NewAgent(options, logger).Serve(ctx, listener, operators)
}

// NewAgent returns an agent that is started by Serve.
func NewAgent(options Options, logger log.Interface) *Agent {
	ctx, kill := context.WithCancel(context.Background())
	a := &Agent{
		ctx:         ctx,
		kill:        kill,
		options:     options,
		logger:      logger.WithField("instance", options.Instance),
		client:      newClient(&http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes}),
		waiters:     make(map[control.AttemptID]chan decision),
		outputs:     make(map[control.AttemptID]*output),
		pending:     make(map[control.AttemptID]*pendingAttempt),
		stepCancels: make(map[int]context.CancelFunc),
	}
	a.node = peer.NewNode(a.nodeOptions())
	a.operatorServer = a.newOperatorServer()
	return a
}

// newClient returns a client that returns redirects instead of following them.
func newClient(transport *http.Transport) *http.Client {
	return &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport:     http1.NewTransport(transport, &net.Dialer{}),
	}
}

// Applied returns the offset of the last configuration record that was applied.
func (a *Agent) Applied() platform.Offset { return a.node.View().Applied }

// Serve serves peers and operators on their listeners until the context ends, and then until the
// remaining attempts have ended and their responses are delivered, which it awaits for
// at most deliveryTimeout.
func (a *Agent) Serve(ctx context.Context, listener, operators net.Listener) error {
	workCtx, cancel := a.ctx, a.kill
	defer cancel()
	listener, dialTLS, err := a.options.PeerTLS.Secure(listener)
	if err != nil {
		return err
	}
	a.node.UseTLS(dialTLS)
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() { a.node.Run(workCtx) })
	if a.options.ReportsLoad {
		group.Go(func() { a.pollLoad(workCtx) })
	}
	group.Go(func() { a.serveOperators(workCtx, operators) })
	group.Go(func() { a.sweepOutputs(workCtx) })
	events.Log(a.logger, events.Started, log.Fields{"peer": a.options.Peer, "target": a.options.Target})
	context.AfterFunc(ctx, func() {
		events.Log(a.logger, events.Stopping, nil)
		a.node.Send(control.DrainStarted{})
		a.awaitIdle(workCtx)
		cancel()
	})
	err = peer.Serve(workCtx, listener, a.servePeer)
	events.Log(a.logger, events.Stopped, nil)
	return err
}

// Kill stops the agent immediately and cancels all attempts.
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
		HandleEffect: a.handleEffect,
		Logger:       a.logger,
	}
}

// streams returns the log's streams that the agent reads besides the configuration:
// the idempotency keys of a plain service. Requests to models are idempotent and use
// no keys, so the agent of an engine does not put the load of reading on the log.
func (a *Agent) streams() []platform.Stream {
	if a.options.ReportsLoad {
		return nil
	}
	return []platform.Stream{platform.IntentStream(a.options.Service)}
}

// awaitIdle waits until no attempt is running, and then for at most deliveryTimeout
// until all responses are delivered. It returns early if the context ends.
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
		case a.delivered() || time.Since(idleSince) > deliveryTimeout:
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// delivered reports whether all outputs are delivered.
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

// handleEffect executes the reducer's effects. It runs on the control goroutine.
func (a *Agent) handleEffect(s *control.State, effect control.Effect) {
	switch e := effect.(type) {
	case control.Run:
		a.startAttempt(e.Attempt)
		a.deliverDecision(e.Attempt, decision{verdict: control.Verdict{Outcome: control.OutcomeAdmitted}, load: s.Load(), outputID: e.Attempt})
	case control.Join:
		a.deliverDecision(e.Attempt, decision{verdict: control.Verdict{Outcome: control.OutcomeAdmitted}, load: s.Load(), outputID: e.Runs})
	case control.Refuse:
		a.deliverDecision(e.Attempt, decision{verdict: e.Verdict, load: s.Load()})
	case control.Stop:
		a.cancelAttempt(e.Attempt)
	case control.RankEffect:
		a.handleRankOutput(e.Rank, e.Output)
	}
}

// deliverDecision counts a decision and sends it to the stream that waits for it.
func (a *Agent) deliverDecision(id control.AttemptID, d decision) {
	a.countVerdict(d.verdict)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if waiter, ok := a.waiters[id]; ok {
		delete(a.waiters, id)
		waiter <- d // Does not block: one decision is sent, and the buffer holds one.
	}
}

// requestDecision sends an event about an attempt to the reducer and waits for the
// decision. It returns false if the context ends or a newer stream requests a decision
// on the same attempt.
func (a *Agent) requestDecision(ctx context.Context, id control.AttemptID, e control.Event) (decision, bool) {
	waiter := make(chan decision, 1)
	a.mutex.Lock()
	old, busy := a.waiters[id]
	a.waiters[id] = waiter
	a.mutex.Unlock()
	if busy {
		close(old) // This stream replaces an earlier one for the same attempt.
	}
	a.node.Send(e)
	select {
	case d, ok := <-waiter:
		return d, ok
	case <-ctx.Done():
		return decision{}, false
	}
}

// sweepOutputs removes expired outputs each second until the context ends.
func (a *Agent) sweepOutputs(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			a.removeExpired(now)
		}
	}
}

func (a *Agent) removeExpired(now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for id, o := range a.outputs {
		if o.expired(now) {
			delete(a.outputs, id)
		}
	}
}

// cancelAttempt cancels the target's work for an attempt.
func (a *Agent) cancelAttempt(id control.AttemptID) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if o, ok := a.outputs[id]; ok {
		o.cancel()
	}
}
