package ranks

import (
	"context"
	"errors"
	"time"
)

const (
	// answerTimeout is when an order counts as unanswered; engines answer within
	// a few milliseconds.
	answerTimeout = 60 * time.Millisecond
	// retryPause is the time between two tries of an order.
	retryPause = 10 * time.Millisecond
)

// Executor carries out orders on one rank. An order that got no answer may be
// carried out seconds later. It is sent again with the same expected sequence, so
// that the engine carries out at most one of the copies.
type Executor struct {
	Engine Engine
	// ReportLag is the age of the engine's reports as seen from here.
	ReportLag time.Duration
	// CheckToken tells, before each try, whether a higher token has ordered the rank
	// since; the process may have been paused between two tries. Unset means that
	// only the engine knows.
	CheckToken func(token uint64) error
}

// Execute sends an order until its effect is certain, one way or the other, or the
// context ends. It is sent once even if its effect shows already, since that makes
// the rank remember the fencing token. Errors match ErrRefused, ErrFenced or
// ErrUnanswered; the report is the last one read.
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
				return report, ErrRefused.New("epoch is %d, not %d", report.Epoch, epoch)
			}
			if sent && holds(report, order) {
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
			return x.settle(ctx, order, err)
		}
		if pause(ctx, retryPause+x.ReportLag) != nil {
			return report, ErrUnanswered.Wrap(err, "order")
		}
	}
}

// settle tells a refusal from the effect of an earlier copy of the order.
func (x *Executor) settle(ctx context.Context, order Order, refusal error) (Report, error) {
	if x.ReportLag > 0 {
		_ = pause(ctx, x.ReportLag) // An ended context shows in the next call.
	}
	report, err := x.report(ctx)
	if err != nil {
		return report, ErrUnanswered.Wrap(refusal, "refused, and no report: %s", err)
	}
	if holds(report, order) {
		return report, nil
	}
	return report, refusal
}

func (x *Executor) report(ctx context.Context) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	return x.Engine.Report(ctx)
}

func (x *Executor) send(ctx context.Context, c Command) error {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	return x.Engine.Order(ctx, c)
}

// holds reports whether a rank shows the effect of an order.
func holds(r Report, order Order) bool {
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

// pause waits, or returns the context's error.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
