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

// schemaName identifies the schema in the compiler.
const schemaName = "inventory.schema.json"

//go:embed inventory.schema.json
var schemaText []byte

// checkSchema validates a file against the embedded schema. An error about the file
// matches ErrRejected; for violations, it lists each with its path in the file.
func checkSchema(file string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return ErrRejected.Wrap(err, "read the inventory file")
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return ErrRejected.Wrap(err, "parse %s as JSON", file)
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
	return ErrRejected.New("%s:\n%s", file, strings.Join(appendViolations(invalid, nil), "\n"))
}

func compileSchema() (*jsonschema.Schema, error) {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		return nil, fmt.Errorf("parse the inventory schema: %w", err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaName, document); err != nil {
		return nil, fmt.Errorf("add the inventory schema: %w", err)
	}
	return compiler.Compile(schemaName)
}

// appendViolations appends the innermost causes, each with its path in the file.
func appendViolations(e *jsonschema.ValidationError, violations []string) []string {
	if len(e.Causes) == 0 {
		text := e.ErrorKind.LocalizedString(message.NewPrinter(language.English))
		return append(violations, fmt.Sprintf("  /%s: %s", strings.Join(e.InstanceLocation, "/"), text))
	}
	for _, cause := range e.Causes {
		violations = appendViolations(cause, violations)
	}
	return violations
}
