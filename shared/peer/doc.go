// Package peer speaks to the other processes of the system: protobuf messages
// over yamux streams, and the loop that owns a process's control state.
package peer
