package admission

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// maxCrashParts bounds the parts of one crash.
	maxCrashParts = 64
	// maxSoundParts bounds the parts of each generation of soundParts.
	maxSoundParts = 4096
)

// identityPrefix distinguishes identities of requests from parts of prompts, whose IDs
// contain no colon.
const identityPrefix = "request:"

// Identity returns the identity of a request with a digest of its content. It stands for
// the request among the parts in the evidence of crashes.
func Identity(digest uint64) string { return identityPrefix + strconv.FormatUint(digest, 16) }

func isIdentity(part string) bool { return strings.HasPrefix(part, identityPrefix) }

// CrashReport describes a target that lost the connections of requests before it sent any
// output for them. One of their parts may have crashed it.
type CrashReport struct {
	Target      string
	Incarnation uint64
	At          time.Time
	// Reporter is the entry instance that lost the requests.
	Reporter string
	// Begun and Waiting list the shared parts and the identities of the lost requests:
	// those whose response had begun, and all others.
	Begun, Waiting []string
	// Rank is true if the target is a rank of a group, which its crash stops as a whole.
	Rank bool
	// Refuted is true if the target sent output after the crash, so that there was none.
	Refuted bool
}

// suspects returns the parts that may have crashed the target. A target begins a response
// before it crashes, so requests that only waited are suspected if there are no others.
func (r *CrashReport) suspects() []string {
	if len(r.Begun) > 0 {
		return r.Begun
	}
	return r.Waiting
}

// merge adds another report on the same crash and reports whether it says anything new.
func (r *CrashReport) merge(other CrashReport) bool {
	begun, waiting := len(r.Begun), len(r.Waiting)
	reporter, refuted := r.Reporter, r.Refuted
	switch {
	case begun == 0 && len(other.Begun) > 0:
		r.Reporter = other.Reporter
	case begun == 0 || len(other.Begun) > 0:
		r.Reporter = min(r.Reporter, other.Reporter)
	}
	r.Begun, r.Waiting = union(r.Begun, other.Begun), union(r.Waiting, other.Waiting)
	r.Refuted, r.Rank = r.Refuted || other.Refuted, r.Rank || other.Rank
	if other.At.Before(r.At) {
		r.At = other.At
	}
	// An earlier time alone is not news: it comes from the delay of messages.
	return len(r.Begun) > begun || len(r.Waiting) > waiting || r.Refuted != refuted || r.Reporter != reporter
}

// CrashEvidence reports what another entry instance knows about crashes.
type CrashEvidence struct {
	Reports []CrashReport
	// Sound holds when the instance last received output for parts that are suspected.
	Sound map[string]time.Time
	// Stored is true for evidence from the store. Its times come from other clocks, so
	// that reports on known crashes are ignored.
	Stored bool
}

func (CrashEvidence) event() {}

// soundParts remembers when parts were last answered, in two generations of at most
// maxSoundParts parts. The zero value is empty.
type soundParts struct {
	current, previous map[string]time.Time
}

// record notes that a part was answered. When the current generation is full, it replaces
// the previous one.
func (s *soundParts) record(at time.Time, part string) {
	if s.current == nil || len(s.current) >= maxSoundParts {
		s.previous, s.current = s.current, make(map[string]time.Time)
	}
	s.current[part] = at
}

// at returns when a part was last answered; zero if that is not known.
func (s *soundParts) at(part string) time.Time {
	if at, ok := s.current[part]; ok {
		return at
	}
	return s.previous[part]
}

// containsAny reports whether a list contains any of the parts.
func containsAny(list, parts []string) bool {
	return slices.ContainsFunc(parts, func(part string) bool { return slices.Contains(list, part) })
}

// union adds the parts of b that a lacks, up to maxCrashParts.
func union(a, b []string) []string {
	for _, part := range b {
		if len(a) < maxCrashParts && !slices.Contains(a, part) {
			a = append(a, part)
		}
	}
	return a
}
