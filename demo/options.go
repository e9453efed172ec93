package main

import (
	"fmt"

	"github.com/integrii/flaggy"
)

// The exit codes.
const (
	exitOK      = 0
	exitBroken  = 1
	exitUsage   = 2
	exitFailure = 3
)

// options are the checked command line.
type options struct {
	stay bool
	logs bool
}

func parseOptions(arguments []string) (options, error) {
	var o options
	parser := flaggy.NewParser("chervil-demo")
	parser.Description = "Runs a whole deployment in one process and shows it at work."
	parser.Bool(&o.stay, "s", "stay", "go on running afterwards and print commands to try")
	parser.Bool(&o.logs, "l", "logs", "write the daemons' logs to standard error")
	if err := parser.ParseArgs(arguments); err != nil {
		return o, fmt.Errorf("command line: %w", err)
	}
	return o, nil
}
