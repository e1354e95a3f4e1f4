package upstream

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestResponseCutAtAnyByteIsAnError guards against a response that a target stops writing, in its head or its body, and that looks
// complete: a whole head without its last fields, a shorter length than was meant, or an empty body.
func TestResponseCutAtAnyByteIsAnError(t *testing.T) {
	head := "HTTP/1.1 200 OK\n" + idField + ": a\nX-Digest: 17\n"
	for name, response := range map[string]string{
		"length":                 head + "Content-Length: 4000\n\n" + strings.Repeat("x", 4000),
		"length first":           "HTTP/1.1 200 OK\nContent-Length: 40\n" + idField + ": a\n\n" + strings.Repeat("x", 40),
		"chunks":                 head + "Transfer-Encoding: chunked\n\n1c\n" + strings.Repeat("x", 28) + "\n0\n\n",
		"interim response first": "HTTP/1.1 102 Processing\n\n" + head + "Content-Length: 4\n\nabcd",
		// The end of this body is that of the connection, so only its head is cut.
		"no length": head + "\n",
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.ReplaceAll(response, "\n", "\r\n")
			for length := 0; length < len(text); length++ {
				if length > 300 && length < len(text)-20 {
					continue
				}
				s := startTarget(t, func(conn net.Conn, _ *http.Request, _ int) bool {
					_, _ = conn.Write([]byte(text[:length]))
					return false
				})
				_, err := exchangeWith(t, newTransport(), s, "a", nil)
				require.Error(t, err, "cut after %d bytes: %q", length, text[max(length-30, 0):length])
			}
		})
	}
}

// TestCopyOfARefusalIsNeverTheNextResponse guards against a request that has run and looks as if it had not: on a kept connection the
// target writes an earlier refusal again, with or without its identifier, before or after the response to the next request.
func TestCopyOfARefusalIsNeverTheNextResponse(t *testing.T) {
	for _, status := range []string{"503 Service Unavailable", "429 Too Many Requests", "421 Misdirected Request", "400 Bad Request"} {
		for _, identified := range []bool{true, false} {
			for _, copies := range []int{1, 2, 3} {
				for _, length := range []string{"Content-Length: 4\n\nfull", "Content-Length: 0\n\n", "Transfer-Encoding: chunked\n\n4\nfull\n0\n\n"} {
					refuse := func(conn net.Conn) {
						text := "HTTP/1.1 " + status + "\nX-Not-Run: 1\n"
						if identified {
							text += idField + ": a\n"
						}
						writeLines(conn, text+length)
					}
					s := startTarget(t, func(conn net.Conn, r *http.Request, n int) bool {
						if n == 1 {
							refuse(conn)
							return true
						}
						for range copies {
							refuse(conn)
						}
						writeLines(conn, okResponse(r.Header.Get(idField), "ran"))
						return true
					})
					tr := newTransport()
					_, err := exchangeWith(t, tr, s, "a", nil)
					require.NoError(t, err)
					body, err := exchangeWith(t, tr, s, "b", nil)
					if err == nil {
						require.Equal(t, "ran", body, "%s, identified %v, %d copies", status, identified, copies)
					}
				}
			}
		}
	}
}
