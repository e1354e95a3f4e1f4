package http1

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/guavaford/guavaford/internal/reqbody"
)

// Request is one request of a caller.
type Request struct {
	*http.Request
	exchange *exchange
}

// AwaitPrevious waits until every earlier request on the connection is answered. It returns false when the connection
// has ended, or ends with one of those responses.
func (r *Request) AwaitPrevious(ctx context.Context) bool {
	select {
	case <-r.exchange.previous:
		return r.exchange.conn.open()
	case <-ctx.Done():
		return false
	}
}

// Late reports whether the server has stopped accepting connections, so that it may end before a request that starts now.
func (r *Request) Late() bool { return r.exchange.conn.server.isClosed() }

// Source returns the body of the request for a handler that forwards it; nil if the request has none. It belongs to the handler until the
// handler has returned and the stream of its response is closed. A lease of the body must have been returned by then, or its holder's
// reads fail.
func (r *Request) Source() *reqbody.Body { return r.exchange.body }

// SetBodyDeadline sets the time by which the body must have arrived.
func (r *Request) SetBodyDeadline(deadline time.Time) {
	r.exchange.conn.setBodyDeadline(deadline)
}

// Field is one header field of a response.
type Field struct {
	Name, Value string
}

// Response is the response of a handler. Body holds the whole body, unless Stream is set.
type Response struct {
	Status int
	Fields []Field
	Body   []byte
	// Stream is a body that is forwarded while it is read. It must return io.EOF only at the end of a complete body:
	// any other error ends the connection, so that the caller sees that the body is incomplete.
	Stream io.ReadCloser
	// Length is the length of Stream in bytes; -1 if not known in advance.
	Length int64
	// Close ends the connection after the response.
	Close  bool
	closed bool
	// Replace, if set, returns the response to send if Stream can't be sent because of Limits.MaxStreams. It says that the request ran.
	Replace func() *Response
}

// closeStream closes the stream, if there is one, once.
func (r *Response) closeStream() {
	if r.Stream != nil && !r.closed {
		r.closed = true
		_ = r.Stream.Close()
	}
}

// replacement returns the response in place of one whose Stream can't be sent.
func (r *Response) replacement() *Response {
	if r.Replace == nil {
		return &Response{Status: http.StatusBadGateway}
	}
	return r.Replace()
}

// Add adds a header field.
func (r *Response) Add(name, value string) {
	r.Fields = append(r.Fields, Field{name, value})
}

// bodiless reports whether responses to the method or with the status have no body, whatever their header says.
func bodiless(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified ||
		(status >= http.StatusContinue && status < http.StatusOK)
}

// appendHead encodes the status line and the header fields. It returns true if the body must be sent in chunks.
func (r *Response) appendHead(b *bytes.Buffer, method string, closing bool) (chunked bool) {
	b.WriteString("HTTP/1.1 ")
	b.WriteString(strconv.Itoa(r.Status))
	b.WriteByte(' ')
	b.WriteString(http.StatusText(r.Status))
	b.WriteString("\r\n")
	for _, f := range r.Fields {
		b.WriteString(f.Name)
		b.WriteString(": ")
		b.WriteString(f.Value)
		b.WriteString("\r\n")
	}
	length := int64(len(r.Body))
	if r.Stream != nil {
		length = r.Length
	}
	switch {
	case r.Status == http.StatusNoContent:
	case length < 0 && !bodiless(method, r.Status):
		chunked = true
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case length >= 0:
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.FormatInt(length, 10))
		b.WriteString("\r\n")
	}
	if closing {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	return chunked
}
