package peer

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"github.com/guavaford/guavaford/internal/linkshare"
)

// scheduledStream is a stream whose bodies are sent in turn with those of other streams.
type scheduledStream interface {
	// BeginBody announces that the following writes are the frames of a body of a length, -1 if not known.
	BeginBody(class linkshare.Class, length int64)
	// EndBody announces that the body was written. It must come before the stream is used for another exchange.
	EndBody()
}

// beginBody announces a body on a stream whose transport schedules bodies.
func beginBody(stream net.Conn, class linkshare.Class, length int64) {
	if s, ok := stream.(scheduledStream); ok {
		s.BeginBody(class, length)
	}
}

// endBody announces the end of a body on a stream whose transport schedules bodies.
func endBody(stream net.Conn) {
	if s, ok := stream.(scheduledStream); ok {
		s.EndBody()
	}
}

// yamuxStream is a stream whose reads end with its session, and whose bodies are sent in turn with those of other streams.
type yamuxStream struct {
	*yamux.Stream
	session *yamuxSession

	// body is true between BeginBody and EndBody.
	body atomic.Bool
	// wake holds an element after the state changed for which a writer waits.
	wake chan struct{}
	// writeDeadline is the deadline of writes in nanoseconds since 1970, 0 for none.
	writeDeadline atomic.Int64
	closed        atomic.Bool
}

func newYamuxStream(stream *yamux.Stream, session *yamuxSession) *yamuxStream {
	return &yamuxStream{Stream: stream, session: session, wake: make(chan struct{}, 1)}
}

// Read reads from the stream. It returns io.EOF once the session has ended.
func (t *yamuxStream) Read(p []byte) (int, error) {
	n, err := t.Stream.Read(p)
	if errors.Is(err, yamux.ErrTimeout) && t.sessionEnded() {
		return n, io.EOF
	}
	return n, err
}

func (t *yamuxStream) sessionEnded() bool {
	t.session.mu.Lock()
	defer t.session.mu.Unlock()
	return t.session.ended
}

// BeginBody announces a body; see scheduledStream.
func (t *yamuxStream) BeginBody(class linkshare.Class, length int64) {
	if t.session.link.schedules() {
		t.session.link.begin(t.StreamID(), class, length)
		t.body.Store(true)
	}
}

// EndBody announces the end of a body; see scheduledStream.
func (t *yamuxStream) EndBody() {
	if t.body.Swap(false) {
		t.session.link.end(t.StreamID())
	}
}

// Write writes to the stream. Bodies and large messages wait for their turn, part by part.
func (t *yamuxStream) Write(p []byte) (int, error) {
	if !t.body.Load() {
		if len(p) <= smallWriteBytes || !t.session.link.schedules() {
			return t.Stream.Write(p)
		}
		t.BeginBody(linkshare.Class{}, int64(len(p)))
		defer t.EndBody()
	}
	written := 0
	for written < len(p) {
		if err := t.awaitRoom(); err != nil {
			return written, err
		}
		n, err := t.Stream.Write(p[written:min(len(p), written+linkshare.ChunkBytes)])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// awaitRoom waits until the stream may queue another chunk, or its next write fails.
func (t *yamuxStream) awaitRoom() error {
	link := t.session.link
	if link.room(t) {
		return nil
	}
	defer link.stopWaiting(t)
	for !link.room(t) && !t.closed.Load() {
		if err := t.sleep(); err != nil {
			return err
		}
	}
	return nil
}

// sleep waits until the writer is woken, its deadline passes or the session ends.
func (t *yamuxStream) sleep() error {
	var expired <-chan time.Time
	if deadline := t.writeDeadline.Load(); deadline != 0 {
		timer := time.NewTimer(time.Until(time.Unix(0, deadline)))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-t.wake:
		return nil
	case <-expired:
		return yamux.ErrTimeout
	case <-t.session.Done():
		return yamux.ErrSessionShutdown
	}
}

// wakeWriter makes a writer that waits for room look again.
func (t *yamuxStream) wakeWriter() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Close closes the stream.
func (t *yamuxStream) Close() error {
	t.session.mu.Lock()
	delete(t.session.streams, t)
	t.session.mu.Unlock()
	t.closed.Store(true)
	t.wakeWriter()
	return t.Stream.Close()
}

// SetDeadline sets the deadlines of reads and writes. Reads that end with the session keep theirs.
func (t *yamuxStream) SetDeadline(deadline time.Time) error {
	if err := t.SetReadDeadline(deadline); err != nil {
		return err
	}
	return t.SetWriteDeadline(deadline)
}

// SetWriteDeadline sets the deadline of writes.
func (t *yamuxStream) SetWriteDeadline(deadline time.Time) error {
	nanoseconds := int64(0)
	if !deadline.IsZero() {
		nanoseconds = deadline.UnixNano()
	}
	t.writeDeadline.Store(nanoseconds)
	t.wakeWriter()
	return t.Stream.SetWriteDeadline(deadline)
}

// SetReadDeadline sets the deadline of reads, unless they end with the session.
func (t *yamuxStream) SetReadDeadline(deadline time.Time) error {
	t.session.mu.Lock()
	defer t.session.mu.Unlock()
	if t.session.ended {
		return nil
	}
	return t.Stream.SetReadDeadline(deadline)
}
