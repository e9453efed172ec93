package settings

import "github.com/integrii/flaggy"

// ParseCommandLine parses a daemon's command line, decodes the settings file that it
// names, and returns the name of that file. Errors match ErrInvalid.
func ParseCommandLine(program, description string, arguments []string, into any) (string, error) {
	var file string
	parser := flaggy.NewParser(program)
	parser.Description = description
	parser.String(&file, "s", "settings", "JSON file with the settings")
	if err := parser.ParseArgs(arguments); err != nil {
		return "", ErrInvalid.Wrap(err, "parse command line")
	}
	if file == "" {
		return "", ErrInvalid.New("--settings FILE is required")
	}
	return file, Read(file, into)
}
