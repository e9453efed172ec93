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
	"chervilswitch.example/shared/wait"
)

const (
	// commandRetryInterval separates the requests that repeat a command to the engine.
	commandRetryInterval = 100 * time.Millisecond
	// commandTimeout bounds one request. The engine responds to the command for a
	// step only once all ranks of the group have reached the step.
	commandTimeout = 2 * time.Second
)

// fencingTokenHeader carries the fencing token of a command.
const fencingTokenHeader = "X-Fencing-Number"

// errFenced means that the agent must not send commands now, because its fencing
// token is superseded or cannot be confirmed.
var errFenced = fault.NewSentinel("target", "fenced")

// handleRankOutput executes the reducer's decision for a rank.
func (a *Agent) handleRankOutput(rank int, output control.RankOutput) {
	switch o := output.(type) {
	case control.RankSendVote, control.RankRequestVote:
		a.node.SendRankMessage(rank, o)
	case control.RankFetch:
		path := fmt.Sprintf("/ranks/%d/maps/%d", rank, o.Map)
		a.sendCommand(a.ctx, rank, path, control.RankFetched(o))
	case control.RankRunStep:
		path := fmt.Sprintf("/ranks/%d/steps/%d/%d/%d", rank, o.At.Generation, o.At.Step, o.Map)
		a.sendCommand(a.newStepContext(rank), rank, path, control.RankStepReady{})
	case control.RankHoldStep: // The engine starts no step without a command.
	}
}

// newStepContext cancels the command for the rank's previous step and returns the
// context for the next one.
func (a *Agent) newStepContext(rank int) context.Context {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if cancel, ok := a.stepCancels[rank]; ok {
		cancel()
	}
	ctx, cancel := context.WithCancel(a.ctx)
	a.stepCancels[rank] = cancel
	return ctx
}

// sendCommand repeats a command until the engine confirms that it is executed, and then
// sends completion to the reducer. Commands are idempotent: the engine executes each
// once, however often it receives it.
func (a *Agent) sendCommand(ctx context.Context, rank int, path string, completion control.RankInput) {
	go func() {
		for ctx.Err() == nil {
			if a.tryCommand(ctx, path) == nil {
				a.node.Send(control.RankEvent{Rank: rank, Input: completion})
				return
			}
			wait.Sleep(ctx, commandRetryInterval)
		}
	}()
}

// tryCommand sends a command once, with the current fencing token.
func (a *Agent) tryCommand(ctx context.Context, path string) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+a.options.Target.String()+path, nil)
	if err != nil {
		return err
	}
	token, allowed := platform.Offset(0), false
	a.node.Query(ctx, func(s *control.State) { token, allowed = s.FencingToken() })
	if !allowed {
		return errFenced
	}
	request.Header.Set(fencingTokenHeader, strconv.FormatUint(uint64(token), 10))
	response, err := a.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("command %s: engine returned status %d, expected 204", path, response.StatusCode)
	}
	return nil
}
