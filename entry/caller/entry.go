package caller

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"chervilswitch.example/entry/api"
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
	maxHeaderBytes = 64 << 10
	// maxBodyBytes limits the body of a model request, which stays in memory so
	// that another attempt can send it.
	maxBodyBytes = 4 << 20
	// idleTimeout closes a caller's keep-alive connection that has no requests.
	idleTimeout = 2 * time.Minute
)

// Entry accepts requests from callers and forwards them to targets.
type Entry struct {
	options Options
	node    *peer.Node
	logger  log.Interface
	// operatorServer serves health checks, status and metrics.
	operatorServer *settings.OperatorServer
	// ctx bounds all of the entry's work; kill cancels it.
	ctx  context.Context
	kill context.CancelFunc

	mutex     sync.Mutex
	exchanges map[control.RequestID]*exchange
}

// Run listens on the configured addresses and serves until the context ends and
// the last request has completed.
func Run(ctx context.Context, options Options) error {
	logger := &log.Logger{Handler: json.New(os.Stderr), Level: log.InfoLevel}
	callers, err := net.Listen("tcp", options.Callers.String())
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	peers, err := net.Listen("tcp", options.Peer.String())
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	operators, err := net.Listen("tcp", options.Operators.String())
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	return NewEntry(options, logger).Serve(ctx, callers, peers, operators)
}

// NewEntry returns an entry that starts to work when Serve is called.
func NewEntry(options Options, logger log.Interface) *Entry {
	ctx, kill := context.WithCancel(context.Background())
	e := &Entry{
		ctx:       ctx,
		kill:      kill,
		options:   options,
		logger:    logger.WithField("instance", options.Instance),
		exchanges: make(map[control.RequestID]*exchange),
	}
	e.node = peer.NewNode(e.nodeOptions())
	e.operatorServer = e.newOperatorServer()
	return e
}

// Applied returns the offset of the last configuration record that this entry applied.
func (e *Entry) Applied() platform.Offset { return e.node.View().Applied }

// Serve handles callers, peers and operators until the context ends. It then reports to peers
// that it is draining, continues to serve for Options.AddressKeep, and returns when
// the last request has completed.
func (e *Entry) Serve(ctx context.Context, callers, peers, operators net.Listener) error {
	workCtx, cancel := e.ctx, e.kill
	defer cancel()
	callers, err := e.withTLS(callers)
	if err != nil {
		return err
	}
	peers, dialTLS, err := e.options.PeerTLS.Secure(peers)
	if err != nil {
		return err
	}
	e.node.UseTLS(dialTLS)
	handler, err := e.handler()
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           handler,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: settings.HeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() { e.node.Run(workCtx) })
	group.Go(func() { e.serveOperators(workCtx, operators) })
	group.Go(func() { _ = peer.Serve(workCtx, peers, e.servePeer) })
	events.Log(e.logger, events.Started, log.Fields{"callers": e.options.Callers, "peer": e.options.Peer})
	drained := make(chan struct{})
	context.AfterFunc(ctx, func() {
		defer close(drained)
		e.shutdown(workCtx, server)
	})
	detach := context.AfterFunc(workCtx, func() { _ = server.Close() })
	defer detach()
	if err := server.Serve(callers); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve callers: %w", err)
	}
	select {
	case <-drained:
	case <-workCtx.Done():
	}
	events.Log(e.logger, events.Stopped, nil)
	return nil
}

// Kill aborts the entry at once, including the requests in flight.
func (e *Entry) Kill() { e.kill() }

// shutdown drains the entry: it serves for Options.AddressKeep, then closes the
// server once the requests in flight have completed.
func (e *Entry) shutdown(ctx context.Context, server *http.Server) {
	events.Log(e.logger, events.Stopping, log.Fields{"serves": time.Duration(e.options.AddressKeep)})
	e.node.Send(control.DrainStarted{})
	timer := time.NewTimer(time.Duration(e.options.AddressKeep))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	_ = server.Shutdown(ctx) // Waits for the requests in flight unless Kill cancels ctx.
}

// withTLS wraps the callers' listener in TLS if CallersTLS is set.
func (e *Entry) withTLS(callers net.Listener) (net.Listener, error) {
	files := e.options.CallersTLS
	if files == nil {
		return callers, nil
	}
	server, err := files.Server()
	if err != nil {
		return nil, err
	}
	return tls.NewListener(callers, server), nil
}

func (e *Entry) nodeOptions() peer.Options {
	return peer.Options{
		Identity: control.Identity{
			Instance:    e.options.Instance,
			DataCentre:  e.options.DataCentre,
			Role:        operator.RoleEntry,
			Incarnation: uint64(time.Now().UnixNano()),
			Retention:   time.Duration(e.options.LogRetention),
		},
		Platform:     platform.NewClient(e.options.Platform, nil),
		Seeds:        e.options.Seeds,
		HandleEffect: e.handleEffect,
		Logger:       e.logger,
	}
}

func (e *Entry) handler() (http.Handler, error) {
	server, err := api.NewServer(&callersAPI{entry: e}, &security{entry: e},
		api.WithErrorHandler(writeDecodeError), api.WithNotFound(writeNotFound))
	if err != nil {
		return nil, fmt.Errorf("create the callers' API server: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/", http.MaxBytesHandler(flushEvents(server), maxBodyBytes))
	mux.HandleFunc("/services/{service}/", e.servePlain)
	mux.HandleFunc("/", writeNotFound)
	return mux, nil
}

func (e *Entry) servePeer(ctx context.Context, first *peer.Open, s *peer.Stream) {
	e.node.HandleStream(ctx, first, s)
}

// handleEffect executes the reducer's effects that concern callers' requests. It runs on
// the control goroutine and must not block.
func (e *Entry) handleEffect(_ *control.State, effect control.Effect) {
	switch typed := effect.(type) {
	case control.Forward:
		e.dispatch(typed.Request, typed)
	case control.Reattach:
		e.dispatch(typed.Request, typed)
	case control.Fail:
		e.dispatch(typed.Request, typed)
	case control.CancelAttempt:
		e.cancelAttempt(typed)
	}
}

// dispatch passes an effect to the exchange of a request, if it is still running.
func (e *Entry) dispatch(id control.RequestID, effect control.Effect) {
	e.mutex.Lock()
	x, ok := e.exchanges[id]
	e.mutex.Unlock()
	if ok {
		x.enqueue(effect)
	}
}

// cancelAttempt cancels an attempt at its agent after another attempt replaced it.
func (e *Entry) cancelAttempt(a control.CancelAttempt) {
	link, ok := e.node.Link(a.Target)
	if !ok {
		return // The agent stops an idempotent attempt that has had no reader for a while.
	}
	go sendCancel(link, a.Request)
}

// sendCancel sends a cancellation to one agent. Delivery is best effort: the agent
// stops an idempotent attempt by itself when it has had no reader for a while.
func sendCancel(link *peer.Link, id control.RequestID) {
	organisation, request := splitRequestID(id)
	s, err := link.Open(&peer.Open{Kind: &peer.Open_Cancel{Cancel: &peer.Cancel{Request: request, Organisation: organisation}}})
	if err == nil {
		_ = s.Close()
	}
}
