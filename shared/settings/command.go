package settings

import "github.com/integrii/flaggy"

// ParseCommandLine reads a daemon's command line, which names the file with its
// settings, and decodes that file. It returns the file's name. Errors match
// ErrInvalid.
func ParseCommandLine(program, description string, arguments []string, into any) (string, error) {
	var file string
	parser := flaggy.NewParser(program)
	parser.Description = description
	parser.String(&file, "s", "settings", "JSON file with the settings")
	if err := parser.ParseArgs(arguments); err != nil {
		return "", ErrInvalid.Wrap(err, "command line")
	}
	if file == "" {
		return "", ErrInvalid.New("--settings FILE is needed")
	}
	return file, Read(file, into)
}
