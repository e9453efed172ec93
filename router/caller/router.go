package caller

import (
	"bytes"
	"context"
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
	"chervilswitch.example/shared/intake"
	"chervilswitch.example/shared/peer"
	"chervilswitch.example/shared/settings"

	"github.com/apex/log"
)

const (
	// maxAddresses is the largest number of addresses that callers accept.
	maxAddresses = 64
	// maxHeaderBytes bounds the headers of a request. It is fixed, since headers are
	// read before a configuration is known.
	maxHeaderBytes = 64 << 10
	// callerIdleTimeout exceeds the time for which callers reuse an idle connection.
	callerIdleTimeout = 90 * time.Second
	// answerTimeout is the time to write a response of the router itself. Responses of
	// targets have the deadline of their request.
	answerTimeout = 10 * time.Second
	// tickInterval is how often waiting requests are checked.
	tickInterval = 25 * time.Millisecond
	// trimInterval is how often expired idle connections to targets are closed.
	trimInterval = 2 * time.Second
	// summaryInterval is how often limits and queues are logged.
	summaryInterval = 5 * time.Second
)

// Router serves callers on one entry instance.
type Router struct {
	options Options
	// current holds the settings in force after reloads; the listen addresses and names
	// in options do not change.
	current atomic.Pointer[Options]
	logger  log.Interface
	core    *core.Core
	entries *entries.Membership
	pool    target.Pool
	metrics metrics
	store   *platform.Store
	self    fleet.Instance
	crashes crashStore
	// callers bounds what callers hold, and cuts limits the log lines about it.
	callers *intake.Intake
	cuts    intake.Lines
	// stop is the planned stop that has begun, or nil.
	stop atomic.Pointer[plannedStop]
	// requests bounds all requests of callers; endRequests ends those in flight.
	requests    context.Context
	endRequests context.CancelFunc
	// lifetime bounds all work, also that of the grace period; cancelLifetime ends it.
	lifetime       context.Context
	cancelLifetime context.CancelFunc
}

// Run serves until the context ends, and then until the last request has finished or
// the grace period is over. Errors are those of Router.Serve.
func Run(ctx context.Context, options Options) error {
	sink := events.NewSink(os.Stdout)
	defer sink.Close()
	options.resources().LimitHeap()
	return NewRouter(options, events.NewLogger(sink)).Serve(ctx)
}

// NewRouter returns a router that Serve starts.
func NewRouter(options Options, logger log.Interface) *Router {
	logger = logger.WithField("instance", options.Instance)
	var r *Router
	r = &Router{
		options: options, logger: logger, store: platform.NewStore(options.Store), crashes: newCrashStore(),
		core: core.New(core.Options{
			Instance: options.Instance, DataCentre: options.DataCentre, Logger: logger,
			RetryBudget:        admission.RetryBudget{Ratio: options.RetryRatio, Slack: options.RetrySlack},
			QuarantineChanged:  func(c admission.QuarantineChanged) { r.quarantineChanged(c) },
			TargetLimitChanged: func() { r.entries.Broadcast() },
		}),
		self: fleet.Instance{
			Name: options.Instance, DataCentre: options.DataCentre, Region: options.Region,
			Incarnation: uint64(time.Now().UnixNano()), Callers: options.Callers, Peers: options.Peers,
		},
	}
	r.callers = options.callerIntake()
	r.callers.Report = r.reportCut("callers")
	r.current.Store(&options)
	r.core.HandleEvent(admission.HedgeLimit{Share: options.HedgeShare})
	r.lifetime, r.cancelLifetime = context.WithCancel(context.Background())
	r.requests, r.endRequests = context.WithCancel(r.lifetime)
	r.entries = entries.NewMembership(r.lifetime, r.self, r.core, logger)
	return r
}

// reload applies changed settings; if they are invalid, the old ones stay in force.
func (r *Router) reload() {
	fresh, err := r.options.Reread()
	if err != nil {
		events.Log(r.logger, events.SettingsReloaded, log.Fields{"error": err.Error()})
		return
	}
	r.current.Store(&fresh)
	r.core.HandleEvent(admission.RetryBudgetChanged{RetryBudget: admission.RetryBudget{Ratio: fresh.RetryRatio, Slack: fresh.RetrySlack}})
	r.core.HandleEvent(admission.HedgeLimit{Share: fresh.HedgeShare})
	events.Log(r.logger, events.SettingsReloaded, log.Fields{
		"retryRatio": fresh.RetryRatio, "retrySlack": fresh.RetrySlack, "hedgeShare": fresh.HedgeShare,
		"gracePeriod": time.Duration(fresh.GracePeriod).String(), "addressKeep": time.Duration(fresh.AddressKeep).String(),
	})
}

// Serve serves callers until the context ends, and then completes the requests in flight
// within the grace period. It returns an error if it cannot listen for peers, or if the
// listener for callers, readiness or resolution fails.
func (r *Router) Serve(ctx context.Context) error {
	lifetime, cancelLifetime := r.lifetime, r.cancelLifetime
	ctx, cancelServing := context.WithCancel(ctx)
	resources := r.options.resources()
	operators := settings.NewOperatorServer(func(context.Context) string { return r.unreadyReason() })
	operators.Intake = &intake.Intake{MaxConnections: resources.CheckConnections(), CloseActive: true, Report: r.reportCut("operators")}
	r.metrics = newMetrics(operators.Scope)
	var goroutines sync.WaitGroup
	defer goroutines.Wait()
	defer cancelLifetime()
	defer cancelServing()
	peers, err := net.Listen("tcp", r.options.Peers.String())
	if err != nil {
		return fmt.Errorf("listen on peers address: %w", err)
	}
	limits := peer.Limits{Links: resources.NewLinks(), Bytes: resources.NewLinkBytes(), Report: r.reportLinkCut}
	goroutines.Go(func() { _ = limits.Serve(lifetime, peers, r.servePeer) })
	goroutines.Go(func() {
		if err := operators.ListenAndServe(lifetime, r.options.Operators); err != nil {
			events.Log(r.logger, events.DependencyLost, log.Fields{"dependency": "operatorsListener", "error": err.Error()})
		}
	})
	r.startTasks(lifetime, ctx, &goroutines)
	events.Log(r.logger, events.Started, log.Fields{
		"callers": r.options.Callers, "peers": r.options.Peers, "incarnation": r.self.Incarnation,
	})
	err = r.serveCallers(ctx, &goroutines)
	events.Log(r.logger, events.Stopped, nil)
	return err
}

// startTasks starts the background tasks. The planner stops when the context serving
// ends, all other tasks when lifetime ends.
func (r *Router) startTasks(lifetime, serving context.Context, goroutines *sync.WaitGroup) {
	follower := &store.Follower{
		Store: r.store, Sink: r.core, Logger: r.logger,
		OnEntryRecords: r.registerEntries, OnEntriesRestored: r.rewriteEntryRecords,
		OnChange: r.entries.ForwardRecords, Pace: r.storePace, Coverage: r.storeCoverage,
	}
	leadership := &planner.Leadership{Instance: r.options.Instance, Store: r.store, Leads: r.entries.Leads, Logger: r.logger}
	r.entries.Duty, r.entries.Unable = leadership.Token, leadership.StoreUnreachable
	groupPlanner := &planner.Planner{View: r.core.View, SidecarPort: r.options.SidecarPort, Logger: r.logger, Leadership: leadership, FencingEnforced: r.options.Fencing, GroupReport: r.entries.SetGroupReport}
	goroutines.Go(func() { follower.Run(lifetime) })
	goroutines.Go(func() { r.entries.Watch(lifetime) })
	goroutines.Go(func() {
		r.entries.ContactSeeds(lifetime, r.options.Seeds, func() bool { return r.core.View().Configuration != nil })
	})
	goroutines.Go(func() { leadership.Run(serving, groupPlanner.Run) })
	goroutines.Go(func() { r.publishRegistration(lifetime, false) })
	goroutines.Go(func() { r.keepCrashes(lifetime) })
	goroutines.Go(func() { r.pruneRegistrations(lifetime, leadership.Token) })
	goroutines.Go(func() { r.tickLoop(lifetime) })
	goroutines.Go(func() { settings.Watch(lifetime, r.options.File, r.reload) })
}

// storePace returns how often this instance reads the store.
func (r *Router) storePace() store.Pace {
	switch role, small := r.entries.ReaderRole(); {
	case role == entries.Reader && small:
		return store.ReaderPace
	case role == entries.Reader:
		return store.LargeReaderPace
	case small || role >= entries.Uncovered:
		return store.NonReaderPace
	default:
		return store.CheckerPace
	}
}

// storeCoverage returns what this instance knows of the store from others.
func (r *Router) storeCoverage() store.Coverage {
	end, at := r.entries.Held(fleet.TargetTopic)
	return store.Coverage{Targets: end, TargetsAt: at, ConfirmedAt: r.core.ConfirmedAt()}
}

// servePeer handles a stream that another entry instance has opened.
func (r *Router) servePeer(ctx context.Context, first *peer.Open, stream *peer.Stream) {
	if state := first.GetEntry(); state != nil {
		r.entries.Serve(ctx, state, stream)
	}
}

// tickLoop executes the periodic tasks until the context ends: deadlines of waiting
// requests, idle connections and summaries.
func (r *Router) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastTrim, lastSummary := time.Now(), time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		r.core.Tick()
		now := time.Now()
		if now.Sub(lastTrim) > trimInterval {
			lastTrim = now
			r.pool.Trim(now, r.core.HasTargetAt)
		}
		if now.Sub(lastSummary) > summaryInterval {
			lastSummary = now
			for name, s := range r.core.Summaries() {
				events.Log(r.logger, events.LimitsSummary, log.Fields{
					"service": name, "targets": s.Targets, "waiting": s.Waiting, "limit": s.Limit, "gap": s.Gap.String(),
					"pressure": s.Pressure, "chance": s.Chance, "admitted": s.Admitted, "shares": s.Shares,
				})
			}
		}
	}
}

// serveCallers listens on the addresses for callers, readiness and resolution. When the
// context ends, it accepts requests for a part of the grace period and waits in the rest
// for them to finish.
func (r *Router) serveCallers(ctx context.Context, goroutines *sync.WaitGroup) error {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}}
	resources := r.options.resources()
	servers := []struct {
		address netip.AddrPort
		server  *http.Server
	}{
		{r.options.Callers, r.server(r, r.callers)},
		{r.options.Readiness, r.queryServer(r.serveReadiness, "readiness", resources.CheckConnections())},
		{r.options.Resolution, r.queryServer(r.serveResolution, "resolution", resources.QueryConnections())},
	}
	failed := make(chan error, len(servers))
	for _, s := range servers {
		listener, err := config.Listen(ctx, "tcp", s.address.String())
		if err != nil {
			return fmt.Errorf("listen on HTTP address: %w", err)
		}
		goroutines.Go(func() {
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
	return r.shutdown(servers[0].server)
}

// serverLog logs the HTTP server's error lines as events.
type serverLog struct{ logger log.Interface }

func (l serverLog) Write(line []byte) (int, error) {
	events.Log(l.logger, events.RequestFailed, log.Fields{"error": string(bytes.TrimSpace(line))})
	return len(line), nil
}

func (r *Router) server(handler http.Handler, clients *intake.Intake) *http.Server {
	server := &http.Server{
		Handler: handler, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: callerIdleTimeout, WriteTimeout: answerTimeout,
		ReadHeaderTimeout: settings.HeaderTimeout, ErrorLog: stdlog.New(serverLog{r.logger}, "", 0),
	}
	clients.Attach(server)
	return server
}

// queryServer returns a server for short queries without a body.
func (r *Router) queryServer(handler http.HandlerFunc, name string, connections int) *http.Server {
	server := r.server(handler, &intake.Intake{MaxConnections: connections, CloseActive: true, Report: r.reportCut(name)})
	server.ReadTimeout = settings.HeaderTimeout
	return server
}
