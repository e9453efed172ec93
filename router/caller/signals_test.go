package caller

import (
	"fmt"
	"reflect"
	"strconv"
	"testing"
	"time"

	"chervilswitch.example/platform"
	"chervilswitch.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
)

// transcript sends requests to the only target and returns what callers and the target saw
// of them.
func (d *deployment) transcript(gap time.Duration) string {
	seen := ""
	for i := range 4 {
		response := d.mustCall(platformtest.Call{Path: nonIdempotentPath, Attempt: strconv.Itoa(i)})
		delay, err := strconv.ParseFloat(platformtest.RetryAfter(response.header), 64)
		seen += fmt.Sprintf("status %d, retry after about %.0f s (%v); ", response.status, delay, err == nil)
		time.Sleep(gap / time.Duration(1+i%2*9)) // A long pause, then a short one.
	}
	connections, _ := d.replicas["i-1"].Connections()
	return seen + fmt.Sprintf("%d runs over %d connections", len(d.runs()), connections)
}

// A signal that is decoded and read by nobody has led to incidents twice.
func TestEachDecodedSignalOfTargetsHasAnEffect(t *testing.T) {
	signals := make(map[string]platformtest.Signal)
	for _, s := range platformtest.Signals() {
		signals[s.Field] = s
	}
	for _, field := range reflect.VisibleFields(reflect.TypeFor[platform.TargetHeaders]()) {
		t.Run(field.Name, func(t *testing.T) {
			t.Parallel()
			s, ok := signals[field.Name]
			qt.Assert(t, ok, qt.IsTrue, qt.Commentf("no signal shows the effect of this field"))
			without := deploy(t, 1, map[string]platformtest.Handler{"i-1": s.Handler(false)}).transcript(s.Gap)
			with := deploy(t, 1, map[string]platformtest.Handler{"i-1": s.Handler(true)}).transcript(s.Gap)
			t.Logf("without: %s\nwith: %s", without, with)
			qt.Assert(t, with, qt.Not(qt.Equals), without)
		})
	}
}
