package http1

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/guavaford/guavaford/internal/buffer"
	"github.com/guavaford/guavaford/internal/reqbody"
)

// exchange is one request on a connection and its response.
type exchange struct {
	conn    *conn
	request *http.Request
	// previous is closed when the request before this one is answered, done when this one is.
	previous <-chan struct{}
	done     chan struct{}
	// body is the body of the request; nil if it has none. source is what it is read from.
	body   *reqbody.Body
	source *source
	// bodyRead is closed when nothing more of the body will be read. unread is set before that if a part of the body is
	// left on the connection, so that no further request can be read from it.
	bodyRead chan struct{}
	once     sync.Once
	unread   bool
	// blockedSince is when the write of a part of a streamed response began, in Unix nanoseconds; 0 between writes.
	blockedSince atomic.Int64
}

// run calls the handler, waits until the earlier requests are answered, writes the response and reads what is left of the
// body. A body that is not read yet doesn't delay the response.
func (x *exchange) run() {
	defer x.conn.endRequest()
	defer close(x.done)
	defer x.stopBody()
	x.wrapBody()
	response := x.conn.server.handler.Serve(x.conn.requests, &Request{Request: x.request, exchange: x})
	defer response.closeStream()
	select {
	case <-x.previous:
	case <-x.conn.ctx.Done():
		return
	}
	if !x.conn.open() {
		return
	}
	closing := response.Close || x.request.Close || x.bodyLeft() || x.conn.lastResponse()
	if closing {
		x.conn.stopResponses()
	}
	if response.streamed() {
		if x.beginStream() {
			defer x.conn.server.streams.end(x)
		} else {
			response.closeStream()
			response = response.replacement()
		}
	}
	if err := x.write(response, closing); err != nil {
		x.conn.abort()
		return
	}
	response.closeStream()
	x.conn.server.streams.end(x)
	if !x.discardBody() && !closing {
		closing = true
		x.conn.stopResponses()
	}
	if closing {
		x.stopBody()
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
