package caller

import (
	"context"
	"encoding/json"
	"net"
	"net/http"

	"chervilswitch.example/shared/control"
	"chervilswitch.example/shared/peer"
	"chervilswitch.example/shared/settings"
)

// count increments requests_total for a request that has ended.
func (e *Entry) count(result string, outcome control.Outcome, code control.Code) {
	e.operatorServer.Scope.Tagged(map[string]string{"how": result, "outcome": string(outcome), "code": string(code)}).Counter("requests_total").Inc(1)
}

// newOperatorServer returns the server for operators. Its readiness check fails
// while the entry is draining or its gate is closed.
func (e *Entry) newOperatorServer() *settings.OperatorServer {
	o := settings.NewOperatorServer(func(ctx context.Context) string {
		status := e.status(ctx)
		switch {
		case status.Draining:
			return "stopping"
		case !control.GateState(status.Gate).Open():
			return status.Gate
		}
		return ""
	})
	o.Mux.HandleFunc("GET /status", e.serveStatus)
	return o
}

func (e *Entry) serveOperators(ctx context.Context, operators net.Listener) {
	if err := e.operatorServer.Serve(ctx, operators); err != nil {
		e.logger.WithError(err).Error("operator server failed")
	}
}

func (e *Entry) serveStatus(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(e.status(r.Context())) // On an error, the operator gets a truncated response.
}

func (e *Entry) status(ctx context.Context) peer.Status {
	var status peer.Status
	e.node.Query(ctx, func(s *control.State) {
		self := s.Self()
		status = peer.Status{
			Instance: self.Instance, DataCentre: self.DataCentre, Gate: string(s.Gate()),
			Applied: s.Config().Applied(), Latest: s.Config().Latest(), Draining: s.Draining(),
		}
		for _, p := range s.Peers() {
			status.Peers = append(status.Peers, peer.PeerStatus{
				Instance: p.Instance, DataCentre: p.DataCentre, Role: string(p.Role), Applied: p.Applied,
				Running: p.Load.Running, Limit: p.Load.Limit, Cold: p.Load.Cold, Closed: p.Load.Closed,
			})
		}
	})
	return status
}
