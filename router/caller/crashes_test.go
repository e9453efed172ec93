package caller

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"chervilswitch.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
)

// crashOnBody returns a handler that echoes, but crashes its replica without a response
// when it runs a request with a body. The replica is back after restartTime.
func crashOnBody(d **deployment, id, body string) platformtest.Handler {
	const restartTime = 150 * time.Millisecond
	return func(w *platformtest.ResponseWriter, r platformtest.Run) {
		if r.Body != body {
			echo(w, r)
			return
		}
		time.Sleep(2 * idleCloseTime)
		replica := (*d).replicas[id]
		replica.Crash()
		time.Sleep(restartTime)
		replica.Restart()
		(*d).store.PutTarget(id, replica.Registration("svc", "dc-a", "ready"))
	}
}

func TestRepeatedRequestThatCrashesPlainTargetsStopsReachingThem(t *testing.T) {
	const (
		requests      = 12
		harmful       = "harmful"
		mostRuns      = 6 // Three crashes, and three more attempts.
		repeatedAfter = 500 * time.Millisecond
	)
	for name, path := range map[string]string{"idempotent": idempotentPath, "non-idempotent": nonIdempotentPath} {
		t.Run(name, func(t *testing.T) {
			handlers := make(map[string]platformtest.Handler)
			var d *deployment
			for _, id := range []string{"i-1", "i-2", "i-3"} {
				handlers[id] = crashOnBody(&d, id, harmful)
			}
			d = deploy(t, 2, handlers)
			d.awaitMembership()
			for i := range requests {
				d.mustCall(platformtest.Call{Path: path, Attempt: "harmful-" + strconv.Itoa(i), Body: harmful})
				time.Sleep(repeatedAfter)
				sound := d.mustCall(platformtest.Call{Path: path, Attempt: "sound-" + strconv.Itoa(i), Body: "sound"})
				d.Check(sound.status, qt.Equals, http.StatusOK, qt.Commentf("sound request %d", i))
				d.routers[0], d.routers[1] = d.routers[1], d.routers[0] // Callers use both instances.
			}
			reached := 0
			for _, r := range d.runs() {
				if r.Body == harmful {
					reached++
				}
			}
			d.Assert(reached <= mostRuns, qt.IsTrue, qt.Commentf("%d attempts reached targets, %d are allowed", reached, mostRuns))
		})
	}
}
