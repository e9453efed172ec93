// Command chervil-router accepts requests from callers on an entry instance and
// forwards them to targets.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"chervilswitch.example/router/caller"
	"chervilswitch.example/shared/settings"
)

func main() {
	settings.IgnoreHangup()
	options, err := caller.ParseOptions(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "chervil-router:", err)
		os.Exit(caller.ExitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := caller.Run(ctx, options); err != nil {
		fmt.Fprintln(os.Stderr, "chervil-router:", err)
		os.Exit(caller.ExitFailure)
	}
}
