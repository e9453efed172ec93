package settings

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/pprof"
	"net/netip"
	"time"

	promclient "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportEvery is how often counters reach what operators scrape.
const reportEvery = time.Second

// OperatorServer is a daemon's listener for health checks, metrics and profiles.
type OperatorServer struct {
	// Scope makes the daemon's metrics.
	Scope tally.Scope
	// Mux takes more routes until Serve begins.
	Mux    *http.ServeMux
	closer io.Closer
}

// NewOperatorServer gives a listener's routes; ready says why no new work is taken, or
// is empty.
func NewOperatorServer(ready func(context.Context) string) *OperatorServer {
	registry := promclient.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "chervil", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportEvery)
	o := &OperatorServer{Scope: scope, Mux: http.NewServeMux(), closer: closer}
	o.Mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	o.Mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, r *http.Request) {
		if reason := ready(r.Context()); reason != "" {
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

// Serve answers on an address until the context ends.
func (o *OperatorServer) Serve(ctx context.Context, address netip.AddrPort) error {
	server := &http.Server{Addr: address.String(), Handler: o.Mux, ReadHeaderTimeout: HeaderTimeout}
	stop := context.AfterFunc(ctx, func() {
		_ = server.Close()
		_ = o.closer.Close()
	})
	defer stop()
	if err := server.ListenAndServe(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("operators' listener: %w", err)
	}
	return nil
}
