// Package caller speaks to callers: it answers which entry to use, takes their
// requests and streams the answers.
package caller

import (
	"net/netip"
	"time"

	"chervilswitch.example/shared/operator"
	"chervilswitch.example/shared/settings"
)

// The exit codes.
const (
	ExitFailure = 1
	ExitUsage   = 2
)

// Options are the entry's checked settings.
type Options struct {
	settings.Common
	// Callers is where the entry listens for callers.
	Callers netip.AddrPort `json:"callers"`
	// AddressKeep is how long callers may keep an entry's address, and how long
	// a leaving entry still serves.
	AddressKeep settings.Duration `json:"addressKeep,omitempty"`
	// CallersTLS secures the callers' listener; unset means plain HTTP.
	CallersTLS *settings.TLS `json:"callersTls,omitempty"`
}

// ParseOptions reads the command line and the settings file that it names.
func ParseOptions(arguments []string) (Options, error) {
	var options Options
	file, err := settings.ParseCommandLine("chervil-entry", "Takes callers' requests and sends them to targets.", arguments, &options)
	if err != nil {
		return Options{}, err
	}
	return options, options.check(file)
}

func (o *Options) check(file string) error {
	var faults settings.Faults
	o.Common.Check(&faults)
	if !o.Callers.IsValid() {
		faults.Add("callers", "an address with a port is needed, such as 10.0.0.1:8080")
	}
	if o.AddressKeep < 0 {
		faults.Add("addressKeep", "%s is negative", time.Duration(o.AddressKeep))
	}
	if o.AddressKeep == 0 {
		o.AddressKeep = settings.Duration(operator.AddressKeep)
	}
	o.CallersTLS.CheckServer("callersTls", &faults)
	return faults.Err(file)
}
