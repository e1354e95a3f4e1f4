package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavaford/guavaford/internal/upstream"
)

// Parts of heads, with \n as line end.
const (
	okStatus   = "HTTP/1.1 200 OK\n"
	idLine     = answerIDField + ": " + answerID + "\n"
	threeBytes = "Content-Length: 3\n\nyes"
)

// brokenHeads are answers in whose heads the name of a field is none.
var brokenHeads = map[string]string{
	"blank in a name":               okStatus + idLine + "X Trouble: 1\n" + threeBytes,
	"blank before the colon":        okStatus + idLine + "X-Trouble : 1\n" + threeBytes,
	"tab before the colon":          okStatus + idLine + "X-Trouble\t: 1\n" + threeBytes,
	"length":                        okStatus + idLine + "Content-Length : 3\n\nyes",
	"length beside another":         okStatus + idLine + "Content-Length : 2\n" + threeBytes,
	"encoding":                      okStatus + idLine + "Transfer-Encoding : chunked\n\n3\nyes\n0\n\n",
	"encoding beside a length":      okStatus + idLine + "Transfer-Encoding : chunked\n" + threeBytes,
	"connection":                    okStatus + idLine + "Connection : close\n" + threeBytes,
	"folded line":                   okStatus + idLine + " X-Trouble: 1\n" + threeBytes,
	"folded line with a tab":        okStatus + idLine + "\tX-Trouble: 1\n" + threeBytes,
	"folded line without a colon":   okStatus + idLine + "X-More: 1,\n 2\n" + threeBytes,
	"folded line of blanks":         okStatus + idLine + "  \n" + threeBytes,
	"folded first line":             okStatus + " X-Trouble: 1\n" + idLine + threeBytes,
	"folded line after the name":    okStatus + idLine + "X-More:\n 1\n" + threeBytes,
	"last line folded":              okStatus + idLine + "Content-Length: 3\n X-Trouble: 1\n\nyes",
	"no name":                       okStatus + idLine + ": 1\n" + threeBytes,
	"blank as a name":               okStatus + idLine + " : 1\n" + threeBytes,
	"no colon":                      okStatus + idLine + "X-Trouble\n" + threeBytes,
	"interim response":              "HTTP/1.1 103 Early Hints\nX Trouble: 1\n\n" + okStatus + idLine + threeBytes,
	"folded line of an interim one": "HTTP/1.1 103 Early Hints\nLink: </x>\n X-Trouble: 1\n\n" + okStatus + idLine + threeBytes,
	"after an interim response":     "HTTP/1.1  103  Early Hints\n\nHTTP/1.1 102\nLink: </x>\n\n" + okStatus + idLine + "X Trouble: 1\n" + threeBytes,
	"failure":                       "HTTP/1.1 503 Service Unavailable\n" + idLine + "Retry-After : 1\n" + threeBytes,
	"behind a long field":           okStatus + idLine + "X-Long: " + strings.Repeat("x", 10_000) + "\nX Trouble: 1\n" + threeBytes,
	"behind many fields":            okStatus + idLine + strings.Repeat("X-Many: "+strings.Repeat("x", 90)+"\n", 300) + " folded\n" + threeBytes,
}

// soundHeads are answers with the body "yes" whose heads resemble broken ones.
var soundHeads = map[string]string{
	"blanks in values":          okStatus + idLine + "X-More:  1 2 : 3 \t\nX-None:\nX-Blank: \n" + threeBytes,
	"all token characters":      okStatus + idLine + "!#$%&'*+-.^_`|~09azAZ: 1\n" + threeBytes,
	"text outside of ASCII":     okStatus + idLine + "X-More: \xe4\xff\n" + threeBytes,
	"no reason":                 "HTTP/1.1 200\n" + idLine + threeBytes,
	"colons in the reason":      "HTTP/1.1 200 a : b\n" + idLine + threeBytes,
	"interim responses":         "HTTP/1.1 100 Continue\n\nHTTP/1.1 103 Early Hints\nLink: </x>\n\n" + okStatus + idLine + threeBytes,
	"chunks":                    okStatus + idLine + "Transfer-Encoding: chunked\n\n1;x=\" y : z\"\ny\n2\nes\n0\n\n",
	"trailer":                   okStatus + idLine + "Transfer-Encoding: chunked\nTrailer: X-Sum\n\n3\nyes\n0\nX-Sum: 1\n\n",
	"long field":                okStatus + idLine + "X-Long: " + strings.Repeat("x :", 5_000) + "\n" + threeBytes,
	"many fields":               okStatus + idLine + strings.Repeat("X-Many: "+strings.Repeat("x", 90)+"\n", 300) + threeBytes,
	"lines without a CR":        strings.ReplaceAll(okStatus+idLine, "\n", "\x00") + threeBytes,
	"blanks around the status":  "HTTP/1.1   200   OK \n" + idLine + threeBytes,
	"length with blanks":        okStatus + idLine + "Content-Length:   3  \n\nyes",
	"names in lower case":       okStatus + strings.ToLower(idLine) + "content-length: 3\n\nyes",
	"connection ends the body":  okStatus + idLine + "Connection: close\n\nyes",
	"HTTP/1.0":                  "HTTP/1.0 200 OK\n" + idLine + "\nyes",
	"failure without its fault": "HTTP/1.1 503 Service Unavailable\n" + idLine + "Retry-After: 1\n" + threeBytes,
}

// wire returns an answer as it is sent.
func wire(answer string) string {
	answer = strings.ReplaceAll(answer, "\n", "\r\n")
	return strings.ReplaceAll(answer, "\x00", "\n")
}

// deliveries are ways in which a target sends its answer.
var deliveries = map[string]func(conn net.Conn, answer string){
	"at once": func(conn net.Conn, answer string) { _, _ = io.WriteString(conn, answer) },
	"in lines": func(conn net.Conn, answer string) {
		for line := range strings.Lines(answer) {
			_, _ = io.WriteString(conn, line)
			time.Sleep(200 * time.Microsecond)
		}
	},
	"in bytes": func(conn net.Conn, answer string) {
		for i := range len(answer) {
			_, _ = io.WriteString(conn, answer[i:i+1])
			if len(answer) < 300 {
				time.Sleep(50 * time.Microsecond)
			}
		}
	},
}

// answeringTarget answers requests for /trouble with an answer of the test, and all others with "yes". It counts its connections.
type answeringTarget struct {
	address string
	conns   atomic.Int32
	arrived atomic.Int32
}

func newAnsweringTarget(t *testing.T, trouble func(conn net.Conn)) *answeringTarget {
	s := &answeringTarget{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s.address = l.Addr().String()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(conn, trouble)
		}
	}()
	return s
}

func (s *answeringTarget) serve(conn net.Conn, trouble func(conn net.Conn)) {
	defer conn.Close()
	for reader := bufio.NewReader(conn); ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.URL.Path != "/trouble" {
			_, _ = io.WriteString(conn, wire(okStatus+idLine+threeBytes))
			continue
		}
		s.arrived.Add(1)
		trouble(conn)
	}
}

// ask sends a request to a target and reads its answer.
func (s *answeringTarget) ask(ctx context.Context, client targetClient, path string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.address+path, nil)
	if err != nil {
		return "", err
	}
	r.Header.Set(answerIDField, answerID)
	response, err := client.RoundTripIf(r, func() bool { return true })
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// forEachAnswer runs a test of an answer with each client and delivery, on a new connection and on one that was used before.
func forEachAnswer(t *testing.T, answers map[string]string, test func(t *testing.T, client targetClient, s *answeringTarget)) {
	for kind, client := range targetClients(t) {
		for name, answer := range answers {
			for how, deliver := range deliveries {
				for _, used := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s/%s/%s/used=%v", kind, name, how, used), func(t *testing.T) {
						t.Parallel()
						s := newAnsweringTarget(t, func(conn net.Conn) {
							deliver(conn, wire(answer))
							if !strings.Contains(answer, "Content-Length: ") && !strings.Contains(answer, "content-length") {
								_ = conn.(*net.TCPConn).CloseWrite()
							}
						})
						if used {
							_, err := s.ask(t.Context(), client, "/sound")
							require.NoError(t, err)
						}
						test(t, client, s)
					})
				}
			}
		}
	}
}

// requireRefused sends a request whose answer is broken.
func requireRefused(t *testing.T, client targetClient, s *answeringTarget) {
	t.Helper()
	began := time.Now()
	body, err := s.ask(t.Context(), client, "/trouble")
	require.Error(t, err, "the body %q is passed on", body)
	var invalid *upstream.InvalidAnswerError
	require.ErrorAs(t, err, &invalid)
	require.Less(t, time.Since(began), exchangeTimeout/2, "the exchange ends before its deadline")
	require.EqualValues(t, 1, s.arrived.Load(), "the request is sent once")
	conns := s.conns.Load()
	body, err = s.ask(t.Context(), client, "/sound")
	require.NoError(t, err)
	require.Equal(t, "yes", body)
	require.Equal(t, conns+1, s.conns.Load(), "the connection is not used again")
}

// TestBrokenHeadEndsTheExchange guards against an answer that is passed on although the name of a field in its head is none: with that line, with
// a body that ends elsewhere, or with the line in the value of another field.
func TestBrokenHeadEndsTheExchange(t *testing.T) {
	forEachAnswer(t, brokenHeads, requireRefused)
}

// TestSoundHeadIsAccepted: what may stand in a head is not refused, however it arrives.
func TestSoundHeadIsAccepted(t *testing.T) {
	forEachAnswer(t, soundHeads, func(t *testing.T, client targetClient, s *answeringTarget) {
		body, err := s.ask(t.Context(), client, "/trouble")
		require.NoError(t, err)
		require.Equal(t, "yes", body)
	})
}

// TestByteThatNoNameMayHoldEndsTheExchange tries each byte in names of fields, and as a line of its own.
func TestByteThatNoNameMayHoldEndsTheExchange(t *testing.T) {
	const token = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
	for kind, client := range targetClients(t) {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			var line atomic.Value
			s := newAnsweringTarget(t, func(conn net.Conn) {
				_, _ = io.WriteString(conn, wire(okStatus+idLine)+line.Load().(string)+"\r\n"+wire(threeBytes))
			})
			for b := range 256 {
				if b == '\n' {
					// It ends the line, so that the rest is another head.
					continue
				}
				for _, form := range []string{"%sX-Trouble: 1", "X%sTrouble: 1", "X-Trouble%s: 1", "%s: 1", "%s"} {
					text := fmt.Sprintf(form, string([]byte{byte(b)}))
					line.Store(text)
					_, err := s.ask(t.Context(), client, "/trouble")
					// A colon ends a name, so that those behind one are valid.
					valid := strings.IndexByte(token, byte(b)) >= 0 && form != "%s" || b == ':' && strings.HasPrefix(form, "X")
					require.Equal(t, valid, err == nil, "%q: %v", text, err)
				}
			}
		})
	}
}

// TestBrokenTrailerIsNoEnd guards against a body that is complete although the name of a field behind it is none.
func TestBrokenTrailerIsNoEnd(t *testing.T) {
	head := okStatus + idLine + "Transfer-Encoding: chunked\nTrailer: X-Sum\n\n3\nyes\n0\n"
	forEachAnswer(t, map[string]string{
		"blank in a name":            head + "X Sum: 1\n\n",
		"blank before the colon":     head + "X-Sum : 1\n\n",
		"behind another":             head + "X-Sum: 1\nX Sum: 1\n\n",
		"blank in an announced name": strings.Replace(head, "X-Sum", "X Sum", 1) + "X Sum: 1\n\n",
	}, requireRefused)
}
