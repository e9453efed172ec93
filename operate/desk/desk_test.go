package desk

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

// runCommand executes a command line and returns its exit code and its output.
func runCommand(arguments ...string) (int, string) {
	var out bytes.Buffer
	code := Main(context.Background(), arguments, &out, &out)
	return code, out.String()
}

// writeInventory writes text to a temporary inventory file and returns its path.
func writeInventory(t *testing.T, text string) string {
	file := filepath.Join(t.TempDir(), "inventory.json")
	qt.Assert(t, os.WriteFile(file, []byte(text), 0o600), qt.IsNil)
	return file
}

func TestInvalidInputGivesExitCodeAndMessage(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		arguments []string
		code      int
		text      string
	}{
		{nil, ExitUsage, "a command is required"},
		{[]string{"publish"}, ExitUsage, "publish: a file is required"},
		{[]string{"show", "--platform", "here"}, ExitUsage, `"here" is not an address with a port`},
		{[]string{"status"}, ExitUsage, "at least one --entry is required"},
		{[]string{"check", writeInventory(t, `{`)}, ExitInvalid, "inventory.json"},
		{[]string{"check", writeInventory(t, `{"dataCentres":{"a":{"outt":true}}}`)}, ExitInvalid, "/dataCentres/a: additional properties 'outt' not allowed"},
		{[]string{"check", writeInventory(t, `{"services":{"s":{"kind":"odd","coldLimit":0,"warmLimit":1}}}`)}, ExitInvalid, "/services/s/coldLimit: "},
		{[]string{"check", writeInventory(t, `{"instances":{"i":{"dataCentre":"x","role":"entry","peer":"10.0.0.1:1","caller":"10.0.0.1:2"}}}`)}, ExitInvalid, `instances/i: dataCentre: data centre "x" does not exist`},
	} {
		code, text := runCommand(test.arguments...)
		c.Check(code, qt.Equals, test.code, qt.Commentf("%v: %s", test.arguments, text))
		c.Check(text, qt.Contains, test.text)
	}
}

func TestCheckAcceptsValidInventory(t *testing.T) {
	c := qt.New(t)
	file := writeInventory(t, `{"dataCentres":{"a":{}},"services":{"s":{"kind":"plain","coldLimit":1,"warmLimit":2,"nonIdempotent":[{"method":"POST","pathPrefix":"/x"}]}},
		"instances":{"i":{"dataCentre":"a","role":"agent","peer":"10.0.0.1:1","service":"s"}}}`)
	code, text := runCommand("check", file)
	c.Assert(code, qt.Equals, ExitOK, qt.Commentf("%s", text))
	c.Assert(text, qt.Contains, "valid, 3 objects")
	code, text = runCommand("check", file, "--json")
	c.Assert(code, qt.Equals, ExitOK)
	c.Assert(text, qt.Equals, "{\"objects\":3}\n")
}
