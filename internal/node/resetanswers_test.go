package node

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavaford/guavaford/internal/upstream"
)

// answerID is the identifier of each request of these tests, and answerIDField the field that carries it.
const (
	answerID      = "a"
	answerIDField = "X-Request"
)

// exchangeTimeout is the time that an exchange of these tests has. One that hangs takes all of it.
const exchangeTimeout = 20 * time.Second

// targetClient is a client that reads the answers of targets.
type targetClient interface {
	http.RoundTripper
	RoundTripIf(r *http.Request, mayBegin func() bool) (*http.Response, error)
}

// targetClients returns the clients with which a node reads the answers of targets, by name.
func targetClients(t *testing.T) map[string]targetClient {
	t.Helper()
	own := targetTransport().(targetClient)
	t.Cleanup(own.(interface{ CloseIdleConnections() }).CloseIdleConnections)
	return map[string]targetClient{
		"upstream": &upstream.Transport{Dial: targetDialer().DialContext, IDField: answerIDField},
		"net/http": own,
	}
}

// serveRaw calls answer with each connection after the head of each request on it, until answer returns false. It returns the address.
func serveRaw(t *testing.T, answer func(conn *net.TCPConn, reader *bufio.Reader) bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				for reader := bufio.NewReader(conn); ; {
					r, err := http.ReadRequest(reader)
					if err != nil || !answer(conn.(*net.TCPConn), reader) {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// unsizedAnswers are heads of answers that end with their connection.
var unsizedAnswers = map[string]string{
	"HTTP/1.1":                   "HTTP/1.1 200 OK\r\n" + answerIDField + ": " + answerID + "\r\n\r\n",
	"HTTP/1.1 Connection: close": "HTTP/1.1 200 OK\r\nConnection: close\r\n" + answerIDField + ": " + answerID + "\r\n\r\n",
	"HTTP/1.0":                   "HTTP/1.0 200 OK\r\n" + answerIDField + ": " + answerID + "\r\n\r\n",
}

// reset ends a connection with a reset.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// upload sends a request with a body of the given length, -1 for a body in chunks, and reads its answer with read.
func upload(ctx context.Context, client targetClient, address string, body io.Reader, length int64, read func(io.Reader) ([]byte, error)) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/x", io.NopCloser(body))
	if err != nil {
		return nil, err
	}
	r.ContentLength = length
	r.Header.Set(answerIDField, answerID)
	response, err := client.RoundTripIf(r, func() bool { return true })
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	return read(response.Body)
}

// uploadLength is more than the buffers of a connection hold.
const uploadLength = 4 << 20

// TestResetWhileTheRequestIsSentIsNoEnd guards against a part of an answer that is taken for all of it: the target resets the connection, the
// goroutine that writes the request takes the error, and the reader sees an end.
func TestResetWhileTheRequestIsSentIsNoEnd(t *testing.T) {
	runs := 100
	if testing.Short() {
		runs = 20
	}
	for kind, client := range targetClients(t) {
		for form, head := range unsizedAnswers {
			for _, length := range []int64{uploadLength, -1} {
				t.Run(fmt.Sprintf("%s/%s/%d", kind, form, length), func(t *testing.T) {
					var mu sync.Mutex
					connections := 0
					address := serveRaw(t, func(conn *net.TCPConn, _ *bufio.Reader) bool {
						_, _ = io.WriteString(conn, head+strings.Repeat("x", 500))
						mu.Lock()
						wait := time.Duration(connections%10) * time.Millisecond
						connections++
						mu.Unlock()
						time.Sleep(wait)
						reset(conn)
						return false
					})
					whole := 0
					for range runs {
						if _, err := upload(t.Context(), client, address, bytes.NewReader(make([]byte, uploadLength)), length, io.ReadAll); err == nil {
							whole++
						}
					}
					require.Zero(t, whole, "of %d cut answers are taken for whole ones", runs)
				})
			}
		}
	}
}

// pacedBody is a body of which a part becomes available each millisecond.
type pacedBody struct{ left, part int }

func (b *pacedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(time.Millisecond)
	n := min(b.left, b.part, len(p))
	b.left -= n
	return n, nil
}

// TestResetWhileASlowRequestIsSentIsNoEnd is TestResetWhileTheRequestIsSentIsNoEnd with a caller that sends its body slowly, so that the
// writer mostly waits for the caller.
func TestResetWhileASlowRequestIsSentIsNoEnd(t *testing.T) {
	runs := 60
	if testing.Short() {
		runs = 10
	}
	for kind, client := range targetClients(t) {
		for _, part := range []int{4 << 10, 16 << 10, 64 << 10} {
			for _, size := range []int{500, 100_000} {
				t.Run(fmt.Sprintf("%s/%d/%d", kind, part, size), func(t *testing.T) {
					t.Parallel()
					address := serveRaw(t, func(conn *net.TCPConn, _ *bufio.Reader) bool {
						_, _ = io.WriteString(conn, unsizedAnswers["HTTP/1.1"]+strings.Repeat("x", size))
						time.Sleep(3 * time.Millisecond)
						reset(conn)
						return false
					})
					whole := 0
					for range runs {
						if _, err := upload(t.Context(), client, address, &pacedBody{1 << 20, part}, 1<<20, io.ReadAll); err == nil {
							whole++
						}
					}
					require.Zero(t, whole, "of %d cut answers are taken for whole ones", runs)
				})
			}
		}
	}
}
