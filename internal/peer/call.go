package peer

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/linkshare"
	"github.com/guavaford/guavaford/internal/reqbody"
)

// Answer is the answer to a call.
type Answer struct {
	// Header is the header of the answer. Its key equals the key of the call.
	Header *apiv1.AnswerHeader
	// Body ends with io.EOF after a complete body, and with io.ErrUnexpectedEOF or a
	// *CallError otherwise. The caller must close it.
	Body io.ReadCloser
	// From is the node that answered.
	From Identity

	body *answerBody
}

// AllowanceLeft returns how many of the extra attempts (retries) granted with the call were
// not used. It returns false until the body was read to its end.
func (a *Answer) AllowanceLeft() (int, bool) {
	a.body.mu.Lock()
	defer a.body.mu.Unlock()
	return a.body.reader.allowanceLeft, a.body.reader.complete()
}

// Call sends a call with its body to the node at address and waits for the
// header of the answer. The context also applies to reading the answer's body. The
// error is a *CallError; body may be nil. The body is returned when nothing more of it
// is sent, at the latest after the end of the exchange; one that was not read need not be.
func (p *Pool) Call(ctx context.Context, address string, h *apiv1.CallHeader, body *reqbody.Lease) (*Answer, error) {
	c, err := p.reserve(ctx, address, maxConnectWait)
	if err != nil {
		return nil, &CallError{Address: address, Err: err}
	}
	if late := p.lateBody(c, h); late != nil {
		c.end()
		return nil, &CallError{Address: address, Err: late}
	}
	x, err := p.openOn(ctx, c, address, apiv1.Method_METHOD_CALL)
	if err != nil {
		return nil, err
	}
	if err := x.sendCall(h, body); err != nil {
		x.close(false)
		failure := x.failure(err)
		failure.Sent = !errors.Is(err, errUnsent)
		return nil, failure
	}
	if h.GetIdempotent() && x.requestSent.Load() {
		x.watchdog = startWatchdog(x, watchdogQuietTime, watchdogQuietTime)
	}
	return x.receiveAnswer(h.Key)
}

// Attach asks the node at address for the answer to a call that is running or has
// finished there. The error is a *CallError.
func (p *Pool) Attach(ctx context.Context, address string, key *apiv1.CallKey) (*Answer, error) {
	x, err := p.openExchange(ctx, address, apiv1.Method_METHOD_ATTACH, 0)
	if err != nil {
		return nil, err
	}
	if err := x.sendHeader(&apiv1.AttachRequest{Key: key}); err != nil {
		x.close(false)
		return nil, x.failure(err)
	}
	return x.receiveAnswer(key)
}

func (x *exchange) sendHeader(header proto.Message) error {
	buf := newFrameBuffer()
	defer buf.release()
	if err := x.addHeader(buf, header); err != nil {
		return err
	}
	return x.flushRequest(buf)
}

func (x *exchange) addHeader(buf *frameBuffer, header proto.Message) error {
	if err := buf.add(&apiv1.StreamHeader{Method: x.method, Number: x.number, AnswerWindow: x.window.start()}); err != nil {
		return err
	}
	if size := proto.Size(header); size > maxHeaderBytes {
		return errors.Wrapf(errUnsent, "header has %d bytes; at most %d are sent", size, maxHeaderBytes)
	}
	return buf.add(header)
}

// sendCall sends the header and a small body in one write. A larger body, or one of
// unknown length, is sent by a separate goroutine, since the peer may answer before it
// has read the whole body.
func (x *exchange) sendCall(h *apiv1.CallHeader, body *reqbody.Lease) error {
	buf := newFrameBuffer()
	if err := x.addHeader(buf, x.history.compressCall(h, x.conn.self)); err != nil {
		buf.release()
		return err
	}
	w := &bodyWriter{}
	w.reset()
	if body == nil || h.ContentLength == 0 {
		defer buf.release()
		if err := w.finish(buf, nil); err != nil {
			return err
		}
		return x.flushRequest(buf)
	}
	if h.ContentLength > 0 && h.ContentLength <= inlineBodyBytes {
		defer buf.release()
		return x.sendInline(buf, w, body, int(h.ContentLength))
	}
	if err := buf.flush(x.stream); err != nil {
		buf.release()
		return errors.Wrap(err, "send header")
	}
	beginBody(x.stream, callClass(h), h.ContentLength)
	go x.sendBody(buf, w, body)
	return nil
}

// lateBody returns an error if the body of a call can't arrive in time over a connection.
func (p *Pool) lateBody(c *conn, h *apiv1.CallHeader) *LateBodyError {
	link, ok := c.session.(bodyJudge)
	if !ok || p.sendLateBodies || h.GetContentLength() <= inlineBodyBytes {
		return nil
	}
	verdict := link.judgeBody(callClass(h), h.GetContentLength())
	if !verdict.TooLate {
		return nil
	}
	return &LateBodyError{Length: h.GetContentLength(), Verdict: verdict}
}

// callClass returns what the bodies of a call are scheduled by.
func callClass(h *apiv1.CallHeader) linkshare.Class {
	class := linkshare.Class{Priority: h.GetPriority()}
	if h.GetTimeoutNs() > 0 {
		class.Deadline = time.Now().Add(time.Duration(h.GetTimeoutNs()))
	}
	return class
}

func (x *exchange) sendInline(buf *frameBuffer, w *bodyWriter, body *reqbody.Lease, length int) error {
	defer func() { _ = body.Close() }()
	scratch := scratchPool.Get().(*[]byte)
	defer scratchPool.Put(scratch)
	data := (*scratch)[:length]
	if _, err := io.ReadFull(body, data); err != nil {
		return errors.Wrapf(errUnsent, "read body: %v", err)
	}
	if err := w.finish(buf, data); err != nil {
		return err
	}
	return x.flushRequest(buf)
}

// flushRequest writes the last buffered frames and marks the request as completely sent.
func (x *exchange) flushRequest(buf *frameBuffer) error {
	if err := buf.flush(x.stream); err != nil {
		return errors.Wrap(err, "send call")
	}
	x.requestSent.Store(true)
	return nil
}

// sendBody sends a body frame by frame, and then returns it to its owner. It ends at the end of
// the body, when reading the body fails, and when the exchange has ended and the body is recalled.
func (x *exchange) sendBody(buf *frameBuffer, w *bodyWriter, body *reqbody.Lease) {
	defer func() { _ = body.Close() }()
	defer buf.release()
	scratch := scratchPool.Get().(*[]byte)
	defer scratchPool.Put(scratch)
	data := (*scratch)[:maxFrameData]
	for {
		n, err := body.Read(data)
		if err == nil {
			err = w.add(buf, x.stream, data[:n])
		} else {
			err = x.endBody(buf, w, data[:n], err)
		}
		flushErr := buf.flush(x.stream)
		if err == nil && flushErr == nil {
			continue
		}
		// Once the request counts as sent, another exchange may use the stream.
		endBody(x.stream)
		x.requestSent.Store(err == io.EOF && flushErr == nil)
		return
	}
}

// endBody appends the last frame. It always returns an error, which stops sendBody: io.EOF after a complete body.
func (x *exchange) endBody(buf *frameBuffer, w *bodyWriter, data []byte, cause error) error {
	if cause != io.EOF {
		if err := w.abort(buf); err != nil {
			return err
		}
		return cause
	}
	if err := w.finish(buf, data); err != nil {
		return err
	}
	return io.EOF
}

// receiveAnswer waits for the header of the answer and checks that it belongs to the call.
func (x *exchange) receiveAnswer(key *apiv1.CallKey) (*Answer, error) {
	header := &apiv1.AnswerHeader{}
	err := readFrame(x.reader, header, maxHeaderBytes)
	x.watchdog.stop(err == nil)
	if err != nil {
		x.close(false)
		return nil, x.failure(errors.Wrap(err, "receive answer"))
	}
	if err := x.history.decompressAnswer(header, key); err != nil {
		x.close(false)
		return nil, x.failure(err)
	}
	if !sameKey(header.Key, key) {
		// The peer has mixed up its calls, so no answer on this connection can be trusted.
		_ = x.conn.session.Close()
		x.close(false)
		return nil, x.failure(errAnswerKeyMismatch)
	}
	body := &answerBody{exchange: x}
	body.reader.reset(x.reader)
	if body.reader.window = x.window; x.window != nil && header.ContentLength >= 0 {
		x.window.length = header.ContentLength
	}
	if header.Refusal != nil {
		body.drain()
	}
	return &Answer{Header: header, Body: body, From: x.conn.remote, body: body}, nil
}

func sameKey(a, b *apiv1.CallKey) bool {
	return a.GetNode() == b.GetNode() && a.GetIncarnation() == b.GetIncarnation() && a.GetNumber() == b.GetNumber()
}

// answerBody reads the body of an answer and ends the exchange at the end of the body.
type answerBody struct {
	exchange *exchange
	mu       sync.Mutex
	reader   bodyReader
	// failed is the error of an incomplete body; it is set when the exchange ends.
	failed error
}

// Read returns the next part of the body.
func (b *answerBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failed != nil {
		return 0, b.failed
	}
	n, err := b.reader.Read(p)
	if err != nil {
		err = b.finish(err)
	}
	return n, err
}

// WriteTo writes the rest of the body to w.
func (b *answerBody) WriteTo(w io.Writer) (int64, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failed != nil {
		return 0, b.failed
	}
	n, err := b.reader.WriteTo(w)
	if final := b.reader.err; final != nil && len(b.reader.unread) == 0 {
		final = b.finish(final)
		if err != nil && final != io.EOF {
			err = final
		}
	}
	return n, err
}

// finish ends the exchange after the body ended with the error state, which is io.EOF for a
// complete body. It returns the error that the caller sees.
func (b *answerBody) finish(state error) error {
	if state == io.EOF {
		b.exchange.reuse = b.reader.reuse
		b.exchange.close(true)
		return state
	}
	b.failed = b.cause(state)
	b.exchange.close(false)
	return b.failed
}

// cause returns a *CallError if the context ended or the connection went silent, and err otherwise.
func (b *answerBody) cause(err error) error {
	if b.exchange.ctx.Err() != nil || b.exchange.conn.silent.Load() {
		return b.exchange.failure(err)
	}
	return err
}

// drain reads a body without data to its end.
func (b *answerBody) drain() {
	var none [1]byte
	for {
		if _, err := b.Read(none[:]); err != nil {
			return
		}
	}
}

// Close ends the exchange. A call whose answer was not read to its end is cancelled. A
// Read that blocks in another goroutine returns.
func (b *answerBody) Close() error {
	if !b.mu.TryLock() {
		b.exchange.interrupt()
		b.mu.Lock()
	}
	defer b.mu.Unlock()
	if b.failed == nil && !b.reader.complete() {
		b.failed = io.ErrClosedPipe
	}
	b.exchange.reuse = b.reader.reuse
	b.exchange.close(b.reader.complete())
	b.reader.unread = nil
	b.reader.release()
	return nil
}
