package desk

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"chervilswitch.example/shared/control"
	"chervilswitch.example/shared/operator"
	"chervilswitch.example/shared/peer"
	"chervilswitch.example/shared/platform"
	"chervilswitch.example/shared/settings"
)

const (
	statusTimeout = 2 * time.Second
	watchEvery    = time.Second
	// inForceWithin is how long publish waits for all processes.
	inForceWithin = 10 * time.Second
	inForcePoll   = 100 * time.Millisecond
	maxLogLine    = 1 << 20
)

// desk runs one command.
type desk struct {
	options options
	out     io.Writer
	client  *http.Client
}

// Main runs the command line and returns the exit code.
func Main(ctx context.Context, arguments []string, out, errorOut io.Writer) int {
	o, err := parseOptions(arguments)
	if err == nil {
		d := &desk{options: o, out: out, client: &http.Client{Timeout: statusTimeout}}
		err = d.run(ctx)
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

func (d *desk) run(ctx context.Context) error {
	switch d.options.command {
	case "check":
		return d.check()
	case "diff":
		return d.diff(ctx)
	case "publish":
		return d.publish(ctx)
	case "show":
		return d.show(ctx)
	case "history":
		return d.history(ctx)
	case "take-out":
		return d.setOut(ctx, true)
	case "bring-back":
		return d.setOut(ctx, false)
	case "status":
		return d.status(ctx)
	case "watch":
		return d.watch(ctx)
	case "explain":
		return d.explain()
	}
	return ErrUsage.New("command %q does not exist", d.options.command)
}

func (d *desk) print(human string, value any) error {
	if !d.options.json {
		_, err := fmt.Fprintln(d.out, human)
		return err
	}
	return json.NewEncoder(d.out).Encode(value)
}

func (d *desk) load() (*operator.Inventory, error) {
	if err := checkSchema(d.options.file); err != nil {
		return nil, err
	}
	inventory := new(operator.Inventory)
	if err := settings.Read(d.options.file, inventory); err != nil {
		return nil, err
	}
	if err := inventory.Check(); err != nil {
		return nil, fmt.Errorf("%s: %w", d.options.file, err)
	}
	return inventory, nil
}

func (d *desk) check() error {
	inventory, err := d.load()
	if err != nil {
		return err
	}
	count := len(inventory.Edits())
	return d.print(fmt.Sprintf("%s: valid, %d objects", d.options.file, count), map[string]int{"objects": count})
}

// compare reads the log and lists what the file would change.
func (d *desk) compare(ctx context.Context) (*Publisher, []operator.Edit, error) {
	inventory, err := d.load()
	if err != nil {
		return nil, nil, err
	}
	p := NewPublisher(platform.NewClient(d.options.platform, nil))
	if err := p.Refresh(ctx); err != nil {
		return nil, nil, err
	}
	return p, operator.Diff(p.Config().Inventory(), inventory), nil
}

func (d *desk) diff(ctx context.Context) error {
	_, edits, err := d.compare(ctx)
	if err != nil {
		return err
	}
	return d.print(describeEdits(edits), edits)
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

func (d *desk) publish(ctx context.Context) error {
	p, edits, err := d.compare(ctx)
	if err != nil {
		return err
	}
	if len(edits) == 0 {
		return d.print("no change", map[string]string{"outcome": "noChange"})
	}
	return d.finish(ctx, p, edits)
}

func (d *desk) finish(ctx context.Context, p *Publisher, edits []operator.Edit) error {
	seen, err := p.Publish(ctx, d.options.operator, edits)
	if err != nil {
		return err
	}
	if err := d.print(fmt.Sprintf("accepted at offset %d", seen.Offset), seen); err != nil {
		return err
	}
	return d.awaitInForce(ctx, p.Config().Inventory(), seen.Offset)
}

// inForce counts the processes that have applied an offset.
type inForce struct {
	InForce int      `json:"inForce"`
	Of      int      `json:"of"`
	Missing []string `json:"missing,omitempty"`
}

func (d *desk) awaitInForce(ctx context.Context, inventory *operator.Inventory, offset platform.Offset) error {
	if len(d.options.entries) == 0 {
		return nil
	}
	deadline := time.Now().Add(inForceWithin)
	for {
		counted := d.countInForce(ctx, inventory, offset)
		if counted.InForce == counted.Of || time.Now().After(deadline) || ctx.Err() != nil {
			human := fmt.Sprintf("in force on %d of %d", counted.InForce, counted.Of)
			if len(counted.Missing) > 0 {
				human += ", not heard from: " + strings.Join(counted.Missing, " ") + " (they take no new work)"
			}
			return d.print(human, counted)
		}
		time.Sleep(inForcePoll)
	}
}

func (d *desk) countInForce(ctx context.Context, inventory *operator.Inventory, offset platform.Offset) inForce {
	applied := make(map[string]platform.Offset)
	for _, address := range d.options.entries {
		status, err := d.fetchStatus(ctx, address)
		if err != nil {
			continue
		}
		applied[status.Instance] = max(applied[status.Instance], status.Applied)
		for _, p := range status.Peers {
			applied[p.Instance] = max(applied[p.Instance], p.Applied)
		}
	}
	counted := inForce{Of: len(inventory.Instances)}
	for name := range inventory.Instances {
		if applied[name] >= offset {
			counted.InForce++
		} else {
			counted.Missing = append(counted.Missing, name)
		}
	}
	slices.Sort(counted.Missing)
	return counted
}

func (d *desk) fetchStatus(ctx context.Context, address netip.AddrPort) (peer.Status, error) {
	var status peer.Status
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/status", nil)
	if err != nil {
		return status, err
	}
	response, err := d.client.Do(request)
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		return status, fmt.Errorf("status of %s: %w", address, err)
	}
	return status, nil
}

func (d *desk) show(ctx context.Context) error {
	p := NewPublisher(platform.NewClient(d.options.platform, nil))
	if err := p.Refresh(ctx); err != nil {
		return err
	}
	encoder := json.NewEncoder(d.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(p.Config().Inventory())
}

// historyLine is one change of the log.
type historyLine struct {
	Offset   platform.Offset       `json:"offset"`
	Operator string                `json:"operator"`
	Outcome  control.ChangeOutcome `json:"outcome"`
	Detail   string                `json:"detail,omitempty"`
	Keys     []string              `json:"keys"`
}

func (d *desk) history(ctx context.Context) error {
	p := NewPublisher(platform.NewClient(d.options.platform, nil))
	if err := p.Refresh(ctx); err != nil {
		return err
	}
	for _, r := range p.History {
		record, err := control.DecodeRecord(r.Data)
		if err != nil || record.Kind != control.RecordChange {
			continue
		}
		seen, _ := p.Config().Result(record.ID)
		line := historyLine{Offset: r.Offset, Operator: record.Operator, Outcome: seen.Outcome, Detail: seen.Detail}
		for _, e := range record.Edits {
			line.Keys = append(line.Keys, e.Key.String())
		}
		human := fmt.Sprintf("%6d  %-10s %-9s %s %s", line.Offset, line.Operator, line.Outcome, strings.Join(line.Keys, " "), line.Detail)
		if err := d.print(human, line); err != nil {
			return err
		}
	}
	return nil
}

// setOut takes a data centre out or brings it back.
func (d *desk) setOut(ctx context.Context, out bool) error {
	p := NewPublisher(platform.NewClient(d.options.platform, nil))
	if err := p.Refresh(ctx); err != nil {
		return err
	}
	centre, ok := p.Config().Inventory().DataCentres[d.options.name]
	if !ok {
		return ErrRejected.New("data centre %q does not exist", d.options.name)
	}
	if centre.Out == out {
		return d.print("no change", map[string]string{"outcome": "noChange"})
	}
	edit, err := DataCentreOutEdit(d.options.name, centre, out)
	if err != nil {
		return err
	}
	return d.finish(ctx, p, []operator.Edit{edit})
}

// DataCentreOutEdit takes a data centre out, or brings it back.
func DataCentreOutEdit(name string, centre operator.DataCentre, out bool) (operator.Edit, error) {
	centre.Out = out
	value, err := json.Marshal(centre)
	if err != nil {
		return operator.Edit{}, fmt.Errorf("encode data centre %q: %w", name, err)
	}
	return operator.Edit{Key: operator.Key{Collection: operator.DataCentres, Name: name}, Value: value}, nil
}

func (d *desk) status(ctx context.Context) error {
	var failed error
	for _, address := range d.options.entries {
		status, err := d.fetchStatus(ctx, address)
		if err != nil {
			failed = err
			continue
		}
		if err := d.print(describeStatus(status), status); err != nil {
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

func (d *desk) watch(ctx context.Context) error {
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	for {
		if err := d.status(ctx); err != nil {
			fmt.Fprintln(d.out, err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// logLine is one line of a process's log.
type logLine struct {
	Fields struct {
		Event    int               `json:"event"`
		Instance string            `json:"instance"`
		Request  string            `json:"request"`
		Chosen   string            `json:"chosen"`
		Reason   string            `json:"reason"`
		Code     string            `json:"code"`
		Weighed  []control.Weighed `json:"weighed"`
	} `json:"fields"`
	Timestamp time.Time `json:"timestamp"`
	Message   string    `json:"message"`
}

// explain prints the decisions about a request from a log file.
func (d *desk) explain() error {
	file, err := os.Open(d.options.file)
	if err != nil {
		return err
	}
	defer file.Close()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLine)
	found := 0
	for scanner.Scan() {
		var line logLine
		if json.Unmarshal(scanner.Bytes(), &line) != nil || !strings.Contains(line.Fields.Request, d.options.name) {
			continue
		}
		found++
		if err := d.print(describeLine(line), line); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	if found == 0 {
		return fmt.Errorf("%s holds no decision about %q", d.options.file, d.options.name)
	}
	return nil
}

func describeLine(line logLine) string {
	f := line.Fields
	text := fmt.Sprintf("%s %s %s (%d): %s %s%s", line.Timestamp.Format(time.RFC3339Nano), f.Instance, line.Message, f.Event, f.Chosen, f.Reason, f.Code)
	for _, w := range f.Weighed {
		text += fmt.Sprintf("\n    weighed %s %.4f", w.Name, w.Score)
	}
	return text
}
