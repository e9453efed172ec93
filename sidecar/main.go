// Command chervil-sidecar runs on the same machine as a model replica, where frequent
// queries of the rank's state cost next to nothing. It reports the state to planners
// and executes their orders on the rank.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"chervilswitch.example/shared/settings"
	"chervilswitch.example/sidecar/rank"
)

func main() {
	settings.IgnoreHangup()
	options, err := rank.ParseOptions(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "chervil-sidecar:", err)
		os.Exit(rank.ExitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := rank.Run(ctx, options); err != nil {
		fmt.Fprintln(os.Stderr, "chervil-sidecar:", err)
		os.Exit(rank.ExitFailure)
	}
}
