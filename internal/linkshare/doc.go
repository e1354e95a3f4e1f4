// Package linkshare decides in which order the bodies on a link between two nodes are sent, and whether a body can arrive in time.
//
// The load that it responds to is uploads and large answers on a link that carries less than they need: small frames must
// not wait behind them, and they must not wait behind each other.
//
// A Schedule holds the body frames that wait for one connection, in a queue for each stream, and names the next. Streams
// share the connection by weights, which follow from the priority of a call and from the time that it has left. A Meter measures
// what a connection carries while frames wait for it. Both get the time from their caller, do no I/O, and are not safe for
// concurrent use.
package linkshare
