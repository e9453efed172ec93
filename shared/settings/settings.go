// Package settings reads the settings that every process has in common and
// names all faults at once.
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
	// ErrInvalid is matched by every error about settings.
	ErrInvalid = fault.NewSentinel("settings", "invalid")
)

const (
	defaultRetention = 24 * time.Hour
	minRetention     = time.Minute
	maxFileBytes     = 1 << 20
)

// Duration is a time span written as in "1.5s".
type Duration time.Duration

// UnmarshalText reads a span.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as 30s", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText writes a span.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Common is what every process is told.
type Common struct {
	// Instance is the process's name in the inventory.
	Instance   string `json:"instance"`
	DataCentre string `json:"dataCentre"`
	// Peer is where the process listens for other processes.
	Peer netip.AddrPort `json:"peer"`
	// Operators is where it answers health, metrics and profiles.
	Operators netip.AddrPort `json:"operators"`
	// Platform is the address of the platform's services.
	Platform netip.AddrPort `json:"platform"`
	// Seeds are peers to ask while the inventory is not known.
	Seeds []netip.AddrPort `json:"seeds,omitempty"`
	// LogRetention is how long the platform's log keeps records.
	LogRetention Duration `json:"logRetention,omitempty"`
	// PeerTLS secures the links to other processes; unset means plain TCP.
	PeerTLS *TLS `json:"peerTls,omitempty"`
}

// TLS names certificate files in PEM form, which are read again when they change.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// Authorities verify the other end; on the callers' listener it is unused.
	Authorities string `json:"authorities,omitempty"`
}

// Faults gathers what is wrong so that all is named at once.
type Faults struct{ faults []error }

// Add notes a fault of one key.
func (f *Faults) Add(key, format string, arguments ...any) {
	f.faults = append(f.faults, fmt.Errorf("%s: %s", key, fmt.Sprintf(format, arguments...)))
}

// Err is nil or an error that matches ErrInvalid and names every fault.
func (f *Faults) Err(file string) error {
	if len(f.faults) == 0 {
		return nil
	}
	return ErrInvalid.Wrap(errors.Join(f.faults...), "%s", file)
}

// Read decodes a file strictly into a struct. Errors match ErrInvalid.
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

// Decode reads JSON strictly. It names every unknown key, not only the first.
func Decode(file string, raw []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return ErrInvalid.New("%s: %s", file, describe(raw, decoder.InputOffset(), err))
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return ErrInvalid.New("%s: content after the settings", file)
	}
	return nil
}

// describe adds the line to a decoder's error.
func describe(raw []byte, offset int64, err error) string {
	line := 1 + bytes.Count(raw[:min(int(offset), len(raw))], []byte("\n"))
	return fmt.Sprintf("line %d: %s", line, strings.TrimPrefix(err.Error(), "json: "))
}

// Check adds the faults of the common settings and fills in defaults.
func (c *Common) Check(f *Faults) {
	if c.Instance == "" {
		f.Add("instance", "a name is needed")
	}
	if c.DataCentre == "" {
		f.Add("dataCentre", "a name is needed")
	}
	addresses := []struct {
		key     string
		address netip.AddrPort
	}{{"peer", c.Peer}, {"operators", c.Operators}, {"platform", c.Platform}}
	for _, a := range addresses {
		if !a.address.IsValid() {
			f.Add(a.key, "an address with a port is needed, such as 10.0.0.1:7000")
		}
	}
	if c.LogRetention == 0 {
		c.LogRetention = Duration(defaultRetention)
	}
	if time.Duration(c.LogRetention) < minRetention {
		f.Add("logRetention", "%s is less than %s", time.Duration(c.LogRetention), minRetention)
	}
	c.PeerTLS.check("peerTls", true, f)
}

// check adds the faults of a certificate's files.
func (t *TLS) check(key string, mutual bool, f *Faults) {
	if t == nil {
		return
	}
	files := map[string]string{"certificate": t.Certificate, "key": t.Key}
	if mutual {
		files["authorities"] = t.Authorities
	}
	for _, name := range []string{"certificate", "key", "authorities"} {
		file, wanted := files[name]
		if !wanted {
			continue
		}
		if _, err := os.Stat(file); err != nil {
			f.Add(key+"."+name, "%s", err)
		}
	}
}

// CheckServer adds the faults of a listener's certificate.
func (t *TLS) CheckServer(key string, f *Faults) { t.check(key, false, f) }

// HeaderTimeout is how long a client may take to send a request's header.
const HeaderTimeout = 10 * time.Second
