package main

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// table is a Markdown table.
type table struct {
	head []string
	rows [][]string
}

func newTable(head ...string) *table { return &table{head: head} }

func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = text(cell)
	}
	t.rows = append(t.rows, row)
}

func text(cell any) string {
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

// String gives the table with its columns aligned.
func (t *table) String() string {
	widths := make([]int, len(t.head))
	for _, row := range append([][]string{t.head}, t.rows...) {
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
	line(t.head)
	rule := make([]string, len(t.head))
	for i := range rule {
		rule[i] = strings.Repeat("-", widths[i])
	}
	line(rule)
	for _, row := range t.rows {
		line(row)
	}
	return b.String()
}

// spread is the median of runs with the least and the most.
type spread struct {
	Median float64 `json:"median"`
	Min    float64 `json:"least"`
	Max    float64 `json:"most"`
}

func newSpread(values []float64) spread {
	sorted := slices.Sorted(slices.Values(values))
	return spread{Median: sorted[len(sorted)/2], Min: sorted[0], Max: sorted[len(sorted)-1]}
}

// String gives the median and the range.
func (s spread) String() string {
	return fmt.Sprintf("%s (%s to %s)", text(s.Median), text(s.Min), text(s.Max))
}

// quantile picks from values; they are sorted in place.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}
