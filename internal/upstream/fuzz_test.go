package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fuzzTimeout is longer than any exchange over net.Pipe should take.
const fuzzTimeout = 5 * time.Second

// answerOf sends a request to a target that answers with the given bytes and closes the connection.
func answerOf(t *testing.T, answer []byte) (*http.Response, string, error) {
	t.Helper()
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
			return
		}
		_, _ = far.Write(answer)
	}()
	tr := &Transport{IDField: idField, Dial: func(context.Context, string, string) (net.Conn, error) { return near, nil }}
	ctx, cancel := context.WithTimeout(t.Context(), fuzzTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://127.0.0.1:1/x", nil)
	require.NoError(t, err)
	r.Header.Set(idField, "a")
	response, err := tr.RoundTrip(r)
	require.NoError(t, ctx.Err(), "the exchange must end when the connection ends")
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// FuzzAnswer: whatever a target sends, the exchange must end, and a successful response must carry the identifier of
// its request.
func FuzzAnswer(f *testing.F) {
	for _, seed := range []string{
		okResponse("a", "yes"),
		okResponse("b", "old") + okResponse("a", "own"),
		"HTTP/1.1 100 Continue\n\n" + okResponse("a", "yes"),
		"HTTP/1.1 200 OK\n" + idField + ": a\nTransfer-Encoding: chunked\n\n4;x=y\nabcd\n0\nX-Sum: 1\n\n",
		"HTTP/1.1 200 OK\n" + idField + ": a\n\nall of it",
		"HTTP/1.1 200 OK\n" + idField + ": a\nContent-Length: 9\nContent-Length: 2\n\nno",
		"HTTP/1.0 503 no\nContent-Length: -1\n\n",
		"\n\nHTTP/1.1 999\n: :\n\n",
		"\x00\xff",
	} {
		f.Add([]byte(strings.ReplaceAll(seed, "\n", "\r\n")))
	}
	f.Fuzz(func(t *testing.T, answer []byte) {
		response, _, err := answerOf(t, answer)
		if err == nil && response.StatusCode < http.StatusMultipleChoices {
			require.Equal(t, "a", response.Header.Get(idField))
		}
	})
}
