package caller

import (
	"net/netip"
	"time"

	"chervilswitch.example/shared/intake"
	"chervilswitch.example/shared/settings"
)

// Exit codes of chervil-router.
const (
	ExitFailure = 1
	ExitUsage   = 2
)

// Options are the settings of the router.
type Options struct {
	// File is the path of the settings file.
	File       string `json:"-"`
	Instance   string `json:"instance"`
	DataCentre string `json:"dataCentre"`
	Region     string `json:"region"`
	// Callers, Readiness and Resolution are the listen addresses for callers' requests,
	// for the platform's readiness checks and for address queries.
	Callers    netip.AddrPort `json:"callers"`
	Readiness  netip.AddrPort `json:"readiness"`
	Resolution netip.AddrPort `json:"resolution"`
	// Peers is the listen address for other entry instances.
	Peers netip.AddrPort `json:"peers"`
	// Operators is the listen address for metrics and profiles.
	Operators netip.AddrPort `json:"operators"`
	Store     netip.AddrPort `json:"store"`
	// Seeds are peer addresses of other instances, for a start while the store is
	// unavailable.
	Seeds []netip.AddrPort `json:"seeds,omitempty"`
	// SidecarPort is the port that sidecars listen on, at the addresses of their targets.
	SidecarPort uint16 `json:"sidecarPort"`
	// RetryRatio and RetrySlack are the retry budget over all instances: a fraction of
	// the requests, plus a number of retries per window.
	RetryRatio float64 `json:"retryRatio"`
	RetrySlack float64 `json:"retrySlack"`
	// HedgeShare is the share of each service's requests, over all instances, that may get
	// a second attempt before the first has ended. 0 turns this off.
	HedgeShare float64 `json:"hedgeShare,omitempty"`
	// Fencing reports whether engines refuse commands with outdated fencing tokens.
	Fencing bool `json:"fencing"`
	// GracePeriod is the time from SIGTERM until the process ends, even with requests in
	// flight.
	GracePeriod settings.Duration `json:"gracePeriod"`
	// AddressKeep is how long callers may cache the addresses from a query.
	AddressKeep settings.Duration `json:"addressKeep"`
	// MemoryMB is the memory that the process may use, in units of 2^20 bytes, and
	// FileDescriptors how many descriptors it may open. Zero means that neither is known.
	MemoryMB        float64 `json:"memoryMb,omitempty"`
	FileDescriptors float64 `json:"fileDescriptors,omitempty"`
	// CallerConnections and CallerMB bound the connections of callers, and their bodies and
	// responses that are held, in units of 2^20 bytes. Zero derives them from the two above.
	CallerConnections int     `json:"callerConnections,omitempty"`
	CallerMB          float64 `json:"callerMb,omitempty"`
	// BodyTimeout is the longest time for a body, also if its route allows more, and
	// BodyBytesPerSecond the lowest rate after the first ten seconds. Zero is the default.
	BodyTimeout        settings.Duration `json:"bodyTimeout,omitempty"`
	BodyBytesPerSecond float64           `json:"bodyBytesPerSecond,omitempty"`
}

const (
	// defaultBodyTimeout is twice defaultTimeout.
	defaultBodyTimeout = 60 * time.Second
	// defaultBodyRate, in bytes per second, is too low for any body to end within its
	// request's time, except for the smallest.
	defaultBodyRate = 1 << 10
)

// ParseOptions parses the command line and reads the settings file that it names.
// Errors match settings.ErrInvalid.
func ParseOptions(arguments []string) (Options, error) {
	var o Options
	file, err := settings.ParseCommandLine("chervil-router", "Accepts requests from callers and forwards them to targets", arguments, &o)
	if err != nil {
		return o, err
	}
	o.File = file
	return o, o.check()
}

// Reread reads the settings file again. Errors match settings.ErrInvalid.
func (o *Options) Reread() (Options, error) {
	fresh := Options{File: o.File}
	if err := settings.Read(o.File, &fresh); err != nil {
		return fresh, err
	}
	return fresh, fresh.check()
}

// check validates all settings and reports every fault in one error.
func (o *Options) check() error {
	var faults settings.Faults
	for key, name := range map[string]string{"instance": o.Instance, "dataCentre": o.DataCentre} {
		if name == "" {
			faults.Add(key, "a non-empty name is required")
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
			faults.Add(a.key, "an address with a port is required, such as 10.0.0.1:7000")
		}
	}
	if o.SidecarPort == 0 {
		faults.Add("sidecarPort", "a port other than 0 is required")
	}
	if o.RetryRatio < 0 || o.RetrySlack < 0 {
		faults.Add("retryRatio", "retryRatio and retrySlack must not be negative")
	}
	if o.HedgeShare < 0 || o.HedgeShare > 1 {
		faults.Add("hedgeShare", "a share from 0 (off) to 1 is required, such as 0.02")
	}
	if time.Duration(o.GracePeriod) <= 0 {
		faults.Add("gracePeriod", "a positive duration is required, such as 8s")
	}
	if time.Duration(o.AddressKeep) <= 0 {
		faults.Add("addressKeep", "a positive duration is required, such as 2s")
	}
	limits := map[string]float64{
		"memoryMb": o.MemoryMB, "fileDescriptors": o.FileDescriptors, "callerConnections": float64(o.CallerConnections),
		"callerMb": o.CallerMB, "bodyTimeout": float64(o.BodyTimeout), "bodyBytesPerSecond": o.BodyBytesPerSecond,
	}
	for key, value := range limits {
		if value < 0 {
			faults.Add(key, "a value that is not negative is required; 0 is the default")
		}
	}
	return faults.Err(o.File)
}

// resources returns what the process may use.
func (o *Options) resources() intake.Resources {
	return intake.NewResources(o.MemoryMB, o.FileDescriptors)
}

// callerIntake returns the bounds of what callers hold.
func (o *Options) callerIntake() *intake.Intake {
	resources := o.resources()
	i := &intake.Intake{MaxConnections: o.CallerConnections, MaxBytes: int64(o.CallerMB * (1 << 20))}
	if i.MaxConnections == 0 {
		i.MaxConnections = resources.CallerConnections()
	}
	if i.MaxBytes == 0 {
		i.MaxBytes = resources.CallerBytes()
	}
	return i
}

// bodyTimeout returns the longest time for a body.
func (o *Options) bodyTimeout() time.Duration {
	if o.BodyTimeout == 0 {
		return defaultBodyTimeout
	}
	return time.Duration(o.BodyTimeout)
}

// bodyRate returns the lowest rate of a body in bytes per second.
func (o *Options) bodyRate() float64 {
	if o.BodyBytesPerSecond == 0 {
		return defaultBodyRate
	}
	return o.BodyBytesPerSecond
}
