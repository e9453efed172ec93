// Package fleet models a deployment: the operators' configuration, the registered
// targets, the entry instances, and the store records that hold them.
package fleet
