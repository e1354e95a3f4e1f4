package upstream

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

// secondAnswer is a whole answer to the request a, as the body of another one.
var secondAnswer = "HTTP/1.1 200 OK\n" + idField + ": a\nContent-Length: 5\n\nfalse"

// statusForms are answers to the request a by the form of their status, and whether the exchange ends with the answer of okResponse, which
// follows them.
var statusForms = map[string]struct {
	answer string
	valid  bool
}{
	"000":                        {"HTTP/1.1 000 None\n\n", false},
	"042 with a length":          {"HTTP/1.1 042 None\nContent-Length: 0\n\n", false},
	"099":                        {"HTTP/1.1 099 None\n" + idField + ": a\n\n", false},
	"099 with a body":            {"HTTP/1.1 099 None\n" + idField + ": a\nContent-Length: 3\n\nyes", false},
	"000 with a second answer":   {"HTTP/1.1 000 None\n" + idField + ": a\nContent-Length: 61\n\n" + secondAnswer, false},
	"099 with chunks":            {"HTTP/1.1 099 None\nTransfer-Encoding: chunked\n\n3\nyes\n0\n\n", false},
	"100":                        {"HTTP/1.1 100 Continue\n\n", true},
	"100 as often as allowed":    {strings.Repeat("HTTP/1.1 100 Continue\n\n", maxInterim), true},
	"100 once too often":         {strings.Repeat("HTTP/1.1 100 Continue\n\n", maxInterim+1), false},
	"101":                        {"HTTP/1.1 101 Switching Protocols\nConnection: upgrade\nUpgrade: x\n\n", false},
	"101 with the id":            {"HTTP/1.1 101 Switching Protocols\n" + idField + ": a\n\n", false},
	"101 with a second answer":   {"HTTP/1.1 101 Switching Protocols\n" + idField + ": a\nContent-Length: 61\n\n" + secondAnswer, false},
	"102":                        {"HTTP/1.1 102 Processing\n\n", true},
	"103":                        {"HTTP/1.1 103 Early Hints\nLink: </x>\nContent-Length: 0\n\n", true},
	"103 with a body":            {"HTTP/1.1 103 Early Hints\nContent-Length: 3\n\nyes", false},
	"103 with a second answer":   {"HTTP/1.1 103 Early Hints\nContent-Length: 61\n\n" + secondAnswer, false},
	"103 with chunks":            {"HTTP/1.1 103 Early Hints\nTransfer-Encoding: chunked\n\n0\n\n", false},
	"199":                        {"HTTP/1.1 199 Miscellaneous\n\n", true},
	"600":                        {"HTTP/1.1 600 None\n" + idField + ": a\nContent-Length: 0\n\n", false},
	"600 with a second answer":   {"HTTP/1.1 600 None\n" + idField + ": a\nContent-Length: 61\n\n" + secondAnswer, false},
	"999":                        {"HTTP/1.1 999 None\n" + idField + ": a\nContent-Length: 3\n\nyes", false},
	"999 after an interim one":   {"HTTP/1.1 100 Continue\n\nHTTP/1.1 999 None\n" + idField + ": a\n\n", false},
	"999 of another request":     {"HTTP/1.1 999 None\n" + idField + ": b\nContent-Length: 0\n\n", false},
	"two digits":                 {"HTTP/1.1 20 OK\n" + idField + ": a\nContent-Length: 0\n\n", false},
	"two digits and a sign":      {"HTTP/1.1 +20 OK\n" + idField + ": a\nContent-Length: 0\n\n", false},
	"four digits":                {"HTTP/1.1 2000 OK\n" + idField + ": a\nContent-Length: 0\n\n", false},
	"text":                       {"HTTP/1.1 yes OK\n" + idField + ": a\nContent-Length: 0\n\n", false},
	"digits and text":            {"HTTP/1.1 20x OK\n" + idField + ": a\nContent-Length: 0\n\n", false},
	"empty":                      {"HTTP/1.1\n" + idField + ": a\nContent-Length: 0\n\n", false},
	"empty with spaces":          {"HTTP/1.1   \n" + idField + ": a\nContent-Length: 0\n\n", false},
	"endless":                    {"HTTP/1.1 " + strings.Repeat("2", 2*readBuffer), false},
	"no reason":                  {"HTTP/1.1 103\n\n", true},
	"interim with a long reason": {"HTTP/1.1 103 " + strings.Repeat("x", 2*readBuffer) + "\n\n", true},
}

// TestInvalidStatusEndsTheExchange guards against an answer whose status is none: its body was read as the next answer, so that one which
// held an answer of its own was accepted, and without one the request waited for its time limit. 600, 999 and 101 were passed on.
func TestInvalidStatusEndsTheExchange(t *testing.T) {
	for name, form := range statusForms {
		for _, used := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				hold := make(chan struct{})
				defer close(hold)
				s := startTarget(t, func(conn net.Conn, r *http.Request, n int) bool {
					switch id := r.Header.Get(idField); {
					case id != "a":
						writeLines(conn, okResponse(id, "other"))
					case form.valid:
						writeLines(conn, form.answer+okResponse("a", "own"))
					default:
						// Nothing follows, so that an exchange which goes on waits.
						writeLines(conn, form.answer)
						<-hold
					}
					return true
				})
				tr := newTransport()
				if used {
					_, err := exchangeWith(t, tr, s, "first", nil)
					require.NoError(t, err)
				}
				began := time.Now()
				body, err := exchangeWith(t, tr, s, "a", nil)
				if form.valid {
					require.NoError(t, err)
					require.Equal(t, "own", body)
					return
				}
				require.Less(t, time.Since(began), time.Second, "the exchange ends at once")
				var invalid *InvalidAnswerError
				require.ErrorAs(t, err, &invalid)
				require.Less(t, len(invalid.Reason), 100)
				require.EqualValues(t, 1, s.conns.Load())
				body, err = exchangeWith(t, tr, s, "b", nil)
				require.NoError(t, err)
				require.Equal(t, "other", body)
				require.EqualValues(t, 2, s.conns.Load(), "the connection is not used again")
			})
		}
	}
}

// TestInvalidStatusInPartsEndsTheExchange guards against a status line that is judged by its first bytes, or waited for once it is there.
func TestInvalidStatusInPartsEndsTheExchange(t *testing.T) {
	for answer, valid := range map[string]bool{"HTTP/1.1 099\r\n": false, "HTTP/1.1 2\r\n": false, "HTTP/1.1 200 OK\r\n" + idField + ": a\r\nContent-Length: 0\r\n\r\n": true} {
		s := startTarget(t, func(conn net.Conn, _ *http.Request, _ int) bool {
			for i := range len(answer) {
				_, _ = io.WriteString(conn, answer[i:i+1])
				time.Sleep(time.Millisecond)
			}
			<-t.Context().Done()
			return false
		})
		began := time.Now()
		_, err := exchangeWith(t, newTransport(), s, "a", nil)
		require.Equal(t, valid, err == nil, "%q: %v", answer, err)
		require.Less(t, time.Since(began), time.Second)
	}
}

// TestInvalidStatusClosesTheConnection guards against connections that stay open at a target whose answer was not accepted.
func TestInvalidStatusClosesTheConnection(t *testing.T) {
	closed := make(chan error, 1)
	s := startTarget(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		writeLines(conn, "HTTP/1.1 999 None\n"+idField+": a\nContent-Length: 0\n\n")
		_, err := conn.Read(make([]byte, 1))
		closed <- err
		return false
	})
	_, err := exchangeWith(t, newTransport(), s, "a", nil)
	require.Error(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	select {
	case err = <-closed:
		require.Error(t, err)
	case <-ctx.Done():
		require.Fail(t, "the connection is open")
	}
}
