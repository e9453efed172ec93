// Command chervil-entry accepts callers' requests and forwards them to targets.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"chervilswitch.example/entry/caller"
)

func main() {
	options, err := caller.ParseOptions(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "chervil-entry:", err)
		os.Exit(caller.ExitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := caller.Run(ctx, options); err != nil {
		fmt.Fprintln(os.Stderr, "chervil-entry:", err)
		os.Exit(caller.ExitFailure)
	}
}
