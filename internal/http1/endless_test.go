package http1

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// These tests guard against a caller that sends an endless stream of bytes without ever completing a request.

// endless holds the start of each stream, the part that is repeated until the connection ends, and the expected status
// of the response.
var endless = map[string]struct {
	start, part string
	status      int
}{
	"empty lines":      {"", strings.Repeat("\r\n", 512), http.StatusBadRequest},
	"bytes of no kind": {"", strings.Repeat("\x00\xff", 512), http.StatusRequestHeaderFieldsTooLarge},
	"request line":     {"GET /", strings.Repeat("x", 1024), http.StatusRequestHeaderFieldsTooLarge},
	"header fields":    {"GET / HTTP/1.1\r\nHost: a\r\n", "X-More: " + strings.Repeat("x", 1014) + "\r\n", http.StatusRequestHeaderFieldsTooLarge},
	"one header field": {"GET / HTTP/1.1\r\nHost: a\r\nX-Long: ", strings.Repeat("x", 1024), http.StatusRequestHeaderFieldsTooLarge},
	"chunk extension": {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5;x=",
		strings.Repeat("y", 1024), http.StatusBadRequest},
	"trailer fields": {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
		"X-More: " + strings.Repeat("x", 1014) + "\r\n", http.StatusBadRequest},
}

// socketBytes is more than the buffers of a loopback connection hold.
const socketBytes = 16 << 20

// flood repeats part until the other end closes the connection, and returns the number of bytes sent.
func flood(conn net.Conn, start, part string) int64 {
	sent, _ := io.WriteString(conn, start)
	total := int64(sent)
	for {
		n, err := io.WriteString(conn, part)
		total += int64(n)
		if err != nil {
			return total
		}
	}
}

// TestEndlessRequestIsRejected: the server must answer with an error and close the connection instead of reading on.
func TestEndlessRequestIsRejected(t *testing.T) {
	for name, e := range endless {
		t.Run(name, func(t *testing.T) {
			_, address := startServer(t, echo)
			conn, reader := dialServer(t, address)
			var sent atomic.Int64
			done := make(chan struct{})
			go func() {
				defer close(done)
				sent.Store(flood(conn, e.start, e.part))
			}()
			response, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			require.Equal(t, e.status, response.StatusCode)
			require.True(t, response.Close)
			select {
			case <-done:
			case <-time.After(2 * time.Second):
				require.Fail(t, "the server still reads from the connection")
			}
			require.Less(t, sent.Load(), int64(socketBytes))
		})
	}
}

// TestHeaderTimeoutIsNotExtendedByProgress: a caller that sends one field after another, each within the timeout, must
// not hold a connection for ever (slowloris).
func TestHeaderTimeoutIsNotExtendedByProgress(t *testing.T) {
	_, address := startServer(t, echo)
	conn, reader := dialServer(t, address)
	send(t, conn, "GET / HTTP/1.1\nHost: a\n")
	go func() {
		for {
			if _, err := io.WriteString(conn, "X: y\r\n"); err != nil {
				return
			}
			time.Sleep(testLimits.HeaderTimeout / 10)
		}
	}()
	began := time.Now()
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestTimeout, response.StatusCode)
	require.Less(t, time.Since(began), 3*testLimits.HeaderTimeout)
}

// TestEndlessUnreadBodyEndsTheConnection: the response is sent although the handler does not read the body, and the
// server must not discard an endless body for ever.
func TestEndlessUnreadBodyEndsTheConnection(t *testing.T) {
	_, address := startServer(t, func(context.Context, *Request) *Response {
		return &Response{Status: http.StatusServiceUnavailable}
	})
	conn, reader := dialServer(t, address)
	done := make(chan int64, 1)
	chunk := "400\r\n" + string(bytes.Repeat([]byte("x"), 1024)) + "\r\n"
	go func() { done <- flood(conn, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", chunk) }()
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	select {
	case sent := <-done:
		require.Less(t, sent, int64(socketBytes))
	case <-time.After(2 * time.Second):
		require.Fail(t, "the server still reads from the connection")
	}
}
