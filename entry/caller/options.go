// Package caller implements the entry: it lists entries to callers, accepts their
// requests, forwards these to agents and streams the responses.
package caller

import (
	"net/netip"
	"time"

	"chervilswitch.example/shared/operator"
	"chervilswitch.example/shared/settings"
)

// Exit codes of the command.
const (
	ExitFailure = 1
	ExitUsage   = 2
)

// Options holds the entry's validated settings.
type Options struct {
	settings.Common
	// Callers is the address on which the entry listens for callers.
	Callers netip.AddrPort `json:"callers"`
	// AddressKeep is how long callers may cache an entry's address, and how long a
	// draining entry continues to serve. Zero means operator.AddressKeep.
	AddressKeep settings.Duration `json:"addressKeep,omitempty"`
	// CallersTLS secures the callers' listener; unset means plain HTTP.
	CallersTLS *settings.TLS `json:"callersTls,omitempty"`
}

// ParseOptions parses the command line, and reads and validates the settings file that
// it names.
func ParseOptions(arguments []string) (Options, error) {
	var options Options
	file, err := settings.ParseCommandLine("chervil-entry", "Accepts callers' requests and forwards them to targets.", arguments, &options)
	if err != nil {
		return Options{}, err
	}
	return options, options.check(file)
}

func (o *Options) check(file string) error {
	var faults settings.Faults
	o.Common.Check(&faults)
	if !o.Callers.IsValid() {
		faults.Add("callers", "must be an address with a port, such as 10.0.0.1:8080")
	}
	if o.AddressKeep < 0 {
		faults.Add("addressKeep", "must not be negative, but is %s", time.Duration(o.AddressKeep))
	}
	if o.AddressKeep == 0 {
		o.AddressKeep = settings.Duration(operator.AddressKeep)
	}
	o.CallersTLS.CheckServer("callersTls", &faults)
	return faults.Err(file)
}
