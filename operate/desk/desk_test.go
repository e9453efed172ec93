package desk

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

// command runs a command line and returns its exit code and output.
func command(arguments ...string) (int, string) {
	var out bytes.Buffer
	code := Main(context.Background(), arguments, &out, &out)
	return code, out.String()
}

func inventoryFile(t *testing.T, text string) string {
	file := filepath.Join(t.TempDir(), "inventory.json")
	qt.Assert(t, os.WriteFile(file, []byte(text), 0o600), qt.IsNil)
	return file
}

func TestMistakesAreNamed(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		arguments []string
		code      int
		text      string
	}{
		{nil, ExitUsage, "a command is needed"},
		{[]string{"publish"}, ExitUsage, "publish: a file is needed"},
		{[]string{"show", "--platform", "here"}, ExitUsage, `"here" is not an address with a port`},
		{[]string{"status"}, ExitUsage, "at least one --entry is needed"},
		{[]string{"check", inventoryFile(t, `{`)}, ExitInvalid, "inventory.json"},
		{[]string{"check", inventoryFile(t, `{"dataCentres":{"a":{"outt":true}}}`)}, ExitInvalid, "/dataCentres/a: additional properties 'outt' not allowed"},
		{[]string{"check", inventoryFile(t, `{"services":{"s":{"kind":"odd","coldLimit":0,"warmLimit":1}}}`)}, ExitInvalid, "/services/s/coldLimit: "},
		{[]string{"check", inventoryFile(t, `{"instances":{"i":{"dataCentre":"x","role":"entry","peer":"10.0.0.1:1","caller":"10.0.0.1:2"}}}`)}, ExitInvalid, `instances/i: dataCentre: data centre "x" does not exist`},
	} {
		code, text := command(test.arguments...)
		c.Check(code, qt.Equals, test.code, qt.Commentf("%v: %s", test.arguments, text))
		c.Check(text, qt.Contains, test.text)
	}
}

func TestValidInventory(t *testing.T) {
	c := qt.New(t)
	file := inventoryFile(t, `{"dataCentres":{"a":{}},"services":{"s":{"kind":"plain","coldLimit":1,"warmLimit":2,"nonIdempotent":[{"method":"POST","pathPrefix":"/x"}]}},
		"instances":{"i":{"dataCentre":"a","role":"agent","peer":"10.0.0.1:1","service":"s"}}}`)
	code, text := command("check", file)
	c.Assert(code, qt.Equals, ExitOK, qt.Commentf("%s", text))
	c.Assert(text, qt.Contains, "valid, 3 objects")
	code, text = command("check", file, "--json")
	c.Assert(code, qt.Equals, ExitOK)
	c.Assert(text, qt.Equals, "{\"objects\":3}\n")
}
