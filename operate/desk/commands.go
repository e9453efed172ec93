package desk

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"chervilswitch.example/shared/control"
	"chervilswitch.example/shared/http1"
	"chervilswitch.example/shared/operator"
	"chervilswitch.example/shared/peer"
	"chervilswitch.example/shared/platform"
	"chervilswitch.example/shared/settings"
)

const (
	// statusTimeout bounds one status request to an entry.
	statusTimeout = 2 * time.Second
	// watchInterval separates the status reports of the watch command.
	watchInterval = time.Second
	// inForceTimeout bounds the wait for all instances to apply a change.
	inForceTimeout      = 10 * time.Second
	inForcePollInterval = 100 * time.Millisecond
	maxLogLineBytes     = 1 << 20
)

// cli executes one command.
type cli struct {
	options options
	out     io.Writer
	client  *http.Client
}

func newCLI(o options, out io.Writer) *cli {
	return &cli{options: o, out: out, client: &http.Client{Transport: http1.Transport{}, Timeout: statusTimeout}}
}

// Main executes the command line and returns the exit code.
func Main(ctx context.Context, arguments []string, out, errorOut io.Writer) int {
	o, err := parseOptions(arguments)
	if err == nil {
		err = newCLI(o, out).run(ctx)
	}
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(errorOut, "chervil:", err)
	return exitCode(err)
}

func exitCode(err error) int {
	switch {
	case errors.Is(err, ErrUsage):
		return ExitUsage
	case errors.Is(err, ErrConflict):
		return ExitConflict
	case errors.Is(err, ErrUncertain):
		return ExitUncertain
	case errors.Is(err, ErrRejected), errors.Is(err, operator.ErrInvalid), errors.Is(err, settings.ErrInvalid):
		return ExitInvalid
	}
	return ExitFailure
}

func (c *cli) run(ctx context.Context) error {
	switch c.options.command {
	case "check":
		return c.check()
	case "diff":
		return c.diff(ctx)
	case "publish":
		return c.publish(ctx)
	case "show":
		return c.show(ctx)
	case "history":
		return c.history(ctx)
	case "take-out":
		return c.setDataCentreOut(ctx, true)
	case "bring-back":
		return c.setDataCentreOut(ctx, false)
	case "status":
		return c.status(ctx)
	case "watch":
		return c.watch(ctx)
	case "explain":
		return c.explain()
	}
	return ErrUsage.New("command %q does not exist", c.options.command)
}

// print writes one result: the value as JSON with --json, or else the text.
func (c *cli) print(text string, value any) error {
	if !c.options.json {
		_, err := fmt.Fprintln(c.out, text)
		return err
	}
	return json.NewEncoder(c.out).Encode(value)
}

// loadInventory reads and validates the inventory file.
func (c *cli) loadInventory() (*operator.Inventory, error) {
	if err := checkSchema(c.options.file); err != nil {
		return nil, err
	}
	inventory := new(operator.Inventory)
	if err := settings.Read(c.options.file, inventory); err != nil {
		return nil, err
	}
	if err := inventory.Check(); err != nil {
		return nil, fmt.Errorf("%s: %w", c.options.file, err)
	}
	return inventory, nil
}

func (c *cli) check() error {
	inventory, err := c.loadInventory()
	if err != nil {
		return err
	}
	count := len(inventory.Edits())
	return c.print(fmt.Sprintf("%s: valid, %d objects", c.options.file, count), map[string]int{"objects": count})
}

// compare reads the log and returns the edits that turn the current inventory into
// the file's.
func (c *cli) compare(ctx context.Context) (*Publisher, []operator.Edit, error) {
	inventory, err := c.loadInventory()
	if err != nil {
		return nil, nil, err
	}
	p := NewPublisher(platform.NewClient(c.options.platform, nil))
	if err := p.Refresh(ctx); err != nil {
		return nil, nil, err
	}
	return p, operator.Diff(p.Config().Inventory(), inventory), nil
}

func (c *cli) diff(ctx context.Context) error {
	_, edits, err := c.compare(ctx)
	if err != nil {
		return err
	}
	return c.print(describeEdits(edits), edits)
}

func describeEdits(edits []operator.Edit) string {
	if len(edits) == 0 {
		return "no change"
	}
	lines := make([]string, 0, len(edits))
	for _, e := range edits {
		if e.Removes() {
			lines = append(lines, "- "+e.Key.String())
			continue
		}
		lines = append(lines, "~ "+e.Key.String()+" "+string(e.Value))
	}
	return strings.Join(lines, "\n")
}

func (c *cli) publish(ctx context.Context) error {
	p, edits, err := c.compare(ctx)
	if err != nil {
		return err
	}
	if len(edits) == 0 {
		return c.print("no change", map[string]string{"outcome": "noChange"})
	}
	return c.publishEdits(ctx, p, edits)
}

// publishEdits publishes a change and reports how many instances have applied it.
func (c *cli) publishEdits(ctx context.Context, p *Publisher, edits []operator.Edit) error {
	result, err := p.Publish(ctx, c.options.operator, edits)
	if err != nil {
		return err
	}
	if err := c.print(fmt.Sprintf("accepted at offset %d", result.Offset), result); err != nil {
		return err
	}
	return c.awaitInForce(ctx, p.Config().Inventory(), result.Offset)
}

// inForceCount is the number of instances, out of all in the inventory, that have
// applied an offset.
type inForceCount struct {
	InForce int      `json:"inForce"`
	Of      int      `json:"of"`
	Missing []string `json:"missing,omitempty"`
}

// awaitInForce waits until all instances have applied an offset, for at most
// inForceTimeout, and prints how many have.
func (c *cli) awaitInForce(ctx context.Context, inventory *operator.Inventory, offset platform.Offset) error {
	if len(c.options.entries) == 0 {
		return nil
	}
	deadline := time.Now().Add(inForceTimeout)
	for {
		count := c.countInForce(ctx, inventory, offset)
		if count.InForce == count.Of || time.Now().After(deadline) || ctx.Err() != nil {
			text := fmt.Sprintf("in force on %d of %d", count.InForce, count.Of)
			if len(count.Missing) > 0 {
				text += ", no confirmation from: " + strings.Join(count.Missing, " ") + " (they take no new work)"
			}
			return c.print(text, count)
		}
		time.Sleep(inForcePollInterval)
	}
}

// countInForce uses the offsets that the reachable entries report for themselves
// and for their peers.
func (c *cli) countInForce(ctx context.Context, inventory *operator.Inventory, offset platform.Offset) inForceCount {
	applied := make(map[string]platform.Offset)
	for _, address := range c.options.entries {
		status, err := c.fetchStatus(ctx, address)
		if err != nil {
			continue
		}
		applied[status.Instance] = max(applied[status.Instance], status.Applied)
		for _, p := range status.Peers {
			applied[p.Instance] = max(applied[p.Instance], p.Applied)
		}
	}
	count := inForceCount{Of: len(inventory.Instances)}
	for name := range inventory.Instances {
		if applied[name] >= offset {
			count.InForce++
		} else {
			count.Missing = append(count.Missing, name)
		}
	}
	slices.Sort(count.Missing)
	return count
}

func (c *cli) fetchStatus(ctx context.Context, address netip.AddrPort) (peer.Status, error) {
	var status peer.Status
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/status", nil)
	if err != nil {
		return status, err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		return status, fmt.Errorf("decode the status of %s: %w", address, err)
	}
	return status, nil
}

func (c *cli) show(ctx context.Context) error {
	p := NewPublisher(platform.NewClient(c.options.platform, nil))
	if err := p.Refresh(ctx); err != nil {
		return err
	}
	encoder := json.NewEncoder(c.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(p.Config().Inventory())
}

// historyLine is one configuration change in the log.
type historyLine struct {
	Offset   platform.Offset       `json:"offset"`
	Operator string                `json:"operator"`
	Outcome  control.ChangeOutcome `json:"outcome"`
	Detail   string                `json:"detail,omitempty"`
	Keys     []string              `json:"keys"`
}

func (c *cli) history(ctx context.Context) error {
	p := NewPublisher(platform.NewClient(c.options.platform, nil))
	if err := p.Refresh(ctx); err != nil {
		return err
	}
	for _, r := range p.History {
		record, err := control.DecodeRecord(r.Data)
		if err != nil || record.Kind != control.RecordChange {
			continue
		}
		result, _ := p.Config().Result(record.ID)
		line := historyLine{Offset: r.Offset, Operator: record.Operator, Outcome: result.Outcome, Detail: result.Detail}
		for _, e := range record.Edits {
			line.Keys = append(line.Keys, e.Key.String())
		}
		text := fmt.Sprintf("%6d  %-10s %-9s %s %s", line.Offset, line.Operator, line.Outcome, strings.Join(line.Keys, " "), line.Detail)
		if err := c.print(text, line); err != nil {
			return err
		}
	}
	return nil
}

// setDataCentreOut publishes whether a data centre is out, which means that it
// receives no new work.
func (c *cli) setDataCentreOut(ctx context.Context, out bool) error {
	p := NewPublisher(platform.NewClient(c.options.platform, nil))
	if err := p.Refresh(ctx); err != nil {
		return err
	}
	centre, ok := p.Config().Inventory().DataCentres[c.options.name]
	if !ok {
		return ErrRejected.New("data centre %q does not exist", c.options.name)
	}
	if centre.Out == out {
		return c.print("no change", map[string]string{"outcome": "noChange"})
	}
	edit, err := DataCentreOutEdit(c.options.name, centre, out)
	if err != nil {
		return err
	}
	return c.publishEdits(ctx, p, []operator.Edit{edit})
}

// DataCentreOutEdit returns the edit that sets whether a data centre is out.
func DataCentreOutEdit(name string, centre operator.DataCentre, out bool) (operator.Edit, error) {
	centre.Out = out
	value, err := json.Marshal(centre)
	if err != nil {
		return operator.Edit{}, fmt.Errorf("encode data centre %q: %w", name, err)
	}
	return operator.Edit{Key: operator.Key{Collection: operator.DataCentres, Name: name}, Value: value}, nil
}

func (c *cli) status(ctx context.Context) error {
	var failed error
	for _, address := range c.options.entries {
		status, err := c.fetchStatus(ctx, address)
		if err != nil {
			failed = err
			continue
		}
		if err := c.print(describeStatus(status), status); err != nil {
			return err
		}
	}
	return failed
}

func describeStatus(s peer.Status) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s in %s: gate %s, applied %d, draining %t", s.Instance, s.DataCentre, s.Gate, s.Applied, s.Draining)
	for _, p := range s.Peers {
		fmt.Fprintf(&text, "\n  %-16s %-12s %-6s applied %d running %d of %d", p.Instance, p.DataCentre, p.Role, p.Applied, p.Running, p.Limit)
		if p.Cold {
			text.WriteString(" cold")
		}
		if p.Closed {
			text.WriteString(" closed")
		}
	}
	return text.String()
}

func (c *cli) watch(ctx context.Context) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		if err := c.status(ctx); err != nil {
			fmt.Fprintln(c.out, err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}
