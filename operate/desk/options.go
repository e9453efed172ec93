package desk

import (
	"net/netip"
	"os"
	"os/user"

	"chervilswitch.example/shared/fault"

	"github.com/integrii/flaggy"
)

// Exit codes of the command.
const (
	ExitOK        = 0
	ExitFailure   = 1
	ExitUsage     = 2
	ExitConflict  = 3
	ExitUncertain = 4
	ExitInvalid   = 5
)

// ErrUsage matches errors in the command line.
var ErrUsage = fault.NewSentinel("command", "usage")

// options holds the validated command line.
type options struct {
	command  string
	file     string
	name     string
	platform netip.AddrPort
	entries  []netip.AddrPort
	operator string
	json     bool
}

// requirements lists the arguments and flags that a command must receive.
type requirements struct {
	file, name, platform, entries bool
	help                          string
}

var commands = map[string]requirements{
	"check":      {file: true, help: "Check an inventory file."},
	"diff":       {file: true, platform: true, help: "Show what publishing a file would change."},
	"publish":    {file: true, platform: true, help: "Publish an inventory file and wait until it is accepted and in force."},
	"show":       {platform: true, help: "Print the current inventory."},
	"history":    {platform: true, help: "List the configuration changes in the log."},
	"take-out":   {name: true, platform: true, help: "Stop new work in a data centre."},
	"bring-back": {name: true, platform: true, help: "Allow new work in a data centre again."},
	"status":     {entries: true, help: "Show the state of entries and of their peers."},
	"watch":      {entries: true, help: "Print the status each second."},
	"explain":    {name: true, file: true, help: "Print the decisions about one request from a log file, and why it was refused."},
}

// commandOrder lists the commands in the order of the help text.
var commandOrder = []string{"check", "diff", "publish", "show", "history", "take-out", "bring-back", "status", "watch", "explain"}

// parseOptions parses and validates the command line. Errors match ErrUsage.
func parseOptions(arguments []string) (options, error) {
	var o options
	var platformText, file, name string
	var entryTexts []string
	parser := flaggy.NewParser("chervil")
	parser.Description = "Checks and publishes inventory changes and reports the state of entries."
	parser.ShowHelpOnUnexpected = false
	parser.String(&platformText, "p", "platform", "address of the platform, such as 10.0.0.9:7070 (or CHERVIL_PLATFORM)")
	parser.StringSlice(&entryTexts, "e", "entry", "operators' address of an entry; repeat it for several entries")
	parser.String(&o.operator, "o", "operator", "your name, recorded in the history")
	parser.Bool(&o.json, "j", "json", "print JSON")
	subcommands := make(map[string]*flaggy.Subcommand)
	for _, command := range commandOrder {
		s := flaggy.NewSubcommand(command)
		s.Description = commands[command].help
		position := 1
		if commands[command].name {
			s.AddPositionalValue(&name, "name", position, false, "data centre or request ID")
			position++
		}
		if commands[command].file {
			s.AddPositionalValue(&file, "file", position, false, "JSON file")
		}
		parser.AttachSubcommand(s, 1)
		subcommands[command] = s
	}
	if err := parser.ParseArgs(arguments); err != nil {
		return o, ErrUsage.Wrap(err, "parse command line")
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
	required, ok := commands[o.command]
	if !ok {
		return ErrUsage.New("a command is required; see chervil --help")
	}
	if required.name && o.name == "" {
		return ErrUsage.New("%s: a name is required", o.command)
	}
	if required.file && o.file == "" {
		return ErrUsage.New("%s: a file is required", o.command)
	}
	if platformText == "" {
		platformText = os.Getenv("CHERVIL_PLATFORM")
	}
	if required.platform {
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
	if required.entries && len(o.entries) == 0 {
		return ErrUsage.New("%s: at least one --entry is required", o.command)
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
