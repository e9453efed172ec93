// Package planner elects a leader among the router instances, which plans the expert
// maps of all groups. The leader watches the ranks of each group through their sidecars
// and switches the maps.
package planner
