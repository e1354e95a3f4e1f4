package http1

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/guavaford/guavaford/internal/buffer"
)

// turn is one request on its connection.
type turn struct {
	conn    *conn
	request *http.Request
	// before is closed when the request before this one was answered, done when this one was.
	before <-chan struct{}
	done   chan struct{}
	// bodyRead is closed when the next request can be read.
	bodyRead chan struct{}
	once     sync.Once
	unread   bool
}

// run answers the request in its turn.
func (t *turn) run() {
	defer t.conn.end()
	defer close(t.done)
	defer t.releaseBody(false)
	t.wrapBody()
	response := t.conn.server.handler.Serve(t.conn.ctx, &Request{Request: t.request, turn: t})
	if response.Stream != nil {
		defer response.Stream.Close()
	}
	select {
	case <-t.before:
	case <-t.conn.ctx.Done():
		return
	}
	if !t.conn.open() {
		return
	}
	t.discardBody()
	closing := response.Close || t.request.Close || t.unread || t.conn.lastAnswer()
	if closing {
		t.conn.stopAnswers()
	}
	if err := t.write(response, closing); err != nil {
		t.conn.abort()
		return
	}
	if closing {
		t.conn.linger()
		t.conn.abort()
	}
}

// buffers holds the buffers in which answers are put together.
var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// maxPooled is the largest buffer that is kept, in bytes.
const maxPooled = 64 << 10

// write sends the answer. An error means that it was cut short, so that the connection must end.
func (t *turn) write(r *Response, closing bool) error {
	b := buffers.Get().(*bytes.Buffer)
	defer func() {
		if b.Cap() <= maxPooled {
			buffers.Put(b)
		}
	}()
	b.Reset()
	chunked := r.appendHead(b, t.request.Method, closing)
	if bodiless(t.request.Method, r.Status) {
		return t.conn.write(b.Bytes())
	}
	if r.Stream == nil {
		b.Write(r.Body)
		return t.conn.write(b.Bytes())
	}
	return t.copyStream(b, r, chunked)
}

// copyStream passes a body on as it comes, the head in b together with its first part.
func (t *turn) copyStream(b *bytes.Buffer, r *Response, chunked bool) error {
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
		err := t.conn.write(b.Bytes())
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
		// The body was empty, or its end follows.
		if err := t.conn.write(b.Bytes()); err != nil {
			return err
		}
	}
	if !chunked && sent != r.Length {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// trackedBody tells the connection when the body of a request has been read to its end.
type trackedBody struct {
	turn   *turn
	source io.ReadCloser
	mu     sync.Mutex
	closed bool
	begun  bool
}

// wrapBody lets the reader of the connection go on when the body has been read.
func (t *turn) wrapBody() {
	if t.request.Body == nil || t.request.Body == http.NoBody || t.request.ContentLength == 0 {
		t.releaseBody(true)
		return
	}
	t.request.Body = &trackedBody{turn: t, source: t.request.Body}
}

// Read reads the body and tells a caller that waits for permission to go on.
func (b *trackedBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0, http.ErrBodyReadAfterClose
	}
	if !b.begun {
		b.begun = true
		if strings.EqualFold(b.turn.request.Header.Get("Expect"), "100-continue") {
			<-b.turn.before
			if err := b.turn.conn.write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
				return 0, err
			}
		}
	}
	n, err := b.source.Read(p)
	if err == io.EOF {
		b.turn.releaseBody(true)
	}
	return n, err
}

// Close ends the use of the body.
func (b *trackedBody) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	return nil
}

// discardBody reads away what the handler left of the body, so that the connection can go on.
func (t *turn) discardBody() {
	body, ok := t.request.Body.(*trackedBody)
	if !ok {
		return
	}
	select {
	case <-t.bodyRead:
		return
	default:
	}
	if !body.begun && t.request.Header.Get("Expect") != "" {
		t.releaseBody(false)
		return
	}
	t.conn.limitBody(time.Now().Add(t.conn.server.limits().HeaderTimeout))
	n, err := io.CopyN(io.Discard, body, maxUnreadBody)
	t.releaseBody(err == io.EOF && n < maxUnreadBody)
}

// releaseBody lets the reader of the connection go on, or end if the body was not read.
func (t *turn) releaseBody(read bool) {
	t.once.Do(func() {
		t.unread = !read
		if _, bounded := t.request.Body.(*trackedBody); bounded {
			t.conn.limitBody(time.Time{})
		}
		close(t.bodyRead)
	})
}

// awaitBody waits until the next request can be read. It returns false when it can't.
func (t *turn) awaitBody() bool {
	<-t.bodyRead
	return !t.unread
}
