// Package ranks plans expert maps for a group of ranks that run in lockstep, and
// switches the group from one map to the next. All ranks of a group run each forward
// pass with the same map. Passes are numbered; fields named Step hold such a number.
package ranks
