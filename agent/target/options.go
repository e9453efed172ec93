// Package target implements the agent. It admits the attempts that entries send,
// forwards them to the target on the same instance and streams the responses back.
package target

import (
	"net/netip"

	"chervilswitch.example/shared/settings"
)

// Exit codes of the command.
const (
	ExitFailure = 1
	ExitUsage   = 2
)

// Options holds the agent's validated settings.
type Options struct {
	settings.Common
	// Target is the address of the target's HTTP interface.
	Target netip.AddrPort `json:"target"`
	// Service is the target's service in the inventory.
	Service string `json:"service"`
	// ReportsLoad is set if the target serves load reports at GET /load.
	ReportsLoad bool `json:"reportsLoad,omitempty"`
}

// ParseOptions parses the command line, and reads and validates the settings file that
// it names.
func ParseOptions(arguments []string) (Options, error) {
	var options Options
	file, err := settings.ParseCommandLine("chervil-agent", "Admits and forwards requests to the target on this instance.", arguments, &options)
	if err != nil {
		return Options{}, err
	}
	return options, options.check(file)
}

func (o *Options) check(file string) error {
	var faults settings.Faults
	o.Common.Check(&faults)
	if !o.Target.IsValid() {
		faults.Add("target", "an address with a port is required, such as 127.0.0.1:9000")
	}
	if o.Service == "" {
		faults.Add("service", "a name is required")
	}
	return faults.Err(file)
}
