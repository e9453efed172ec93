package fleet

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestLaterEraIsAfterHigherOffset(t *testing.T) {
	c := qt.New(t)
	lost, restored := Position{Era: 1, Offset: 9}, Position{Era: 2, Offset: 0}
	c.Assert(lost.Before(restored), qt.IsTrue)
	c.Assert(restored.Before(lost), qt.IsFalse)
	c.Assert(restored.Before(restored.Add(1)), qt.IsTrue)
	c.Assert(restored.Compare(restored), qt.Equals, 0)
}
