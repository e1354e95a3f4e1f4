package peer

import (
	"context"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// The window of an answer is the number of bytes of its body that may be on the way or unread at its caller. It is smaller than
// the one that yamux gives each stream, since yamux can't be set below 256 KiB and a node has hundreds of calls at a time: on a
// busy machine bytes arrive for all of them before their readers run, also for those whose callers read nothing.
//
// The calling end sets the window and grants more on the control stream as the body is read. Windows of all calls of a pool
// share the memory of PoolOptions.AnswerMemory.
const (
	// minAnswerWindow is the smallest window. It holds the largest answer that is sent in one write.
	minAnswerWindow = inlineBodyBytes
	// startAnswerWindow is the largest window of a call whose answer has not begun. Longer answers are rare and get StreamWindow.
	startAnswerWindow = 64 << 10
	// shareOfLeft is the divisor of the memory that is left: windows shrink once less than 8 of the largest are left.
	shareOfLeft = 8
)

// answerMemory divides the memory for answers that were received and not read.
type answerMemory struct {
	// limit is the memory in bytes; 0 sets no windows.
	limit int64
	// used is the sum of all windows.
	used atomic.Int64
}

// take returns the window of a new call: a share of what is left, within bounds, so that the sum exceeds the limit by at most
// minAnswerWindow for each call. It returns nil if there are no windows.
func (m *answerMemory) take() *receiveWindow {
	if m.limit == 0 {
		return nil
	}
	size := min(max((m.limit-m.used.Load())/shareOfLeft, minAnswerWindow), startAnswerWindow)
	m.used.Add(size)
	return &receiveWindow{memory: m, size: size, granted: size, length: -1}
}

// grow takes bytes of the memory, if that many are left of the half of it that may be used for this: long answers must not leave
// the smallest windows to all others.
func (m *answerMemory) grow(bytes int64) bool {
	if m.used.Add(bytes) <= m.limit/2 {
		return true
	}
	m.used.Add(-bytes)
	return false
}

// receiveWindow is the window of one answer at the calling end. It is used by the goroutine that reads the answer.
type receiveWindow struct {
	memory *answerMemory
	size   int64
	// granted is the offset up to which the other end may send, length that of the end of the body; -1 if unknown.
	granted, length int64
	// grant tells the other end.
	grant func(granted uint64)
}

// read notes that the body was read up to an offset. It grants more once half of the window was read.
func (w *receiveWindow) read(offset uint64) {
	if w == nil || w.size == 0 || int64(offset)+w.size-w.granted < w.size/2 || (w.length >= 0 && w.granted >= w.length) {
		return
	}
	if more := StreamWindow - w.size; more > 0 && w.memory.grow(more) {
		w.size = StreamWindow
	}
	w.granted = int64(offset) + w.size
	w.grant(uint64(w.granted))
}

// release returns the window to the memory. Only the first call has an effect.
func (w *receiveWindow) release() {
	if w == nil || w.size == 0 {
		return
	}
	w.memory.used.Add(-w.size)
	w.size = 0
}

// start returns the window before anything was read.
func (w *receiveWindow) start() uint32 {
	if w == nil {
		return 0
	}
	return uint32(w.size)
}

// sendWindow is the window of one answer at the answering end.
type sendWindow struct {
	mu      sync.Mutex
	granted uint64
	// changed is closed, and replaced, when more is granted.
	changed chan struct{}
}

// newSendWindow returns the window that the calling end has set; nil if it has set none.
func newSendWindow(size uint32) *sendWindow {
	if size == 0 {
		return nil
	}
	return &sendWindow{granted: uint64(size), changed: make(chan struct{})}
}

// grant allows sending up to an offset.
func (w *sendWindow) grant(offset uint64) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if offset <= w.granted {
		return
	}
	w.granted = offset
	close(w.changed)
	w.changed = make(chan struct{})
}

// left returns how many bytes may be sent after the first sent ones, and a channel that is closed when there are more.
func (w *sendWindow) left(sent uint64) (int64, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return int64(w.granted) - int64(sent), w.changed
}

// wait waits until something may be sent after the first sent bytes, and returns how much of want that is. It fails after timeout.
func (w *sendWindow) wait(ctx context.Context, sent uint64, want int, timeout time.Duration) (int, error) {
	if w == nil {
		return want, nil
	}
	left, changed := w.left(sent)
	if left > 0 {
		return int(min(left, int64(want))), nil
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for left <= 0 {
		select {
		case <-changed:
		case <-ctx.Done():
			return 0, context.Cause(ctx)
		case <-timer.C:
			return 0, os.ErrDeadlineExceeded
		}
		left, changed = w.left(sent)
	}
	return int(min(left, int64(want))), nil
}
