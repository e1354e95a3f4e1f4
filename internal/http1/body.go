package http1

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/guavaford/guavaford/internal/reqbody"
)

// recallTimeout bounds how long the connection waits, after a response, for a goroutine that forwards the body to return
// it. Its exchange has ended by then. Otherwise the connection ends.
const recallTimeout = 250 * time.Millisecond

// source reads the body of a request from the connection. It lets the connection read the next request once the body was
// read to its end.
type source struct {
	exchange *exchange
	body     io.Reader
	// begun is set by the first read.
	begun atomic.Bool
}

// wrapBody makes the body available to the handler, or releases the connection at once if the request has no body. Until
// the handler has returned and closed the stream of its response, the body belongs to the handler.
func (x *exchange) wrapBody() {
	if x.request.Body == nil || x.request.Body == http.NoBody || x.request.ContentLength == 0 {
		x.releaseBody(true)
		return
	}
	x.source = &source{exchange: x, body: x.request.Body}
	x.body = reqbody.New(x.request.ContentLength, x.source)
	x.request.Body = io.NopCloser(x.body)
}

// Read reads the body. The first read sends the interim response 100 to a caller that waits for it.
func (s *source) Read(p []byte) (int, error) {
	if !s.begun.Swap(true) && s.exchange.expectsContinue() {
		<-s.exchange.previous
		if err := s.exchange.conn.write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return 0, err
		}
	}
	n, err := s.body.Read(p)
	if err == io.EOF {
		s.exchange.releaseBody(true)
	}
	return n, err
}

func (x *exchange) expectsContinue() bool {
	return strings.EqualFold(x.request.Header.Get("Expect"), "100-continue")
}

// bodyLeft reports whether it is known before the response that the body will not be read to its end: its sender waits
// for a request to send it, reading it has failed, or the rest is longer than maxUnreadBody and nobody forwards it.
func (x *exchange) bodyLeft() bool {
	if x.body == nil {
		return false
	}
	if x.request.Header.Get("Expect") != "" && !x.source.begun.Load() {
		x.releaseBody(false)
		return true
	}
	return !x.body.Lent() && (x.body.Failed() || x.body.Left() > maxUnreadBody)
}

// discardBody reads what the handler left of the body, up to maxUnreadBody, so that the connection can be used for the
// next request. It reports whether the body has ended. A body that is still forwarded is left alone.
func (x *exchange) discardBody() bool {
	select {
	case <-x.bodyRead:
		return !x.unread
	default:
	}
	if !x.body.Recall(recallTimeout) {
		return false
	}
	x.conn.setBodyDeadline(time.Now().Add(x.conn.server.limits().HeaderTimeout))
	whole := x.body.Discard(maxUnreadBody)
	x.releaseBody(whole)
	return whole
}

// stopBody ends the use of the body. When it returns, nobody reads the connection for it.
func (x *exchange) stopBody() {
	if x.body != nil {
		x.body.Close(func() { x.conn.setBodyDeadline(time.Unix(1, 0)) })
	}
	x.releaseBody(false)
}

// releaseBody lets the goroutine that reads the connection continue, or end if the body was not read completely.
func (x *exchange) releaseBody(read bool) {
	x.once.Do(func() {
		x.unread = !read
		if x.body != nil {
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
