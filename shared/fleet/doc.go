// Package fleet holds what the product knows of a deployment: the operators'
// configuration, the registered targets and the entry instances.
package fleet
