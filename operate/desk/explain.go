package desk

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"chervilswitch.example/shared/control"
	"chervilswitch.example/shared/events"
)

// logLine holds the fields of a JSON log line that explain prints.
type logLine struct {
	Fields    logFields `json:"fields"`
	Timestamp time.Time `json:"timestamp"`
	Message   string    `json:"message"`
}

// logFields are the fields of all lines about a request and of the lines that tell why it
// was refused.
type logFields struct {
	Event    events.Event      `json:"event"`
	Instance string            `json:"instance"`
	Request  string            `json:"request"`
	Chosen   string            `json:"chosen"`
	Reason   string            `json:"reason"`
	Code     string            `json:"code"`
	Weighed  []control.Weighed `json:"weighed"`

	Service     string   `json:"service"`
	Target      string   `json:"target"`
	Outcome     string   `json:"outcome"`
	Status      int      `json:"status"`
	Took        string   `json:"took"`
	RetryAfter  string   `json:"retryAfter"`
	Error       string   `json:"error"`
	SharedParts []string `json:"sharedParts"`
	Identity    string   `json:"identity"`
	Change      string   `json:"change"`
	Parts       []string `json:"parts"`
	Hold        string   `json:"hold"`
	Reporter    string   `json:"reporter"`
	Group       string   `json:"group"`
	Closed      []string `json:"closed"`
	Limit       int      `json:"limit"`
	Gap         string   `json:"gap"`
	State       string   `json:"state"`
	DataCentre  string   `json:"dataCentre"`
	Dependency  string   `json:"dependency"`
	// PerSecond is the limit that a target named; nil in lines of other events.
	PerSecond *float64 `json:"perSecond"`
	Source    string   `json:"source"`
	Count     int      `json:"count"`
}

// relatedEvents lists, by the reason for which a router refused a request, the events that
// tell the cause.
var relatedEvents = map[string][]events.Event{
	"quarantined":     {events.QuarantineChanged},
	"groupClosed":     {events.GroupsChanged},
	"groupDown":       {events.GroupsChanged},
	"queueFull":       {events.LimitsSummary, events.GroupsChanged},
	"waitedTooLong":   {events.LimitsSummary, events.GroupsChanged},
	"noTarget":        {events.TargetsChanged, events.ConfigurationTaken},
	"noConfiguration": {events.Started, events.DependencyLost},
	"noRouteStale":    {events.DependencyLost},
	"unknownKeyStale": {events.DependencyLost},
	"rateLimited":     {events.TargetLimitChanged, events.EntriesChanged},
	"paused":          {events.TargetNoticed},
}

// sharingState is the state of an EntriesChanged line about how many instances share limits.
const sharingState = "sharing"

// explain prints the log lines whose request ID contains the name argument, and the newest
// lines before them that tell why the request was refused. It returns an error if there
// are none about the request.
func (c *cli) explain() error {
	file, err := os.Open(c.options.file)
	if err != nil {
		return err
	}
	defer file.Close()
	var request []logLine
	if err := scanLog(file, func(line logLine) {
		if line.Fields.Request != "" && strings.Contains(line.Fields.Request, c.options.name) {
			request = append(request, line)
		}
	}); err != nil {
		return err
	}
	if len(request) == 0 {
		return fmt.Errorf("%s contains no decision about request %q", c.options.file, c.options.name)
	}
	if _, err := file.Seek(0, io.SeekStart); err != nil {
		return err
	}
	causes, err := findCauses(file, request)
	if err != nil {
		return err
	}
	for _, line := range append(request, causes...) {
		if err := c.print(describeLogLine(line), line); err != nil {
			return err
		}
	}
	return nil
}

// scanLog calls a function for each log line. It skips what precedes the JSON object of a
// line, such as a process's name, and lines without one.
func scanLog(r io.Reader, handle func(logLine)) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		var line logLine
		text := scanner.Text()
		if start := strings.IndexByte(text, '{'); start >= 0 && json.Unmarshal([]byte(text[start:]), &line) == nil {
			handle(line)
		}
	}
	return scanner.Err()
}

// findCauses returns, for each event that is related to the last reason in the lines of a
// request, the newest line of that event before the reason.
func findCauses(log io.Reader, request []logLine) ([]logLine, error) {
	var refused logLine
	var parts []string
	for _, line := range request {
		parts = append(append(parts, line.Fields.SharedParts...), line.Fields.Identity)
		if relatedEvents[reasonOf(line)] != nil {
			refused = line
		}
	}
	related := relatedEvents[reasonOf(refused)]
	newest := make(map[events.Event]logLine)
	err := scanLog(log, func(line logLine) {
		event := line.Fields.Event
		if slices.Contains(related, event) && isCause(line, refused, parts) && !line.Timestamp.Before(newest[event].Timestamp) {
			newest[event] = line
		}
	})
	var causes []logLine
	for _, event := range related {
		if line, ok := newest[event]; ok {
			causes = append(causes, line)
		}
	}
	return causes, err
}

// isCause reports whether a line of a related event tells a cause of a refusal. parts are
// those of the refused request, and its identity.
func isCause(line, refused logLine, parts []string) bool {
	f := line.Fields
	if line.Timestamp.After(refused.Timestamp) {
		return false
	}
	sameInstance := f.Instance == refused.Fields.Instance
	switch f.Event {
	case events.QuarantineChanged:
		return slices.ContainsFunc(f.Parts, func(part string) bool { return slices.Contains(parts, part) })
	case events.LimitsSummary:
		return sameInstance && f.Service == refused.Fields.Service
	case events.DependencyLost, events.TargetLimitChanged:
		return sameInstance
	case events.EntriesChanged:
		return sameInstance && f.State == sharingState
	default:
		return true
	}
}

// reasonOf returns why a router refused a request, if a line says so.
func reasonOf(line logLine) string {
	switch line.Fields.Event {
	case events.RequestTurnedAway:
		return line.Fields.Reason
	case events.RequestEnded:
		return line.Fields.Outcome
	}
	return ""
}

// describeLogLine returns a line as text, with the fields that it has.
func describeLogLine(line logLine) string {
	f := line.Fields
	text := fmt.Sprintf("%s %s %s (%d):", line.Timestamp.Format(time.RFC3339Nano), f.Instance, line.Message, f.Event)
	for _, value := range []string{f.Chosen, f.Reason, f.Code} {
		if value != "" {
			text += " " + value
		}
	}
	status, limit, perSecond, count := "", "", "", ""
	if f.Status != 0 {
		status = strconv.Itoa(f.Status)
	}
	if f.Event == events.LimitsSummary {
		limit = strconv.Itoa(f.Limit)
	}
	if f.PerSecond != nil {
		perSecond = strconv.FormatFloat(*f.PerSecond, 'g', -1, 64)
	}
	if f.Count != 0 {
		count = strconv.Itoa(f.Count)
	}
	for _, field := range []struct{ name, value string }{
		{"service", f.Service}, {"group", f.Group}, {"target", f.Target}, {"state", f.State}, {"dataCentre", f.DataCentre},
		{"outcome", f.Outcome}, {"status", status}, {"took", f.Took}, {"retryAfter", f.RetryAfter},
		{"change", f.Change}, {"parts", strings.Join(f.Parts, ",")}, {"hold", f.Hold}, {"reporter", f.Reporter},
		{"closed", strings.Join(f.Closed, ",")}, {"limit", limit}, {"gap", f.Gap}, {"dependency", f.Dependency}, {"error", f.Error},
		{"perSecond", perSecond}, {"source", f.Source}, {"count", count},
	} {
		if field.value != "" {
			text += fmt.Sprintf(" %s=%s", field.name, field.value)
		}
	}
	for _, w := range f.Weighed {
		text += fmt.Sprintf("\n    weighed %s %.4f", w.Name, w.Score)
	}
	return text
}
