package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"chervilswitch.example/platform"
	"chervilswitch.example/router/core"
	"chervilswitch.example/router/entries"
	"chervilswitch.example/router/planner"
	"chervilswitch.example/router/store"
	"chervilswitch.example/router/target"
	"chervilswitch.example/shared/admission"
	"chervilswitch.example/shared/events"
	"chervilswitch.example/shared/fleet"
	"chervilswitch.example/shared/peer"
	"chervilswitch.example/shared/settings"

	"github.com/apex/log"
)

const (
	// maxAddresses is how many addresses callers take.
	maxAddresses = 64
	// maxHeaderBytes bounds a caller's headers before a configuration is known.
	maxHeaderBytes = 64 << 10
	// callerIdle keeps connections for longer than callers reuse them.
	callerIdle = 90 * time.Second
	// tickInterval is how often waiting requests are looked at.
	tickInterval = 25 * time.Millisecond
	// trimInterval is how often idle connections to targets are looked at.
	trimInterval = 2 * time.Second
	// summaryInterval is how often limits and queues are logged.
	summaryInterval = 5 * time.Second
	// acceptShare is the part of the grace period in which a stopping instance
	// still takes requests: callers keep its address for a while.
	acceptShare = 0.45
	// closeMargin is kept at the end of the grace period to close connections.
	closeMargin = 300 * time.Millisecond
	// registerRetry is the pause between two tries to register.
	registerRetry = 500 * time.Millisecond
)

// Router serves callers on one entry instance.
type Router struct {
	options Options
	// current are the settings in force; listeners and names stay as they began.
	current  atomic.Pointer[Options]
	logger   log.Interface
	core     *core.Core
	entries  *entries.Membership
	pool     target.Pool
	metrics  metrics
	store    *platform.Store
	self     fleet.Instance
	stopping atomic.Bool
	// hard ends all work at once; kill ends it.
	hard context.Context
	kill context.CancelFunc
}

// Run serves until the context ends, and then until the last request has ended or
// the grace period is over.
func Run(ctx context.Context, options Options) error {
	sink := events.NewSink(os.Stdout)
	defer sink.Close()
	return NewRouter(options, events.NewLogger(sink)).Serve(ctx)
}

// NewRouter gives a router that Serve starts.
func NewRouter(options Options, logger log.Interface) *Router {
	logger = logger.WithField("instance", options.Instance)
	r := &Router{
		options: options, logger: logger, store: platform.NewStore(options.Store),
		core: core.New(core.Options{
			DataCentre: options.DataCentre, Logger: logger,
			RetryBudget: admission.RetryBudget{Ratio: options.RetryRatio, Slack: options.RetrySlack},
		}),
		self: fleet.Instance{
			Name: options.Instance, DataCentre: options.DataCentre, Region: options.Region,
			Incarnation: uint64(time.Now().UnixNano()), Callers: options.Callers, Peers: options.Peers,
		},
	}
	r.current.Store(&options)
	r.hard, r.kill = context.WithCancel(context.Background())
	r.entries = entries.NewMembership(r.hard, r.self, r.core, logger)
	return r
}

// reload takes changed settings, and keeps the old ones if the new are invalid.
func (r *Router) reload() {
	fresh, err := r.options.Reread()
	if err != nil {
		events.Log(r.logger, events.SettingsReloaded, log.Fields{"error": err.Error()})
		return
	}
	r.current.Store(&fresh)
	r.core.Tell(admission.RetryBudgetChanged{RetryBudget: admission.RetryBudget{Ratio: fresh.RetryRatio, Slack: fresh.RetrySlack}})
	events.Log(r.logger, events.SettingsReloaded, log.Fields{
		"retryRatio": fresh.RetryRatio, "retrySlack": fresh.RetrySlack,
		"gracePeriod": time.Duration(fresh.GracePeriod).String(), "addressKeep": time.Duration(fresh.AddressKeep).String(),
	})
}

// Serve answers callers until the context ends, then stops without cutting off
// requests.
func (r *Router) Serve(ctx context.Context) error {
	hard, kill := r.hard, r.kill
	ctx, stopped := context.WithCancel(ctx)
	operators := settings.NewOperatorServer(func(context.Context) string { return r.unready() })
	r.metrics = newMetrics(operators.Scope)
	var group sync.WaitGroup
	defer group.Wait()
	defer kill()
	defer stopped()
	peers, err := net.Listen("tcp", r.options.Peers.String())
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	group.Go(func() { _ = peer.Serve(hard, peers, r.servePeer) })
	group.Go(func() {
		if err := operators.Serve(hard, r.options.Operators); err != nil {
			events.Log(r.logger, events.DependencyLost, log.Fields{"dependency": "operatorsListener", "error": err.Error()})
		}
	})
	r.follow(hard, ctx, &group)
	events.Log(r.logger, events.Started, log.Fields{
		"callers": r.options.Callers, "peers": r.options.Peers, "incarnation": r.self.Incarnation,
	})
	err = r.serveCallers(ctx, &group)
	events.Log(r.logger, events.Stopped, nil)
	return err
}

// follow starts what keeps the control state current.
func (r *Router) follow(hard, soft context.Context, group *sync.WaitGroup) {
	follower := &store.Follower{
		Store: r.store, Sink: r.core, Logger: r.logger,
		OnEntryRecords: r.register,
		OnChange:       r.entries.Broadcast, IsStoreReader: r.entries.IsStoreReader,
	}
	duty := &planner.Leadership{Instance: r.options.Instance, Store: r.store, Leads: r.entries.Leads, Logger: r.logger}
	r.entries.Duty, r.entries.Unable = duty.Token, duty.StoreUnreachable
	work := &planner.Planner{View: r.core.View, SidecarPort: r.options.SidecarPort, Logger: r.logger, Leadership: duty, FencingEnforced: r.options.Fencing, Groups: r.entries.SetGroups}
	group.Go(func() { follower.Run(hard) })
	group.Go(func() { r.entries.Watch(hard) })
	group.Go(func() {
		r.entries.ContactSeeds(hard, r.options.Seeds, func() bool { return r.core.View().Configuration != nil })
	})
	group.Go(func() { duty.Run(soft, work.Run) })
	group.Go(func() { r.announce(hard, false) })
	group.Go(func() { r.tick(hard) })
	group.Go(func() { settings.Watch(hard, r.options.File, r.reload) })
}

// register takes registrations of entry instances.
func (r *Router) register(records []fleet.Record) {
	for _, record := range records {
		var i fleet.Instance
		if err := json.Unmarshal(record.Value, &i); err != nil {
			events.Log(r.logger, events.RecordUnreadable, log.Fields{"topic": record.Topic.String(), "key": record.Key, "error": err.Error()})
			continue
		}
		r.entries.Register(i)
	}
}

// announce registers this instance in the store, trying until it is done.
func (r *Router) announce(ctx context.Context, stopping bool) {
	self := r.self
	self.Stopping = stopping
	value, err := json.Marshal(self)
	if err != nil {
		return // A struct of texts and numbers always encodes.
	}
	for ctx.Err() == nil {
		if err := r.store.Put(ctx, fleet.EntryTopic, self.Name, value); err == nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(registerRetry):
		}
	}
}

func (r *Router) servePeer(ctx context.Context, first *peer.Open, stream *peer.Stream) {
	if news := first.GetEntry(); news != nil {
		r.entries.Serve(ctx, news, stream)
	}
}

// tick lets time pass until the context ends.
func (r *Router) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	trimmed, told := time.Now(), time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		r.core.Tick()
		now := time.Now()
		if now.Sub(trimmed) > trimInterval {
			trimmed = now
			r.pool.Trim(now, r.core.HasTargetAt)
		}
		if now.Sub(told) > summaryInterval {
			told = now
			for name, s := range r.core.Summaries() {
				events.Log(r.logger, events.LimitsSummary, log.Fields{
					"service": name, "targets": s.Targets, "waiting": s.Waiting, "limit": s.Limit, "gap": s.Gap.String(),
				})
			}
		}
	}
}

// serveCallers listens on the callers' addresses. When the context ends, it takes
// requests for a part of the grace period and waits for their ends in the rest.
func (r *Router) serveCallers(ctx context.Context, group *sync.WaitGroup) error {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}}
	servers := []struct {
		address netip.AddrPort
		server  *http.Server
	}{
		{r.options.Callers, r.server(r)},
		{r.options.Readiness, r.server(http.HandlerFunc(r.serveReadiness))},
		{r.options.Resolution, r.server(http.HandlerFunc(r.serveResolution))},
	}
	failed := make(chan error, len(servers))
	for _, s := range servers {
		listener, err := config.Listen(ctx, "tcp", s.address.String())
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		group.Go(func() {
			if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		})
	}
	defer func() {
		for _, s := range servers {
			_ = s.server.Close()
		}
	}()
	select {
	case err := <-failed:
		return fmt.Errorf("serve callers: %w", err)
	case <-ctx.Done():
	}
	return r.stop(servers[0].server)
}

// serverLog turns lines of the HTTP server into events.
type serverLog struct{ logger log.Interface }

func (l serverLog) Write(line []byte) (int, error) {
	events.Log(l.logger, events.RequestFailed, log.Fields{"error": string(bytes.TrimSpace(line))})
	return len(line), nil
}

func (r *Router) server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: callerIdle,
		ReadHeaderTimeout: settings.HeaderTimeout, ErrorLog: stdlog.New(serverLog{r.logger}, "", 0),
	}
}

// stop takes no new callers and lets the requests in flight end.
func (r *Router) stop(callers *http.Server) error {
	grace := time.Duration(r.current.Load().GracePeriod)
	began := time.Now()
	events.Log(r.logger, events.Stopping, log.Fields{"grace": grace.String()})
	r.stopping.Store(true)
	r.entries.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), grace-closeMargin)
	defer cancel()
	go r.announce(ctx, true)
	accept := time.NewTimer(time.Duration(acceptShare * float64(grace)))
	defer accept.Stop()
	<-accept.C
	if err := callers.Shutdown(ctx); err != nil {
		events.Log(r.logger, events.RequestFailed, log.Fields{"error": err.Error(), "after": time.Since(began).String()})
	}
	return nil
}
