package target

import (
	"context"

	"chervilswitch.example/shared/control"
	"chervilswitch.example/shared/settings"
)

// newOperators gives the agent's routes for operators.
func (a *Agent) newOperators() *settings.OperatorServer {
	return settings.NewOperatorServer(func(ctx context.Context) string {
		var load control.Load
		a.node.Query(ctx, func(s *control.State) { load = s.Load() })
		if load.Closed {
			return "closed"
		}
		return ""
	})
}

func (a *Agent) serveOperators(ctx context.Context) {
	if err := a.operators.Serve(ctx, a.options.Operators); err != nil {
		a.logger.WithError(err).Error("operators")
	}
}

// countVerdict counts an answer to an attempt.
func (a *Agent) countVerdict(v control.Verdict) {
	tags := map[string]string{"outcome": string(v.Outcome), "code": string(v.Code)}
	a.operators.Scope.Tagged(tags).Counter("attempts_total").Inc(1)
}
