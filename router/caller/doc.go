// Package caller is the router of an entry instance: it tells callers where to
// connect, takes their requests and gives them their answers.
package caller
