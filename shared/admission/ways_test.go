package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// limitWay is a way to share the limit of one target between instances.
type limitWay interface {
	// send reports whether an instance may send a request now.
	send(now time.Time, instance int) bool
	// messages returns how many messages were exchanged for it.
	messages() int
}

// evenSplit gives each instance the same share and one token.
type evenSplit struct{ buckets []tokenBucket }

func (w *evenSplit) send(now time.Time, instance int) bool {
	b := &w.buckets[instance]
	b.refill(now, waysLimit/float64(len(w.buckets)), 1)
	return b.take()
}

func (*evenSplit) messages() int { return 0 }

// demandSplit gives each instance a share by its part of the requests in the last
// exchange of states, and one token.
type demandSplit struct {
	buckets          []tokenBucket
	demand, previous []float64
	total            float64
	exchanged        time.Time
	sent             int
}

func (w *demandSplit) send(now time.Time, instance int) bool {
	const exchangeInterval = 200 * time.Millisecond
	if now.Sub(w.exchanged) >= exchangeInterval {
		w.exchanged, w.total = now, 0
		for i := range w.demand {
			w.previous[i] = 0.8*w.previous[i] + w.demand[i]
			w.total += w.previous[i]
			w.demand[i] = 0
		}
		w.sent += len(w.buckets) * (len(w.buckets) - 1)
	}
	w.demand[instance]++
	share := 1 / float64(len(w.buckets))
	if w.total > 0 {
		share = w.previous[instance] / w.total
	}
	b := &w.buckets[instance]
	b.refill(now, waysLimit*share, 1)
	return b.take()
}

func (w *demandSplit) messages() int { return w.sent }

// fewHolders gives equal shares and a token each to a few neighbours.
type fewHolders struct {
	shares  []rateShare
	entries []entrySet
	service *service
}

func (w *fewHolders) send(now time.Time, instance int) bool {
	r := &w.shares[instance]
	r.update(now, namedRateBound, waysLimit, &w.entries[instance], w.service, 0)
	return r.wait(now) == 0 && r.tokens.take()
}

func (*fewHolders) messages() int { return 0 }

// grants lets one instance hold the only bucket, which the others ask for each request.
type grants struct {
	bucket tokenBucket
	asked  int
}

func (w *grants) send(now time.Time, _ int) bool {
	w.asked++
	w.bucket.refill(now, waysLimit, 1)
	return w.bucket.take()
}

func (w *grants) messages() int { return 2 * w.asked }

const waysLimit = 2.3 // Requests per second.

// The ways to share a limit that docs/DESIGN.md weighs: ten times as many requests as the
// limit allows, after a quiet time, spread evenly or sent mostly by a tenth of the
// instances. Only one of the service's targets is limited, so that with few holders most
// requests come from instances that send them to other targets.
func TestWaysToShareALimit(t *testing.T) {
	const (
		duration = 40 * time.Second
		step     = 5 * time.Millisecond
		load     = 10 * waysLimit
	)
	for _, instances := range []int{17, 370} {
		names := make([]string, instances)
		for i := range names {
			names[i] = "entry-" + string(rune('a'+i/26)) + string(rune('a'+i%26))
		}
		s := newService()
		for i := range 10 * instances {
			s.targetIDs = append(s.targetIDs, string(rune('a'+i)))
		}
		few := &fewHolders{shares: make([]rateShare, instances), service: s}
		for i := range names {
			few.entries = append(few.entries, entrySet{names: names, position: i, version: 1})
		}
		for _, row := range []struct {
			name           string
			way            limitWay
			chosen, skewed bool
		}{
			{name: "even split", way: &evenSplit{buckets: make([]tokenBucket, instances)}},
			{name: "even split, skewed", way: &evenSplit{buckets: make([]tokenBucket, instances)}, skewed: true},
			{name: "by demand", way: &demandSplit{buckets: make([]tokenBucket, instances), demand: make([]float64, instances), previous: make([]float64, instances)}},
			{name: "by demand, skewed", way: &demandSplit{buckets: make([]tokenBucket, instances), demand: make([]float64, instances), previous: make([]float64, instances)}, skewed: true},
			{name: "few holders", way: few, chosen: true},
			{name: "grants", way: &grants{}},
		} {
			random := rand.New(rand.NewPCG(5, 9))
			start := time.Unix(1000, 0)
			for i := range instances { // Every bucket exists and is full after the quiet time.
				row.way.send(start.Add(-10*time.Minute), i)
			}
			messages := row.way.messages()
			sent := &limitedFleet{sent: make(map[string][]time.Time)}
			for now := start; now.Before(start.Add(duration)); now = now.Add(step) {
				if random.Float64() >= load*step.Seconds() {
					continue
				}
				instance := random.IntN(instances)
				if row.skewed && random.Float64() < 0.9 {
					instance = random.IntN(max(1, instances/10))
				}
				if row.way.send(now, instance) {
					sent.sent["t"] = append(sent.sent["t"], now)
				}
			}
			most := sent.mostSent(limitWindow)
			t.Logf("%d instances, %s: at most %d in 4 s (%.1f allowed), %.2f of the limit, %.0f messages a second",
				instances, row.name, most, allowedInWindow(waysLimit), float64(len(sent.sent["t"]))/(waysLimit*duration.Seconds()),
				float64(row.way.messages()-messages)/duration.Seconds())
			if row.chosen {
				qt.Check(t, float64(most) <= allowedInWindow(waysLimit), qt.IsTrue)
			}
		}
	}
}
