package control

import (
	"os"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestModelPageNamesRealLines checks that docs/MODEL.md lists every mutant of the models
// and that each line it quotes exists in the code.
func TestModelPageNamesRealLines(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/MODEL.md")
	c.Assert(err, qt.IsNil)
	listed := make(map[string]bool)
	for _, row := range regexp.MustCompile("(?m)^\\| .* \\| (MUTANT_\\w+) \\| (\\S+\\.go) \\| `(.*)` \\|$").FindAllStringSubmatch(string(page), -1) {
		listed[row[1]] = true
		code, err := os.ReadFile(row[2])
		c.Assert(err, qt.IsNil)
		line := strings.ReplaceAll(row[3], `\|`, "|")
		c.Check(strings.Contains(string(code), line), qt.IsTrue, qt.Commentf("%s does not contain %s", row[2], line))
	}
	for _, model := range []string{"ranks", "once", "config", "switch", "restore"} {
		text, err := os.ReadFile("../../model/" + model + ".pml")
		c.Assert(err, qt.IsNil)
		for _, mutant := range regexp.MustCompile(`MUTANT_\w+`).FindAllString(string(text), -1) {
			c.Check(listed[mutant], qt.IsTrue, qt.Commentf("docs/MODEL.md does not list %s", mutant))
		}
	}
}
