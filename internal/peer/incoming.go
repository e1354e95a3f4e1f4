package peer

import (
	"bufio"
	"context"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/linkshare"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/reqbody"
)

// overloadRetryAfter is the retry delay sent to a caller when its connection carries too many exchanges.
const overloadRetryAfter = 50 * time.Millisecond

// IncomingCall is the server side of a call. The handler reads Body, calls
// Answer once, then Write for each part of the body, and then Finish or Abort.
// A handler that returns without Finish has aborted. It is not safe for concurrent use.
type IncomingCall struct {
	// Header is the header of the call. For an attached call it holds only the key.
	Header *apiv1.CallHeader
	// Body ends with io.EOF after a complete body, and with io.ErrUnexpectedEOF otherwise. The handler may pass it on to
	// a goroutine that still reads it when the handler has returned; it then fails with an error that is not io.EOF.
	Body *reqbody.Lease
	// From is the node that opened the exchange.
	From Identity

	ctx     context.Context
	stream  net.Conn
	history *headerHistory
	window  *sendWindow
	buf     *frameBuffer
	// reader reads the body; while source is lent, only the holder of Body uses it. source is nil for an empty body.
	reader bodyReader
	source *reqbody.Body
	out    bodyWriter
	// class is what the body of the answer is scheduled by.
	class    linkshare.Class
	answered bool
	closed   bool
	refused  bool
	// reuse is true once the caller was told that the stream can be reused.
	reuse bool
	// coalesce is true if a small body is buffered until Finish, so that the answer is sent in one write.
	coalesce bool
}

var (
	errAlreadyAnswered = errors.New("the call was answered before")
	errNotAnswered     = errors.New("the call has no answer yet")
)

func (ss *serverSession) newIncoming(ctx context.Context, stream net.Conn, reader *bufio.Reader, header *apiv1.CallHeader) *IncomingCall {
	in := &IncomingCall{Header: header, From: ss.remote, ctx: ctx, stream: stream, buf: newFrameBuffer(), class: callClass(header)}
	in.reader.reset(reader)
	in.out.reset()
	if header.GetContentLength() != 0 {
		in.source = reqbody.NewInterruptible(header.GetContentLength(), &in.reader, in.interruptBody)
		// A body that was never lent can be lent.
		in.Body, _ = in.source.Lend()
	}
	return in
}

// interruptBody makes a blocked read of the body return. The stream can't be reused then.
func (in *IncomingCall) interruptBody() { _ = in.stream.SetReadDeadline(expiredDeadline) }

// takeBody ends the use of the body by the handler and reports whether all of it has arrived. It does not wait: while the
// body is being read, it returns false and leaves it to its reader.
func (in *IncomingCall) takeBody() bool {
	if in.source != nil && !in.source.Reclaim() {
		return false
	}
	in.reader.discardBuffered()
	return in.reader.complete()
}

// releaseBody ends the use of the body and waits for a goroutine that still reads it. The read buffer can be reused then.
func (in *IncomingCall) releaseBody() {
	if in.source != nil {
		in.source.Close(nil)
	}
	in.reader.unread = nil
	in.reader.release()
}

func (ss *serverSession) serveCall(stream net.Conn, reader *bufio.Reader, header *apiv1.StreamHeader, history *headerHistory) bool {
	call := &apiv1.CallHeader{}
	if err := readFrame(reader, call, maxHeaderBytes); err != nil {
		return false
	}
	if err := history.decompressCall(call, ss.remote); err != nil {
		return false
	}
	window := newSendWindow(header.AnswerWindow)
	ctx, end := ss.begin(header.Number, stream, window)
	defer end()
	in := ss.newIncoming(ctx, stream, reader, call)
	in.history, in.window = history, window
	if refusal := ss.refuseCall(ss.server.call == nil); refusal != nil {
		return in.refuse(refusal)
	}
	ss.server.call(ctx, in)
	return in.end()
}

func (ss *serverSession) serveAttach(stream net.Conn, reader *bufio.Reader, header *apiv1.StreamHeader, history *headerHistory) bool {
	attach := &apiv1.AttachRequest{}
	if err := readFrame(reader, attach, maxHeaderBytes); err != nil {
		return false
	}
	window := newSendWindow(header.AnswerWindow)
	ctx, end := ss.begin(header.Number, stream, window)
	defer end()
	in := ss.newIncoming(ctx, stream, reader, &apiv1.CallHeader{Key: attach.Key})
	in.history, in.window = history, window
	// The request has no body.
	in.reader.err = io.EOF
	if refusal := ss.refuseCall(ss.server.attach == nil); refusal != nil {
		// The call itself may have run; only the attach request was refused.
		refusal.Ran = outcome.RanUnknown
		return in.refuse(refusal)
	}
	ss.server.attach(ctx, attach.Key, in)
	return in.end()
}

// refuseCall returns the refusal of a call that can't be passed to a handler, or nil.
func (ss *serverSession) refuseCall(noHandler bool) *outcome.Refusal {
	if noHandler {
		return outcome.NotRun(outcome.NoTarget, 0, "node %s serves no calls", ss.server.id.Node)
	}
	if ss.full() {
		return outcome.NotRun(outcome.Overloaded, overloadRetryAfter, "too many exchanges on one connection to node %s", ss.server.id.Node)
	}
	return nil
}

func (in *IncomingCall) refuse(r *outcome.Refusal) bool {
	_ = in.Answer(&apiv1.AnswerHeader{Refusal: r.Message()})
	return in.end()
}

// Answer sets the key of the answer header and queues the header. It is sent with the
// first part of the body, or with the complete body if that is announced as small or
// empty.
func (in *IncomingCall) Answer(h *apiv1.AnswerHeader) error {
	if in.answered {
		return errAlreadyAnswered
	}
	h.Key = in.Header.Key
	if size := proto.Size(h); size > maxHeaderBytes {
		return errors.Errorf("answer header has %d bytes; at most %d are sent", size, maxHeaderBytes)
	}
	in.answered = true
	in.refused = h.Refusal != nil
	in.coalesce = in.refused || (h.ContentLength >= 0 && h.ContentLength <= inlineBodyBytes)
	if err := in.buf.add(in.history.compressAnswer(h)); err != nil || in.coalesce {
		return err
	}
	beginBody(in.stream, in.class, h.ContentLength)
	return nil
}

// Write sends a part of the answer's body. It blocks while the caller's windows are full, and fails after writeTimeout without progress.
func (in *IncomingCall) Write(p []byte) (int, error) {
	if !in.answered {
		return 0, errNotAnswered
	}
	if in.closed {
		return 0, errAlreadyAnswered
	}
	if err := context.Cause(in.ctx); err != nil {
		return 0, err
	}
	for rest := p; len(rest) > 0; {
		n, err := in.window.wait(in.ctx, in.out.length, len(rest), writeTimeout)
		if err != nil {
			return 0, in.writeError(err)
		}
		if err := in.writePart(rest[:n]); err != nil {
			return 0, in.writeError(err)
		}
		rest = rest[n:]
	}
	return len(p), nil
}

// writePart writes a part of the body that is within the window.
func (in *IncomingCall) writePart(p []byte) error {
	in.extendWriteDeadline()
	if err := in.out.add(in.buf, in.stream, p); err != nil {
		return err
	}
	if in.coalesce && len(in.buf.data) < inlineBodyBytes {
		return nil
	}
	return in.buf.flush(in.stream)
}

// ReadFrom writes all of src as parts of the answer's body.
func (in *IncomingCall) ReadFrom(src io.Reader) (int64, error) {
	scratch := scratchPool.Get().(*[]byte)
	defer scratchPool.Put(scratch)
	// writerOnly hides ReadFrom, which io.CopyBuffer would call again.
	return io.CopyBuffer(writerOnly{in}, src, (*scratch)[:maxFrameData])
}

type writerOnly struct{ io.Writer }

// Finish ends the answer's body and returns to the caller the number of extra attempts
// (retries) that were granted with the call and not used.
func (in *IncomingCall) Finish(allowanceLeft int) error {
	if !in.answered {
		return errNotAnswered
	}
	if in.closed {
		return errAlreadyAnswered
	}
	in.closed = true
	reuse := in.takeBody() && in.ctx.Err() == nil
	if err := in.out.finishAnswer(in.buf, allowanceLeft, reuse); err != nil {
		return err
	}
	in.extendWriteDeadline()
	err := in.buf.flush(in.stream)
	endBody(in.stream)
	if err != nil {
		return in.writeError(err)
	}
	in.reuse = reuse
	return nil
}

// Abort ends the exchange with an incomplete answer. The caller gets an error.
func (in *IncomingCall) Abort() {
	if in.closed {
		return
	}
	in.closed = true
	if !in.answered || in.ctx.Err() != nil {
		return
	}
	if err := in.out.abort(in.buf); err != nil {
		return
	}
	in.extendWriteDeadline()
	_ = in.buf.flush(in.stream)
}

// extendWriteDeadline restarts the write timeout, unless the exchange was cancelled.
func (in *IncomingCall) extendWriteDeadline() {
	_ = in.stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	if in.ctx.Err() != nil {
		_ = in.stream.SetWriteDeadline(expiredDeadline)
	}
}

// writeError returns the error of a failed write: the cause of the context's end if it has ended, or err.
func (in *IncomingCall) writeError(err error) error {
	if err == nil {
		return nil
	}
	if cause := context.Cause(in.ctx); cause != nil {
		return cause
	}
	return errors.Wrap(err, "send answer")
}

// end finishes a refusal, aborts an answer that the handler did not finish, and releases
// the buffers. It returns true when the stream is ready for the next exchange.
func (in *IncomingCall) end() bool {
	if in.refused && !in.closed {
		_ = in.Finish(0)
	}
	in.Abort()
	endBody(in.stream)
	in.buf.release()
	in.buf = nil
	if !in.reuse {
		// Unblocks a goroutine of the handler that still reads the body.
		in.interruptBody()
	}
	in.releaseBody()
	return in.reuse
}
