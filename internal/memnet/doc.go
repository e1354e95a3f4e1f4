// Package memnet is an in-memory network for tests.
//
// # Concepts
//
//   - A Network connects named hosts.
//   - A Host is the peer.Transport of one host, so that nodes under test use it as they would use TCP.
//   - A session is one end of a connection between two hosts. It carries streams, which are net.Conns.
//   - A wire is one direction of a session: an ordered queue of messages, each of which arrives after the delay of the
//     link plus a random jitter that depends on the seed.
//
// # Data flow
//
//	stream.Write -> wire -> (delay; blocked direction) -> session at the other end -> stream.Read
//
// # Faults
//
// As with TCP, bytes are neither lost nor reordered within a session that works. A partition or a stall only delays
// messages: they are held until it ends and are then delivered. A session that DropOpenSessions was applied to drops
// all later messages in that direction, while new sessions work.
//
// The package has no sockets and starts only goroutines that block on channels and timers, so it works in a
// testing/synctest bubble.
package memnet
