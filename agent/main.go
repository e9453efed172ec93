// Command chervil-agent runs on a target's instance. All requests to the target pass
// through it.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"chervilswitch.example/agent/target"
)

func main() {
	options, err := target.ParseOptions(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "chervil-agent:", err)
		os.Exit(target.ExitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := target.Run(ctx, options); err != nil {
		fmt.Fprintln(os.Stderr, "chervil-agent:", err)
		os.Exit(target.ExitFailure)
	}
}
