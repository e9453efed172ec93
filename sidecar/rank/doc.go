// Package rank is the sidecar: it speaks to the rank beside it for planners.
package rank
