package http1

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fuzzTimeout is longer than any connection over net.Pipe should last.
const fuzzTimeout = 5 * time.Second

// FuzzRequests: whatever a caller sends, the connection ends when the caller closes it, and no request is served that
// defines the end of its body in two ways.
func FuzzRequests(f *testing.F) {
	for _, seed := range []string{
		get("/a") + get("/b"),
		"POST / HTTP/1.1\nHost: a\nContent-Length: 4\n\nbody" + get("/next"),
		"POST / HTTP/1.1\nHost: a\nTransfer-Encoding: chunked\n\n4;x=y\nbody\n0\nX-Sum: 1\n\n",
		"POST / HTTP/1.1\nHost: a\nContent-Length: 4\nTransfer-Encoding: chunked\n\n0\n\n",
		"POST / HTTP/1.1\nHost: a\nContent-Length: 4\nContent-Length: 5\n\nbody!",
		"POST / HTTP/1.1\nHost: a\nExpect: 100-continue\nContent-Length: 1\n\nx",
		"GET / HTTP/1.0\nConnection: keep-alive\n\n",
		"\n\n\nGET  /  HTTP/9.9\n: :\n\n",
		"\x00\xff",
	} {
		f.Add([]byte(strings.ReplaceAll(seed, "\n", "\r\n")))
	}
	f.Fuzz(func(t *testing.T, sent []byte) {
		s := NewServer(Options{
			Limits: func() Limits { return testLimits },
			Handler: handlerFunc(func(ctx context.Context, r *Request) *Response {
				if r.Header.Get("Content-Length") != "" && len(r.TransferEncoding) > 0 {
					t.Error("served a request with both Content-Length and Transfer-Encoding")
				}
				return echo(ctx, r)
			}),
		})
		near, far := net.Pipe()
		s.start(near)
		require.NoError(t, far.SetDeadline(time.Now().Add(fuzzTimeout)))
		read := make(chan error, 1)
		go func() {
			_, err := io.Copy(io.Discard, far)
			read <- err
		}()
		_, _ = far.Write(sent)
		time.AfterFunc(10*time.Millisecond, func() { _ = far.Close() })
		if err := <-read; err != nil {
			require.ErrorIs(t, err, io.ErrClosedPipe, "the connection did not end when the caller closed it")
		}
		s.Close()
		s.running.Wait()
	})
}
