// Command chervil is the operators' command line. It checks and publishes
// inventory changes and reports the state of entries.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"chervilswitch.example/operate/desk"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(desk.Main(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
