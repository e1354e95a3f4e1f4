package calltable

import (
	"bytes"
	"io"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/clock"
)

// TestChunksHoldWhatWasAdded guards against bytes that are lost or mixed up where chunks begin and end, while the front is dropped.
func TestChunksHoldWhatWasAdded(t *testing.T) {
	for _, expected := range []int{-1, 0, 100, chunkBytes, 5 * chunkBytes} {
		rnd := rand.New(rand.NewPCG(1, uint64(expected)))
		var c chunks
		var want []byte
		for range 3000 {
			switch n := rnd.IntN(3 * chunkBytes); rnd.IntN(4) {
			case 0, 1:
				part := answerBytes(n)[n/3:]
				c.add(part, expected)
				want = append(want, part...)
			case 2:
				n = min(n, len(want))
				c.drop(n)
				want = want[n:]
			default:
				held := c.clip()
				require.GreaterOrEqual(t, held, len(want))
				require.LessOrEqual(t, held, len(want)+chunkBytes)
				// Nothing is added after the end of an answer.
				c.drop(c.size)
				require.Zero(t, c.size)
				c, want = chunks{}, nil
			}
			require.Equal(t, len(want), c.size)
			if at := rnd.IntN(len(want) + 1); at < len(want) {
				got := make([]byte, 1+rnd.IntN(2*chunkBytes))
				got = got[:c.copyAt(got, at)]
				require.NotEmpty(t, got)
				require.True(t, bytes.Equal(want[at:at+len(got)], got))
			}
			require.Zero(t, c.copyAt(make([]byte, 1), c.size))
		}
	}
}

// TestReceivedAnswersLeaveNoGarbage guards against buffers that are copied as they grow: answers without a length left twice their size as
// garbage, beside the memory that is counted.
func TestReceivedAnswersLeaveNoGarbage(t *testing.T) {
	const answers = 20
	table, answer := New(clock.System{}), answerBytes(bulkAnswer)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for number := range uint64(answers) {
		key := Key{Node: "entry", Number: number}
		call, _ := table.Begin(key, func() {})
		started, _ := table.Start(call, "s r")
		require.Equal(t, Started, started)
		call.Response.SetHeader(&apiv1.AnswerHeader{Status: 200, ContentLength: -1})
		for rest := answer; len(rest) > 0; {
			part := rest[:min(32<<10, len(rest))]
			rest = rest[len(part):]
			require.NoError(t, call.Response.Write(t.Context(), part))
		}
		call.Response.Close(nil, 0)
		table.Finish(key, call)
	}
	runtime.ReadMemStats(&after)
	require.LessOrEqual(t, float64(after.TotalAlloc-before.TotalAlloc), 1.2*answers*bulkAnswer)
	for number := range uint64(answers) {
		call, ok := table.Find(Key{Node: "entry", Number: number})
		require.True(t, ok)
		reader, ok := call.Response.Reader(t.Context(), false)
		require.True(t, ok)
		got, err := io.ReadAll(reader)
		require.NoError(t, err)
		require.True(t, bytes.Equal(answer, got))
		require.NoError(t, reader.Close())
	}
}
