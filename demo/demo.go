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
	"chervilswitch.example/shared/wait"
	"chervilswitch.example/standin/engine"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/apex/log/handlers/json"
)

const (
	entries       = 4
	replicas      = 12
	plainReplicas = 3
	coldLimit     = 4
	warmLimit     = 16
	callers       = 12
	phaseDuration = 2500 * time.Millisecond
	// settleTime is how long after a take-out new requests may still reach the data
	// centre; later ones violate a guarantee.
	settleTime         = 3 * time.Second
	demoTimeout        = 28 * time.Second
	stepTime           = 10 * time.Millisecond
	prefillTime        = 20 * time.Millisecond
	reportLag          = 200 * time.Millisecond
	cachedPrompts      = 8
	takenOutDataCentre = "sfax-b"
	killedReplica      = "replica-03"
)

// demo is one run of the demonstration.
type demo struct {
	site *site.Site
	out  io.Writer
	load *site.LoadGenerator
	// violated lists the guarantees that did not hold.
	violated []string
}

// run starts a deployment, runs the scenario under load and returns the exit code.
func run(ctx context.Context, o options, out io.Writer) int {
	handler := log.Handler(discard.Default)
	if o.logs {
		handler = json.New(os.Stderr)
	}
	s, err := site.Start(ctx, site.Options{
		Entries: entries, Replicas: replicas, Plains: plainReplicas, ColdLimit: coldLimit, WarmLimit: warmLimit,
		Engine:      engine.Options{Step: stepTime, Prefill: prefillTime, CachedPrefixes: cachedPrompts, ReportLag: reportLag},
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
	scenarioCtx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	if err := d.runScenario(scenarioCtx); err != nil {
		fmt.Fprintln(out, err)
		return exitFailure
	}
	code := d.printSummary()
	if o.keepRunning {
		d.printCommands()
		<-ctx.Done()
	}
	return code
}

func (d *demo) printf(format string, arguments ...any) {
	fmt.Fprintf(d.out, format+"\n", arguments...)
}

// runScenario runs the steps of the demo under load: a data centre is taken out and
// brought back, an agent is killed, and two operators publish conflicting changes.
func (d *demo) runScenario(ctx context.Context) error {
	if err := d.site.AwaitReady(ctx); err != nil {
		return err
	}
	d.printf("%d entries, %d model replicas and %d order desks in %s are ready", entries, replicas, plainReplicas, strings.Join(site.DataCentres, ", "))
	loadContext, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	d.load.Start(loadContext, callers)
	if !wait.Sleep(ctx, phaseDuration) {
		return ctx.Err()
	}
	if err := d.takeOutAndBringBack(ctx); err != nil {
		return err
	}
	d.printf("\n$ kill the agent of %s", killedReplica)
	d.site.Processes[killedReplica].Kill()
	if err := d.publishConflictingChanges(ctx); err != nil {
		return err
	}
	if !wait.Sleep(ctx, phaseDuration) {
		return ctx.Err()
	}
	d.load.Stop()
	return nil
}

// takeOutAndBringBack takes a data centre out, checks that it receives no requests
// once the change has settled, and brings it back.
func (d *demo) takeOutAndBringBack(ctx context.Context) error {
	if err := d.runOperatorCommand(ctx, "take-out", takenOutDataCentre); err != nil {
		return err
	}
	if !wait.Sleep(ctx, settleTime) {
		return ctx.Err()
	}
	before := d.receivedIn(takenOutDataCentre)
	if !wait.Sleep(ctx, phaseDuration) {
		return ctx.Err()
	}
	late := d.receivedIn(takenOutDataCentre) - before
	d.printf("%s got %d requests later than %s after it was taken out", takenOutDataCentre, late, settleTime)
	if late > 0 {
		d.violated = append(d.violated, "a data centre that was taken out got new work")
	}
	if err := d.runOperatorCommand(ctx, "bring-back", takenOutDataCentre); err != nil {
		return err
	}
	if !wait.Sleep(ctx, phaseDuration) {
		return ctx.Err()
	}
	d.printf("%s got %d requests since it was brought back", takenOutDataCentre, d.receivedIn(takenOutDataCentre)-before-late)
	return nil
}

// runOperatorCommand runs a chervil command as the operator amel. It returns an
// error if the command fails.
func (d *demo) runOperatorCommand(ctx context.Context, command, name string) error {
	d.printf("\n$ chervil %s %s", command, name)
	arguments := []string{command, name, "--platform", d.site.Platform.String(), "--operator", "amel"}
	for _, entry := range []string{"entry-0", "entry-1"} {
		arguments = append(arguments, "--entry", d.site.Operators[entry].String())
	}
	if code := desk.Main(ctx, arguments, d.out, d.out); code != desk.ExitOK {
		return fmt.Errorf("chervil %s exited with code %d", command, code)
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

// publishConflictingChanges publishes two changes that are based on the same
// configuration. The second publisher must get ErrConflict.
func (d *demo) publishConflictingChanges(ctx context.Context) error {
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
	d.printf("\n$ two operators change %s at once", site.DataCentres[2])
	if _, err := first.Publish(ctx, "amel", []operator.Edit{edit}); err != nil {
		return err
	}
	_, err = second.Publish(ctx, "bilel", []operator.Edit{edit})
	d.printf("amel: accepted\nbilel: %v", err)
	if !errors.Is(err, desk.ErrConflict) {
		d.violated = append(d.violated, "two conflicting changes were accepted")
	}
	return nil
}

// printSummary prints the callers' results and the violated guarantees, and returns
// the exit code.
func (d *demo) printSummary() int {
	stats := d.load.Stats()
	twice, notRunButRan := d.load.CheckDeposits()
	overload := 0
	for _, e := range d.site.Engines {
		overload += e.Counts().ColdOverload
	}
	d.reportIf(twice > 0, "a deposit ran twice")
	d.reportIf(notRunButRan > 0, "a deposit ran that was reported as not run")
	d.reportIf(overload > 0, "a cold target was overloaded")
	d.reportIf(stats.Mixed > 0, "a response belonged to another request or was truncated without an error")
	d.reportIf(stats.Whole == 0, "no request got a complete response")
	d.printf("\nresponses: %d complete, %d refused as not run, %d unknown or truncated with an error", stats.Whole, stats.NotRun, stats.Unknown)
	d.printf("deposits: %d sent, %d ran twice, %d ran though refused; cold targets overloaded: %d", stats.Deposits, twice, notRunButRan, overload)
	last, steps, mixed := d.site.Lockstep.Progress()
	d.reportIf(mixed > 0, "a step had two expert maps")
	d.reportIf(steps == 0, "the group of ranks never ran a step")
	d.printf("the group of %d ranks ran %d steps, %d with two maps; it waits for the killed rank since step %d", replicas, steps, mixed, last.Step)
	d.printf("time to the first token: median %s, 95 in 100 within %s", stats.FirstTokenP50.Round(time.Millisecond), stats.FirstTokenP95.Round(time.Millisecond))
	if len(d.violated) > 0 {
		slices.Sort(d.violated)
		d.printf("BROKEN: %s", strings.Join(slices.Compact(d.violated), "; "))
		return exitViolation
	}
	d.printf("all guarantees held")
	return exitOK
}

// reportIf records violation if violated is true.
func (d *demo) reportIf(violated bool, violation string) {
	if violated {
		d.violated = append(d.violated, violation)
	}
}

func (d *demo) printCommands() {
	address := d.site.Callers["entry-0"]
	d.printf("\nTry, until you press Ctrl-C:")
	d.printf("curl http://%s/v1/entries", address)
	d.printf(`curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{"model":"%s","stream":true,"messages":[{"role":"user","content":"lume notes"}]}'`, address, site.APIKey, site.Model)
	d.printf(`curl http://%s/services/%s/deposits -H 'Authorization: Bearer %s' -H 'Idempotency-Key: my-first' -d amount=5`, address, site.PlainService, site.APIKey)
	d.printf("go run ./operate status --entry %s", d.site.Operators["entry-0"])
	d.printf("go run ./operate take-out %s --platform %s --entry %s", takenOutDataCentre, d.site.Platform, d.site.Operators["entry-0"])
}
