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
	// maxBodyBytes bounds the bodies that are held to be sent again.
	maxBodyBytes = 4 << 20
	// idleTimeout is how long an idle connection of a caller is kept.
	idleTimeout = 2 * time.Minute
)

// Entry serves callers.
type Entry struct {
	options Options
	node    *peer.Node
	logger  log.Interface
	// operators is the listener for health checks, status and metrics.
	operators *settings.OperatorServer
	// ctx ends all work at once; kill ends it.
	ctx  context.Context
	kill context.CancelFunc

	mutex     sync.Mutex
	exchanges map[control.RequestID]*exchange
}

// Run serves until the context ends, then until the last request has ended.
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
	return NewEntry(options, logger).Serve(ctx, callers, peers)
}

// NewEntry gives an entry that Serve starts.
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
	e.operators = e.newOperators()
	return e
}

// Applied is the last offset of the configuration that is in force here.
func (e *Entry) Applied() platform.Offset { return e.node.View().Applied }

// Serve answers callers and peers until the context ends. It then tells peers
// that it leaves, serves for as long as callers may keep its address, and
// returns when the last request has ended.
func (e *Entry) Serve(ctx context.Context, callers, peers net.Listener) error {
	hard, cancel := e.ctx, e.kill
	defer cancel()
	callers, err := e.secure(callers)
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
	group.Go(func() { e.node.Run(hard) })
	group.Go(func() { e.serveOperators(hard) })
	group.Go(func() { _ = peer.Serve(hard, peers, e.servePeer) })
	events.Log(e.logger, events.Started, log.Fields{"callers": e.options.Callers, "peer": e.options.Peer})
	stopped := make(chan struct{})
	context.AfterFunc(ctx, func() {
		defer close(stopped)
		e.stop(hard, server)
	})
	stopKill := context.AfterFunc(hard, func() { _ = server.Close() })
	defer stopKill()
	if err := server.Serve(callers); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve callers: %w", err)
	}
	select {
	case <-stopped:
	case <-hard.Done():
	}
	events.Log(e.logger, events.Stopped, nil)
	return nil
}

// Kill ends the entry at once, whatever is in flight.
func (e *Entry) Kill() { e.kill() }

// stop ends the service without cutting off a request.
func (e *Entry) stop(ctx context.Context, server *http.Server) {
	events.Log(e.logger, events.Stopping, log.Fields{"serves": time.Duration(e.options.AddressKeep)})
	e.node.Send(control.DrainStarted{})
	timer := time.NewTimer(time.Duration(e.options.AddressKeep))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	_ = server.Shutdown(ctx) // It waits for requests; the context ends only after it.
}

// secure puts TLS on the callers' listener if it is set.
func (e *Entry) secure(callers net.Listener) (net.Listener, error) {
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
		HandleEffect: e.handle,
		Logger:       e.logger,
	}
}

func (e *Entry) handler() (http.Handler, error) {
	server, err := api.NewServer(&callersAPI{entry: e}, &security{entry: e},
		api.WithErrorHandler(writeDecodeError), api.WithNotFound(writeNotFound))
	if err != nil {
		return nil, fmt.Errorf("callers' API: %w", err)
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

// handle hands the reducer's effects to the exchange they concern; it runs on
// the control goroutine.
func (e *Entry) handle(_ *control.State, effect control.Effect) {
	switch order := effect.(type) {
	case control.Forward:
		e.order(order.Request, order)
	case control.Reattach:
		e.order(order.Request, order)
	case control.Fail:
		e.order(order.Request, order)
	case control.CancelAttempt:
		e.cancelAttempt(order)
	}
}

func (e *Entry) order(id control.RequestID, order control.Effect) {
	e.mutex.Lock()
	x, ok := e.exchanges[id]
	e.mutex.Unlock()
	if ok {
		x.give(order)
	}
}

// cancelAttempt tells an agent to end an attempt that another one replaces.
func (e *Entry) cancelAttempt(a control.CancelAttempt) {
	link, ok := e.node.Link(a.Target)
	if !ok {
		return // The agent ends it by itself once nobody watches.
	}
	go sendCancel(link, a.Request)
}

// sendCancel tells one agent; a lost message leaves the agent's own limit.
func sendCancel(link *peer.Link, id control.RequestID) {
	organisation, request := splitRequestID(id)
	s, err := link.Open(&peer.Open{Kind: &peer.Open_Cancel{Cancel: &peer.Cancel{Request: request, Organisation: organisation}}})
	if err == nil {
		_ = s.Close()
	}
}
