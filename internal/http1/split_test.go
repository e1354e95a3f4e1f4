package http1

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// slowHeaderTimeout is far longer than splitBound, so that a server which waits for it is told apart.
	slowHeaderTimeout = 3 * time.Second
	// splitBound is how long after its last byte a request may wait for its response.
	splitBound = 500 * time.Millisecond
	// segmentPause is the time between two parts of a request, long enough for the server to read the first one.
	segmentPause = 20 * time.Millisecond
)

// splitAt cuts a text before each of the marks, in order.
func splitAt(text string, marks ...string) []string {
	var parts []string
	for _, mark := range marks {
		i := strings.Index(text, mark)
		parts = append(parts, text[:i])
		text = text[i:]
	}
	return append(parts, text)
}

// TestRequestInSeveralPartsIsReadWithItsLastByte guards against a request that is complete but not read before the header timeout, since
// its bytes came in more than one read of the server.
func TestRequestInSeveralPartsIsReadWithItsLastByte(t *testing.T) {
	const head = "GET /path HTTP/1.1\r\nHost: a\r\nX-One: 1\r\nX-Two: 2\r\n\r\n"
	const post = "POST /path HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	long := "GET /path HTTP/1.1\r\nHost: a\r\nX-Long: " + strings.Repeat("x", 15000) + "\r\n\r\n"
	cases := map[string]struct {
		parts     []string
		responses int
	}{
		"two halves":                     {splitAt(head, "X-One"), 1},
		"first line":                     {splitAt(head, "th HTTP"), 1},
		"three parts":                    {splitAt(head, "st: a", "X-Two"), 1},
		"last line and empty line":       {splitAt(head, "2\r\n\r\n"), 1},
		"empty line":                     {[]string{head[:len(head)-2], "\r\n"}, 1},
		"last byte":                      {[]string{head[:len(head)-1], "\n"}, 1},
		"bare line feeds":                {[]string{"GET /path HTTP/1.1\nHo", "st: a\nX-One: 1\n\n"}, 1},
		"longer than the buffer":         {[]string{long}, 1},
		"longer than the buffer, halves": {splitAt(long, strings.Repeat("x", 7000)+"\r\n"), 1},
		"byte by byte":                   {strings.Split(head, ""), 1},
		"second request":                 {[]string{head + head[:30], head[30:]}, 2},
		"second request, long":           {[]string{head + long[:200], long[200:]}, 2},
		"empty lines before":             {[]string{"\r\n", "\r\n" + head[:20], head[20:]}, 1},
		"chunk size":                     {[]string{post + "1", "0\r\n0123456789abcdef\r\n0\r\n\r\n"}, 1},
		"chunk extension":                {[]string{post + "5;na", "me=x\r\nhello\r\n0\r\n\r\n"}, 1},
		"end of chunk":                   {[]string{post + "5\r\nhello", "\r\n0\r\n\r\n"}, 1},
		"last chunk":                     {[]string{post + "5\r\nhello\r\n0", "\r\n\r\n"}, 1},
		"trailer":                        {[]string{post + "0\r\nX-Sum", ": 1\r\nX-More: 2\r\n\r\n"}, 1},
		"end of trailer":                 {[]string{post + "0\r\nX-Sum: 1\r\n", "\r\n" + head}, 2},
		"request behind a body":          {[]string{post + "5\r\nhello\r\n0\r\n\r\n" + head[:10], head[10:]}, 2},
	}
	limits := Limits{MaxHeader: 16 << 10, HeaderTimeout: slowHeaderTimeout, IdleTimeout: 2 * slowHeaderTimeout}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			s := NewServer(Options{
				Handler: handlerFunc(func(ctx context.Context, r *Request) *Response { return echo(ctx, r) }),
				Limits:  func() Limits { return limits },
			})
			done := make(chan error, 1)
			go func() { done <- s.Serve(l) }()
			t.Cleanup(func() { s.Close(); require.NoError(t, <-done) })
			conn, reader := dialServer(t, l.Addr().String())
			for _, part := range c.parts {
				_, err := io.WriteString(conn, part)
				require.NoError(t, err)
				time.Sleep(segmentPause)
			}
			sent := time.Now()
			for range c.responses {
				response, _ := receive(t, reader)
				require.Equal(t, http.StatusOK, response.StatusCode)
			}
			require.Less(t, time.Since(sent), splitBound)
		})
	}
}
