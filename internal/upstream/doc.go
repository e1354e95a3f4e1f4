// Package upstream is an HTTP/1.1 client for the targets of a host.
//
// # Concepts
//
// An exchange is one request and its response. Transport differs from net/http.Transport in five ways:
//
//   - A response is accepted only if it carries the identifier of the request that was sent. A late response
//     to an earlier request is discarded.
//   - A connection is not reused after bytes that follow a complete response, after a response that arrives
//     before the whole request was sent, or after a response that ends with its connection.
//   - A status that is none ends the exchange with an InvalidAnswerError, and its connection: anything but three digits from 100 to 599,
//     101 (no request asks for another protocol), and interim responses that are too many or announce a body.
//   - A body without a length is complete only if the target has ended it. A reset is an error, also if a write took it from the system.
//   - No request is ever sent twice: whether a failed one may be retried is for the caller to decide.
//
// # Data flow
//
//	Transport.RoundTrip: idle or new connection -> send the request -> read the head of the response
//	body:                read to the end -> keep the connection for reuse, or close it
//
// The calling goroutine writes the request and reads the response, so that an exchange costs no switch between
// goroutines. Only a long request body, or one of unknown length, is sent by another goroutine.
//
// Dialer gives other clients for targets connections that report resets as those of Transport do.
package upstream
