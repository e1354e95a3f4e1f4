package calltable

import (
	"context"
	"io"
	"sync"

	"github.com/pkg/errors"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// KeptAnswerBytes is the largest answer body that is kept whole for later readers.
// The front of a larger one is dropped once the first reader has taken it.
const KeptAnswerBytes = 1 << 20

// ErrNotKept is returned to a reader that comes after the front of the answer was dropped.
var ErrNotKept = errors.New("answer was too large to keep")

// ErrAborted is returned to readers when the answer did not become whole.
var ErrAborted = errors.New("answer was cut off")

// Spool holds one answer while it arrives. Its writer is blocked only when the answer
// exceeds KeptAnswerBytes and the first reader is behind.
type Spool struct {
	mu      sync.Mutex
	changed chan struct{}
	header  *apiv1.AnswerHeader
	data    []byte
	// base is the offset of data[0] in the body.
	base   int
	taken  int
	closed bool
	err    error
	// allowanceLeft is known once the spool is closed.
	allowanceLeft int
	readerGone    bool
}

// NewSpool returns an empty spool.
func NewSpool() *Spool {
	return &Spool{changed: make(chan struct{})}
}

// notify wakes everyone who waits for a change. The caller holds mu.
func (s *Spool) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetHeader publishes the answer's header. It is called once, before Write.
func (s *Spool) SetHeader(h *apiv1.AnswerHeader) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.header = h
	s.notify()
}

// Write appends to the body. It returns ErrAborted when the answer exceeds what is kept
// and nobody reads it.
func (s *Spool) Write(ctx context.Context, p []byte) error {
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

// reserve makes room for the whole body at its first part, if its length was announced.
// The caller holds mu.
func (s *Spool) reserve() {
	length := s.header.GetContentLength()
	if s.data == nil && s.base == 0 && length > 0 && length <= KeptAnswerBytes {
		s.data = make([]byte, 0, length)
	}
}

// Close ends the body. A nil error says that it is whole.
func (s *Spool) Close(err error, allowanceLeft int) {
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

// Header waits for the answer's header.
func (s *Spool) Header(ctx context.Context) (*apiv1.AnswerHeader, error) {
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

// AllowanceLeft returns the unused extra attempts once the spool is closed.
func (s *Spool) AllowanceLeft() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allowanceLeft
}

// Dropped reports whether the front of the body is gone.
func (s *Spool) Dropped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.base > 0
}

// size returns the bytes that the spool holds.
func (s *Spool) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.data)
}

// discard frees the body after its retention.
func (s *Spool) discard() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.base += len(s.data) + 1
	s.data = nil
}

// Reader returns a reader from the start of the body. Only the first reader of an
// answer may fall behind without missing anything.
func (s *Spool) Reader(ctx context.Context) *SpoolReader {
	return &SpoolReader{spool: s, ctx: ctx}
}

// SpoolReader reads the body of one answer.
type SpoolReader struct {
	spool  *Spool
	ctx    context.Context
	offset int
}

// Read returns io.EOF only after the whole body.
func (r *SpoolReader) Read(p []byte) (int, error) {
	s := r.spool
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

// Close says that this reader takes no more.
func (r *SpoolReader) Close() error {
	s := r.spool
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readerGone = true
	s.notify()
	return nil
}
