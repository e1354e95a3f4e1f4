package calltable

import (
	"context"
	"io"
	"sync"

	"github.com/pkg/errors"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// KeptAnswerBytes is the largest response body that is kept completely, so that further readers can read it as well. Of
// a larger body, the part that the first reader has read is dropped to make room.
const KeptAnswerBytes = 1 << 20

// ErrNotKept is returned to a reader whose position is in a part of the response that was already dropped.
var ErrNotKept = errors.New("answer was too large to keep")

// ErrAborted is returned to readers if the response ended before it was complete, and to the writer if the reader has
// closed.
var ErrAborted = errors.New("answer was cut off")

// ResponseBuffer buffers one response while it is received. The writer blocks only if the response exceeds
// KeptAnswerBytes and the first reader has not yet read the buffered part.
type ResponseBuffer struct {
	mu sync.Mutex
	// changed is closed, and replaced, at each change that readers or the writer may wait for.
	changed chan struct{}
	header  *apiv1.AnswerHeader
	data    []byte
	// base is the offset of data[0] in the body.
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
}

// NewResponseBuffer returns an empty buffer.
func NewResponseBuffer() *ResponseBuffer {
	return &ResponseBuffer{changed: make(chan struct{})}
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

// Write appends to the body. If the buffer is full, it blocks until the first reader has read from it, and returns
// ErrAborted if a reader has closed instead.
func (s *ResponseBuffer) Write(ctx context.Context, p []byte) error {
	for {
		s.mu.Lock()
		if len(s.data)+len(p) <= KeptAnswerBytes {
			s.reserve()
			s.data = append(s.data, p...)
			s.notify()
			s.mu.Unlock()
			return nil
		}
		if s.taken > s.base {
			s.data = append([]byte(nil), s.data[s.taken-s.base:]...)
			s.base = s.taken
			s.mu.Unlock()
			continue
		}
		gone, changed := s.readerGone, s.changed
		s.mu.Unlock()
		if gone {
			return ErrAborted
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// reserve allocates the buffer for the complete body before its first part is written, if its length is known from the
// header. The caller holds mu.
func (s *ResponseBuffer) reserve() {
	length := s.header.GetContentLength()
	if s.data == nil && s.base == 0 && length > 0 && length <= KeptAnswerBytes {
		s.data = make([]byte, 0, length)
	}
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

// StartDropped reports whether the start of the body was dropped.
func (s *ResponseBuffer) StartDropped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.base > 0
}

// size returns the number of buffered bytes.
func (s *ResponseBuffer) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.data)
}

// discard frees the body at the end of its retention. Later reads return ErrNotKept.
func (s *ResponseBuffer) discard() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.base += len(s.data) + 1
	s.data = nil
}

// Reader returns a reader that starts at the beginning of the body. While the response is received, only the first
// reader may read slowly without missing a part; other readers get ErrNotKept for a part that was dropped.
func (s *ResponseBuffer) Reader(ctx context.Context) *ResponseReader {
	return &ResponseReader{buffer: s, ctx: ctx}
}

// ResponseReader reads the body of one response.
type ResponseReader struct {
	buffer *ResponseBuffer
	ctx    context.Context
	offset int
}

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
		if n := copy(p, s.data[r.offset-s.base:]); n > 0 {
			r.offset += n
			s.taken = max(s.taken, r.offset)
			if s.base+KeptAnswerBytes/2 < s.taken {
				s.notify()
			}
			s.mu.Unlock()
			return n, nil
		}
		closed, err, changed := s.closed, s.err, s.changed
		s.mu.Unlock()
		if closed && err == nil {
			return 0, io.EOF
		}
		if closed {
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
	defer s.mu.Unlock()
	s.readerGone = true
	s.notify()
	return nil
}
