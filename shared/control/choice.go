package control

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// sampledTargets is the number of targets that are sampled in addition to the
	// preferred one.
	sampledTargets = 4
	// prefixSlots is the number of slots of a PrefixTable, a power of two.
	prefixSlots = 4096
	// cachedPrefixFactor multiplies the score of the preferred target: a cached prefix
	// saves about half of the time to the first output.
	cachedPrefixFactor = 0.5
	// crossDataCentrePenalty is added to the score of a target in another data centre.
	crossDataCentrePenalty = time.Millisecond
	// defaultFirstOutput is assumed for a target without a measured latency.
	defaultFirstOutput = 100 * time.Millisecond
)

// Candidate is the state of a target at an entry.
type Candidate struct {
	Name    string
	Running int
	Limit   int
	// Sent counts the attempts that this entry sent since the last load update, and
	// Allowed is how many it may send before the next.
	Sent        int
	Allowed     int
	FirstOutput time.Duration
	// Local means that the target is in the entry's data centre.
	Local bool
	// Usable means that the target has a recent heartbeat, is not leaving and is not in
	// a data centre that is taken out.
	Usable bool
}

// Score returns the expected time to the first output in seconds: the target's
// first-output latency scaled by its load, plus a penalty for another data centre.
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

// free reports whether the entry may send the target another attempt.
func (c *Candidate) free() bool { return c.Usable && c.Sent < c.Allowed }

// PrefixTable maps a prompt's prefix to the candidate that last served it. A newer
// prefix overwrites an older one in the same slot, similar to eviction from a
// target's prefix cache.
type PrefixTable struct {
	prefixes [prefixSlots]uint64
	targets  [prefixSlots]int32
}

// Lookup returns the index of the candidate that last served a prefix.
func (p *PrefixTable) Lookup(prefix uint64) (int, bool) {
	slot := prefix % prefixSlots
	if prefix == 0 || p.prefixes[slot] != prefix {
		return 0, false
	}
	return int(p.targets[slot]), true
}

// Set records the index of the candidate that serves a prefix.
func (p *PrefixTable) Set(prefix uint64, target int) {
	if prefix != 0 {
		p.prefixes[prefix%prefixSlots] = prefix
		p.targets[prefix%prefixSlots] = int32(target)
	}
}

// Choice is the candidate that Choose selects. Target is its index, or -1 if no
// candidate is free.
type Choice struct {
	Target  int
	Reason  string
	weighed [sampledTargets + 1]int
	count   int
}

// Choose selects the candidate with the lowest score among the preferred one and a few
// candidates sampled by hashing the seed. The preferred candidate is the one that is
// likely to have the prompt's prefix or the key's response; -1 means none. The cost
// does not depend on the number of candidates as long as one of these is free;
// otherwise Choose scans all candidates for a free one. Candidates in the set exclude
// are skipped.
//
// Example: the preferred target scores 0.30 s, halved to 0.15 s, and the best sample
// 0.12 s. The sample is chosen, so that a hot prefix does not overload one target.
// With the sample at 0.20 s the preferred target would be chosen.
func Choose(candidates []Candidate, seed uint64, preferred int, exclude uint64) Choice {
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
	if preferred >= 0 && preferred < len(candidates) {
		consider(preferred, cachedPrefixFactor, "cachedPrefix")
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

// excluded reports whether an attempt already failed at a candidate. The set is a
// bit mask indexed by the candidate's index modulo 64, so candidates with the same
// remainder are excluded as well.
func excluded(set uint64, i int) bool { return set&(1<<(uint(i)%64)) != 0 }

// splitMix64 returns the output of one round of the SplitMix64 generator.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// rendezvousScore returns the rendezvous hash of a name for a key. The key belongs
// to the name with the highest score.
func rendezvousScore(key, name string) uint64 {
	return splitMix64(xxhash.Sum64String(key) ^ xxhash.Sum64String(name))
}
