package caller

import (
	"context"
	"encoding/json"
	"net/http"

	"chervilswitch.example/shared/control"
	"chervilswitch.example/shared/peer"
	"chervilswitch.example/shared/settings"
)

// count counts a request that ended.
func (e *Entry) count(how string, outcome control.Outcome, code control.Code) {
	e.operators.Scope.Tagged(map[string]string{"how": how, "outcome": string(outcome), "code": string(code)}).Counter("requests_total").Inc(1)
}

// newOperators gives the entry's routes for operators.
func (e *Entry) newOperators() *settings.OperatorServer {
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

func (e *Entry) serveOperators(ctx context.Context) {
	if err := e.operators.Serve(ctx, e.options.Operators); err != nil {
		e.logger.WithError(err).Error("operators")
	}
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
