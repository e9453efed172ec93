package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// seeds is the number of runs per figure, over which its spread is taken.
const seeds = 5

// result is the result of one measurement: figures for the JSON output, a table and
// notes for the report, and optionally a function that writes a plot.
type result struct {
	name    string
	figures any
	table   *table
	notes   []string
	plot    func(file string) error
}

// run runs the selected measurements, prints their tables or one JSON object, and
// writes their reports.
func run(ctx context.Context, o options, out io.Writer) error {
	figures := make(map[string]any)
	for _, part := range o.parts {
		r, err := measure(ctx, part, o)
		if err != nil {
			return fmt.Errorf("%s: %w", part, err)
		}
		figures[part] = r.figures
		if !o.json {
			fmt.Fprintf(out, "## %s\n\n%s\n", r.name, r.table)
		}
		if part != "capacity" {
			if err := writeReport(o.folder, part, r); err != nil {
				return err
			}
		}
	}
	if o.json {
		return json.NewEncoder(out).Encode(figures)
	}
	return nil
}

func measure(ctx context.Context, part string, o options) (result, error) {
	switch part {
	case "skew":
		return measureSkew(), nil
	case "choice":
		return measureChoice(), nil
	case "overload":
		return measureOverload(), nil
	case "dcMove":
		return measureMove(ctx)
	case "capacity":
		return measureCapacity(ctx, o.page)
	}
	return result{}, fmt.Errorf("measurement %q does not exist", part)
}

// writeReport writes the report and the plot of one measurement into a directory.
func writeReport(folder, part string, r result) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	page := fmt.Sprintf("# %s\n\nWritten by `make measure`.\n\n%s\n", r.name, r.table)
	for _, note := range r.notes {
		page += "\n" + note + "\n"
	}
	if r.plot != nil {
		if err := r.plot(filepath.Join(folder, part+".png")); err != nil {
			return err
		}
		page += fmt.Sprintf("\n![%s](%s.png)\n", part, part)
	}
	return os.WriteFile(filepath.Join(folder, part+".md"), []byte(page), 0o644)
}
