// Package rank implements the sidecar of a model replica: it reports the state of the
// replica's rank to planners and executes their orders on it.
package rank
