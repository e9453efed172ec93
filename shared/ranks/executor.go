package ranks

import (
	"context"
	"errors"
	"time"

	"chervilswitch.example/shared/wait"
)

const (
	// responseTimeout bounds each request to the engine; engines answer within a few
	// milliseconds.
	responseTimeout = 60 * time.Millisecond
	// retryDelay is the pause between two tries of an order.
	retryDelay = 10 * time.Millisecond
)

// Executor executes orders on one rank. The engine may execute an unanswered order
// seconds later. Each retry therefore carries the sequence of a fresh report: the
// sequence changes when an order takes effect, so that the engine executes at most one
// of the copies.
type Executor struct {
	Engine Engine
	// ReportLag is how old the engine's reports may be when they are read.
	ReportLag time.Duration
	// CheckToken is called before each try and fails with an error that matches
	// ErrFenced if the rank was sent an order with a higher token, which may happen
	// while the process is paused between two tries. If it is nil, only the engine
	// checks tokens.
	CheckToken func(token uint64) error
}

// Execute sends an order until the rank executes or refuses it or the context ends.
// It sends the order at least once, even if the rank already shows its effect, so that
// the rank records the fencing token. Errors match ErrRefused, ErrFenced or
// ErrUnanswered, or come from CheckToken; the report is the last one read.
func (x *Executor) Execute(ctx context.Context, token, epoch uint64, order Order) (Report, error) {
	for sent := false; ; {
		if x.CheckToken != nil {
			if err := x.CheckToken(token); err != nil {
				return Report{}, err
			}
		}
		report, err := x.report(ctx)
		if err == nil {
			if report.Epoch != epoch {
				return report, ErrRefused.New("the group is in epoch %d, expected %d", report.Epoch, epoch)
			}
			if sent && isApplied(report, order) {
				return report, nil
			}
			sent = true
			command := Command{Order: order, Token: token, Epoch: epoch, Expected: report.Sequence}
			err = x.send(ctx, command)
		}
		switch {
		case err == nil:
			return report, nil
		case errors.Is(err, ErrFenced):
			return report, err
		case errors.Is(err, ErrRefused):
			return x.resolveRefusal(ctx, order, err)
		}
		if !wait.Sleep(ctx, retryDelay+x.ReportLag) {
			return report, ErrUnanswered.Wrap(err, "the order had no confirmed result before the deadline")
		}
	}
}

// resolveRefusal checks whether an order was refused because an earlier copy of it had
// already taken effect. In that case the order has succeeded.
func (x *Executor) resolveRefusal(ctx context.Context, order Order, refusal error) (Report, error) {
	if x.ReportLag > 0 {
		wait.Sleep(ctx, x.ReportLag) // The next call fails if the context has ended.
	}
	report, err := x.report(ctx)
	if err != nil {
		return report, ErrUnanswered.Wrap(refusal, "the order was refused and the rank's report could not be read: %s", err)
	}
	if isApplied(report, order) {
		return report, nil
	}
	return report, refusal
}

func (x *Executor) report(ctx context.Context) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	return x.Engine.Report(ctx)
}

func (x *Executor) send(ctx context.Context, c Command) error {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	return x.Engine.Order(ctx, c)
}

// isApplied reports whether a rank's state shows the effect of an order.
func isApplied(r Report, order Order) bool {
	switch o := order.(type) {
	case Prepare:
		return r.Prepared == o.Version || r.Map == o.Version
	case Hold:
		return r.Held && r.HeldStep == o.Step
	case Arm:
		return r.Armed == o.Version || r.Map == o.Version
	case Release:
		return r.Step >= o.Step || !r.Held || r.HeldStep != o.Step
	default:
		return false
	}
}
