package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"chervilswitch.example/demo/site"
	"chervilswitch.example/operate/desk"
	"chervilswitch.example/shared/operator"
	"chervilswitch.example/shared/platform"
	"chervilswitch.example/standin/engine"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/apex/log/handlers/json"
)

const (
	entries       = 4
	replicas      = 12
	plains        = 3
	coldLimit     = 4
	warmLimit     = 16
	callers       = 12
	phase         = 2500 * time.Millisecond
	settle        = 3 * time.Second
	demoTimeout   = 28 * time.Second
	step          = 10 * time.Millisecond
	prefill       = 20 * time.Millisecond
	reportLag     = 200 * time.Millisecond
	cachedPrompts = 8
	takenOut      = "sfax-b"
	killed        = "replica-03"
)

// demo is one run.
type demo struct {
	site   *site.Site
	out    io.Writer
	load   *site.LoadGenerator
	broken []string
}

// run shows the system at work and returns the exit code.
func run(ctx context.Context, o options, out io.Writer) int {
	handler := log.Handler(discard.Default)
	if o.logs {
		handler = json.New(os.Stderr)
	}
	s, err := site.Start(ctx, site.Options{
		Entries: entries, Replicas: replicas, Plains: plains, ColdLimit: coldLimit, WarmLimit: warmLimit,
		Engine:      engine.Options{Step: step, Prefill: prefill, CachedPrefixes: cachedPrompts, ReportLag: reportLag},
		AddressKeep: time.Second,
		Ranks:       true,
		Logger:      &log.Logger{Handler: handler, Level: log.InfoLevel},
	})
	if err != nil {
		fmt.Fprintln(out, err)
		return exitFailure
	}
	defer s.Close()
	d := &demo{site: s, out: out, load: site.NewLoadGenerator(s)}
	limited, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	if err := d.show(limited); err != nil {
		fmt.Fprintln(out, err)
		return exitFailure
	}
	code := d.summary()
	if o.stay {
		d.printCommands()
		<-ctx.Done()
	}
	return code
}

func (d *demo) say(format string, arguments ...any) {
	fmt.Fprintf(d.out, format+"\n", arguments...)
}

// show runs the parts of the demo under load.
func (d *demo) show(ctx context.Context) error {
	if err := d.site.AwaitReady(ctx); err != nil {
		return err
	}
	d.say("%d entries, %d model replicas and %d order desks in %s are ready", entries, replicas, plains, strings.Join(site.DataCentres, ", "))
	loadContext, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	d.load.Start(loadContext, callers)
	if !pause(ctx, phase) {
		return ctx.Err()
	}
	if err := d.moveDataCentre(ctx); err != nil {
		return err
	}
	d.say("\n$ kill the agent of %s", killed)
	d.site.Processes[killed].Kill()
	if err := d.conflict(ctx); err != nil {
		return err
	}
	if !pause(ctx, phase) {
		return ctx.Err()
	}
	d.load.Stop()
	return nil
}

// moveDataCentre takes a data centre out, watches that it gets nothing, and
// brings it back.
func (d *demo) moveDataCentre(ctx context.Context) error {
	if err := d.operate(ctx, "take-out", takenOut); err != nil {
		return err
	}
	if !pause(ctx, settle) {
		return ctx.Err()
	}
	before := d.receivedIn(takenOut)
	if !pause(ctx, phase) {
		return ctx.Err()
	}
	late := d.receivedIn(takenOut) - before
	d.say("%s got %d requests later than %s after it was taken out", takenOut, late, settle)
	if late > 0 {
		d.broken = append(d.broken, "a data centre that was taken out got new work")
	}
	if err := d.operate(ctx, "bring-back", takenOut); err != nil {
		return err
	}
	if !pause(ctx, phase) {
		return ctx.Err()
	}
	d.say("%s got %d requests since it was brought back", takenOut, d.receivedIn(takenOut)-before-late)
	return nil
}

// operate runs the operators' command.
func (d *demo) operate(ctx context.Context, command, name string) error {
	d.say("\n$ chervil %s %s", command, name)
	arguments := []string{command, name, "--platform", d.site.Platform.String(), "--operator", "amel"}
	for _, entry := range []string{"entry-0", "entry-1"} {
		arguments = append(arguments, "--entry", d.site.Operators[entry].String())
	}
	if code := desk.Main(ctx, arguments, d.out, d.out); code != desk.ExitOK {
		return fmt.Errorf("chervil %s ended with %d", command, code)
	}
	return nil
}

func (d *demo) receivedIn(dataCentre string) int {
	count := 0
	for name, e := range d.site.Engines {
		if d.site.Inventory.Instances[name].DataCentre == dataCentre {
			count += e.Counts().Received
		}
	}
	return count
}

// conflict lets two operators publish from the same state.
func (d *demo) conflict(ctx context.Context) error {
	client := platform.NewClient(d.site.Platform, nil)
	first, second := desk.NewPublisher(client), desk.NewPublisher(client)
	if err := errors.Join(first.Refresh(ctx), second.Refresh(ctx)); err != nil {
		return err
	}
	centre := first.Config().Inventory().DataCentres[site.DataCentres[2]]
	centre.Region = "sfax-south"
	edit, err := desk.DataCentreOutEdit(site.DataCentres[2], centre, false)
	if err != nil {
		return err
	}
	d.say("\n$ two operators change %s at once", site.DataCentres[2])
	if _, err := first.Publish(ctx, "amel", []operator.Edit{edit}); err != nil {
		return err
	}
	_, err = second.Publish(ctx, "bilel", []operator.Edit{edit})
	d.say("amel: accepted\nbilel: %v", err)
	if !errors.Is(err, desk.ErrConflict) {
		d.broken = append(d.broken, "two conflicting changes were accepted")
	}
	return nil
}

// summary prints what callers saw and which promises broke.
func (d *demo) summary() int {
	seen := d.load.Stats()
	twice, notRunButRan := d.load.CheckDeposits()
	overload := 0
	for _, e := range d.site.Engines {
		overload += e.Counts().ColdOverload
	}
	d.check(twice > 0, "a deposit ran twice")
	d.check(notRunButRan > 0, "a deposit ran that was said not to")
	d.check(overload > 0, "a cold target was overloaded")
	d.check(seen.Mixed > 0, "an answer was not its request's own, or cut and shown as whole")
	d.check(seen.Whole == 0, "no request was answered")
	d.say("\ncallers saw: %d whole answers, %d refused as not run, %d unknown or cut visibly", seen.Whole, seen.NotRun, seen.Unknown)
	d.say("deposits: %d sent, %d ran twice, %d ran though refused; cold targets overloaded: %d", seen.Deposits, twice, notRunButRan, overload)
	last, steps, mixed := d.site.Lockstep.Progress()
	d.check(mixed > 0, "a step had two expert maps")
	d.check(steps == 0, "the group of ranks never ran a step")
	d.say("the group of %d ranks ran %d steps, %d with two maps; it waits for the killed rank since step %d", replicas, steps, mixed, last.Step)
	d.say("time to the first token: median %s, 95 in 100 within %s", seen.FirstTokenP50.Round(time.Millisecond), seen.FirstTokenP95.Round(time.Millisecond))
	if len(d.broken) > 0 {
		slices.Sort(d.broken)
		d.say("BROKEN: %s", strings.Join(slices.Compact(d.broken), "; "))
		return exitBroken
	}
	d.say("every promise held")
	return exitOK
}

func (d *demo) check(broken bool, promise string) {
	if broken {
		d.broken = append(d.broken, promise)
	}
}

func (d *demo) printCommands() {
	address := d.site.Callers["entry-0"]
	d.say("\nTry, until you press Ctrl-C:")
	d.say("curl http://%s/v1/entries", address)
	d.say(`curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{"model":"%s","stream":true,"messages":[{"role":"user","content":"lume notes"}]}'`, address, site.APIKey, site.Model)
	d.say(`curl http://%s/services/%s/deposits -H 'Authorization: Bearer %s' -H 'Idempotency-Key: my-first' -d amount=5`, address, site.PlainService, site.APIKey)
	d.say("go run ./operate status --entry %s", d.site.Operators["entry-0"])
	d.say("go run ./operate take-out %s --platform %s --entry %s", takenOut, d.site.Platform, d.site.Operators["entry-0"])
}

// pause waits; it returns false if the context ended first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
