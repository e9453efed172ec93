package control

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// sampledTargets is the number of targets weighed besides the one that
	// last served the prompt's prefix.
	sampledTargets = 4
	// prefixSlots is the size of the table of prefixes; a power of two.
	prefixSlots = 4096
	// cachedPrefixFactor is the part of the first output's time that a cached prefix saves.
	cachedPrefixFactor = 0.5
	// crossDataCentrePenalty is added for a target in another data centre.
	crossDataCentrePenalty = time.Millisecond
	// defaultFirstOutput stands in until a target was measured.
	defaultFirstOutput = 100 * time.Millisecond
)

// Candidate is a target as an entry sees it. Sent counts what this entry sent
// since the last report; Allowed is how much it may send before the next.
type Candidate struct {
	Name        string
	Running     int
	Limit       int
	Sent        int
	Allowed     int
	FirstOutput time.Duration
	Local       bool
	Usable      bool
}

// Score is the expected time to the first output in seconds: the target's own
// time, longer in proportion to its load, and the way there.
func (c *Candidate) Score() float64 {
	first := c.FirstOutput
	if first == 0 {
		first = defaultFirstOutput
	}
	load := float64(c.Running+c.Sent) / float64(max(1, c.Limit))
	score := first.Seconds() * (1 + load)
	if !c.Local {
		score += crossDataCentrePenalty.Seconds()
	}
	return score
}

// free reports whether the target may be sent another attempt.
func (c *Candidate) free() bool { return c.Usable && c.Sent < c.Allowed }

// PrefixTable remembers which candidate last served a prefix. Newer prefixes
// overwrite older ones in the same slot, as a target's own cache does.
type PrefixTable struct {
	prefixes [prefixSlots]uint64
	targets  [prefixSlots]int32
}

// Lookup gives the candidate that last served a prefix.
func (p *PrefixTable) Lookup(prefix uint64) (int, bool) {
	slot := prefix % prefixSlots
	if prefix == 0 || p.prefixes[slot] != prefix {
		return 0, false
	}
	return int(p.targets[slot]), true
}

// Set notes that a candidate serves a prefix.
func (p *PrefixTable) Set(prefix uint64, target int) {
	if prefix != 0 {
		p.prefixes[prefix%prefixSlots] = prefix
		p.targets[prefix%prefixSlots] = int32(target)
	}
}

// Choice is the outcome of weighing candidates; Target is -1 if none is free.
type Choice struct {
	Target  int
	Reason  string
	weighed [sampledTargets + 1]int
	count   int
}

// Choose weighs the target that last served the prefix against a few sampled
// by hashing. The cost does not grow with the number of candidates as long as
// samples are free; if none is, it looks at each candidate once.
//
// Worked example: the cached target scores 0.30 s halved to 0.15 s, the best
// sample 0.12 s. The sample wins, so that a hot prefix cannot pile up on one
// target; at 0.20 s the cached target would have kept it.
func Choose(candidates []Candidate, seed uint64, cached int, exclude uint64) Choice {
	best := Choice{Target: -1}
	bestScore := 0.0
	consider := func(i int, factor float64, reason string) {
		if !candidates[i].free() || excluded(exclude, i) || slices.Contains(best.weighed[:best.count], i) {
			return
		}
		if best.count < len(best.weighed) {
			best.weighed[best.count] = i
			best.count++
		}
		score := candidates[i].Score() * factor
		if best.Target < 0 || score < bestScore {
			best.Target, bestScore, best.Reason = i, score, reason
		}
	}
	if len(candidates) == 0 {
		return best
	}
	if cached >= 0 && cached < len(candidates) {
		consider(cached, cachedPrefixFactor, "cachedPrefix")
	}
	for range sampledTargets {
		seed = splitMix64(seed)
		consider(int(seed%uint64(len(candidates))), 1, "leastWait")
	}
	if best.Target >= 0 {
		return best
	}
	start := int(seed % uint64(len(candidates)))
	for i := range candidates {
		consider((start+i)%len(candidates), 1, "onlyFree")
		if best.Target >= 0 {
			break
		}
	}
	return best
}

// excluded tells whether an attempt already failed at a candidate. The set is a
// bit field by the candidate's index modulo 64, so that at worst a few others
// are left out as well.
func excluded(set uint64, i int) bool { return set&(1<<(uint(i)%64)) != 0 }

// splitMix64 is one round of the SplitMix64 generator.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// rendezvousScore scores a name for a key; the highest score is the key's home.
func rendezvousScore(key, name string) uint64 {
	return splitMix64(xxhash.Sum64String(key) ^ xxhash.Sum64String(name))
}
