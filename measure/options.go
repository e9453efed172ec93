package main

import (
	"fmt"
	"slices"
	"strings"

	"github.com/integrii/flaggy"
)

// The exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

// options are the checked command line.
type options struct {
	parts []string
	json  bool
	// folder gets reports and plots; the capacity page is written to page.
	folder string
	page   string
}

// allParts are the measurements in the order in which they run.
var allParts = []string{"skew", "choice", "overload", "dcMove"}

func parseOptions(arguments []string) (options, error) {
	o := options{folder: "docs/measurements", page: "docs/CAPACITY.md"}
	parts := ""
	parser := flaggy.NewParser("chervil-measure")
	parser.Description = "Measures policies and daemons against baselines."
	parser.Bool(&o.json, "j", "json", "print one JSON object")
	parser.String(&parts, "o", "only", "comma-separated parts: skew, choice, overload, dcMove, capacity")
	parser.String(&o.folder, "f", "folder", "folder for reports and plots")
	parser.String(&o.page, "p", "page", "capacity page to write tables into")
	if err := parser.ParseArgs(arguments); err != nil {
		return o, fmt.Errorf("command line: %w", err)
	}
	o.parts = allParts
	if parts != "" {
		o.parts = strings.Split(parts, ",")
	}
	for _, part := range o.parts {
		if part != "capacity" && !slices.Contains(allParts, part) {
			return o, fmt.Errorf("--only: %q is none of %s, capacity", part, strings.Join(allParts, ", "))
		}
	}
	return o, nil
}
