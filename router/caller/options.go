package caller

import (
	"net/netip"
	"time"

	"chervilswitch.example/shared/settings"
)

// Exit codes of the command.
const (
	ExitFailure = 1
	ExitUsage   = 2
)

// Options are the router's settings.
type Options struct {
	// File is where the settings were read.
	File       string `json:"-"`
	Instance   string `json:"instance"`
	DataCentre string `json:"dataCentre"`
	Region     string `json:"region"`
	// Callers, Readiness and Resolution are where callers' requests, the platform's
	// checks, and questions for addresses come in.
	Callers    netip.AddrPort `json:"callers"`
	Readiness  netip.AddrPort `json:"readiness"`
	Resolution netip.AddrPort `json:"resolution"`
	// Peers is where other entry instances connect.
	Peers netip.AddrPort `json:"peers"`
	// Operators is where metrics and profiles are served.
	Operators netip.AddrPort `json:"operators"`
	Store     netip.AddrPort `json:"store"`
	// Seeds are other instances' peer addresses, to ask while the store is away.
	Seeds []netip.AddrPort `json:"seeds,omitempty"`
	// SidecarPort is where sidecars listen beside their targets.
	SidecarPort uint16 `json:"sidecarPort"`
	// RetryRatio and RetrySlack bound repeated requests over all instances: a part
	// of the requests, and a number in a window besides.
	RetryRatio float64 `json:"retryRatio"`
	RetrySlack float64 `json:"retrySlack"`
	// Fencing tells that engines refuse orders with old fencing tokens.
	Fencing bool `json:"fencing"`
	// GracePeriod is the time from SIGTERM to the end by force.
	GracePeriod settings.Duration `json:"gracePeriod"`
	// AddressKeep is how long callers keep the addresses that they were told.
	AddressKeep settings.Duration `json:"addressKeep"`
}

// ParseOptions reads the command line and the settings that it names. Errors match
// settings.ErrInvalid.
func ParseOptions(arguments []string) (Options, error) {
	var o Options
	file, err := settings.ParseCommandLine("chervil-router", "Takes callers' requests and sends them to targets", arguments, &o)
	if err != nil {
		return o, err
	}
	o.File = file
	return o, o.check()
}

// Reread reads the settings' file once more. Errors match settings.ErrInvalid.
func (o *Options) Reread() (Options, error) {
	fresh := Options{File: o.File}
	if err := settings.Read(o.File, &fresh); err != nil {
		return fresh, err
	}
	return fresh, fresh.check()
}

// check names all faults at once.
func (o *Options) check() error {
	var faults settings.Faults
	for key, name := range map[string]string{"instance": o.Instance, "dataCentre": o.DataCentre} {
		if name == "" {
			faults.Add(key, "a name is needed")
		}
	}
	addresses := []struct {
		key     string
		address netip.AddrPort
	}{
		{"callers", o.Callers}, {"readiness", o.Readiness}, {"resolution", o.Resolution},
		{"peers", o.Peers}, {"operators", o.Operators}, {"store", o.Store},
	}
	for _, a := range addresses {
		if !a.address.IsValid() {
			faults.Add(a.key, "an address with a port is needed, such as 10.0.0.1:7000")
		}
	}
	if o.SidecarPort == 0 {
		faults.Add("sidecarPort", "a port is needed")
	}
	if o.RetryRatio < 0 || o.RetrySlack < 0 {
		faults.Add("retryRatio", "shares of repeated requests cannot be negative")
	}
	if time.Duration(o.GracePeriod) <= 0 {
		faults.Add("gracePeriod", "a time such as 8s is needed")
	}
	if time.Duration(o.AddressKeep) <= 0 {
		faults.Add("addressKeep", "a time such as 2s is needed")
	}
	return faults.Err(o.File)
}
