package upstream

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The first tests guard against a target that sends a response twice: the second copy arrives late, when the connection
// already carries another request, and must not be taken for its response.

const refusal = "HTTP/1.1 503 Service Unavailable\nX-Not-Run: 1\nContent-Length: 4\n\nfull"

// TestLateRejectionWithoutIdentifierIsNotAccepted: a repeated rejection without an identifier must not make a request
// that has run look as if it had not.
func TestLateRejectionWithoutIdentifierIsNotAccepted(t *testing.T) {
	s := startTarget(t, func(conn net.Conn, r *http.Request, n int) bool {
		if n == 1 {
			writeLines(conn, refusal)
			return true
		}
		// The copy arrives while the target runs the next request.
		writeLines(conn, refusal)
		time.Sleep(20 * time.Millisecond)
		writeLines(conn, okResponse(r.Header.Get(idField), "ran"))
		return true
	})
	tr := newTransport()
	body, err := exchangeWith(t, tr, s, "a", nil)
	require.NoError(t, err, "on a new connection no response to another request can arrive")
	require.Equal(t, "full", body)
	body, err = exchangeWith(t, tr, s, "b", nil)
	require.NoError(t, err)
	require.Equal(t, "ran", body, "request b has run, so no response may say that it has not")
}

// TestLateCopiesOfEqualLengthAndStatus: copies that differ from the right response only in the identifier and the body.
func TestLateCopiesOfEqualLengthAndStatus(t *testing.T) {
	for name, gap := range map[string]time.Duration{"before the next request": 0, "while the next one runs": 20 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			var previous atomic.Value
			previous.Store("")
			s := startTarget(t, func(conn net.Conn, r *http.Request, _ int) bool {
				id, old := r.Header.Get(idField), previous.Load().(string)
				if old != "" && gap > 0 {
					time.Sleep(gap)
					writeLines(conn, okResponse(old, old))
				}
				writeLines(conn, okResponse(id, id))
				if gap == 0 {
					writeLines(conn, okResponse(id, id))
				}
				previous.Store(id)
				return true
			})
			tr := newTransport()
			for n := range 20 {
				id := fmt.Sprintf("%c", 'a'+n)
				body, err := exchangeWith(t, tr, s, id, nil)
				require.NoError(t, err)
				require.Equal(t, id, body)
			}
		})
	}
}

// TestTruncatedResponseIsAnErrorInEachFraming: a response that ends early or is malformed must not be returned as a
// complete one.
func TestTruncatedResponseIsAnErrorInEachFraming(t *testing.T) {
	head := "HTTP/1.1 200 OK\n" + idField + ": a\n"
	chunked := head + "Transfer-Encoding: chunked\n\n"
	for name, text := range map[string]string{
		"in the head":                    head,
		"length, before the body":        head + "Content-Length: 4\n\n",
		"length, in the body":            head + "Content-Length: 4\n\nabc",
		"chunks, before the first":       chunked,
		"chunks, in the size":            chunked + "4",
		"chunks, in the data":            chunked + "4\nab",
		"chunks, behind the last byte":   chunked + "4\nabcd",
		"chunks, behind the last chunk":  chunked + "4\nabcd\n",
		"chunks, in the last line":       chunked + "4\nabcd\n0",
		"chunks, before the final line":  chunked + "4\nabcd\n0\n",
		"chunks, in the trailer":         chunked + "4\nabcd\n0\nX-Sum: 1\n",
		"chunks, size that is no number": chunked + "zz\nabcd\n0\n\n",
		"chunks, data beyond their size": chunked + "2\nabcd\n0\n\n",
		"length that is no number":       head + "Content-Length: x\n\nabcd",
		"two lengths that differ":        head + "Content-Length: 4\nContent-Length: 2\n\nabcd",
	} {
		t.Run(name, func(t *testing.T) {
			s := startTarget(t, func(conn net.Conn, _ *http.Request, _ int) bool {
				writeLines(conn, text)
				return false
			})
			_, err := exchangeWith(t, newTransport(), s, "a", nil)
			require.Error(t, err)
		})
	}
	t.Run("no length, connection reset", func(t *testing.T) {
		s := startTarget(t, func(conn net.Conn, _ *http.Request, _ int) bool {
			writeLines(conn, head+"\npart")
			time.Sleep(20 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
			return false
		})
		_, err := exchangeWith(t, newTransport(), s, "a", nil)
		require.Error(t, err)
	})
}
