package peer

import (
	"bytes"
	"context"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// TestUnreadAnswersAreBoundedInMemory guards against answers that fill the memory of a node while their readers don't run or
// their callers read nothing: each stream of yamux takes 256 KiB, and a node has hundreds of them.
func TestUnreadAnswersAreBoundedInMemory(t *testing.T) {
	const calls, memory = 64, 1 << 20
	var written [calls]atomic.Int64
	_, pool, address := startLoopbackWith(t, PoolOptions{Seed: 1, AnswerMemory: memory}, func(_ context.Context, in *IncomingCall) {
		if in.Answer(&apiv1.AnswerHeader{Status: 200, ContentLength: -1}) != nil {
			return
		}
		// Parts of 1 KiB, so that what was written is known exactly.
		for part := make([]byte, 1<<10); ; {
			n, err := in.Write(part)
			if err != nil {
				return
			}
			written[in.Header.Key.Number].Add(int64(n))
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	total := func() (sum int64) {
		for i := range written {
			sum += written[i].Load()
		}
		return sum
	}
	var opened sync.WaitGroup
	for number := range uint64(calls) {
		opened.Go(func() {
			answer, err := pool.Call(ctx, address, newCall(number, 0), nil)
			if err == nil {
				t.Cleanup(func() { _ = answer.Body.Close() })
			}
		})
	}
	opened.Wait()
	var last int64
	require.Eventually(t, func() bool {
		now := total()
		same := now == last && now >= calls*minAnswerWindow
		last = now
		return same
	}, 5*time.Second, 200*time.Millisecond)
	require.LessOrEqual(t, last, int64(memory+calls*minAnswerWindow))
}

// TestAnswersArriveWholeThroughWindows guards against windows that are not renewed, and against memory that is not returned.
func TestAnswersArriveWholeThroughWindows(t *testing.T) {
	for _, memory := range []int64{1, 100 << 10, 100 << 20} {
		_, pool, address := startLoopbackWith(t, PoolOptions{Seed: 1, AnswerMemory: memory}, echo)
		var running sync.WaitGroup
		for number, size := range []int{0, 1, minAnswerWindow - 1, minAnswerWindow, minAnswerWindow + 1, startAnswerWindow, startAnswerWindow + 1, 1 << 20, 3 << 20} {
			for _, known := range []bool{true, false} {
				running.Go(func() {
					length := size
					if !known {
						length = -1
					}
					want := bytes.Repeat([]byte{byte(number + 1)}, size)
					answer, err := pool.Call(context.Background(), address, newCall(uint64(number), length), lend(bytes.NewReader(want)))
					require.NoError(t, err)
					got, err := io.ReadAll(answer.Body)
					require.NoError(t, err)
					require.True(t, bytes.Equal(want, got), "body of %d bytes", size)
					require.NoError(t, answer.Body.Close())
				})
			}
		}
		running.Wait()
		require.Zero(t, pool.answers.used.Load())
	}
}

// TestWindowsShareTheMemory guards against windows whose sum exceeds the memory, and against long answers that keep the smallest window
// while there is memory.
func TestWindowsShareTheMemory(t *testing.T) {
	m := &answerMemory{limit: 4 << 20}
	first := m.take()
	require.EqualValues(t, startAnswerWindow, first.start())
	var granted uint64
	first.grant = func(offset uint64) { granted = offset }
	first.read(startAnswerWindow/2 - 1)
	require.Zero(t, granted)
	first.read(startAnswerWindow / 2)
	require.EqualValues(t, startAnswerWindow/2+StreamWindow, granted)
	var all []*receiveWindow
	for range 1000 {
		all = append(all, m.take())
	}
	require.EqualValues(t, minAnswerWindow, all[999].start())
	require.LessOrEqual(t, m.used.Load(), int64(4<<20+1000*minAnswerWindow))
	last := all[999]
	last.grant = first.grant
	last.read(minAnswerWindow)
	require.EqualValues(t, 2*minAnswerWindow, granted, "no memory is left for a larger window")
	known := all[998]
	known.length = minAnswerWindow
	known.read(minAnswerWindow)
	for _, w := range append(all, first) {
		w.release()
		w.release()
	}
	require.Zero(t, m.used.Load())
	last.read(4 * minAnswerWindow)
	require.EqualValues(t, 2*minAnswerWindow, granted, "the call has ended")
	require.Nil(t, (&answerMemory{}).take())
}

// TestSenderWaitsForItsWindow guards against a sender that overtakes its window, or waits for it without an end.
func TestSenderWaitsForItsWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSendWindow(100)
		n, err := w.wait(t.Context(), 30, 1000, time.Second)
		require.NoError(t, err)
		require.Equal(t, 70, n)
		_, err = w.wait(t.Context(), 100, 1, time.Second)
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		time.AfterFunc(time.Second/2, func() { w.grant(90); w.grant(130) })
		n, err = w.wait(t.Context(), 100, 1000, time.Second)
		require.NoError(t, err)
		require.Equal(t, 30, n)
		ctx, cancel := context.WithCancelCause(t.Context())
		cancel(ErrCancelled)
		_, err = w.wait(ctx, 130, 1, time.Second)
		require.ErrorIs(t, err, ErrCancelled)
		require.Nil(t, newSendWindow(0))
		n, err = newSendWindow(0).wait(ctx, 1<<40, 7, 0)
		require.NoError(t, err)
		require.Equal(t, 7, n)
	})
}
