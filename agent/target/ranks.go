package target

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"chervilswitch.example/shared/control"
	"chervilswitch.example/shared/fault"
	"chervilswitch.example/shared/platform"
)

const (
	// orderRetry separates the tries of an order to the engine.
	orderRetry = 100 * time.Millisecond
	// orderTimeout bounds one try; a step waits for all ranks of the group.
	orderTimeout = 2 * time.Second
)

// fencingHeader carries the fencing number of an order.
const fencingHeader = "X-Fencing-Number"

// errFenced means that this process may not give orders now.
var errFenced = fault.NewSentinel("target", "fenced")

// handleRank does what the reducer decided for a rank.
func (a *Agent) handleRank(rank int, output control.RankOutput) {
	switch o := output.(type) {
	case control.RankSendVote, control.RankRequestVote:
		a.node.SendRankMessage(rank, o)
	case control.RankFetch:
		path := fmt.Sprintf("/ranks/%d/maps/%d", rank, o.Map)
		a.order(a.ctx, rank, path, control.RankFetched(o))
	case control.RankRunStep:
		path := fmt.Sprintf("/ranks/%d/steps/%d/%d/%d", rank, o.At.Generation, o.At.Step, o.Map)
		a.order(a.nextStep(rank), rank, path, control.RankStepReady{})
	case control.RankHoldStep: // The engine runs no step that it was not told to run.
	}
}

// nextStep ends the order of the rank's last step and gives the next one's context.
func (a *Agent) nextStep(rank int) context.Context {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if cancel, ok := a.steps[rank]; ok {
		cancel()
	}
	ctx, cancel := context.WithCancel(a.ctx)
	a.steps[rank] = cancel
	return ctx
}

// order tells the engine something until it has done it, then the reducer. Orders
// are idempotent: the engine does each once however often it is told.
func (a *Agent) order(ctx context.Context, rank int, path string, done control.RankInput) {
	go func() {
		for ctx.Err() == nil {
			if a.tellEngine(ctx, path) == nil {
				a.node.Send(control.RankEvent{Rank: rank, Input: done})
				return
			}
			wait(ctx, orderRetry)
		}
	}()
}

func (a *Agent) tellEngine(ctx context.Context, path string) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+a.options.Target.String()+path, nil)
	if err != nil {
		return err
	}
	fencing, allowed := platform.Offset(0), false
	a.node.Query(ctx, func(s *control.State) { fencing, allowed = s.Fencing() })
	if !allowed {
		return errFenced
	}
	request.Header.Set(fencingHeader, strconv.FormatUint(uint64(fencing), 10))
	response, err := a.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("order %s: status %d", path, response.StatusCode)
	}
	return nil
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
