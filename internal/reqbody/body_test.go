package reqbody

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// pattern returns n bytes of which no two parts of the same length at different places are alike.
func pattern(n int) []byte {
	data := make([]byte, n)
	for i := range data {
		data[i] = byte(i*7 + i>>8*13 + i>>16*5)
	}
	return data
}

// pausingReader returns its first part at once and the rest after resume is closed. It fails the test if two goroutines read it at a time.
type pausingReader struct {
	t       *testing.T
	first   io.Reader
	rest    io.Reader
	resume  chan struct{}
	reading atomic.Bool
}

func (r *pausingReader) Read(p []byte) (int, error) {
	if !r.reading.CompareAndSwap(false, true) {
		r.t.Error("two goroutines read the source at a time")
	}
	defer r.reading.Store(false)
	if n, err := r.first.Read(p); err == nil {
		return n, nil
	}
	<-r.resume
	return r.rest.Read(p)
}

// pausing returns a body of the pattern whose source pauses after first bytes, and the function that ends the pause.
func pausing(t *testing.T, size, first int) (*Body, func()) {
	data := pattern(size)
	source := &pausingReader{t: t, first: bytes.NewReader(data[:first]), rest: bytes.NewReader(data[first:]), resume: make(chan struct{})}
	return New(int64(size), source), sync.OnceFunc(func() { close(source.resume) })
}

const start = 64<<10 + 1

// TestNextLeaseGetsWhatABlockedReadBrings guards against a body with a part missing: the read of an attempt that was
// refused waits for the caller, and what it brings belongs to the next attempt.
func TestNextLeaseGetsWhatABlockedReadBrings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, resume := pausing(t, 300<<10, start)
		require.NoError(t, b.Buffer(start))
		first, err := b.Lend()
		require.NoError(t, err)
		ended := make(chan error, 1)
		go func() {
			defer first.Close()
			n, err := io.Copy(io.Discard, first)
			require.EqualValues(t, start, n)
			ended <- err
		}()
		synctest.Wait()
		require.False(t, b.Replayable(), "the body is lent")
		_, err = b.Lend()
		require.ErrorIs(t, err, ErrLent)
		require.False(t, b.Discard(1<<20), "a body that is forwarded is not discarded")
		_, err = b.Read(make([]byte, 1))
		require.ErrorIs(t, err, ErrLent)

		began := time.Now()
		require.True(t, b.Recall(time.Second))
		require.Zero(t, time.Since(began), "a read that waits for the caller delays nobody")
		require.ErrorIs(t, <-ended, ErrReturned, "the forwarder must not take what it has sent for the whole body")
		require.True(t, b.Replayable())
		second, err := b.Lend()
		require.NoError(t, err)
		time.AfterFunc(time.Second, resume)
		got, err := io.ReadAll(second)
		require.NoError(t, err)
		require.True(t, bytes.Equal(pattern(300<<10), got))
		n, err := first.Read(make([]byte, 1))
		require.Zero(t, n)
		require.ErrorIs(t, err, ErrReturned)
		require.NoError(t, second.Close())
		b.Close(nil)
	})
}

// TestBodyIsNotReplayedAfterAPartWasTaken guards against a second attempt that lacks what the first one took.
func TestBodyIsNotReplayedAfterAPartWasTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(-1, bytes.NewReader(pattern(start+463)))
		require.NoError(t, b.Buffer(start))
		lease, err := b.Lend()
		require.NoError(t, err)
		_, err = io.ReadFull(lease, make([]byte, start+1))
		require.NoError(t, err)
		require.NoError(t, lease.Close())
		require.True(t, b.Recall(time.Second))
		require.False(t, b.Replayable())
		_, err = b.Lend()
		require.ErrorIs(t, err, ErrConsumed)
		_, err = b.ReadAll(1 << 20)
		require.ErrorIs(t, err, ErrConsumed)
		require.True(t, b.Discard(463), "the owner may discard the rest")
		b.Close(nil)
	})
}

// TestLeaseThatIsNotReturnedKeepsTheBody guards against a body that is replayed while a goroutine still forwards it.
func TestLeaseThatIsNotReturnedKeepsTheBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(-1, bytes.NewReader(pattern(300<<10)))
		require.NoError(t, b.Buffer(start))
		lease, err := b.Lend()
		require.NoError(t, err)
		_, err = lease.Read(make([]byte, 10))
		require.NoError(t, err)
		began := time.Now()
		require.False(t, b.Recall(time.Second), "its holder is stuck in a write")
		require.Equal(t, time.Second, time.Since(began))
		require.False(t, b.Replayable())
		_, err = lease.Read(make([]byte, 10))
		require.ErrorIs(t, err, ErrReturned)
		require.NoError(t, lease.Close())
		require.True(t, b.Recall(time.Second))
		require.True(t, b.Replayable(), "it took nothing beyond the start")
	})
}

// TestUnusedLeaseNeedNotBeReturned guards against an attempt that was refused before anybody read the body, and then
// delays the next one.
func TestUnusedLeaseNeedNotBeReturned(t *testing.T) {
	b := New(-1, bytes.NewReader(pattern(300<<10)))
	require.NoError(t, b.Buffer(start))
	lease, err := b.Lend()
	require.NoError(t, err)
	require.True(t, b.Recall(0))
	_, err = lease.Read(make([]byte, 1))
	require.ErrorIs(t, err, ErrReturned)
}

// TestCloseEndsABlockedPump guards against a goroutine that reads a connection when the next user of it does.
func TestCloseEndsABlockedPump(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, resume := pausing(t, 300<<10, start)
		require.NoError(t, b.Buffer(start))
		lease, err := b.Lend()
		require.NoError(t, err)
		go func() { _, _ = io.Copy(io.Discard, lease) }()
		synctest.Wait()
		interrupted := false
		b.Close(func() { interrupted = true; resume() })
		require.True(t, interrupted)
		require.False(t, b.pump.reading.Load())
		_, err = lease.Read(make([]byte, 1))
		require.ErrorIs(t, err, ErrReturned)
	})
}

// TestInterruptedSourceEndsTheRead guards against a body between nodes whose reader keeps the stream after its exchange.
func TestInterruptedSourceEndsTheRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, w := io.Pipe()
		b := NewInterruptible(-1, r, func() { _ = w.CloseWithError(io.ErrClosedPipe) })
		lease, err := b.Lend()
		require.NoError(t, err)
		ended := make(chan error, 1)
		go func() { _, err := io.Copy(io.Discard, lease); ended <- err }()
		_, err = w.Write(pattern(100))
		require.NoError(t, err)
		synctest.Wait()
		require.False(t, b.Reclaim(), "a read is in progress")
		b.Close(nil)
		require.Error(t, <-ended)
	})
}

// countingReader counts what was read.
type countingReader struct {
	io.Reader
	n atomic.Int64
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.n.Add(int64(n))
	return n, err
}

// TestReadAheadIsBounded guards against a body that fills the memory while its target reads nothing.
func TestReadAheadIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &countingReader{Reader: bytes.NewReader(pattern(4 << 20))}
		b := New(-1, source)
		require.NoError(t, b.Buffer(start))
		lease, err := b.Lend()
		require.NoError(t, err)
		_, err = io.ReadFull(lease, make([]byte, start+1))
		require.NoError(t, err)
		synctest.Wait()
		require.LessOrEqual(t, source.n.Load(), int64(start+maxPumped))
		require.NoError(t, lease.Close())
		b.Close(nil)
	})
}

// TestLimitOfABody guards against a body that is longer than its route allows: it must fail, not end, and the rest can
// still be discarded.
func TestLimitOfABody(t *testing.T) {
	for _, size := range []int{100, 1000, 1001, 5000} {
		b := New(-1, bytes.NewReader(pattern(size)))
		b.SetLimit(1000)
		got, err := io.ReadAll(b)
		if size <= 1000 {
			require.NoError(t, err)
			require.Len(t, got, size)
			continue
		}
		require.ErrorIs(t, err, ErrTooLong)
		require.Len(t, got, 1000)
		require.True(t, b.Discard(1<<20))
	}
	b := New(-1, bytes.NewReader(pattern(200<<10)))
	b.SetLimit(100 << 10)
	require.NoError(t, b.Buffer(start))
	lease, err := b.Lend()
	require.NoError(t, err)
	got, err := io.ReadAll(lease)
	require.ErrorIs(t, err, ErrTooLong)
	require.Len(t, got, 100<<10)
	b.Close(nil)
}

// TestBodyInMemoryIsReplayedAtOnce guards against a small body that waits for a forwarder that is stuck.
func TestBodyInMemoryIsReplayedAtOnce(t *testing.T) {
	b := New(-1, bytes.NewReader(pattern(1000)))
	require.NoError(t, b.Buffer(start))
	require.EqualValues(t, 1000, b.Length())
	for range 3 {
		lease, err := b.Lend()
		require.NoError(t, err)
		got, err := io.ReadAll(lease)
		require.NoError(t, err)
		require.True(t, bytes.Equal(pattern(1000), got))
		require.True(t, b.Recall(0))
		require.True(t, b.Replayable())
	}
}
