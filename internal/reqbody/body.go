package reqbody

import (
	"io"
	"time"

	"github.com/pkg/errors"
)

// Errors of reading a body.
var (
	// ErrReturned is returned to the holder of a lease that was closed or recalled.
	ErrReturned = errors.New("the request body was taken back")
	// ErrTooLong is returned when a body exceeds its limit.
	ErrTooLong = errors.New("the request body is too long")
	// ErrConsumed is returned when a body can't be sent from its start any more.
	ErrConsumed = errors.New("a part of the request body is no longer kept")
	// ErrLent is returned to the owner of a body that is lent.
	ErrLent = errors.New("the request body is being forwarded")
)

// Body is the body of one request. Its methods are for its owner only.
type Body struct {
	length int64
	source io.Reader
	// interrupt ends a blocked read of the source; nil if a pump reads it.
	interrupt func()
	// limit is the greatest number of bytes; -1 for any number.
	limit int64
	// start is what was buffered; complete is set if it is the whole body.
	start    []byte
	complete bool
	// taken counts the bytes of the source that were handed to the owner or to the holder of a lease, start included.
	taken int64
	// part is what the pump has handed over and was not taken yet.
	part part
	// err is the final result of reading the source.
	err  error
	pump *pump
	// loan is the state of the lease that is out; nil while there is none.
	loan *loan
}

// New returns a body of length bytes, -1 if not known, that is read from source.
func New(length int64, source io.Reader) *Body {
	return &Body{length: length, source: source, limit: -1}
}

// NewInterruptible returns a body that is sent once. interrupt makes a blocked read of source return with an error.
func NewInterruptible(length int64, source io.Reader, interrupt func()) *Body {
	return &Body{length: length, source: source, limit: -1, interrupt: interrupt}
}

// InMemory returns a body whose data is all in memory.
func InMemory(data []byte) *Body {
	return &Body{length: int64(len(data)), limit: -1, start: data, complete: true, taken: int64(len(data)), err: io.EOF}
}

// Length returns the length in bytes, -1 if it is not known.
func (b *Body) Length() int64 { return b.length }

// SetLimit makes reads fail with ErrTooLong beyond limit bytes. Discard is not limited by it.
func (b *Body) SetLimit(limit int64) { b.limit = limit }

// Start returns what is in memory of the body, and whether that is all of it.
func (b *Body) Start() ([]byte, bool) { return b.start, b.complete }

// Lent reports whether a lease of the body is out.
func (b *Body) Lent() bool { return b.loan != nil }

// Failed reports whether reading the source has failed, so that the body can't end. The body must not be lent.
func (b *Body) Failed() bool { return b.err != nil && b.err != io.EOF }

// Left returns the number of bytes that were not read yet, -1 if it is not known. The body must not be lent.
func (b *Body) Left() int64 {
	switch {
	case b.complete:
		return 0
	case b.length < 0:
		return -1
	default:
		return b.length - b.taken
	}
}

// Buffer reads the start of the body into memory: all of it if it has fewer than size bytes, and size bytes otherwise.
func (b *Body) Buffer(size int64) error {
	if b.complete {
		return nil
	}
	more, err := io.ReadAll(io.LimitReader(b, size-int64(len(b.start))))
	if err != nil {
		return err
	}
	b.start = append(b.start, more...)
	if int64(len(b.start)) < size {
		b.complete, b.length = true, int64(len(b.start))
	}
	return nil
}

// Read reads on in the source, for an owner that does not forward the body.
func (b *Body) Read(p []byte) (int, error) {
	if b.loan != nil {
		return 0, ErrLent
	}
	return b.read(p, nil)
}

// read reads up to the limit.
func (b *Body) read(p []byte, stop <-chan struct{}) (int, error) {
	if b.limit < 0 {
		return b.take(p, stop)
	}
	left := b.limit - b.taken
	if left < 0 {
		return 0, ErrTooLong
	}
	// One byte beyond the limit shows that the body is too long.
	n, err := b.take(p[:min(int64(len(p)), left+1)], stop)
	if b.taken > b.limit {
		return n - 1, ErrTooLong
	}
	return n, err
}

// take takes bytes from the pump, or from the source itself without one, until stop is closed.
func (b *Body) take(p []byte, stop <-chan struct{}) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if b.part.empty() && b.err == nil {
		if !b.pump.started() {
			n, err := b.source.Read(p)
			b.taken += int64(n)
			b.err = err
			return n, err
		}
		select {
		case b.part = <-b.pump.parts:
			b.err = b.part.err
		case <-stop:
			return 0, ErrReturned
		}
	}
	n := b.part.take(p)
	b.taken += int64(n)
	if n == 0 {
		return 0, b.err
	}
	return n, nil
}

// Replayable reports whether the body can be sent from its start: it is not lent, and nothing beyond its start was taken.
func (b *Body) Replayable() bool {
	return b.complete || (b.loan == nil && b.taken == int64(len(b.start)))
}

// Lend returns a lease that reads the body from its start.
func (b *Body) Lend() (*Lease, error) {
	if b.complete {
		return &Lease{start: b.start}, nil
	}
	if b.loan != nil {
		return nil, ErrLent
	}
	if !b.Replayable() {
		return nil, ErrConsumed
	}
	if b.pump == nil && b.interrupt == nil {
		b.pump = newPump(b.source)
	}
	return newLease(b), nil
}

// Recall takes the lease back: its reads fail from now on. Recall waits until the holder has returned it, at most for
// wait, and reports whether it has. A holder that has read nothing need not return it.
func (b *Body) Recall(wait time.Duration) bool {
	if b.loan == nil {
		return true
	}
	b.loan.revoke()
	if !b.loan.awaitReturn(wait) {
		return false
	}
	b.loan = nil
	return true
}

// Reclaim takes the lease back if none of its reads is in progress, without waiting for the holder. The holder can't read
// any more. It reports whether the body is free.
func (b *Body) Reclaim() bool {
	if b.loan == nil {
		return true
	}
	if !b.loan.end() {
		return false
	}
	b.loan = nil
	return true
}

// ReadAll reads the whole body into memory, up to limit bytes.
func (b *Body) ReadAll(limit int64) ([]byte, error) {
	if b.complete {
		return b.start, nil
	}
	if !b.Replayable() {
		return nil, ErrConsumed
	}
	if err := b.Buffer(limit + 1); err != nil {
		return nil, err
	}
	if !b.complete {
		return nil, ErrTooLong
	}
	return b.start, nil
}

// Discard reads and drops the rest of the body, fewer than limit bytes. It reports whether the body has ended.
func (b *Body) Discard(limit int64) bool {
	if b.loan != nil {
		return false
	}
	b.limit = -1
	n, err := io.CopyN(io.Discard, b, limit)
	return err == io.EOF && n < limit
}

// Close ends the use of the body: a holder of its lease gets no more bytes, and nobody reads the source any more when Close
// returns. interrupt is called if the pump waits for the source; it must make that read return.
func (b *Body) Close(interrupt func()) {
	if b.loan != nil {
		b.loan.revoke()
		b.loan.awaitIdle()
	}
	if b.pump.started() {
		b.pump.stop(interrupt)
	}
}
