package desk

import (
	"net/netip"
	"os"
	"os/user"

	"chervilswitch.example/shared/fault"

	"github.com/integrii/flaggy"
)

// The exit codes.
const (
	ExitOK        = 0
	ExitFailure   = 1
	ExitUsage     = 2
	ExitConflict  = 3
	ExitUncertain = 4
	ExitInvalid   = 5
)

// ErrUsage is matched by errors about the command line.
var ErrUsage = fault.NewSentinel("command", "usage")

// options are the checked command line.
type options struct {
	command  string
	file     string
	name     string
	platform netip.AddrPort
	entries  []netip.AddrPort
	operator string
	json     bool
}

// needs says what each command must be given.
type needs struct {
	file, name, platform, entries bool
	help                          string
}

var commands = map[string]needs{
	"check":      {file: true, help: "Check an inventory file."},
	"diff":       {file: true, platform: true, help: "Show what publishing a file would change."},
	"publish":    {file: true, platform: true, help: "Publish an inventory file and wait until it is accepted and in force."},
	"show":       {platform: true, help: "Print the inventory in force."},
	"history":    {platform: true, help: "List the changes that the log holds."},
	"take-out":   {name: true, platform: true, help: "Stop new work in a data centre."},
	"bring-back": {name: true, platform: true, help: "Let new work into a data centre again."},
	"status":     {entries: true, help: "Show what entries know of themselves and their peers."},
	"watch":      {entries: true, help: "Print the status each second."},
	"explain":    {name: true, file: true, help: "Print the decisions about one request from a log file."},
}

// commandOrder is the order of commands in the help text.
var commandOrder = []string{"check", "diff", "publish", "show", "history", "take-out", "bring-back", "status", "watch", "explain"}

// parseOptions reads the command line. Errors match ErrUsage.
func parseOptions(arguments []string) (options, error) {
	var o options
	var platformText, file, name string
	var entryTexts []string
	parser := flaggy.NewParser("chervil")
	parser.Description = "Checks, publishes and follows changes of the inventory."
	parser.ShowHelpOnUnexpected = false
	parser.String(&platformText, "p", "platform", "address of the platform, such as 10.0.0.9:7070 (or CHERVIL_PLATFORM)")
	parser.StringSlice(&entryTexts, "e", "entry", "operators' address of an entry; may be given again")
	parser.String(&o.operator, "o", "operator", "your name, for the history")
	parser.Bool(&o.json, "j", "json", "print JSON")
	subcommands := make(map[string]*flaggy.Subcommand)
	for _, command := range commandOrder {
		s := flaggy.NewSubcommand(command)
		s.Description = commands[command].help
		position := 1
		if commands[command].name {
			s.AddPositionalValue(&name, "name", position, false, "data centre or request")
			position++
		}
		if commands[command].file {
			s.AddPositionalValue(&file, "file", position, false, "JSON file")
		}
		parser.AttachSubcommand(s, 1)
		subcommands[command] = s
	}
	if err := parser.ParseArgs(arguments); err != nil {
		return o, ErrUsage.Wrap(err, "command line")
	}
	for _, command := range commandOrder {
		if subcommands[command].Used {
			o.command = command
		}
	}
	o.file, o.name = file, name
	return o, o.check(platformText, entryTexts)
}

func (o *options) check(platformText string, entryTexts []string) error {
	need, ok := commands[o.command]
	if !ok {
		return ErrUsage.New("a command is needed; see chervil --help")
	}
	if need.name && o.name == "" {
		return ErrUsage.New("%s: a name is needed", o.command)
	}
	if need.file && o.file == "" {
		return ErrUsage.New("%s: a file is needed", o.command)
	}
	if platformText == "" {
		platformText = os.Getenv("CHERVIL_PLATFORM")
	}
	if need.platform {
		address, err := netip.ParseAddrPort(platformText)
		if err != nil {
			return ErrUsage.New("--platform: %q is not an address with a port", platformText)
		}
		o.platform = address
	}
	for _, text := range entryTexts {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return ErrUsage.New("--entry: %q is not an address with a port", text)
		}
		o.entries = append(o.entries, address)
	}
	if need.entries && len(o.entries) == 0 {
		return ErrUsage.New("%s: at least one --entry is needed", o.command)
	}
	if o.operator == "" {
		o.operator = currentUser()
	}
	return nil
}

func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
