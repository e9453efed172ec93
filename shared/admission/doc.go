// Package admission schedules requests: it chooses their targets, queues those that
// have to wait and refuses early those that cannot be served in time. It is a single
// reducer that takes events and returns effects as data; it reads no clock and opens
// no connection.
package admission
