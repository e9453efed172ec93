package settings

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/pprof"
	"net/netip"
	"time"

	"chervilswitch.example/shared/intake"

	promclient "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// metricsInterval is the interval at which counters reach the scraped metrics.
const metricsInterval = time.Second

const (
	// operatorWriteTimeout leaves room for a profile, which takes 30 s by default.
	operatorWriteTimeout = time.Minute
	// operatorReadTimeout bounds a request with its body, which no route reads. It is not
	// less than the time of a response, since its end also ends the request.
	operatorReadTimeout    = operatorWriteTimeout
	operatorIdleTimeout    = time.Minute
	maxOperatorHeaderBytes = 16 << 10
)

// OperatorServer serves a daemon's health checks, metrics and profiles over HTTP.
type OperatorServer struct {
	// Scope creates the daemon's metrics.
	Scope tally.Scope
	// Mux holds the routes. Callers may add routes before Serve.
	Mux *http.ServeMux
	// Intake bounds the connections; nil sets no bound.
	Intake *intake.Intake
	closer io.Closer
}

// NewOperatorServer returns a server with routes for health checks, metrics and
// profiles. unreadyReason returns the reason why the daemon accepts no new requests, or
// an empty string if it accepts them.
func NewOperatorServer(unreadyReason func(context.Context) string) *OperatorServer {
	registry := promclient.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "chervil", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, metricsInterval)
	o := &OperatorServer{Scope: scope, Mux: http.NewServeMux(), closer: closer}
	o.Mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	o.Mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, r *http.Request) {
		if reason := unreadyReason(r.Context()); reason != "" {
			http.Error(w, "takes no new work: "+reason, http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	o.Mux.Handle("GET /metrics", reporter.HTTPHandler())
	o.Mux.HandleFunc("/debug/pprof/", pprof.Index)
	o.Mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	return o
}

// ListenAndServe listens on an address and serves until the context ends.
func (o *OperatorServer) ListenAndServe(ctx context.Context, address netip.AddrPort) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	return o.Serve(ctx, listener)
}

// Serve serves on a listener until the context ends, and closes it.
func (o *OperatorServer) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler: o.Mux, MaxHeaderBytes: maxOperatorHeaderBytes,
		ReadTimeout: operatorReadTimeout, WriteTimeout: operatorWriteTimeout, IdleTimeout: operatorIdleTimeout,
		ReadHeaderTimeout: HeaderTimeout,
	}
	if o.Intake != nil {
		o.Intake.Attach(server)
	}
	stop := context.AfterFunc(ctx, func() {
		_ = server.Close()
		_ = o.closer.Close()
	})
	defer stop()
	if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("operator server: %w", err)
	}
	return nil
}
