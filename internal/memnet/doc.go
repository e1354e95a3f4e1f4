// Package memnet is an in-memory network for tests.
//
// A Network connects named hosts. Each Host is a peer.Transport, so that nodes
// under test talk over it as they would over TCP. It has no sockets and starts
// only goroutines that block on channels and timers, so it works in a
// testing/synctest bubble.
//
// Each direction of a session is a wire: an ordered queue whose messages arrive
// after the delay of the link plus a jitter drawn from the seed. As with TCP,
// bytes are neither lost nor reordered within a session. What fails is time: a
// partition or a stall holds messages back until it ends, and then they arrive
// late. A session that was made silent never delivers again, in one direction
// or in both, while new sessions work.
package memnet
