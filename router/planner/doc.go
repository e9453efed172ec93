// Package planner elects a leader among the router instances. The leader watches the
// ranks of each group through their sidecars, plans the group's expert map and switches
// the group to it.
package planner
