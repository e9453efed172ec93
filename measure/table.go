package main

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// table is a Markdown table.
type table struct {
	header []string
	rows   [][]string
}

func newTable(header ...string) *table { return &table{header: header} }

func (t *table) addRow(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = formatCell(cell)
	}
	t.rows = append(t.rows, row)
}

// formatCell formats numbers with three significant digits, or as integers if they are
// whole or at least 100.
func formatCell(cell any) string {
	if value, ok := cell.(float64); ok {
		switch {
		case value == math.Trunc(value) && math.Abs(value) < 1e9:
			return fmt.Sprintf("%.0f", value)
		case math.Abs(value) >= 100:
			return fmt.Sprintf("%.0f", value)
		}
		return fmt.Sprintf("%.3g", value)
	}
	return fmt.Sprint(cell)
}

// String returns the table as Markdown with aligned columns.
func (t *table) String() string {
	widths := make([]int, len(t.header))
	for _, row := range append([][]string{t.header}, t.rows...) {
		for i, cell := range row {
			widths[i] = max(widths[i], len(cell))
		}
	}
	var b strings.Builder
	line := func(row []string) {
		for i, cell := range row {
			fmt.Fprintf(&b, "| %-*s ", widths[i], cell)
		}
		b.WriteString("|\n")
	}
	line(t.header)
	rule := make([]string, len(t.header))
	for i := range rule {
		rule[i] = strings.Repeat("-", widths[i])
	}
	line(rule)
	for _, row := range t.rows {
		line(row)
	}
	return b.String()
}

// spread is the median, minimum and maximum of a figure over several runs.
type spread struct {
	Median float64 `json:"median"`
	Min    float64 `json:"least"`
	Max    float64 `json:"most"`
}

func newSpread(values []float64) spread {
	sorted := slices.Sorted(slices.Values(values))
	return spread{Median: sorted[len(sorted)/2], Min: sorted[0], Max: sorted[len(sorted)-1]}
}

// String returns the median and the range.
func (s spread) String() string {
	return fmt.Sprintf("%s (%s to %s)", formatCell(s.Median), formatCell(s.Min), formatCell(s.Max))
}

// quantile returns the q-quantile of values, or 0 if there are none. It sorts values in
// place.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}
