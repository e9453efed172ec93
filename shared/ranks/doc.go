// Package ranks switches the expert map of a group of ranks that run in lock-step,
// and plans the maps. A group runs each pass with one map on all ranks.
package ranks
