package upstream

import (
	"bufio"
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

const idField = "X-Request"

// fakeTarget is a server whose responses are written by the test as raw bytes.
type fakeTarget struct {
	address string
	conns   atomic.Int32
}

// startTarget starts a server that calls answer for each request with the number of the request on its connection, from
// 1. It closes the connection when answer returns false.
func startTarget(t *testing.T, answer func(conn net.Conn, r *http.Request, n int) bool) *fakeTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &fakeTarget{address: l.Addr().String()}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for n := 1; ; n++ {
					r, err := http.ReadRequest(reader)
					if err != nil || !answer(conn, r, n) {
						return
					}
				}
			}()
		}
	}()
	return s
}

// writeLines writes text with CRLF as line ends.
func writeLines(conn net.Conn, text string) {
	_, _ = io.WriteString(conn, strings.ReplaceAll(text, "\n", "\r\n"))
}

func newTransport() *Transport {
	return &Transport{Dial: (&net.Dialer{}).DialContext, IDField: idField}
}

// exchangeWith sends one request with an identifier and returns the body of its response.
func exchangeWith(t *testing.T, tr *Transport, s *fakeTarget, id string, body io.Reader) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	t.Cleanup(cancel)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.address+"/x", body)
	require.NoError(t, err)
	r.Header.Set(idField, id)
	if _, streamed := body.(*io.PipeReader); streamed {
		r.ContentLength = -1
	}
	response, err := tr.RoundTrip(r)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return string(data), err
}

// okResponse returns a successful response to the request id. The body must be shorter than 10 bytes.
func okResponse(id, body string) string {
	return "HTTP/1.1 200 OK\n" + idField + ": " + id + "\nContent-Length: " + string(rune('0'+len(body))) + "\n\n" + body
}

func TestConnectionIsReused(t *testing.T) {
	s := startTarget(t, func(conn net.Conn, r *http.Request, _ int) bool {
		writeLines(conn, okResponse(r.Header.Get(idField), "yes"))
		return true
	})
	tr := newTransport()
	for _, id := range []string{"a", "b", "c"} {
		body, err := exchangeWith(t, tr, s, id, nil)
		require.NoError(t, err)
		require.Equal(t, "yes", body)
	}
	require.EqualValues(t, 1, s.conns.Load())
}

// TestLateResponseToAnotherRequestIsDiscarded: it must not be returned in place of the right response.
func TestLateResponseToAnotherRequestIsDiscarded(t *testing.T) {
	s := startTarget(t, func(conn net.Conn, r *http.Request, n int) bool {
		if n == 2 {
			writeLines(conn, okResponse("a", "old"))
		}
		writeLines(conn, okResponse(r.Header.Get(idField), "own"))
		return true
	})
	tr := newTransport()
	for _, id := range []string{"a", "b"} {
		body, err := exchangeWith(t, tr, s, id, nil)
		require.NoError(t, err)
		require.Equal(t, "own", body)
	}
}

func TestSuccessWithoutIdentifierIsNotAccepted(t *testing.T) {
	s := startTarget(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		writeLines(conn, "HTTP/1.1 200 OK\nContent-Length: 2\n\nno")
		return false
	})
	_, err := exchangeWith(t, newTransport(), s, "a", nil)
	require.Error(t, err)
}

// TestConnectionWithBytesAfterTheResponseIsNotReused: the extra bytes must not be read as the start of the next
// response.
func TestConnectionWithBytesAfterTheResponseIsNotReused(t *testing.T) {
	for name, join := range map[string]bool{"in the same write": true, "in a later write": false} {
		t.Run(name, func(t *testing.T) {
			written := make(chan struct{})
			s := startTarget(t, func(conn net.Conn, r *http.Request, n int) bool {
				answer := okResponse(r.Header.Get(idField), "yes")
				switch {
				case n > 1:
					writeLines(conn, answer)
				case join:
					writeLines(conn, answer+"garbage")
				default:
					writeLines(conn, answer)
					writeLines(conn, "garbage")
				}
				written <- struct{}{}
				return true
			})
			tr := newTransport()
			for _, id := range []string{"a", "b"} {
				body, err := exchangeWith(t, tr, s, id, nil)
				require.NoError(t, err)
				require.Equal(t, "yes", body)
				// The transport can only see bytes that have arrived.
				<-written
			}
			require.EqualValues(t, 2, s.conns.Load())
		})
	}
}

// TestGarbageBeforeTheResponseEndsTheExchange: garbage that arrives once the next request was sent must fail that
// request and end the connection.
func TestGarbageBeforeTheResponseEndsTheExchange(t *testing.T) {
	s := startTarget(t, func(conn net.Conn, r *http.Request, n int) bool {
		if n == 2 {
			writeLines(conn, "garbage")
		}
		writeLines(conn, okResponse(r.Header.Get(idField), "yes"))
		return true
	})
	tr := newTransport()
	_, err := exchangeWith(t, tr, s, "a", nil)
	require.NoError(t, err)
	body, err := exchangeWith(t, tr, s, "b", nil)
	require.Error(t, err)
	require.Empty(t, body)
	require.EqualValues(t, 1, s.conns.Load())
	body, err = exchangeWith(t, tr, s, "c", nil)
	require.NoError(t, err)
	require.Equal(t, "yes", body)
	require.EqualValues(t, 2, s.conns.Load())
}

func TestConnectionThatTheTargetClosedIsNotReused(t *testing.T) {
	s := startTarget(t, func(conn net.Conn, r *http.Request, _ int) bool {
		writeLines(conn, okResponse(r.Header.Get(idField), "yes"))
		return false
	})
	tr := newTransport()
	for _, id := range []string{"a", "b"} {
		_, err := exchangeWith(t, tr, s, id, nil)
		require.NoError(t, err)
		time.Sleep(20 * time.Millisecond)
	}
	require.EqualValues(t, 2, s.conns.Load())
}

// TestAnnouncedIdleTimeoutIsObserved: a connection must not be reused when the target may be closing it.
func TestAnnouncedIdleTimeoutIsObserved(t *testing.T) {
	s := startTarget(t, func(conn net.Conn, r *http.Request, _ int) bool {
		writeLines(conn, "HTTP/1.1 200 OK\n"+idField+": "+r.Header.Get(idField)+"\nKeep-Alive: timeout=0\nContent-Length: 0\n\n")
		return true
	})
	tr := newTransport()
	for _, id := range []string{"a", "b"} {
		_, err := exchangeWith(t, tr, s, id, nil)
		require.NoError(t, err)
	}
	require.EqualValues(t, 2, s.conns.Load())
}

func TestTruncatedResponseIsAnError(t *testing.T) {
	s := startTarget(t, func(conn net.Conn, r *http.Request, _ int) bool {
		writeLines(conn, "HTTP/1.1 200 OK\n"+idField+": "+r.Header.Get(idField)+"\nContent-Length: 9\n\npart")
		return false
	})
	_, err := exchangeWith(t, newTransport(), s, "a", nil)
	require.Error(t, err)
}

func TestResponseWithoutLengthEndsWithItsConnection(t *testing.T) {
	s := startTarget(t, func(conn net.Conn, r *http.Request, _ int) bool {
		writeLines(conn, "HTTP/1.1 200 OK\n"+idField+": "+r.Header.Get(idField)+"\n\nall of it")
		return false
	})
	body, err := exchangeWith(t, newTransport(), s, "a", nil)
	require.NoError(t, err)
	require.Equal(t, "all of it", body)
}

// TestResponseBeforeTheWholeRequestWasSent: the rest of a request body must not reach the target as the start of the
// next request.
func TestResponseBeforeTheWholeRequestWasSent(t *testing.T) {
	s := startTarget(t, func(conn net.Conn, r *http.Request, _ int) bool {
		writeLines(conn, okResponse(r.Header.Get(idField), "no"))
		_, _ = io.Copy(io.Discard, r.Body)
		return true
	})
	tr := newTransport()
	slow, feed := io.Pipe()
	go func() {
		_, _ = feed.Write([]byte("begin"))
		time.Sleep(50 * time.Millisecond)
		_ = feed.Close()
	}()
	body, err := exchangeWith(t, tr, s, "a", slow)
	require.NoError(t, err)
	require.Equal(t, "no", body)
	body, err = exchangeWith(t, tr, s, "b", strings.NewReader("second"))
	require.NoError(t, err)
	require.Equal(t, "no", body)
	require.EqualValues(t, 2, s.conns.Load(), "the rest of the first body may still be sent on the old connection")
}

// TestConnectFailureIsADialError: callers must be able to tell that nothing was sent, so that a retry is safe.
func TestConnectFailureIsADialError(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	_, err = exchangeWith(t, newTransport(), &fakeTarget{address: address}, "a", nil)
	var op *net.OpError
	require.ErrorAs(t, err, &op)
	require.Equal(t, "dial", op.Op)
}

func TestEndOfTheContextClosesTheConnection(t *testing.T) {
	gone := make(chan struct{})
	s := startTarget(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		_, _ = conn.Read(make([]byte, 1))
		close(gone)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.address+"/x", nil)
	require.NoError(t, err)
	time.AfterFunc(30*time.Millisecond, cancel)
	_, err = newTransport().RoundTrip(r)
	require.Error(t, err)
	select {
	case <-gone:
	case <-time.After(time.Second):
		t.Fatal("the connection to the target was not closed")
	}
}

// TestResponseInSeveralPartsIsReadWithItsLastByte guards against a response that is complete but waits for more bytes, since its head or
// framing came in more than one read.
func TestResponseInSeveralPartsIsReadWithItsLastByte(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + idField + ": a\r\n"
	for name, parts := range map[string][]string{
		"status line":    {head[:9], head[9:] + "Content-Length: 3\r\n\r\nyes"},
		"field":          {head[:len(head)-5], head[len(head)-5:] + "Content-Length: 3\r\n\r\nyes"},
		"empty line":     {head + "Content-Length: 3\r\n", "\r\nyes"},
		"long head":      {head + "X-Long: " + strings.Repeat("x", 15000) + "\r\nContent-Length: 3\r\n\r\nyes"},
		"interim":        {"HTTP/1.1 103 Early Hints\r\n\r", "\n" + head, "Content-Length: 3\r\n\r\nyes"},
		"chunk size":     {head + "Transfer-Encoding: chunked\r\n\r\n3", "\r\nyes\r\n0\r\n\r\n"},
		"end of chunk":   {head + "Transfer-Encoding: chunked\r\n\r\n3\r\nyes", "\r\n0\r\n\r", "\n"},
		"trailer":        {head + "Transfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\nX-S", "um: 1\r\nX-More: 2\r\n\r\n"},
		"end of trailer": {head + "Transfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\nX-Sum: 1\r\n", "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			sent := make(chan time.Time, 1)
			s := startTarget(t, func(conn net.Conn, _ *http.Request, _ int) bool {
				for i, part := range parts {
					if i > 0 {
						time.Sleep(20 * time.Millisecond)
					}
					_, _ = io.WriteString(conn, part)
				}
				sent <- time.Now()
				return true
			})
			body, err := exchangeWith(t, newTransport(), s, "a", nil)
			require.NoError(t, err)
			require.Equal(t, "yes", body)
			require.Less(t, time.Since(<-sent), 500*time.Millisecond)
		})
	}
}

// TestRequestThatMayNotBeginIsNotSent guards against a request that reaches a target which has begun to drain while the connection opened.
func TestRequestThatMayNotBeginIsNotSent(t *testing.T) {
	var arrived atomic.Int32
	s := startTarget(t, func(conn net.Conn, r *http.Request, _ int) bool {
		arrived.Add(1)
		writeLines(conn, okResponse(r.Header.Get(idField), "yes"))
		return true
	})
	tr := newTransport()
	for _, warm := range []bool{false, true} {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.address+"/x", strings.NewReader("body"))
		require.NoError(t, err)
		_, err = tr.RoundTripIf(r, func() bool { return false })
		require.ErrorIs(t, err, ErrNotSent)
		if !warm {
			require.Zero(t, arrived.Load())
			_, err = exchangeWith(t, tr, s, "a", nil)
			require.NoError(t, err)
		}
	}
	time.Sleep(20 * time.Millisecond)
	require.EqualValues(t, 1, arrived.Load())
}
