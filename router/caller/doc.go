// Package caller implements the router of an entry instance: it publishes the addresses
// that callers connect to, forwards their requests to targets and returns the responses.
package caller
