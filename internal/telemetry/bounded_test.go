package telemetry

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStoppedReaderDoesNotBlock guards against a process that hangs in a log line because the reader of its log has
// stopped reading.
func TestStoppedReaderDoesNotBlock(t *testing.T) {
	r, w := io.Pipe()
	defer r.Close()
	b := NewNonBlockingWriter(w)
	start := time.Now()
	for range 4 * logBuffer {
		n, err := b.Write([]byte("line\n"))
		require.NoError(t, err)
		require.Equal(t, 5, n)
	}
	require.Less(t, time.Since(start), time.Second)
	require.GreaterOrEqual(t, b.Dropped(), int64(2*logBuffer))
}

// TestSamplerLimitsLinesAndCountsTheRest guards against a flood of log lines, and against lines that are left out but
// not counted.
func TestSamplerLimitsLinesAndCountsTheRest(t *testing.T) {
	s, now := NewLogLimiter(50), time.Unix(100, 0)
	written := 0
	for range 1000 {
		if _, ok := s.Allow(now); ok {
			written++
		}
	}
	require.Equal(t, 50, written)
	leftOut, ok := s.Allow(now.Add(time.Second))
	require.True(t, ok)
	require.EqualValues(t, 950, leftOut)
}

// TestFlushWaitsForTheLastLine guards against the loss of the line that a process writes just before it ends.
func TestFlushWaitsForTheLastLine(t *testing.T) {
	written := make(chan string, 1)
	b := NewNonBlockingWriter(slowWriter{written})
	_, _ = b.Write([]byte("stopped"))
	b.Flush(time.Second)
	require.Equal(t, "stopped", <-written)
}

// slowWriter delays each line by 20 ms.
type slowWriter struct{ written chan string }

func (w slowWriter) Write(p []byte) (int, error) {
	time.Sleep(20 * time.Millisecond)
	w.written <- string(p)
	return len(p), nil
}
