// Package planner holds the duty of planning expert maps: it watches the ranks of
// each group through the sidecars beside them, and switches maps.
package planner
