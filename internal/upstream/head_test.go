package upstream

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http/httpguts"
)

// checkInParts returns what a headChecker finds in data that arrives in parts of the given size: the number of bytes before the fault.
func checkInParts(data []byte, size int) (valid int, fault *InvalidAnswerError) {
	var h headChecker
	h.begin()
	for len(data) > 0 {
		part := data[:min(size, len(data))]
		n, fault := h.check(part)
		valid += n
		if fault != nil {
			return valid, fault
		}
		data = data[len(part):]
	}
	return valid, nil
}

// FuzzHead: a head is judged in the same way however it arrives, and names that the parser would return are tokens.
func FuzzHead(f *testing.F) {
	for _, seed := range []string{
		okResponse("a", "yes"),
		"HTTP/1.1 103 Early Hints\nLink: </x>\n\n" + okResponse("a", "yes"),
		"HTTP/1.1   103\n\nHTTP/1.1 101 x\n\nX Y: 1",
		"HTTP/1.1 200 OK\nX Trouble: 1\n\n",
		"HTTP/1.1 200 OK\nX-Trouble : 1\n\n",
		"HTTP/1.1 200 OK\nX-More: 1\n\tX-Trouble: 1\n\n",
		"HTTP/1.1 200 OK\n: 1\n\n",
		"HTTP/1.1 200 OK\nX: 1\r\n\n",
	} {
		f.Add([]byte(strings.ReplaceAll(seed, "\n", "\r\n")), 3)
		f.Add([]byte(seed), 1)
	}
	f.Fuzz(func(t *testing.T, data []byte, size int) {
		valid, fault := checkInParts(data, len(data)+1)
		validInParts, faultInParts := checkInParts(data, max(size, 1))
		require.Equal(t, valid, validInParts)
		require.Equal(t, fault, faultInParts)
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(string(data))), nil)
		if err != nil || fault != nil {
			return
		}
		for name := range response.Header {
			require.True(t, httpguts.ValidHeaderFieldName(name), "%q", name)
		}
	})
}

// TestHeadBehindALateResponseIsChecked: the head of the next response may have arrived together with a late response to an earlier request.
func TestHeadBehindALateResponseIsChecked(t *testing.T) {
	head := "HTTP/1.1 200 OK\n" + idField + ": b\n"
	for name, answer := range map[string]string{
		"both at once":       okResponse("a", "old") + head + "X Trouble: 1\nContent-Length: 3\n\nown",
		"folded line":        okResponse("a", "old") + head + " X-Trouble: 1\nContent-Length: 3\n\nown",
		"in the late one":    strings.Replace(okResponse("a", "old"), "Content-Length", "X Trouble: 1\nContent-Length", 1) + okResponse("b", "own"),
		"chunks of both":     "HTTP/1.1 200 OK\n" + idField + ": a\nTransfer-Encoding: chunked\n\n3\nold\n0\n\n" + head + "X-Trouble : 1\nContent-Length: 3\n\nown",
		"trailer of the old": "HTTP/1.1 200 OK\n" + idField + ": a\nTransfer-Encoding: chunked\n\n3\nold\n0\nX Y: 1\n\n" + okResponse("b", "own"),
	} {
		t.Run(name, func(t *testing.T) {
			s := startTarget(t, func(conn net.Conn, r *http.Request, n int) bool {
				if n == 1 {
					writeLines(conn, okResponse(r.Header.Get(idField), "yes"))
					return true
				}
				writeLines(conn, answer)
				return true
			})
			tr := newTransport()
			_, err := exchangeWith(t, tr, s, "a", nil)
			require.NoError(t, err)
			_, err = exchangeWith(t, tr, s, "b", nil)
			var invalid *InvalidAnswerError
			require.ErrorAs(t, err, &invalid)
			_, err = exchangeWith(t, tr, s, "c", nil)
			require.NoError(t, err)
			require.EqualValues(t, 2, s.conns.Load(), "the connection is not used again")
		})
	}
}
