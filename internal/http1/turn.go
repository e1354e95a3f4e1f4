package http1

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/guavaford/guavaford/internal/buffer"
)

// exchange is one request on a connection and its response.
type exchange struct {
	conn    *conn
	request *http.Request
	// previous is closed when the request before this one is answered, done when this one is.
	previous <-chan struct{}
	done     chan struct{}
	// bodyRead is closed when nothing more of the body will be read. unread is set before that if a part of the body is
	// left on the connection, so that no further request can be read from it.
	bodyRead chan struct{}
	once     sync.Once
	unread   bool
	// blockedSince is when the write of a part of a streamed response began, in Unix nanoseconds; 0 between writes.
	blockedSince atomic.Int64
}

// run calls the handler, waits until the earlier requests are answered, and writes the response.
func (x *exchange) run() {
	defer x.conn.endRequest()
	defer close(x.done)
	defer x.releaseBody(false)
	x.wrapBody()
	response := x.conn.server.handler.Serve(x.conn.requests, &Request{Request: x.request, exchange: x})
	if response.Stream != nil {
		defer response.Stream.Close()
	}
	select {
	case <-x.previous:
	case <-x.conn.ctx.Done():
		return
	}
	if !x.conn.open() {
		return
	}
	x.discardBody()
	closing := response.Close || x.request.Close || x.unread || x.conn.lastResponse()
	if closing {
		x.conn.stopResponses()
	}
	if response.streamed() {
		if x.beginStream() {
			defer x.conn.server.streams.end(x)
		} else {
			response = response.replacement()
		}
	}
	if err := x.write(response, closing); err != nil {
		x.conn.abort()
		return
	}
	if closing {
		x.conn.linger()
		x.conn.abort()
	}
}

// buffers holds the buffers in which responses are encoded.
var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// maxPooled is the capacity in bytes up to which a buffer goes back to the pool.
const maxPooled = 64 << 10

// write sends the response. An error means that it is incomplete, so that the connection must end.
func (x *exchange) write(r *Response, closing bool) error {
	b := buffers.Get().(*bytes.Buffer)
	defer func() {
		if b.Cap() <= maxPooled {
			buffers.Put(b)
		}
	}()
	b.Reset()
	chunked := r.appendHead(b, x.request.Method, closing)
	if bodiless(x.request.Method, r.Status) {
		return x.conn.write(b.Bytes())
	}
	if r.Stream == nil {
		b.Write(r.Body)
		return x.conn.write(b.Bytes())
	}
	return x.copyStream(b, r, chunked)
}

// copyStream forwards a body while it is read. The head in b is sent together with the first part.
func (x *exchange) copyStream(b *bytes.Buffer, r *Response, chunked bool) error {
	sent := int64(0)
	err := buffer.Copy(r.Stream, func(part []byte) error {
		sent += int64(len(part))
		if chunked {
			_, _ = fmt.Fprintf(b, "%x\r\n", len(part))
		}
		b.Write(part)
		if chunked {
			b.WriteString("\r\n")
		}
		err := x.writePart(b.Bytes())
		b.Reset()
		return err
	})
	if err != nil {
		return err
	}
	if chunked {
		b.WriteString("0\r\n\r\n")
	}
	if b.Len() > 0 {
		// Only the head of an empty body is left, or the last chunk.
		if err := x.conn.write(b.Bytes()); err != nil {
			return err
		}
	}
	if !chunked && sent != r.Length {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// trackedBody is the body of a request that lets the connection read the next request once it was read to its end.
type trackedBody struct {
	exchange *exchange
	source   io.ReadCloser
	mu       sync.Mutex
	closed   bool
	begun    bool
}

// wrapBody replaces the body by a trackedBody, or releases the connection at once if the request has no body.
func (x *exchange) wrapBody() {
	if x.request.Body == nil || x.request.Body == http.NoBody || x.request.ContentLength == 0 {
		x.releaseBody(true)
		return
	}
	x.request.Body = &trackedBody{exchange: x, source: x.request.Body}
}

// Read reads the body. The first read sends the interim response 100 to a caller that waits for it.
func (b *trackedBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0, http.ErrBodyReadAfterClose
	}
	if !b.begun {
		b.begun = true
		if strings.EqualFold(b.exchange.request.Header.Get("Expect"), "100-continue") {
			<-b.exchange.previous
			if err := b.exchange.conn.write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
				return 0, err
			}
		}
	}
	n, err := b.source.Read(p)
	if err == io.EOF {
		b.exchange.releaseBody(true)
	}
	return n, err
}

// Close makes further reads fail. The connection then ends unless the body was read to its end.
func (b *trackedBody) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	return nil
}

// discardBody reads what the handler left of the body, up to maxUnreadBody, so that the connection can be used for the
// next request.
func (x *exchange) discardBody() {
	body, ok := x.request.Body.(*trackedBody)
	if !ok {
		return
	}
	select {
	case <-x.bodyRead:
		return
	default:
	}
	if !body.begun && x.request.Header.Get("Expect") != "" {
		x.releaseBody(false)
		return
	}
	x.conn.setBodyDeadline(time.Now().Add(x.conn.server.limits().HeaderTimeout))
	n, err := io.CopyN(io.Discard, body, maxUnreadBody)
	x.releaseBody(err == io.EOF && n < maxUnreadBody)
}

// releaseBody lets the goroutine that reads the connection continue, or end if the body was not read completely.
func (x *exchange) releaseBody(read bool) {
	x.once.Do(func() {
		x.unread = !read
		if _, bounded := x.request.Body.(*trackedBody); bounded {
			x.conn.setBodyDeadline(time.Time{})
		}
		close(x.bodyRead)
	})
}

// awaitBody waits until the body is read or given up. It returns true if the next request can then be read.
func (x *exchange) awaitBody() bool {
	<-x.bodyRead
	return !x.unread
}
