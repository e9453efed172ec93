// Package settings reads and validates the settings files of the daemons. It provides
// the settings that entry and agent have in common, and the TLS configurations, the file
// watcher and the operator server that daemons set up from their settings.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"chervilswitch.example/shared/fault"
)

var (
	// ErrInvalid matches all errors about settings.
	ErrInvalid = fault.NewSentinel("settings", "invalid")
)

const (
	defaultRetention = 24 * time.Hour
	minRetention     = time.Minute
	maxFileBytes     = 1 << 20
)

// Duration is a duration with a text form such as "1.5s".
type Duration time.Duration

// UnmarshalText parses a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as 30s", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText formats a duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Common holds the settings that the entry and the agent have in common.
type Common struct {
	// Instance is the name of the process in the inventory.
	Instance   string `json:"instance"`
	DataCentre string `json:"dataCentre"`
	// Peer is the address on which the process listens for other processes.
	Peer netip.AddrPort `json:"peer"`
	// Operators is the address of the operator server.
	Operators netip.AddrPort `json:"operators"`
	// Platform is the address of the platform's services.
	Platform netip.AddrPort `json:"platform"`
	// Seeds lists peers to query while the inventory is not available.
	Seeds []netip.AddrPort `json:"seeds,omitempty"`
	// LogRetention is the time for which the platform's log keeps records.
	LogRetention Duration `json:"logRetention,omitempty"`
	// PeerTLS secures the connections to other processes; nil means plain TCP.
	PeerTLS *TLS `json:"peerTls,omitempty"`
}

// TLS holds the paths of certificate files in PEM format. Certificate and key are read
// again when the certificate file changes, the authorities only once.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// Authorities verify the peer's certificate. They are not used on the callers'
	// listener.
	Authorities string `json:"authorities,omitempty"`
}

// Faults collects invalid settings, so that one error can report all of them.
type Faults struct{ faults []error }

// Add adds the description of a fault in the value of a key.
func (f *Faults) Add(key, format string, arguments ...any) {
	f.faults = append(f.faults, fmt.Errorf("%s: %s", key, fmt.Sprintf(format, arguments...)))
}

// Err returns an error that matches ErrInvalid and lists all faults, or nil if there
// are none.
func (f *Faults) Err(file string) error {
	if len(f.faults) == 0 {
		return nil
	}
	return ErrInvalid.Wrap(errors.Join(f.faults...), "%s", file)
}

// Read decodes a settings file with Decode. Errors match ErrInvalid.
func Read(file string, into any) error {
	handle, err := os.Open(file)
	if err != nil {
		return ErrInvalid.Wrap(err, "open settings")
	}
	defer handle.Close()
	raw, err := io.ReadAll(io.LimitReader(handle, maxFileBytes))
	if err != nil {
		return ErrInvalid.Wrap(err, "read settings")
	}
	return Decode(file, raw, into)
}

// Decode decodes a JSON document and rejects unknown keys and trailing content. file
// names the document in errors, which match ErrInvalid and describe the first fault.
func Decode(file string, raw []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return ErrInvalid.New("%s: %s", file, withLine(raw, decoder.InputOffset(), err))
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return ErrInvalid.New("%s: unexpected content after the settings", file)
	}
	return nil
}

// withLine formats a decoder's error with the line of the decoder's offset. After a
// syntax error that is the first line, and otherwise the last line of the document.
func withLine(raw []byte, offset int64, err error) string {
	line := 1 + bytes.Count(raw[:min(int(offset), len(raw))], []byte("\n"))
	return fmt.Sprintf("line %d: %s", line, strings.TrimPrefix(err.Error(), "json: "))
}

// Check adds the faults of the common settings and sets defaults.
func (c *Common) Check(f *Faults) {
	if c.Instance == "" {
		f.Add("instance", "a name is required")
	}
	if c.DataCentre == "" {
		f.Add("dataCentre", "a name is required")
	}
	addresses := []struct {
		key     string
		address netip.AddrPort
	}{{"peer", c.Peer}, {"operators", c.Operators}, {"platform", c.Platform}}
	for _, a := range addresses {
		if !a.address.IsValid() {
			f.Add(a.key, "an address with a port is required, such as 10.0.0.1:7000")
		}
	}
	if c.LogRetention == 0 {
		c.LogRetention = Duration(defaultRetention)
	}
	if time.Duration(c.LogRetention) < minRetention {
		f.Add("logRetention", "%s is less than the minimum of %s", time.Duration(c.LogRetention), minRetention)
	}
	c.PeerTLS.check("peerTls", true, f)
}

// check adds a fault for each certificate file that does not exist. Mutual TLS also
// requires the authorities.
func (t *TLS) check(key string, mutual bool, f *Faults) {
	if t == nil {
		return
	}
	files := map[string]string{"certificate": t.Certificate, "key": t.Key}
	if mutual {
		files["authorities"] = t.Authorities
	}
	for _, name := range []string{"certificate", "key", "authorities"} {
		file, required := files[name]
		if !required {
			continue
		}
		if _, err := os.Stat(file); err != nil {
			f.Add(key+"."+name, "%s", err)
		}
	}
}

// CheckServer adds the faults of the certificate files of a listener without mutual
// TLS.
func (t *TLS) CheckServer(key string, f *Faults) { t.check(key, false, f) }

// HeaderTimeout limits the time that a client takes to send the headers of a request.
const HeaderTimeout = 10 * time.Second
