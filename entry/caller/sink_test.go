package caller

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func FuzzEventID(f *testing.F) {
	f.Add("org/r/entry-0.1f.1@replica-00@1f@62")
	f.Add("@@@")
	f.Fuzz(func(t *testing.T, text string) {
		point, err := parseEventID(text)
		if err != nil {
			return
		}
		again, err := parseEventID(eventID(point))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, again, qt.Equals, point)
	})
}
