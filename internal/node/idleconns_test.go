package node

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRequestOnAClosingConnectionEndsInTime: a target closes or resets its idle connections, shortly before or while the next request is sent on one.
// The request may fail, as it may have run, but must not hang.
func TestRequestOnAClosingConnectionEndsInTime(t *testing.T) {
	for kind, client := range targetClients(t) {
		for _, end := range []string{"close", "reset"} {
			for _, size := range []int{0, 100, 1 << 20} {
				t.Run(fmt.Sprintf("%s/%s/%d", kind, end, size), func(t *testing.T) {
					t.Parallel()
					var served atomic.Int32
					address := serveRaw(t, func(conn *net.TCPConn, reader *bufio.Reader) bool {
						_, _ = io.CopyN(io.Discard, reader, int64(size))
						_, _ = io.WriteString(conn, unsizedAnswers["HTTP/1.1"][:len(unsizedAnswers["HTTP/1.1"])-2]+"Content-Length: 3\r\n\r\nyes")
						time.Sleep(time.Duration(served.Add(1)%4) * 100 * time.Microsecond)
						if end == "reset" {
							reset(conn)
						}
						return false
					})
					for range 100 {
						began := time.Now()
						method := http.MethodPost
						if size == 0 {
							method = http.MethodGet
						}
						r, err := http.NewRequestWithContext(t.Context(), method, "http://"+address, bytes.NewReader(make([]byte, size)))
						require.NoError(t, err)
						r.Header.Set(answerIDField, answerID)
						response, err := client.RoundTripIf(r, func() bool { return true })
						if err == nil {
							_, _ = io.Copy(io.Discard, response.Body)
							_ = response.Body.Close()
						}
						require.Less(t, time.Since(began), exchangeTimeout/2)
					}
				})
			}
		}
	}
}
