package calltable

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/clock"
)

// KeptAnswerBytes is the largest response body that is kept completely, so that further readers can read it as well. Of
// a larger body, the part that the first reader has read is dropped to make room.
const KeptAnswerBytes = 1 << 20

// ErrNotKept is returned to a reader whose position is in a part of the response that was already dropped.
var ErrNotKept = errors.New("answer was too large to keep")

// ErrAborted is returned to readers if the response ended before it was complete, and to the writer if the reader has
// closed.
var ErrAborted = errors.New("answer was cut off")

// ResponseBuffer buffers one response while it is received. The writer blocks only if the response exceeds the room for
// it and the first reader has not yet read the buffered part.
type ResponseBuffer struct {
	clock clock.Clock
	// table is where more room comes from.
	table *room

	mu sync.Mutex
	// changed is closed, and replaced, at each change that readers or the writer may wait for.
	changed chan struct{}
	header  *apiv1.AnswerHeader
	data    chunks
	// room is the number of bytes that may be buffered.
	room int
	// base is the offset of the first byte of data in the body.
	base int
	// taken is the greatest offset in the body up to which a reader has read.
	taken  int
	closed bool
	// err says why the body is incomplete; nil if it is complete. It is set once the buffer is closed.
	err error
	// allowanceLeft is the number of unused extra attempts. It is set once the buffer is closed.
	allowanceLeft int
	// readerGone is set once a reader has closed.
	readerGone bool
	// readers counts the open readers.
	readers int
	// readToEnd is set once a reader has closed that had read the whole body, or its error, or that has no successor; another may
	// come until readableUntil.
	readToEnd     bool
	readableUntil time.Time
}

// newResponseBuffer returns an empty buffer without room.
func newResponseBuffer(c clock.Clock, table *room) *ResponseBuffer {
	return &ResponseBuffer{clock: c, table: table, changed: make(chan struct{})}
}

// notify wakes all goroutines that wait for a change. The caller holds mu.
func (s *ResponseBuffer) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetHeader makes the header of the response available to readers. It is called once, before Write.
func (s *ResponseBuffer) SetHeader(h *apiv1.AnswerHeader) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.header = h
	s.notify()
}

// Write appends to the body. If the buffer is full and there is no more room, it blocks until the first reader has read
// from it, and returns ErrAborted if a reader has closed instead.
func (s *ResponseBuffer) Write(ctx context.Context, p []byte) error {
	for len(p) > 0 {
		part := p[:min(len(p), minRoom)]
		if err := s.write(ctx, part); err != nil {
			return err
		}
		p = p[len(part):]
	}
	return nil
}

// write appends a part of at most minRoom bytes.
func (s *ResponseBuffer) write(ctx context.Context, p []byte) error {
	for {
		s.mu.Lock()
		if s.data.size+len(p) <= s.room {
			s.data.add(p, int(s.header.GetContentLength()))
			s.notify()
			s.mu.Unlock()
			return nil
		}
		more := s.moreRoom(len(p))
		s.mu.Unlock()
		grown, freed := false, (<-chan struct{})(nil)
		if more > 0 {
			grown, freed = s.table.grow(s.clock.Now(), more)
		}
		s.mu.Lock()
		if grown {
			s.room += more
			s.mu.Unlock()
			continue
		}
		if s.taken > s.base {
			s.data.drop(s.taken - s.base)
			s.base = s.taken
			s.mu.Unlock()
			continue
		}
		gone, changed := s.readerGone && s.readers == 0, s.changed
		s.mu.Unlock()
		if gone && more <= 0 {
			return ErrAborted
		}
		if err := await(ctx, changed, freed); err != nil {
			return err
		}
	}
}

// await waits until one of the channels is closed, growInterval has passed or ctx ends.
func await(ctx context.Context, changed, freed <-chan struct{}) error {
	timer := time.NewTimer(growInterval)
	defer timer.Stop()
	select {
	case <-changed:
	case <-freed:
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// moreRoom returns how much room to ask for before n more bytes are buffered: enough for the complete body if its length
// is known, else twice as much as now, up to KeptAnswerBytes. The caller holds mu.
func (s *ResponseBuffer) moreRoom(n int) int {
	want := max(2*s.room, s.data.size+n)
	if length := s.header.GetContentLength(); s.base == 0 && length > 0 && length <= KeptAnswerBytes {
		want = max(int(length), s.data.size+n)
	}
	return min(want, KeptAnswerBytes) - s.room
}

// Close ends the body. A nil error means that the body is complete. Only the first call has an effect.
func (s *ResponseBuffer) Close(err error, allowanceLeft int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	s.err = err
	s.allowanceLeft = allowanceLeft
	s.notify()
}

// Header waits for the header of the response and returns it.
func (s *ResponseBuffer) Header(ctx context.Context) (*apiv1.AnswerHeader, error) {
	for {
		s.mu.Lock()
		header, closed, err, changed := s.header, s.closed, s.err, s.changed
		s.mu.Unlock()
		switch {
		case header != nil:
			return header, nil
		case closed && err != nil:
			return nil, err
		case closed:
			return nil, ErrAborted
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// AllowanceLeft returns the number of unused extra attempts. It is known once the buffer is closed.
func (s *ResponseBuffer) AllowanceLeft() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allowanceLeft
}

// setRoom sets the number of bytes that may be buffered, before the first part is written.
func (s *ResponseBuffer) setRoom(bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.room = bytes
}

// settle returns the size in bytes of what is kept, that of the whole body, and the room that the buffer had. What is kept
// has its own size as room afterwards.
func (s *ResponseBuffer) settle() (kept, total, had int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept, total, had = s.data.clip(), s.base+s.data.size, s.room
	s.room = kept
	return kept, total, had
}

// freeAt returns when the body need not be kept any more; false while somebody reads it, or may do so for the first time.
func (s *ResponseBuffer) freeAt() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readableUntil, s.readers == 0 && s.readToEnd
}

// discard frees the body unless somebody reads it. Later reads return ErrNotKept.
func (s *ResponseBuffer) discard() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readers > 0 {
		return false
	}
	s.base += s.data.size + 1
	s.data.drop(s.data.size)
	s.room = 0
	return true
}

// Reader returns a reader that starts at the beginning of the body, or false if the beginning was dropped. While the
// response is received, only the first reader may read slowly without missing a part; other readers get ErrNotKept for a
// part that was dropped. remote is set if what is read goes over a connection, which may be lost before all of it has arrived.
func (s *ResponseBuffer) Reader(ctx context.Context, remote bool) (*ResponseReader, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.base > 0 {
		return nil, false
	}
	s.readers++
	return &ResponseReader{buffer: s, ctx: ctx, remote: remote}, true
}

// ResponseReader reads the body of one response.
type ResponseReader struct {
	buffer *ResponseBuffer
	ctx    context.Context
	remote bool
	offset int
	// ended is set at the end of the body, abandoned if nobody will read it after this reader.
	ended, abandoned, closed bool
}

// Abandon tells that its caller gives up the call, so that nobody will read the response after this reader.
func (r *ResponseReader) Abandon() { r.abandoned = true }

// Read reads from the body and blocks until there is something to read. It returns io.EOF only at the end of a complete
// body.
func (r *ResponseReader) Read(p []byte) (int, error) {
	s := r.buffer
	for {
		s.mu.Lock()
		if r.offset < s.base {
			s.mu.Unlock()
			return 0, ErrNotKept
		}
		if n := s.data.copyAt(p, r.offset-s.base); n > 0 {
			r.offset += n
			s.taken = max(s.taken, r.offset)
			if s.base+s.room/2 < s.taken {
				s.notify()
			}
			s.mu.Unlock()
			return n, nil
		}
		closed, err, changed := s.closed, s.err, s.changed
		s.mu.Unlock()
		if closed && err == nil {
			r.ended = true
			return 0, io.EOF
		}
		if closed {
			r.ended = true
			return 0, err
		}
		select {
		case <-changed:
		case <-r.ctx.Done():
			return 0, r.ctx.Err()
		}
	}
}

// Close tells the writer that this reader reads no more.
func (r *ResponseReader) Close() error {
	s := r.buffer
	s.mu.Lock()
	if r.closed {
		s.mu.Unlock()
		return nil
	}
	r.closed = true
	s.readers--
	s.readerGone = true
	// A reader in this process that closes early does not come again.
	if r.ended || r.abandoned || !r.remote {
		s.readToEnd = true
		if until := s.clock.Now().Add(attachTime); r.remote && !r.abandoned && until.After(s.readableUntil) {
			s.readableUntil = until
		}
	}
	s.notify()
	s.mu.Unlock()
	s.table.readEnded()
	return nil
}
