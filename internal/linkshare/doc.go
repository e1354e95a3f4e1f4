// Package linkshare decides in which order the bodies on a link between two nodes are sent.
//
// The load that it responds to is uploads and large answers on a link that carries less than they need: small frames must
// not wait behind them, and they must not wait behind each other.
//
// A Schedule holds the body frames that wait for one connection, in a queue for each stream, and names the next. It gets the
// time from its caller, does no I/O, and is not safe for concurrent use.
package linkshare
