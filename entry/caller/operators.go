package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/pprof"
	"time"

	"chervilswitch.example/shared/control"
	"chervilswitch.example/shared/events"
	"chervilswitch.example/shared/peer"
	"chervilswitch.example/shared/settings"

	promclient "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const reportEvery = time.Second

// metrics are the entry's counters.
type metrics struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
}

func newMetrics() *metrics {
	registry := promclient.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "chervil", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportEvery)
	return &metrics{scope: scope, closer: closer, reporter: reporter}
}

// count counts a request that ended.
func (m *metrics) count(how string, outcome control.Outcome, code control.Code) {
	m.scope.Tagged(map[string]string{"how": how, "outcome": string(outcome), "code": string(code)}).Counter("requests_total").Inc(1)
}

// serveOperators answers health checks, status, metrics and profiles.
func (e *Entry) serveOperators(ctx context.Context) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", e.serveReady)
	mux.HandleFunc("GET /status", e.serveStatus)
	mux.Handle("GET /metrics", e.metrics.reporter.HTTPHandler())
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	server := &http.Server{Addr: e.options.Operators.String(), Handler: mux, ReadHeaderTimeout: settings.HeaderTimeout}
	stop := context.AfterFunc(ctx, func() {
		_ = server.Close()
		_ = e.metrics.closer.Close()
	})
	defer stop()
	if err := server.ListenAndServe(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		e.logger.WithError(err).WithField("event", int(events.Stopped)).Error("operators' listener")
	}
}

func (e *Entry) serveReady(w http.ResponseWriter, r *http.Request) {
	status := e.status(r.Context())
	if !control.GateState(status.Gate).Open() || status.Draining {
		http.Error(w, "takes no new work: "+status.Gate, http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

func (e *Entry) serveStatus(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(e.status(r.Context())) // The operator sees a cut-off answer.
}

func (e *Entry) status(ctx context.Context) peer.Status {
	var status peer.Status
	e.node.Query(ctx, func(s *control.State) {
		self := s.Self()
		status = peer.Status{
			Instance: self.Instance, DataCentre: self.DataCentre, Gate: string(s.Gate()),
			Applied: s.Config().Applied(), Latest: s.Config().Latest(), Draining: s.Draining(),
		}
		for _, b := range s.Peers() {
			status.Peers = append(status.Peers, peer.PeerStatus{
				Instance: b.Instance, DataCentre: b.DataCentre, Role: string(b.Role), Applied: b.Applied,
				Running: b.Load.Running, Limit: b.Load.Limit, Cold: b.Load.Cold, Closed: b.Load.Closed,
			})
		}
	})
	return status
}
