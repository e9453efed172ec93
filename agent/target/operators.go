package target

import (
	"context"
	"net"

	"chervilswitch.example/shared/control"
	"chervilswitch.example/shared/settings"
)

// newOperatorServer returns the server for health checks, metrics and profiles.
func (a *Agent) newOperatorServer() *settings.OperatorServer {
	return settings.NewOperatorServer(func(ctx context.Context) string {
		var load control.Load
		a.node.Query(ctx, func(s *control.State) { load = s.Load() })
		if load.Closed {
			return "closed"
		}
		return ""
	})
}

func (a *Agent) serveOperators(ctx context.Context, operators net.Listener) {
	if err := a.operatorServer.Serve(ctx, operators); err != nil {
		a.logger.WithError(err).Error("operator server failed")
	}
}

// countVerdict counts a verdict on an attempt by its outcome and code.
func (a *Agent) countVerdict(v control.Verdict) {
	tags := map[string]string{"outcome": string(v.Outcome), "code": string(v.Code)}
	a.operatorServer.Scope.Tagged(tags).Counter("attempts_total").Inc(1)
}
