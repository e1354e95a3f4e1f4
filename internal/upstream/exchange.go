package upstream

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// inlineBody is the size in bytes of the largest body that is sent in one write with its head. Longer ones are sent in
// parts of this size.
const inlineBody = 32 << 10

// exchange is one request and its response on a connection.
type exchange struct {
	transport *Transport
	conn      *conn
	request   *http.Request
	// stopCancel ends the cancellation of the connection by the request's context. It returns false if the context has
	// already ended, so that the deadline of the connection has expired.
	stopCancel func() bool
	// sent is closed when the body was sent or has failed, with sendErr set before; nil if the whole request was sent
	// before the response is read.
	sent    chan struct{}
	sendErr error
}

// buffers holds the buffers in which requests are encoded.
var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// run sends the request and reads the head of its response. Late responses to earlier requests are discarded.
func (x *exchange) run() (*http.Response, error) {
	if err := x.send(); err != nil {
		return nil, errors.Wrap(err, "send request")
	}
	for range maxLateResponses {
		response, err := x.readHead()
		if err != nil {
			return nil, errors.Wrap(err, "read response")
		}
		CheckTrailer(response, nil)
		if !x.matches(response) {
			if err := discardLate(response); err != nil {
				return nil, err
			}
			continue
		}
		if idle, ok := idleTimeOf(response.Header); ok {
			x.conn.idleTime = idle
		}
		response.Body = &body{exchange: x, source: response.Body, reusable: reusable(response)}
		return response, nil
	}
	return nil, ErrMismatchedResponse
}

// discardLate reads the body of a response to another request.
func discardLate(r *http.Response) error {
	_, err := io.CopyN(io.Discard, r.Body, maxLateBody)
	if invalid := (*InvalidAnswerError)(nil); errors.As(err, &invalid) {
		return err
	}
	if err != io.EOF {
		return ErrMismatchedResponse
	}
	return nil
}

// reusable reports whether the connection can carry another request after a response: the response must have an end of
// its own, and the target must not close the connection.
func reusable(r *http.Response) bool {
	return !r.Close && r.ProtoAtLeast(1, 1) && (r.ContentLength >= 0 || len(r.TransferEncoding) > 0)
}

// readHead reads and checks the head of the next response.
func (x *exchange) readHead() (*http.Response, error) {
	if err := x.conn.beginHead(); err != nil {
		return nil, err
	}
	defer x.conn.endHead()
	response, err := x.read()
	if fault := x.conn.head.fault; fault != nil {
		// The parser may have taken the start of the line at fault for all of it.
		return nil, fault
	}
	return response, err
}

// read reads the head of the next response and skips interim responses (1xx).
func (x *exchange) read() (*http.Response, error) {
	for range maxInterim + 1 {
		if err := x.conn.checkStatusLine(); err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(x.conn.reader, x.request)
		if err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if err := checkInterim(response); err != nil {
			return nil, err
		}
	}
	return nil, invalidAnswer("more than %d interim responses", maxInterim)
}

// matches reports whether a response belongs to the request. On a new connection an error response need not carry the
// identifier: some targets reject a request before they have read it. On a connection that has carried another request,
// it may be a second response to that one.
func (x *exchange) matches(r *http.Response) bool {
	field := x.transport.IDField
	if field == "" {
		return true
	}
	id := r.Header.Get(field)
	if id == "" {
		return r.StatusCode >= http.StatusMultipleChoices && !x.conn.used
	}
	return id == x.request.Header.Get(field)
}

// send writes the request. A long body, or one of unknown length, is sent by another goroutine:
// the target may answer before it has read all of it.
func (x *exchange) send() error {
	b := buffers.Get().(*bytes.Buffer)
	b.Reset()
	defer buffers.Put(b)
	r := x.request
	writeHead(b, r)
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		closeBody(r)
		_, err := x.conn.Write(b.Bytes())
		return err
	}
	if r.ContentLength > 0 && r.ContentLength <= inlineBody {
		defer closeBody(r)
		if _, err := io.CopyN(b, r.Body, r.ContentLength); err != nil {
			return err
		}
		_, err := x.conn.Write(b.Bytes())
		return err
	}
	if _, err := x.conn.Write(b.Bytes()); err != nil {
		closeBody(r)
		return err
	}
	x.sent = make(chan struct{})
	go x.sendBody()
	return nil
}

// writeHead encodes the request line and the header fields.
func writeHead(b *bytes.Buffer, r *http.Request) {
	path := r.RequestURI
	if path == "" {
		path = r.URL.RequestURI()
	}
	host := r.Host
	if host == "" {
		host = r.URL.Host
	}
	writeAll(b, r.Method, " ", path, " HTTP/1.1\r\nHost: ", host, "\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			if name == "User-Agent" && value == "" {
				continue
			}
			writeAll(b, name, ": ", value, "\r\n")
		}
	}
	switch {
	case r.ContentLength < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case r.ContentLength > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch:
		writeAll(b, "Content-Length: ", strconv.FormatInt(r.ContentLength, 10), "\r\n")
	}
	b.WriteString("\r\n")
}

func writeAll(b *bytes.Buffer, parts ...string) {
	for _, part := range parts {
		b.WriteString(part)
	}
}

// sendBody sends the body. An error ends the exchange, unless the target has closed the connection: it may have answered before.
func (x *exchange) sendBody() {
	defer close(x.sent)
	defer closeBody(x.request)
	x.sendErr = x.copyBody()
	if x.sendErr != nil && !x.conn.closedByTarget() {
		// The target waits for the rest of the body, so no response would come.
		_ = x.conn.SetDeadline(time.Unix(1, 0))
	}
}

// copyBody writes the body as it is, or in chunks if its length is unknown.
func (x *exchange) copyBody() error {
	r := x.request
	if r.ContentLength > 0 {
		_, err := io.CopyN(x.conn, r.Body, r.ContentLength)
		return err
	}
	part := make([]byte, inlineBody)
	for {
		n, err := r.Body.Read(part)
		if n > 0 {
			chunk := fmt.Appendf(nil, "%x\r\n", n)
			chunk = append(append(chunk, part[:n]...), '\r', '\n')
			if _, writeErr := x.conn.Write(chunk); writeErr != nil {
				return writeErr
			}
		}
		if err == io.EOF {
			_, err = io.WriteString(x.conn, "0\r\n\r\n")
			return err
		}
		if err != nil {
			return err
		}
	}
}

// fullySent reports whether the whole request has been sent by now.
func (x *exchange) fullySent() bool {
	if x.sent == nil {
		return true
	}
	select {
	case <-x.sent:
		return x.sendErr == nil
	default:
		return false
	}
}

// body is the body of a response. At its end, the connection becomes available for another request.
type body struct {
	exchange *exchange
	source   io.ReadCloser
	reusable bool
	mu       sync.Mutex
	ended    bool
}

// Read reads the body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if err != nil {
		b.end(err == io.EOF)
	}
	return n, err
}

// Close ends the exchange. The connection is closed if the body was not read to its end.
func (b *body) Close() error {
	b.end(false)
	return nil
}

// end keeps the connection for reuse or closes it. Only the first call has an effect.
func (b *body) end(complete bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return
	}
	b.ended = true
	x := b.exchange
	notCancelled := x.stopCancel()
	if complete && b.reusable && notCancelled && x.fullySent() && x.conn.reader.Buffered() == 0 {
		x.conn.used = true
		x.transport.putIdle(x.conn)
		return
	}
	_ = x.conn.Close()
}
