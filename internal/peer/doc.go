// Package peer carries calls and control messages between nodes.
//
// # Concepts
//
// A Transport dials and accepts sessions. A Session is one connection that carries
// many independent streams. NewYamux returns the transport of a running node: yamux
// streams over mutually authenticated TLS 1.3. Tests use the in-memory transport of
// package memnet.
//
// A Pool holds at most one current connection to each address and opens
// exchanges on it. A Server accepts connections and serves exchanges. An exchange is
// one request and its response on a stream. There are two kinds:
//
//   - A unary exchange sends one message and receives one message (Unary,
//     HandleUnary).
//   - A call sends a header and a body, and receives a header and a body (Call,
//     Attach, HandleCall, HandleAttach). A body is either complete, verified by
//     its length and checksum, or it ends with io.ErrUnexpectedEOF.
//
// # Data flow
//
//	Pool.Call ── header, body frames ──▶ Server ── IncomingCall ──▶ handler
//	Answer    ◀── header, body frames ── Server ◀── Answer, Write, Finish
//
// The first stream of a connection is its control stream. Both sides send a Hello frame
// on it. The dialling side pings while exchanges are in flight, and cancels exchanges;
// the accepting side answers pings, and announces that it is stopping (GoAway).
//
// # Order of frames
//
// Over yamux, small frames go before bodies, and bodies go in the order that package linkshare decides, in chunks. The socket holds few
// unsent bytes, so that what waits can be ordered. Pool.Call fails with a LateBodyError, and sends nothing, if a body can't arrive in time.
//
// # Silent connections
//
// A connection can stop carrying bytes without being reset; such a connection is called
// silent. The dialling side counts ping intervals without an answer: it first stops using
// the connection for new exchanges, which then use a new connection, and later closes it
// and fails its exchanges with CallError.Silent set. The accepting side expects pings
// while exchanges are in flight and closes the connection when none arrive. An idle
// connection is not pinged.
//
// A call fails earlier than that: it waits for a new connection only as long as another
// target could still be tried, and an idempotent call waits for its answer only while the
// peer answers pings.
package peer
