package events

import (
	"os"
	"regexp"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestCatalogueMatchesCode(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/EVENTS.md")
	c.Assert(err, qt.IsNil)
	documented := make(map[Event]string)
	for _, row := range regexp.MustCompile(`(?m)^\| (\d+) \| (\w+) \|`).FindAllStringSubmatch(string(page), -1) {
		number, err := strconv.Atoi(row[1])
		c.Assert(err, qt.IsNil)
		documented[Event(number)] = row[2]
	}
	c.Assert(documented, qt.DeepEquals, All())
}
