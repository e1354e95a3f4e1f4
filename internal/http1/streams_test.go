package http1

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// zeros is an endless body, which counts the bodies that are open.
type zeros struct {
	open   *atomic.Int64
	closed sync.Once
}

func (z *zeros) Read(p []byte) (int, error) { return len(p), nil }

func (z *zeros) Close() error {
	z.closed.Do(func() { z.open.Add(-1) })
	return nil
}

// TestCallersThatReadNothingAreBounded guards against streamed responses to callers that read nothing using up the memory of the process:
// beyond the limit the one that has waited longest ends, while callers that read are served.
func TestCallersThatReadNothingAreBounded(t *testing.T) {
	const limit, extra, whole = 4, 8, 8 << 20
	limits := testLimits
	limits.MaxStreams = limit
	var open, ended atomic.Int64
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := NewServer(Options{
		Handler: handlerFunc(func(_ context.Context, r *Request) *Response {
			open.Add(1)
			if r.URL.Path == "/whole" {
				return &Response{Status: http.StatusOK, Stream: &struct {
					io.Reader
					io.Closer
				}{io.LimitReader(&zeros{}, whole), &zeros{open: &open}}, Length: whole}
			}
			return &Response{Status: http.StatusOK, Stream: &zeros{open: &open}, Length: -1}
		}),
		Limits: func() Limits { return limits },
		OnStreamEnded: func(count int, blocked time.Duration) {
			ended.Add(1)
			if count <= limit || (blocked < minBlocked && count <= 2*limit) || (blocked > 0 && blocked < minBlocked) {
				t.Errorf("a response of %d was ended after %v", count, blocked)
			}
		},
	})
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() { s.Close(); require.NoError(t, <-done) })
	for range limit {
		conn, _ := dialServer(t, l.Addr().String())
		send(t, conn, get("/"))
	}
	time.Sleep(2 * minBlocked)
	require.EqualValues(t, limit, open.Load())
	require.Zero(t, ended.Load(), "within the limit callers may wait")
	for range extra {
		conn, _ := dialServer(t, l.Addr().String())
		send(t, conn, get("/"))
		time.Sleep(minBlocked / 2)
		require.LessOrEqual(t, open.Load(), int64(2*limit))
		reading, reader := dialServer(t, l.Addr().String())
		send(t, reading, get("/whole"))
		response, body := receive(t, reader)
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, whole, len(body), "a caller that reads is served")
	}
	require.Positive(t, ended.Load())
}

// TestStreamedResponsesAreBoundedWhileAllCallersRead guards against more responses at once than the memory of the process holds, though their
// callers read: the ones beyond the bound are answered before their head is sent, and the others arrive whole.
func TestStreamedResponsesAreBoundedWhileAllCallersRead(t *testing.T) {
	var s streams
	s.active = map[*exchange]struct{}{}
	now := time.Now()
	const limit = 3
	all := make([]*exchange, 0, 2*limit)
	for range 2 * limit {
		x := &exchange{}
		x.blockedSince.Store(now.Add(-minBlocked / 2).UnixNano())
		require.False(t, s.begin(x, now, limit).refused)
		all = append(all, x)
	}
	require.Equal(t, streamDecision{count: 2*limit + 1, refused: true}, s.begin(&exchange{}, now, limit))
	s.end(all[0])
	require.False(t, s.begin(&exchange{}, now, limit).refused)
	require.False(t, s.begin(&exchange{}, now, 0).refused, "0 sets no limit")
}
