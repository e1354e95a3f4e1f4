// Package http1 serves HTTP/1.1 connections whose requests may be pipelined.
//
// # Concepts
//
// An exchange is one request and its response. A connection has one goroutine that reads requests,
// and one for each exchange. Exchanges run concurrently, and their responses are written in the
// order of the requests. Since the reading goroutine never waits for a response, it notices at once
// when the caller closes the connection, and cancels the contexts of the requests.
//
// A handler whose request must not run twice first waits for all earlier responses
// (Request.AwaitPrevious): when one of them ends the connection, the caller sends the request again.
//
// The parser is that of net/http. Requests that it accepts although they leave open where their body
// ends are rejected here: those with both Content-Length and Transfer-Encoding, or with several
// Transfer-Encoding fields.
//
// The body of a request has one reader at a time (package reqbody). While a response is streamed, the handler's
// goroutines may still forward the body; only when the stream is closed and they have returned the body does the exchange
// read the rest, so that the connection can be used for the next request. The response never waits for the body.
//
// # Data flow
//
//	conn.serve: wait for a request -> read its header -> start an exchange -> wait until its body is read
//	exchange:   run the handler -> wait for the earlier exchanges -> write the response -> read the rest of the body
package http1
