// Package fault joins errorx types with the standard library's errors.Is: an
// error made by a sentinel matches it and the causes that it wraps.
package fault

import (
	"github.com/joomcode/errorx"
)

// Sentinel is a value to test errors against with errors.Is, and the maker of
// the errors that match it.
type Sentinel struct{ kind *errorx.Type }

// NewSentinel names a sentinel, such as peer and link.
func NewSentinel(namespace, name string) *Sentinel {
	return &Sentinel{kind: errorx.NewNamespace(namespace).NewType(name)}
}

// Error is the sentinel's full name.
func (s *Sentinel) Error() string { return s.kind.FullName() }

// New makes an error that matches the sentinel.
func (s *Sentinel) New(format string, arguments ...any) error {
	return &matched{error: s.kind.New(format, arguments...), sentinel: s}
}

// Wrap makes an error that matches the sentinel and the cause.
func (s *Sentinel) Wrap(cause error, format string, arguments ...any) error {
	return &matched{error: s.kind.Wrap(cause, format, arguments...), sentinel: s, cause: cause}
}

// matched is an errorx error with its place in the standard library's chain.
type matched struct {
	error
	sentinel *Sentinel
	cause    error
}

// Is reports whether the error was made by the target.
func (m *matched) Is(target error) bool { return target == error(m.sentinel) }

// Unwrap is the cause, or nil.
func (m *matched) Unwrap() error { return m.cause }
