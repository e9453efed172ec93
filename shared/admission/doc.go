// Package admission decides which request runs where and when: it chooses targets,
// queues what has to wait and refuses early what cannot be served in time. It is one
// reducer over events with effects as data; it reads no clock and opens no
// connection.
package admission
