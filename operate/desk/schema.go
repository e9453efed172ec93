package desk

import (
	"bytes"
	_ "embed"
	"fmt"
	"os"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// schemaName is the name under which the schema is compiled.
const schemaName = "inventory.schema.json"

//go:embed inventory.schema.json
var schemaText []byte

// checkSchema checks a file against the published schema. The error names every
// place in the file that does not fit, and matches ErrRejected.
func checkSchema(file string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return ErrRejected.Wrap(err, "read the inventory")
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return ErrRejected.Wrap(err, "%s", file)
	}
	schema, err := compileSchema()
	if err != nil {
		return err
	}
	err = schema.Validate(value)
	invalid, ok := err.(*jsonschema.ValidationError)
	if !ok {
		return err
	}
	return ErrRejected.New("%s:\n%s", file, strings.Join(places(invalid, nil), "\n"))
}

func compileSchema() (*jsonschema.Schema, error) {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		return nil, fmt.Errorf("schema: %w", err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaName, document); err != nil {
		return nil, fmt.Errorf("schema: %w", err)
	}
	return compiler.Compile(schemaName)
}

// places lists the innermost causes, each with its path in the file.
func places(e *jsonschema.ValidationError, found []string) []string {
	if len(e.Causes) == 0 {
		text := e.ErrorKind.LocalizedString(message.NewPrinter(language.English))
		return append(found, fmt.Sprintf("  /%s: %s", strings.Join(e.InstanceLocation, "/"), text))
	}
	for _, cause := range e.Causes {
		found = places(cause, found)
	}
	return found
}
