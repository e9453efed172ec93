// Package fault makes errorx errors compatible with errors.Is of the standard library:
// an error created by a sentinel matches the sentinel and the causes that it wraps.
package fault

import (
	"github.com/joomcode/errorx"
)

// Sentinel creates errors that match it with errors.Is.
type Sentinel struct{ errorType *errorx.Type }

// NewSentinel returns a sentinel with the full name namespace.name, such as peer.link.
func NewSentinel(namespace, name string) *Sentinel {
	return &Sentinel{errorType: errorx.NewNamespace(namespace).NewType(name)}
}

// Error returns the sentinel's full name.
func (s *Sentinel) Error() string { return s.errorType.FullName() }

// New returns an error with a formatted message that matches the sentinel.
func (s *Sentinel) New(format string, arguments ...any) error {
	return &sentinelError{error: s.errorType.New(format, arguments...), sentinel: s}
}

// Wrap returns an error with a formatted message that matches the sentinel and the
// cause.
func (s *Sentinel) Wrap(cause error, format string, arguments ...any) error {
	return &sentinelError{error: s.errorType.Wrap(cause, format, arguments...), sentinel: s, cause: cause}
}

// sentinelError adds the standard library's Is and Unwrap to an errorx error.
type sentinelError struct {
	error
	sentinel *Sentinel
	cause    error
}

// Is reports whether the target is the sentinel that created the error.
func (e *sentinelError) Is(target error) bool { return target == error(e.sentinel) }

// Unwrap returns the cause, or nil if the error wraps none.
func (e *sentinelError) Unwrap() error { return e.cause }
