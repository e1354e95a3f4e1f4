package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// handlerFunc makes a function a Handler.
type handlerFunc func(ctx context.Context, r *Request) *Response

func (f handlerFunc) Serve(ctx context.Context, r *Request) *Response { return f(ctx, r) }

var testLimits = Limits{MaxHeader: 8 << 10, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: 300 * time.Millisecond}

// startServer starts a server for h on a loopback address.
func startServer(t *testing.T, h handlerFunc) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := NewServer(Options{Handler: h, Limits: func() Limits { return testLimits }})
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() {
		s.Close()
		require.NoError(t, <-done)
	})
	return s, l.Addr().String()
}

// dialServer opens a connection to the server.
func dialServer(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	return conn, bufio.NewReader(conn)
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(conn, strings.ReplaceAll(text, "\n", "\r\n"))
	require.NoError(t, err)
}

func receive(t *testing.T, r *bufio.Reader) (*http.Response, string) {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response, string(body)
}

func echo(_ context.Context, r *Request) *Response {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return &Response{Status: http.StatusBadRequest}
	}
	return &Response{Status: http.StatusOK, Body: append([]byte(r.RequestURI+" "), body...)}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\nHost: a\n\n" }

// TestPipelinedRequestsRunWhileAnEarlierOneIsSlow: requests must run concurrently, and their responses must keep the
// order of the requests.
func TestPipelinedRequestsRunWhileAnEarlierOneIsSlow(t *testing.T) {
	release := make(chan struct{})
	seen := make(chan string, 3)
	_, address := startServer(t, func(_ context.Context, r *Request) *Response {
		seen <- r.RequestURI
		if r.RequestURI == "/1" {
			<-release
		}
		return &Response{Status: http.StatusOK, Body: []byte(r.RequestURI)}
	})
	conn, reader := dialServer(t, address)
	send(t, conn, get("/1")+get("/2")+get("/3"))
	for range 3 {
		select {
		case <-seen:
		case <-time.After(2 * time.Second):
			t.Fatal("a request behind a slow one did not run")
		}
	}
	close(release)
	for _, want := range []string{"/1", "/2", "/3"} {
		_, body := receive(t, reader)
		require.Equal(t, want, body, "responses must keep the order of the requests")
	}
}

// TestContextEndsWhenTheCallerCloses: a handler must not go on working for a caller that has closed its connection.
func TestContextEndsWhenTheCallerCloses(t *testing.T) {
	for name, request := range map[string]string{
		"plain":           get("/"),
		"with pipelining": get("/a") + get("/b"),
		"with a body":     "POST / HTTP/1.1\nHost: a\nContent-Length: 5\n\nhello",
		"last request":    "GET / HTTP/1.1\nHost: a\nConnection: close\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{}, 2)
			started := make(chan struct{}, 2)
			_, address := startServer(t, func(ctx context.Context, r *Request) *Response {
				_, _ = io.ReadAll(r.Body)
				started <- struct{}{}
				<-ctx.Done()
				ended <- struct{}{}
				return &Response{Status: http.StatusOK}
			})
			conn, _ := dialServer(t, address)
			send(t, conn, request)
			<-started
			require.NoError(t, conn.Close())
			select {
			case <-ended:
			case <-time.After(2 * time.Second):
				t.Fatal("the context of the request did not end")
			}
		})
	}
}

// TestContentLengthWithTransferEncodingIsRejected guards against request smuggling.
func TestContentLengthWithTransferEncodingIsRejected(t *testing.T) {
	served := false
	_, address := startServer(t, func(context.Context, *Request) *Response {
		served = true
		return &Response{Status: http.StatusOK}
	})
	conn, reader := dialServer(t, address)
	send(t, conn, "POST / HTTP/1.1\nHost: a\nContent-Length: 4\nTransfer-Encoding: chunked\n\n0\n\nGET /smuggled HTTP/1.1\nHost: a\n\n")
	response, _ := receive(t, reader)
	require.Equal(t, http.StatusBadRequest, response.StatusCode)
	require.True(t, response.Close)
	_, err := reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.False(t, served)
}

func TestHeaderLimitsAndTimeouts(t *testing.T) {
	_, address := startServer(t, echo)
	t.Run("too long", func(t *testing.T) {
		conn, reader := dialServer(t, address)
		send(t, conn, "GET / HTTP/1.1\nHost: a\nX: "+strings.Repeat("x", testLimits.MaxHeader)+"\n\n")
		response, _ := receive(t, reader)
		require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
	})
	t.Run("long but allowed", func(t *testing.T) {
		conn, reader := dialServer(t, address)
		send(t, conn, "GET /long HTTP/1.1\nHost: a\nX: "+strings.Repeat("x", 6<<10)+"\n\n"+get("/next"))
		_, body := receive(t, reader)
		require.Equal(t, "/long ", body)
		_, body = receive(t, reader)
		require.Equal(t, "/next ", body, "bytes that were buffered behind a long header must not be lost")
	})
	t.Run("too slow", func(t *testing.T) {
		conn, reader := dialServer(t, address)
		send(t, conn, "GET / HTTP/1.1\nHo")
		response, _ := receive(t, reader)
		require.Equal(t, http.StatusRequestTimeout, response.StatusCode)
	})
	t.Run("idle", func(t *testing.T) {
		conn, reader := dialServer(t, address)
		send(t, conn, get("/"))
		receive(t, reader)
		start := time.Now()
		_, err := reader.ReadByte()
		require.ErrorIs(t, err, io.EOF)
		require.GreaterOrEqual(t, time.Since(start), testLimits.IdleTimeout*4/5)
	})
	t.Run("malformed", func(t *testing.T) {
		conn, reader := dialServer(t, address)
		send(t, conn, "NONSENSE\n\n")
		response, _ := receive(t, reader)
		require.Equal(t, http.StatusBadRequest, response.StatusCode)
	})
}

// TestBodyFramings: bodies in chunks, with a length, without one and after 100 Continue must reach the handler whole.
func TestBodyFramings(t *testing.T) {
	_, address := startServer(t, echo)
	conn, reader := dialServer(t, address)
	send(t, conn, "POST /c HTTP/1.1\nHost: a\nTransfer-Encoding: chunked\n\n5\nhello\n0\n\n"+
		"POST /l HTTP/1.1\nHost: a\nContent-Length: 3\n\nabc"+get("/g"))
	for _, want := range []string{"/c hello", "/l abc", "/g "} {
		_, body := receive(t, reader)
		require.Equal(t, want, body)
	}
	send(t, conn, "POST /e HTTP/1.1\nHost: a\nExpect: 100-continue\nContent-Length: 2\n\n")
	line, err := reader.ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, line, "100 Continue")
	_, err = reader.ReadString('\n')
	require.NoError(t, err)
	send(t, conn, "ok")
	_, body := receive(t, reader)
	require.Equal(t, "/e ok", body)
}

// TestUnreadBodyIsNotParsedAsARequest guards against request smuggling in a body that the handler does not read.
func TestUnreadBodyIsNotParsedAsARequest(t *testing.T) {
	_, address := startServer(t, func(_ context.Context, r *Request) *Response {
		return &Response{Status: http.StatusOK, Body: []byte(r.RequestURI)}
	})
	conn, reader := dialServer(t, address)
	smuggled := get("/smuggled")
	send(t, conn, "POST /1 HTTP/1.1\nHost: a\nContent-Length: "+itoa(len(strings.ReplaceAll(smuggled, "\n", "\r\n")))+"\n\n"+smuggled+get("/2"))
	_, body := receive(t, reader)
	require.Equal(t, "/1", body)
	_, body = receive(t, reader)
	require.Equal(t, "/2", body)
}

func itoa(n int) string {
	var digits []byte
	for ; n > 0; n /= 10 {
		digits = append([]byte{byte('0' + n%10)}, digits...)
	}
	return string(digits)
}

// TestFailedStreamIsNotACompleteResponse: a caller must be able to tell a response that failed halfway from a complete
// one.
func TestFailedStreamIsNotACompleteResponse(t *testing.T) {
	for name, length := range map[string]int64{"of known length": 100, "of unknown length": -1} {
		t.Run(name, func(t *testing.T) {
			_, address := startServer(t, func(context.Context, *Request) *Response {
				broken := io.MultiReader(strings.NewReader("part"), errReader{})
				return &Response{Status: http.StatusOK, Stream: io.NopCloser(broken), Length: length}
			})
			conn, reader := dialServer(t, address)
			send(t, conn, get("/"))
			response, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			_, err = io.ReadAll(response.Body)
			require.Error(t, err)
		})
	}
}

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, errors.New("broken") }

// TestShutdownCompletesRunningRequests: a shutdown must close idle connections at once, but wait for running requests.
func TestShutdownCompletesRunningRequests(t *testing.T) {
	started := make(chan struct{})
	release := make(chan struct{})
	s, address := startServer(t, func(_ context.Context, r *Request) *Response {
		if r.RequestURI == "/slow" {
			close(started)
			<-release
		}
		return &Response{Status: http.StatusOK, Body: []byte("whole")}
	})
	_, idleReader := func() (net.Conn, *bufio.Reader) {
		conn, reader := dialServer(t, address)
		send(t, conn, get("/"))
		receive(t, reader)
		return conn, reader
	}()
	conn, reader := dialServer(t, address)
	send(t, conn, get("/slow"))
	<-started
	var stopped sync.WaitGroup
	stopped.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		require.NoError(t, s.Shutdown(ctx))
	})
	_, err := idleReader.ReadByte()
	require.ErrorIs(t, err, io.EOF, "an idle connection is closed at once")
	close(release)
	response, body := receive(t, reader)
	require.Equal(t, "whole", body)
	require.True(t, response.Close, "the response announces the end of the connection")
	require.NoError(t, conn.Close())
	stopped.Wait()
}

// TestAwaitTurnFailsWhenTheConnectionEndsBefore: a pipelined request that must not run twice may not run when an
// earlier response ends the connection, since its caller then sends it again.
func TestAwaitTurnFailsWhenTheConnectionEndsBefore(t *testing.T) {
	release := make(chan struct{})
	ran := make(chan struct{}, 1)
	_, address := startServer(t, func(ctx context.Context, r *Request) *Response {
		if r.RequestURI == "/first" {
			<-release
			return &Response{Status: http.StatusOK, Close: true}
		}
		if !r.AwaitPrevious(ctx) {
			return &Response{Status: http.StatusServiceUnavailable}
		}
		ran <- struct{}{}
		return &Response{Status: http.StatusOK}
	})
	conn, reader := dialServer(t, address)
	send(t, conn, get("/first")+get("/booking"))
	time.Sleep(20 * time.Millisecond)
	require.Empty(t, ran, "the request ran before its turn; it would run twice, as its caller sends it again when the connection ends before its response")
	close(release)
	receive(t, reader)
	_, err := reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.Empty(t, ran)
}

// TestConnectionsAboveTheLimitEndAfterTheirResponse: clients that retry at once open a new connection each time and
// leave the old one open. Above the limit connections must end with their response, and new ones must still be
// accepted.
func TestConnectionsAboveTheLimitEndAfterTheirResponse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	limits := testLimits
	limits.MaxConnections, limits.IdleTimeout = 3, time.Minute
	s := NewServer(Options{Handler: handlerFunc(echo), Limits: func() Limits { return limits }})
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	defer func() { s.Close(); require.NoError(t, <-done) }()
	for range 40 {
		conn, r := dialServer(t, l.Addr().String())
		send(t, conn, "GET /a HTTP/1.1\nHost: h\n\n")
		response, body := receive(t, r)
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, "/a ", body)
	}
	require.Eventually(t, func() bool { return s.OpenConnections() <= 3 }, 5*time.Second, 10*time.Millisecond)
}

// failingListener fails to accept connections a number of times before it works.
type failingListener struct {
	net.Listener
	failures int
}

var errNoDescriptors = errors.New("too many open files")

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, errNoDescriptors
	}
	return l.Listener.Accept()
}

// TestFailedAcceptIsReported: a process that is out of file descriptors must report it, and must serve again once some
// are free.
func TestFailedAcceptIsReported(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	reported := make(chan error, 3)
	s := NewServer(Options{
		Handler:       handlerFunc(echo),
		Limits:        func() Limits { return testLimits },
		OnAcceptError: func(err error) { reported <- err },
	})
	done := make(chan error, 1)
	go func() { done <- s.Serve(&failingListener{Listener: l, failures: 2}) }()
	conn, r := dialServer(t, l.Addr().String())
	send(t, conn, "GET /x HTTP/1.1\nHost: a\n\n")
	response, _ := receive(t, r)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Len(t, reported, 2)
	require.Equal(t, errNoDescriptors, <-reported)
	s.Close()
	require.NoError(t, <-done)
}
