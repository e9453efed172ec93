// Package core owns an entry instance's control state: the known state of the deployment
// and the assignment of requests to targets. Request handlers send it events and wait
// for decisions, which package admission makes.
package core
