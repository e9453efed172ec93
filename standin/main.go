// Command chervil-standin runs simulated platform services, a model engine and a plain
// service in one process, so that the daemons can be tried without the real ones.
package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"chervilswitch.example/shared/settings"
	"chervilswitch.example/standin/engine"
	"chervilswitch.example/standin/plain"
	"chervilswitch.example/standin/platform"

	"github.com/integrii/flaggy"
)

const (
	exitFailure = 1
	exitUsage   = 2
	// coldLimit is the number of concurrent requests allowed while the engine is cold.
	coldLimit = 4
)

// options holds the addresses to listen on; a service without one is not started.
// The step is the time of one decoding step and of prefill.
type options struct {
	platform, engine, plain string
	step                    time.Duration
}

func main() {
	o := options{step: 20 * time.Millisecond}
	parser := flaggy.NewParser("chervil-standin")
	parser.Description = "Runs simulated platform services, a model engine and a plain service."
	parser.String(&o.platform, "p", "platform", "address of the platform's log and instance list")
	parser.String(&o.engine, "e", "engine", "address of the model engine")
	parser.String(&o.plain, "s", "plain", "address of the plain service")
	parser.Duration(&o.step, "t", "step", "duration of one decoding step of the engine")
	if err := parser.ParseArgs(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "chervil-standin:", err)
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "chervil-standin:", err)
		os.Exit(exitFailure)
	}
}

// run serves until the context ends.
func run(ctx context.Context, o options) error {
	platformMux, engineMux := http.NewServeMux(), http.NewServeMux()
	platform.NewLog().Register(platformMux)
	new(platform.List).Register(platformMux)
	engine.New(engine.Options{Name: "engine", Step: o.step, Prefill: o.step, ColdLimit: coldLimit, CachedPrefixes: 8, ReportLag: 200 * time.Millisecond}).Register(engineMux)
	services := []struct {
		address string
		handler http.Handler
	}{{o.platform, platformMux}, {o.engine, engineMux}, {o.plain, &plain.Service{Name: "plain", Ledger: new(plain.Ledger)}}}
	var group sync.WaitGroup
	defer group.Wait()
	for _, s := range services {
		if s.address == "" {
			continue
		}
		address, err := netip.ParseAddrPort(s.address)
		if err != nil {
			return fmt.Errorf("listen address %q must be an address with a port", s.address)
		}
		server := &http.Server{Addr: address.String(), Handler: s.handler, ReadHeaderTimeout: settings.HeaderTimeout}
		group.Go(func() {
			if err := server.ListenAndServe(); err != nil && ctx.Err() == nil {
				fmt.Fprintln(os.Stderr, "chervil-standin:", err)
			}
		})
		context.AfterFunc(ctx, func() { _ = server.Close() })
	}
	<-ctx.Done()
	return nil
}
