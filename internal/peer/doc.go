// Package peer carries calls and control messages between nodes.
//
// # Concepts
//
// A Transport dials and accepts sessions. A Session is one authenticated
// connection that carries many independent streams. NewYamux returns the
// transport of a running node: yamux streams over mutually authenticated
// TLS 1.3. Tests use the in-memory transport of package memnet.
//
// A Pool holds at most one current connection to each address and opens
// exchanges on it. A Server accepts connections and serves exchanges. There are
// two kinds of exchange:
//
//   - A unary exchange sends one message and receives one message (Unary,
//     HandleUnary).
//   - A call sends a header and a body, and receives a header and a body (Call,
//     Attach, HandleCall, HandleAttach). A body is delivered whole, proven by
//     its length and checksum, or it ends in io.ErrUnexpectedEOF.
//
// # Data flow
//
//	Pool.Call ── header, body frames ──▶ Server ── IncomingCall ──▶ handler
//	Answer    ◀── header, body frames ── Server ◀── Answer, Write, Finish
//
// The first stream of a connection is its control stream. Both ends say Hello
// on it. The opening end pings while exchanges are in flight, and cancels
// exchanges; the accepting end answers pings, and says when it is stopping.
//
// # Silent connections
//
// A connection can stop carrying bytes without being reset. The opening end
// counts ping intervals without an answer: it stops using the connection for
// new exchanges first, and then closes it and fails its exchanges with
// CallError.Silent set. New exchanges go over a new connection meanwhile. The
// accepting end expects pings while exchanges are in flight and closes the
// connection when they stay away. An idle connection is not pinged.
//
// A call waits for less: for a connection only as long as another target could still be
// tried, and, if it may be repeated, for its answer only while the other end answers pings.
package peer
