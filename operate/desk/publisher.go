// Package desk implements the operators' commands. They read and change the
// configuration in the platform's log and query entries for their status.
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
	// longPollWait is how long the platform delays the response to a read that
	// has no new records.
	longPollWait = 500 * time.Millisecond
	// appendInterval separates appends of a change that was not read back.
	appendInterval = 2 * time.Second
	// publishTimeout is the time within which a change must be read back.
	publishTimeout = 20 * time.Second
	// readRetryInterval is the pause after a failed read.
	readRetryInterval = 200 * time.Millisecond
)

var (
	// ErrConflict matches errors about a change that lost to a concurrent change.
	ErrConflict = fault.NewSentinel("desk", "conflict")
	// ErrRejected matches errors about an inventory or a change that is invalid.
	ErrRejected = fault.NewSentinel("desk", "rejected")
	// ErrUncertain matches errors about a result that could not be determined:
	// whether a change was accepted, or what the configuration is.
	ErrUncertain = fault.NewSentinel("desk", "uncertain")
)

// Publisher reads the configuration from the platform's log and appends changes.
type Publisher struct {
	client *platform.Client
	config control.Config
	next   platform.Offset
	// History holds the records read so far, in the order of the log.
	History []platform.Record
}

// NewPublisher returns a publisher that reads the log from its start.
func NewPublisher(client *platform.Client) *Publisher {
	return &Publisher{client: client, next: 1}
}

// Config returns the configuration as of the last read.
func (p *Publisher) Config() *control.Config { return &p.config }

// Refresh reads the log to its end. Errors match ErrRejected if a record's format is
// unknown, and ErrUncertain if records are missing.
func (p *Publisher) Refresh(ctx context.Context) error {
	for {
		page, err := p.client.Read(ctx, platform.ConfigStream, p.next, 0)
		if err != nil {
			return err
		}
		p.applyPage(page)
		if p.next >= page.Next {
			return p.checkComplete(page)
		}
	}
}

// checkComplete returns an error unless the records up to the page's end yield the
// complete configuration.
func (p *Publisher) checkComplete(page platform.Page) error {
	if p.config.Halted() {
		return ErrRejected.New("the log contains a record in a format that this version does not support")
	}
	if !p.config.Ready() || p.config.Applied()+1 < page.Next {
		return ErrUncertain.New("the log is incomplete: its offsets %d to %d do not yield the whole configuration", page.First, page.Next-1)
	}
	return nil
}

func (p *Publisher) applyPage(page platform.Page) {
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

// Publish appends a change that is based on the configuration as of the last read,
// and waits until it has read the change back. Errors match ErrConflict if another
// change took effect first, ErrRejected if the result would be invalid, and
// ErrUncertain if the change was not read back in time.
func (p *Publisher) Publish(ctx context.Context, operatorName string, edits []operator.Edit) (control.ChangeResult, error) {
	record := control.Record{
		Format: control.RecordFormat, ID: uuid.NewString(), Kind: control.RecordChange,
		Operator: operatorName, Base: p.config.Applied(), Edits: edits,
	}
	data, err := record.Encode()
	if err != nil {
		return control.ChangeResult{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	var appended time.Time
	for ctx.Err() == nil {
		if time.Since(appended) > appendInterval {
			// Readers apply the change once, however often its ID occurs in the log.
			appended = time.Now()
			_, err = p.client.Append(ctx, platform.ConfigStream, data)
			if errors.Is(err, platform.ErrRateLimited) {
				appended = time.Time{}
			}
		}
		if result, ok := p.readBack(ctx, record.ID); ok {
			return result, outcomeError(result)
		}
	}
	return control.ChangeResult{ID: record.ID}, ErrUncertain.New("change %s was not read back within %s (last append error: %v); it may still be accepted", record.ID, publishTimeout, err)
}

// readBack reads the next records and returns the change's result if it is known.
func (p *Publisher) readBack(ctx context.Context, id string) (control.ChangeResult, bool) {
	page, err := p.client.Read(ctx, platform.ConfigStream, p.next, longPollWait)
	if err != nil {
		time.Sleep(readRetryInterval)
		return control.ChangeResult{}, false
	}
	p.applyPage(page)
	return p.config.Result(id)
}

// outcomeError returns the error for a change that was not accepted.
func outcomeError(result control.ChangeResult) error {
	switch result.Outcome {
	case control.ChangeConflict:
		return ErrConflict.New("another change took effect first, or the base offset is too old: %s", result.Detail)
	case control.ChangeInvalid:
		return ErrRejected.New("%s", result.Detail)
	case control.ChangeAccepted:
		return nil
	}
	return fmt.Errorf("unknown change outcome %q", result.Outcome)
}
