// Package upstream is an HTTP/1.1 client for the targets of a host.
//
// # Concepts
//
// An exchange is one request and its response. Transport differs from net/http.Transport in six ways:
//
//   - A response is accepted only if it carries the identifier of the request that was sent. A late response
//     to an earlier request is discarded.
//   - A connection is not reused after bytes that follow a complete response, after a response that arrives
//     before the whole request was sent, or after a response that ends with its connection.
//   - A status that is none ends the exchange with an InvalidAnswerError, and its connection: anything but three digits from 100 to 599,
//     101 (no request asks for another protocol), and interim responses that are too many or announce a body.
//   - A field of a head or a trailer whose name is no token, and a folded line of a head, end the exchange in the same way. The heads of interim
//     responses and of late ones are no exception.
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
// # Other clients
//
// Dialer gives http.Transport connections that report resets and check heads as those of Transport do. Its user calls ExpectAnswer with the
// connection of each request, CheckStatus and CheckTrailer for each response, and AnswerError for each error.
package upstream
