package calltable

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/clock"
)

const bulkAnswer = 960_000

// answerBytes returns an answer of which no part equals another at a different place.
func answerBytes(n int) []byte {
	data := make([]byte, n)
	for i := range data {
		data[i] = byte(i*7 + i>>8*13 + i>>16*5)
	}
	return data
}

// bookings makes calls at a table and counts what becomes of them.
type bookings struct {
	t      *testing.T
	table  *Table
	answer []byte
	// readPause is how long a caller takes for each 32 KiB.
	readPause time.Duration
	number    uint64
	running   sync.WaitGroup

	mu                  sync.Mutex
	whole, refused, cut int
	peak                int
	waits               []time.Duration
}

func newBookings(t *testing.T, size int) *bookings {
	return &bookings{t: t, table: New(clock.System{}), answer: answerBytes(size)}
}

// begin starts a call; nil if it is refused.
func (b *bookings) begin() (Key, *Call) {
	b.number++
	key := Key{Node: "entry", Number: b.number}
	call, result := b.table.Begin(key, func() {})
	require.Equal(b.t, Begun, result)
	started, wait := b.table.Start(call, "s r")
	if started == Started {
		return key, call
	}
	require.Equal(b.t, NoRoom, started)
	b.table.FenceRefused(key, call)
	b.refused++
	b.waits = append(b.waits, wait)
	return key, nil
}

// write sends the answer as a target does, in parts, within 100 ms if nothing holds it up.
func (b *bookings) write(ctx context.Context, key Key, call *Call, withLength bool) {
	header := &apiv1.AnswerHeader{Status: 200, ContentLength: -1}
	if withLength {
		header.ContentLength = int64(len(b.answer))
	}
	call.Response.SetHeader(header)
	var err error
	for rest := b.answer; len(rest) > 0 && err == nil; {
		part := rest[:min(32<<10, len(rest))]
		rest = rest[len(part):]
		time.Sleep(3 * time.Millisecond)
		err = call.Response.Write(ctx, part)
		b.mu.Lock()
		b.peak = max(b.peak, b.table.KeptBytes())
		b.mu.Unlock()
	}
	call.Response.Close(err, 0)
	b.table.Finish(key, call)
}

// book makes one call whose caller reads its answer.
func (b *bookings) book(withLength bool) {
	key, call := b.begin()
	if call == nil {
		return
	}
	b.running.Go(func() { b.write(b.t.Context(), key, call, withLength) })
	b.running.Go(func() {
		_, err := call.Response.Header(b.t.Context())
		require.NoError(b.t, err)
		reader, ok := call.Response.Reader(b.t.Context(), true)
		var got []byte
		if ok {
			for part := make([]byte, 32<<10); ; {
				n, err := reader.Read(part)
				got = append(got, part[:n]...)
				if err != nil {
					ok = err == io.EOF
					break
				}
				time.Sleep(b.readPause)
			}
			require.NoError(b.t, reader.Close())
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		if ok && bytes.Equal(b.answer, got) {
			b.whole++
		} else {
			b.cut++
		}
	})
}

// TestBurstsOfLargeAnswersAreNotCut guards against answers that are discarded while they are read: 100 bookings with answers of
// 960,000 bytes at the start of each of three seconds, read at several speeds.
func TestBurstsOfLargeAnswersAreNotCut(t *testing.T) {
	for _, withLength := range []bool{true, false} {
		for _, readPause := range []time.Duration{0, 3 * time.Millisecond, 40 * time.Millisecond} {
			if testing.Short() && withLength == (readPause == 0) {
				continue
			}
			t.Run(fmt.Sprintf("length %t, pause %v", withLength, readPause), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newBookings(t, bulkAnswer)
					b.readPause = readPause
					for range 3 {
						for range 100 {
							b.book(withLength)
						}
						time.Sleep(time.Second)
					}
					b.running.Wait()
					t.Logf("%d whole, %d refused before they ran, at most %d MB", b.whole, b.refused, b.peak>>20)
					require.Zero(t, b.cut)
					require.Equal(t, 300, b.whole+b.refused)
					require.GreaterOrEqual(t, b.whole, 100, "the first hundred run: nothing is kept yet")
					require.LessOrEqual(t, b.peak, MaxKeptBytes)
					for _, wait := range b.waits {
						require.Positive(t, wait, "a refused caller is told when to come again")
						require.LessOrEqual(t, wait, longestRetry)
					}
				})
			})
		}
	}
}

// TestUnreadAnswersAreKeptAndBounded guards against answers that are discarded before anybody has read them, and against
// memory that grows while callers read nothing: further calls are refused before they start until the retention is over.
func TestUnreadAnswersAreKeptAndBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBookings(t, bulkAnswer)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		calls := map[Key]*Call{}
		for range 200 {
			if key, call := b.begin(); call != nil {
				b.running.Go(func() { b.write(ctx, key, call, true) })
				calls[key] = call
				time.Sleep(120 * time.Millisecond)
			}
		}
		b.running.Wait()
		require.LessOrEqual(t, b.peak, MaxKeptBytes)
		require.Greater(t, b.refused, 0)
		whole := 0
		for _, call := range calls {
			reader, ok := call.Response.Reader(t.Context(), true)
			require.True(t, ok, "an answer that nobody has read was discarded")
			if got, err := io.ReadAll(reader); err == nil {
				require.True(t, bytes.Equal(b.answer, got))
				whole++
			}
			require.NoError(t, reader.Close())
		}
		require.GreaterOrEqual(t, whole, MaxKeptBytes/bulkAnswer-1)
		time.Sleep(AnswerRetention + time.Second)
		_, call := b.begin()
		require.NotNil(t, call, "there is room after the retention")
	})
}

// TestAnswerMayBeReadAgainAfterItsConnectionWasLost guards against an answer that is freed although its last bytes were
// lost with their connection, and against one that holds its room for 30 s after it has arrived.
func TestAnswerMayBeReadAgainAfterItsConnectionWasLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBookings(t, bulkAnswer)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		key, call := b.begin()
		b.write(ctx, key, call, true)
		first, ok := call.Response.Reader(t.Context(), true)
		require.True(t, ok)
		_, err := io.Copy(io.Discard, first)
		require.NoError(t, err)
		require.NoError(t, first.Close())
		fill := func() (started int) {
			for {
				if _, call := b.begin(); call == nil {
					return started
				}
				started++
			}
		}
		require.Positive(t, fill())
		again, ok := call.Response.Reader(t.Context(), true)
		require.True(t, ok, "a reader may come again for a while")
		time.Sleep(2 * attachTime)
		require.Zero(t, fill(), "it is being read")
		got, err := io.ReadAll(again)
		require.NoError(t, err)
		require.Len(t, got, bulkAnswer)
		require.NoError(t, again.Close())
		time.Sleep(attachTime)
		require.Equal(t, 1, fill(), "its room is free")
		_, ok = call.Response.Reader(t.Context(), true)
		require.False(t, ok)
	})
}

// TestRoomIsGivenBack guards against room that is lost with each call, until no call is started any more.
func TestRoomIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, size := range []int{0, 10, minRoom, 100_000, KeptAnswerBytes, 3 * KeptAnswerBytes} {
			b := newBookings(t, size)
			for range 20 {
				b.book(size%2 == 0)
				b.book(false)
				b.running.Wait()
			}
			require.Equal(t, 40, b.whole)
			require.LessOrEqual(t, b.table.KeptBytes(), 40*min(size+size/4, KeptAnswerBytes))
			time.Sleep(AnswerRetention + time.Second)
			b.begin()
			require.LessOrEqual(t, b.table.KeptBytes(), KeptAnswerBytes, "only the call that has just started has room")
		}
	})
}

// TestSmallAnswersNeedLittleRoom guards against calls with small answers that are refused since room for large ones is kept for them.
func TestSmallAnswersNeedLittleRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBookings(t, 200)
		for range 2000 {
			b.book(true)
		}
		b.running.Wait()
		require.Equal(t, 2000, b.whole)
	})
}
