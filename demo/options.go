package main

import (
	"fmt"

	"github.com/integrii/flaggy"
)

// Exit codes. exitViolation means that the demo ran and a guarantee did not hold;
// exitFailure means that the demo could not run to its end.
const (
	exitOK        = 0
	exitViolation = 1
	exitUsage     = 2
	exitFailure   = 3
)

// options holds the parsed command line.
type options struct {
	keepRunning bool
	logs        bool
}

func parseOptions(arguments []string) (options, error) {
	var o options
	parser := flaggy.NewParser("chervil-demo")
	parser.Description = "Runs a complete deployment in one process and shows how it behaves."
	parser.Bool(&o.keepRunning, "s", "stay", "keep the deployment running after the demo and print example commands")
	parser.Bool(&o.logs, "l", "logs", "write the daemons' logs to standard error")
	if err := parser.ParseArgs(arguments); err != nil {
		return o, fmt.Errorf("command line: %w", err)
	}
	return o, nil
}
