package rank

import (
	"net/netip"

	"chervilswitch.example/shared/settings"
)

// Exit codes of the command.
const (
	ExitFailure = 1
	ExitUsage   = 2
)

// Options are the sidecar's settings.
type Options struct {
	// Instance is the name of the process in logs.
	Instance string `json:"instance"`
	// Engine is the address of the replica on the same machine.
	Engine netip.AddrPort `json:"engine"`
	// Peers is the address on which the sidecar listens for planners.
	Peers netip.AddrPort `json:"peers"`
	// MemoryMB is the memory that the process may use, in units of 2^20 bytes, and
	// FileDescriptors how many descriptors it may open. Zero means that neither is known.
	MemoryMB        float64 `json:"memoryMb,omitempty"`
	FileDescriptors float64 `json:"fileDescriptors,omitempty"`
}

// ParseOptions parses the command line and the settings file that it names. Errors
// match settings.ErrInvalid.
func ParseOptions(arguments []string) (Options, error) {
	var o Options
	file, err := settings.ParseCommandLine("chervil-sidecar", "Reports the state of a rank to planners and executes their orders", arguments, &o)
	if err != nil {
		return o, err
	}
	var faults settings.Faults
	if o.Instance == "" {
		faults.Add("instance", "a name is required")
	}
	if !o.Engine.IsValid() {
		faults.Add("engine", "an address with a port is required, such as 10.0.0.1:8080")
	}
	if !o.Peers.IsValid() {
		faults.Add("peers", "an address with a port is required, such as 10.0.0.1:7340")
	}
	if o.MemoryMB < 0 || o.FileDescriptors < 0 {
		faults.Add("memoryMb", "memoryMb and fileDescriptors must not be negative")
	}
	return o, faults.Err(file)
}
