package http1

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// readBuffer is the size of the read buffer of a connection in bytes; a longer header makes it grow.
	readBuffer = 4 << 10
	// maxPipelined limits the requests of one connection that run or wait for earlier responses.
	maxPipelined = 64
	// writeTimeout limits how long one write to a caller may take; a caller that does not read is then disconnected.
	writeTimeout = 30 * time.Second
	// maxUnreadBody is how many bytes of a request's body, not read by the handler, are discarded to keep the connection
	// usable. A longer rest ends it.
	maxUnreadBody = 256 << 10
	// maxEmptyLineBytes limits the bytes of empty lines before a request.
	maxEmptyLineBytes = 256
	// lingerTime is how long the server keeps reading from a connection that it ends: unread bytes would make
	// the system send a reset, and the caller could lose the response.
	lingerTime = 500 * time.Millisecond
)

// conn is one connection of a caller.
type conn struct {
	server *Server
	raw    net.Conn
	reader *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc
	// requests is the context of the requests. It ends with ctx, or before by giveUp.
	requests context.Context
	giveUp   context.CancelCauseFunc
	// slots holds one element for each request that was read and is not yet answered.
	slots chan struct{}

	mu sync.Mutex
	// pending counts the requests that were read and are not yet answered.
	pending int
	// reading is set from the first byte of a request to the end of its header.
	reading bool
	// ending is set once no further response may be written.
	ending bool
}

func newConn(s *Server, raw net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	requests, giveUp := context.WithCancelCause(ctx)
	return &conn{
		server:   s,
		raw:      raw,
		reader:   bufio.NewReaderSize(raw, readBuffer),
		ctx:      ctx,
		cancel:   cancel,
		requests: requests,
		giveUp:   giveUp,
		slots:    make(chan struct{}, maxPipelined),
	}
}

// Errors that end a connection after an error response.
var (
	errHeaderTooLong    = errors.New("header too long")
	errAmbiguousFraming = errors.New("both Content-Length and Transfer-Encoding")
	errEmptyLines       = errors.New("too many empty lines before a request")
)

// serve reads requests until the connection ends, and returns when all of them are answered.
func (c *conn) serve() {
	var running sync.WaitGroup
	defer c.server.removeConn(c)
	defer func() {
		running.Wait()
		c.cancel()
		_ = c.raw.Close()
	}()
	previous := closedChannel
	for {
		request, err := c.readRequest()
		if err != nil {
			c.endWithError(err, previous)
			return
		}
		x := &exchange{conn: c, request: request, previous: previous, done: make(chan struct{}), bodyRead: make(chan struct{})}
		previous = x.done
		if !c.beginRequest(x) {
			return
		}
		running.Add(1)
		c.server.pool.Go(func() {
			defer running.Done()
			x.run()
		})
		if request.Close {
			c.watchClose(x)
			return
		}
		if !x.awaitBody() {
			return
		}
	}
}

// closedChannel stands for the exchange before the first one, which has always ended.
var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// beginRequest waits for a slot for a request and counts it. It returns false when the connection ends.
func (c *conn) beginRequest(x *exchange) bool {
	select {
	case c.slots <- struct{}{}:
	case <-c.ctx.Done():
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if c.ending {
		return false
	}
	c.pending++
	c.server.requests.Add(1)
	_ = c.raw.SetReadDeadline(time.Time{})
	return true
}

// endRequest frees the slot of a request, and starts the idle timeout if none is left.
func (c *conn) endRequest() {
	<-c.slots
	c.server.requests.Add(-1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	if c.pending == 0 && !c.reading && !c.ending {
		_ = c.raw.SetReadDeadline(time.Now().Add(c.server.limits().IdleTimeout))
	}
}

// readRequest waits for a request and reads its header.
func (c *conn) readRequest() (*http.Request, error) {
	c.awaitRequest()
	if err := c.skipEmptyLines(); err != nil {
		return nil, err
	}
	limits := c.server.limits()
	c.startHeader(limits)
	if err := c.awaitHeader(limits.MaxHeader); err != nil {
		return nil, err
	}
	request, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, &badRequest{err}
	}
	return request, nil
}

// skipEmptyLines reads up to the first byte of a request. Some clients send an empty line after a body, which is not
// part of it.
func (c *conn) skipEmptyLines() error {
	for range maxEmptyLineBytes {
		first, err := c.reader.Peek(1)
		if err != nil {
			return err
		}
		if first[0] != '\r' && first[0] != '\n' {
			return nil
		}
		_, _ = c.reader.Discard(1)
	}
	return &badRequest{errEmptyLines}
}

// awaitRequest starts the idle timeout unless requests are running.
func (c *conn) awaitRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 {
		_ = c.raw.SetReadDeadline(time.Now().Add(c.server.limits().IdleTimeout))
	}
}

// startHeader records that a header has begun, and starts the header timeout unless all of it has arrived.
func (c *conn) startHeader(l Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
	if buffered, _ := c.reader.Peek(c.reader.Buffered()); headerEnd(buffered) == 0 {
		_ = c.raw.SetReadDeadline(time.Now().Add(l.HeaderTimeout))
	}
}

// badRequest is the error for a malformed request. It is answered with status 400.
type badRequest struct{ cause error }

func (b *badRequest) Error() string { return "malformed request: " + b.cause.Error() }

// awaitHeader waits until the whole header is buffered. It returns an error if the header is longer than limit or
// leaves open where the request ends.
func (c *conn) awaitHeader(limit int) error {
	for {
		data, _ := c.reader.Peek(c.reader.Buffered())
		if end := headerEnd(data); end > 0 {
			if end > limit {
				return errHeaderTooLong
			}
			return checkFraming(data[:end])
		}
		if len(data) > limit {
			return errHeaderTooLong
		}
		if len(data) == c.reader.Size() {
			c.growBuffer(limit)
		}
		// Peek returns no more than it is asked for, but one read may have buffered the rest of the header.
		if _, err := c.reader.Peek(len(data) + 1); err != nil {
			return err
		}
	}
}

// growBuffer replaces the read buffer by one that holds the longest allowed header.
func (c *conn) growBuffer(limit int) {
	rest, _ := c.reader.Peek(c.reader.Buffered())
	source := io.MultiReader(bytes.NewReader(bytes.Clone(rest)), c.raw)
	c.reader = bufio.NewReaderSize(source, limit+readBuffer)
}

// headerEnd returns the length of the header including the empty line at its end, or 0 if that line has not arrived.
func headerEnd(data []byte) int {
	for from := 0; ; {
		i := bytes.IndexByte(data[from:], '\n')
		if i < 0 {
			return 0
		}
		from += i + 1
		rest := data[from:]
		if len(rest) > 0 && rest[0] == '\n' {
			return from + 1
		}
		if len(rest) > 1 && rest[0] == '\r' && rest[1] == '\n' {
			return from + 2
		}
	}
}

// Header fields that define where a body ends.
var (
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
)

// checkFraming rejects a header that different servers may interpret differently as to where the body ends, which
// allows request smuggling.
func checkFraming(header []byte) error {
	lengths, encodings := 0, 0
	for line := range bytes.Lines(header) {
		name, _, found := bytes.Cut(line, []byte(":"))
		if !found {
			continue
		}
		switch name = bytes.TrimSpace(name); {
		case bytes.EqualFold(name, contentLength):
			lengths++
		case bytes.EqualFold(name, transferEncoding):
			encodings++
		}
	}
	if encodings > 1 || (encodings > 0 && lengths > 0) {
		return &badRequest{errAmbiguousFraming}
	}
	return nil
}

// endWithError ends the connection after an error of reading. If the error has a status and the connection is still
// usable, it waits for the earlier responses and then sends an error response.
func (c *conn) endWithError(err error, previous <-chan struct{}) {
	status := 0
	var bad *badRequest
	switch {
	case errors.As(err, &bad):
		status = http.StatusBadRequest
	case errors.Is(err, errHeaderTooLong):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded) && c.inHeader():
		status = http.StatusRequestTimeout
	case !errors.Is(err, os.ErrDeadlineExceeded):
		// The caller has closed the connection, so nobody waits for the responses to its running requests.
		c.cancel()
		return
	}
	select {
	case <-previous:
	case <-c.ctx.Done():
	}
	if status == 0 || !c.open() {
		return
	}
	response := &Response{Status: status, Close: true}
	var head bytes.Buffer
	response.appendHead(&head, http.MethodGet, true)
	if c.write(head.Bytes()) == nil {
		c.linger()
	}
}

func (c *conn) inHeader() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reading
}

// watchClose cancels the contexts when the caller closes the connection while its last request runs.
func (c *conn) watchClose(x *exchange) {
	if !x.awaitBody() {
		return
	}
	stop := make(chan struct{})
	go func() {
		defer close(stop)
		if _, err := c.reader.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancel()
		}
	}()
	<-x.done
	_ = c.raw.SetReadDeadline(time.Now())
	<-stop
}

// open reports whether further responses may be written.
func (c *conn) open() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.ending && c.ctx.Err() == nil
}

// lastResponse reports whether the connection must end with the next response because the server drains or has too
// many connections. It is false while further requests run or a header is being read.
func (c *conn) lastResponse() bool {
	if !c.server.draining.Load() && !c.server.overLimit() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending == 1 && !c.reading
}

// setBodyDeadline sets the time by which the body that is being read must have arrived.
func (c *conn) setBodyDeadline(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.raw.SetReadDeadline(deadline)
}

// write sends bytes to the caller. It fails if they are not written within writeTimeout.
func (c *conn) write(data []byte) error {
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.raw.Write(data)
	return err
}

// linger closes the sending side and discards what still arrives, until the caller closes the connection or lingerTime
// has passed.
func (c *conn) linger() {
	if half, ok := c.raw.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.raw, maxUnreadBody))
}

// stopResponses prevents any further response after the one that is being written.
func (c *conn) stopResponses() {
	c.mu.Lock()
	c.ending = true
	c.mu.Unlock()
}

// abort closes the connection at once.
func (c *conn) abort() {
	c.stopResponses()
	c.cancel()
	_ = c.raw.Close()
}

// closeIfIdle closes a connection that has no running request and is not reading a header.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	idle := c.pending == 0 && !c.reading
	if idle {
		c.ending = true
	}
	c.mu.Unlock()
	if idle {
		c.cancel()
		_ = c.raw.Close()
	}
}
