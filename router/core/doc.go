// Package core owns an entry instance's control state: what is known of the
// deployment, and which request runs where. Traffic hands it events and waits for
// the decisions; decisions themselves are made in package admission.
package core
