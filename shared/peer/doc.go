// Package peer implements the communication between the processes of the system,
// protobuf messages over yamux streams, and the event loop that owns the control state
// of a process.
package peer
