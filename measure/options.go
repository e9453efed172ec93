package main

import (
	"fmt"
	"slices"
	"strings"

	"github.com/integrii/flaggy"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

// options holds the parsed and validated command line.
type options struct {
	parts []string
	json  bool
	// folder is the directory for reports and plots; page is the file whose tables
	// the capacity measurement replaces.
	folder string
	page   string
}

// defaultParts lists the measurements that run by default, in this order. The capacity
// measurement runs only on request.
var defaultParts = []string{"skew", "choice", "overload", "dcMove"}

func parseOptions(arguments []string) (options, error) {
	o := options{folder: "docs/measurements", page: "docs/CAPACITY.md"}
	parts := ""
	parser := flaggy.NewParser("chervil-measure")
	parser.Description = "Measures policies and daemons against baselines."
	parser.Bool(&o.json, "j", "json", "print one JSON object")
	parser.String(&parts, "o", "only", "comma-separated parts: skew, choice, overload, dcMove, capacity")
	parser.String(&o.folder, "f", "folder", "directory for reports and plots")
	parser.String(&o.page, "p", "page", "capacity page whose tables are replaced")
	if err := parser.ParseArgs(arguments); err != nil {
		return o, fmt.Errorf("command line: %w", err)
	}
	o.parts = defaultParts
	if parts != "" {
		o.parts = strings.Split(parts, ",")
	}
	for _, part := range o.parts {
		if part != "capacity" && !slices.Contains(defaultParts, part) {
			return o, fmt.Errorf("--only: unknown part %q, expected one of %s, capacity", part, strings.Join(defaultParts, ", "))
		}
	}
	return o, nil
}
