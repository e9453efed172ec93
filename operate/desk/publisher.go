// Package desk speaks to the platform's log and to entries on behalf of an
// operator.
package desk

import (
	"context"
	"errors"
	"fmt"
	"time"

	"chervilswitch.example/shared/control"
	"chervilswitch.example/shared/fault"
	"chervilswitch.example/shared/operator"
	"chervilswitch.example/shared/platform"

	"github.com/google/uuid"
)

const (
	readWait      = 500 * time.Millisecond
	appendEvery   = 2 * time.Second
	publishWithin = 20 * time.Second
	retryPause    = 200 * time.Millisecond
)

var (
	// ErrConflict is matched when another change was first.
	ErrConflict = fault.NewSentinel("desk", "conflict")
	// ErrRejected is matched when the change's result is not a valid inventory.
	ErrRejected = fault.NewSentinel("desk", "rejected")
	// ErrUncertain is matched when it is not known whether the change is accepted.
	ErrUncertain = fault.NewSentinel("desk", "uncertain")
)

// Publisher publishes changes through the platform's log.
type Publisher struct {
	client *platform.Client
	config control.Config
	next   platform.Offset
	// History are the records seen so far, for histories.
	History []platform.Record
}

// NewPublisher speaks to a platform.
func NewPublisher(client *platform.Client) *Publisher {
	return &Publisher{client: client, next: 1}
}

// Config is the state as last read.
func (p *Publisher) Config() *control.Config { return &p.config }

// Refresh reads the log to its end.
func (p *Publisher) Refresh(ctx context.Context) error {
	for {
		page, err := p.client.Read(ctx, platform.ConfigStream, p.next, 0)
		if err != nil {
			return err
		}
		p.take(page)
		if p.next >= page.Next {
			return p.whole(page)
		}
	}
}

func (p *Publisher) whole(page platform.Page) error {
	if p.config.Halted() {
		return ErrRejected.New("the log holds a record that this version does not understand")
	}
	if !p.config.Ready() || p.config.Applied()+1 < page.Next {
		return ErrUncertain.New("the log's records do not add up to a whole state: it holds %d to %d", page.First, page.Next-1)
	}
	return nil
}

func (p *Publisher) take(page platform.Page) {
	if page.First == 1 {
		p.config.StartFromEmpty()
	}
	for _, r := range page.Records {
		p.config.Apply(r)
		p.History = append(p.History, r)
		p.next = r.Offset + 1
	}
	p.next = max(p.next, page.First)
}

// Publish appends edits made from the state as last read, and waits until the
// change was read back. Errors match ErrConflict, ErrRejected or ErrUncertain.
func (p *Publisher) Publish(ctx context.Context, who string, edits []operator.Edit) (control.ChangeResult, error) {
	record := control.Record{
		Format: control.RecordFormat, ID: uuid.NewString(), Kind: control.RecordChange,
		Operator: who, Base: p.config.Applied(), Edits: edits,
	}
	data, err := record.Encode()
	if err != nil {
		return control.ChangeResult{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, publishWithin)
	defer cancel()
	var appended time.Time
	for ctx.Err() == nil {
		if time.Since(appended) > appendEvery {
			// A second copy has the same id, so that it counts once.
			appended = time.Now()
			_, err = p.client.Append(ctx, platform.ConfigStream, data)
			if errors.Is(err, platform.ErrRateLimited) {
				appended = time.Time{}
			}
		}
		if seen, ok := p.readBack(ctx, record.ID); ok {
			return seen, outcomeError(seen)
		}
	}
	return control.ChangeResult{ID: record.ID}, ErrUncertain.New("change %s was not read back within %s (last append: %v); it may still be accepted", record.ID, publishWithin, err)
}

func (p *Publisher) readBack(ctx context.Context, id string) (control.ChangeResult, bool) {
	page, err := p.client.Read(ctx, platform.ConfigStream, p.next, readWait)
	if err != nil {
		time.Sleep(retryPause)
		return control.ChangeResult{}, false
	}
	p.take(page)
	return p.config.Result(id)
}

func outcomeError(seen control.ChangeResult) error {
	switch seen.Outcome {
	case control.ChangeConflict:
		return ErrConflict.New("someone changed %s after the state that this change was made from", seen.Detail)
	case control.ChangeInvalid:
		return ErrRejected.New("%s", seen.Detail)
	case control.ChangeAccepted:
		return nil
	}
	return fmt.Errorf("unknown outcome %q", seen.Outcome)
}
