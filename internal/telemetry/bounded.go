package telemetry

import (
	"io"
	"sync/atomic"
	"time"
)

// logBuffer is the number of lines that a NonBlockingWriter buffers for its writer.
const logBuffer = 1024

// NonBlockingWriter writes lines to a writer from its own goroutine, so that a reader which has stopped reading never
// blocks the process. Lines that arrive while the buffer is full are dropped and counted.
type NonBlockingWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	// pending counts the lines that were accepted and not yet written.
	pending atomic.Int64
}

// NewNonBlockingWriter returns a writer that passes lines to w.
func NewNonBlockingWriter(w io.Writer) *NonBlockingWriter {
	b := &NonBlockingWriter{lines: make(chan []byte, logBuffer)}
	go b.run(w)
	return b
}

// Write accepts one line. It never blocks and never fails.
func (b *NonBlockingWriter) Write(p []byte) (int, error) {
	b.pending.Add(1)
	select {
	case b.lines <- append([]byte(nil), p...):
	default:
		b.pending.Add(-1)
		b.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines that were dropped because the buffer was full or a write failed.
func (b *NonBlockingWriter) Dropped() int64 { return b.dropped.Load() }

func (b *NonBlockingWriter) run(w io.Writer) {
	for line := range b.lines {
		if _, err := w.Write(line); err != nil {
			b.dropped.Add(1)
		}
		b.pending.Add(-1)
	}
}

// Flush waits until all accepted lines have been written, or the time limit is over.
func (b *NonBlockingWriter) Flush(limit time.Duration) {
	deadline := time.Now().Add(limit)
	for b.pending.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
}

// LogLimiter limits the number of log lines about single requests. It is safe for concurrent use.
type LogLimiter struct {
	perSecond int64
	second    atomic.Int64
	// requested counts the lines in the current second, allowed or not.
	requested atomic.Int64
	// skipped counts the lines not allowed since the last one that was.
	skipped atomic.Int64
}

// NewLogLimiter returns a limiter that allows perSecond lines in each second.
func NewLogLimiter(perSecond int) *LogLimiter {
	return &LogLimiter{perSecond: int64(perSecond)}
}

// Allow reports whether a line may be written, and how many were left out since the last one that was allowed. A
// nil limiter allows all lines.
func (s *LogLimiter) Allow(now time.Time) (leftOut int64, ok bool) {
	if s == nil {
		return 0, true
	}
	second := now.Unix()
	if old := s.second.Load(); old != second && s.second.CompareAndSwap(old, second) {
		s.requested.Store(0)
	}
	if s.requested.Add(1) > s.perSecond {
		s.skipped.Add(1)
		return 0, false
	}
	return s.skipped.Swap(0), true
}
