package node

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// properEnds are what a target does after an early answer without a length: it ends the answer, and then gets rid of the rest of the request.
var properEnds = map[string]func(*net.TCPConn, *bufio.Reader){
	"reads on": func(conn *net.TCPConn, reader *bufio.Reader) {
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, reader)
	},
	"closes later": func(conn *net.TCPConn, _ *bufio.Reader) {
		_ = conn.CloseWrite()
		awaitDelivery(conn)
		time.Sleep(5 * time.Millisecond)
	},
	"resets later": func(conn *net.TCPConn, _ *bufio.Reader) {
		_ = conn.CloseWrite()
		awaitDelivery(conn)
		time.Sleep(5 * time.Millisecond)
		reset(conn)
	},
	"reads nothing": func(conn *net.TCPConn, _ *bufio.Reader) {
		_ = conn.CloseWrite()
		time.Sleep(100 * time.Millisecond)
	},
}

// awaitDelivery waits until the other side has acknowledged all that was sent. A connection that is closed with unread bytes drops the rest, and
// a busy system may have to send it again.
func awaitDelivery(conn *net.TCPConn) {
	raw, err := conn.SyscallConn()
	for left := 1; err == nil && left > 0; time.Sleep(100 * time.Microsecond) {
		err = raw.Control(func(fd uintptr) { left, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	}
}

// readWithPause reads a body with a pause after its first part.
func readWithPause(body io.Reader) ([]byte, error) {
	start := make([]byte, 100)
	if _, err := io.ReadFull(body, start); err != nil {
		return nil, err
	}
	time.Sleep(20 * time.Millisecond)
	rest, err := io.ReadAll(body)
	return append(start, rest...), err
}

// earlyAnswer is an answer that a target sends before it has the whole request.
type earlyAnswer struct {
	head, body, end string
	// length is that of the body without its framing.
	length int
}

// earlyAnswers returns sound answers by name. Those with an end of their own may be followed by a reset.
func earlyAnswers() map[string]earlyAnswer {
	answers := make(map[string]earlyAnswer)
	// Both sizes fit into the buffers of the receiver.
	for _, size := range []int{500, 50_000} {
		body := strings.Repeat("x", size)
		for form, head := range unsizedAnswers {
			for end := range properEnds {
				answers[fmt.Sprintf("%s/%s/%d", form, end, size)] = earlyAnswer{head, body, end, size}
			}
		}
		// Without the announcement the next request may be sent on the connection just before it closes.
		head := strings.TrimSuffix(unsizedAnswers["HTTP/1.1 Connection: close"], "\r\n")
		for _, end := range []string{"closes later", "closes once it has arrived"} {
			answers[fmt.Sprintf("length/%s/%d", end, size)] = earlyAnswer{fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, size), body, end, size}
			answers[fmt.Sprintf("chunks/%s/%d", end, size)] = earlyAnswer{head + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, body), end, size}
		}
	}
	return answers
}

// TestEarlyAnswerArrivesWhole: a target may answer before it has the whole request, end its answer and then close or reset the connection.
// What has arrived of it is not lost with the rest of the request.
func TestEarlyAnswerArrivesWhole(t *testing.T) {
	runs := 10
	if testing.Short() {
		runs = 3
	}
	for kind, client := range targetClients(t) {
		for name, early := range earlyAnswers() {
			for _, length := range []int64{uploadLength, -1} {
				t.Run(fmt.Sprintf("%s/%s/%d", kind, name, length), func(t *testing.T) {
					t.Parallel()
					address := serveRaw(t, func(conn *net.TCPConn, reader *bufio.Reader) bool {
						_, _ = io.WriteString(conn, early.head+early.body)
						awaitDelivery(conn)
						if act := properEnds[early.end]; act != nil {
							act(conn, reader)
						}
						return false
					})
					for range runs {
						for _, read := range []func(io.Reader) ([]byte, error){io.ReadAll, readWithPause} {
							answer, err := upload(t.Context(), client, address, bytes.NewReader(make([]byte, uploadLength)), length, read)
							require.NoError(t, err)
							require.Len(t, answer, early.length)
						}
					}
				})
			}
		}
	}
}

// TestAnswerEndsWhileTheCallerSendsNothing: neither the end of an answer nor a reset waits for a caller that holds back its body.
func TestAnswerEndsWhileTheCallerSendsNothing(t *testing.T) {
	for kind, client := range targetClients(t) {
		for end, proper := range map[string]bool{"reads on": true, "closes later": true, "resets later": true, "resets": false} {
			t.Run(kind+"/"+end, func(t *testing.T) {
				address := serveRaw(t, func(conn *net.TCPConn, reader *bufio.Reader) bool {
					_, _ = io.WriteString(conn, unsizedAnswers["HTTP/1.1"]+strings.Repeat("x", 500))
					if proper {
						properEnds[end](conn, reader)
						return false
					}
					time.Sleep(5 * time.Millisecond)
					reset(conn)
					return false
				})
				body, caller := io.Pipe()
				defer caller.Close()
				go func() { _, _ = caller.Write(make([]byte, 64<<10)) }()
				began := time.Now()
				answer, err := upload(t.Context(), client, address, body, uploadLength, io.ReadAll)
				require.Less(t, time.Since(began), exchangeTimeout/2)
				if !proper {
					require.Error(t, err)
					return
				}
				require.NoError(t, err)
				require.Len(t, answer, 500)
			})
		}
	}
}
