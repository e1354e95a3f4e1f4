package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// These tests guard against a faulty target that sends bytes without end, and never a complete response.

// endless holds the start of each stream, and the part that is repeated until the connection ends.
var endless = map[string]struct{ start, part string }{
	"status line":       {"HTTP/1.1 200 ", strings.Repeat("x", 1024)},
	"bytes of no kind":  {"", strings.Repeat("\x00\xff", 512)},
	"empty lines":       {"", strings.Repeat("\r\n", 512)},
	"header fields":     {"HTTP/1.1 200 OK\r\n", "X-More: " + strings.Repeat("x", 1014) + "\r\n"},
	"one header field":  {"HTTP/1.1 200 OK\r\nX-Long: ", strings.Repeat("x", 1024)},
	"interim responses": {"", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"},
	"chunk extension":   {"HTTP/1.1 200 OK\r\n" + idField + ": a\r\nTransfer-Encoding: chunked\r\n\r\n5;x=", strings.Repeat("y", 1024)},
	"trailer fields":    {"HTTP/1.1 200 OK\r\n" + idField + ": a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: " + strings.Repeat("x", 1014) + "\r\n"},
}

// flood repeats part until the other end closes the connection, and returns the number of bytes sent.
func flood(conn net.Conn, start, part string) int {
	sent, _ := io.WriteString(conn, start)
	for {
		n, err := io.WriteString(conn, part)
		sent += n
		if err != nil {
			return sent
		}
	}
}

// socketBytes is more than the buffers of a loopback connection hold.
const socketBytes = 16 << 20

// TestEndlessBytesEndTheExchange: the exchange must fail within the limits for heads and framing, not only at its
// deadline.
func TestEndlessBytesEndTheExchange(t *testing.T) {
	for name, e := range endless {
		t.Run(name, func(t *testing.T) {
			sent := make(chan int, 1)
			s := startTarget(t, func(conn net.Conn, _ *http.Request, _ int) bool {
				sent <- flood(conn, e.start, e.part)
				return false
			})
			began := time.Now()
			_, err := exchangeWith(t, newTransport(), s, "a", nil)
			require.Error(t, err)
			require.Less(t, time.Since(began), time.Second, "the exchange must fail before its deadline")
			require.Less(t, <-sent, socketBytes, "the connection must be closed")
		})
	}
}

// TestConnectionWithEndlessBytesAfterAResponseIsNotReused: bytes after a complete response must not be read as the next
// response.
func TestConnectionWithEndlessBytesAfterAResponseIsNotReused(t *testing.T) {
	written := make(chan struct{})
	s := startTarget(t, func(conn net.Conn, r *http.Request, _ int) bool {
		writeLines(conn, okResponse(r.Header.Get(idField), "yes"))
		_, _ = io.WriteString(conn, "x")
		written <- struct{}{}
		flood(conn, "", strings.Repeat("x", 1024))
		return false
	})
	tr := newTransport()
	for _, id := range []string{"a", "b", "c"} {
		body, err := exchangeWith(t, tr, s, id, nil)
		require.NoError(t, err)
		require.Equal(t, "yes", body)
		// The transport can only see bytes that have arrived; those that come later end the next exchange with an error.
		<-written
	}
	require.EqualValues(t, 3, s.conns.Load())
}

// TestEndlessBodyEndsWithTheContext: a body without a length may be endless, but reading it must fail once the context
// of the request ends.
func TestEndlessBodyEndsWithTheContext(t *testing.T) {
	sent := make(chan int, 1)
	s := startTarget(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		sent <- flood(conn, "HTTP/1.1 200 OK\r\n"+idField+": a\r\n\r\n", strings.Repeat("x", 1024))
		return false
	})
	ctx, cancel := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.address+"/x", nil)
	require.NoError(t, err)
	r.Header.Set(idField, "a")
	response, err := newTransport().RoundTrip(r)
	require.NoError(t, err)
	_, err = io.CopyN(io.Discard, response.Body, 1<<20)
	require.NoError(t, err, "a body without a length is forwarded while it is read")
	cancel()
	_, err = io.Copy(io.Discard, response.Body)
	require.Error(t, err)
	require.NoError(t, response.Body.Close())
	<-sent
}

// endlessConns is the number of connections that receive endless heads at once, and maxHeadMemory the bytes that a node
// may hold for each: the longest allowed head, and two more copies while it is parsed.
const (
	endlessConns  = 500
	maxHeadMemory = 3 * maxHead
)

// TestMemoryOfManyEndlessHeadsIsBounded: many faulty targets at once must not exhaust the memory of a node.
func TestMemoryOfManyEndlessHeadsIsBounded(t *testing.T) {
	e := endless["one header field"]
	s := startTarget(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		flood(conn, e.start, e.part)
		return false
	})
	tr := newTransport()
	var before runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var failed sync.WaitGroup
	for range endlessConns {
		failed.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.address+"/x", nil)
			if err != nil {
				t.Error(err)
				return
			}
			if _, err = tr.RoundTrip(r); err == nil || ctx.Err() != nil {
				t.Errorf("the exchange ended with %v, context %v", err, ctx.Err())
			}
		})
	}
	peak := uint64(0)
	done := make(chan struct{})
	go func() { failed.Wait(); close(done) }()
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(5 * time.Millisecond):
			var now runtime.MemStats
			runtime.ReadMemStats(&now)
			peak = max(peak, now.HeapAlloc)
		}
	}
	// The garbage collector lets the heap grow to twice the live memory.
	require.Less(t, peak-min(before.HeapAlloc, peak), uint64(2*endlessConns*maxHeadMemory))
}
