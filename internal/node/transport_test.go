package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavaford/guavaford/internal/upstream"
)

// TestTransportAsksBeforeItSends guards against a request that reaches a target which has begun to drain while the connection opened: on a
// new connection and on one that was used before.
func TestTransportAsksBeforeItSends(t *testing.T) {
	var arrived atomic.Int32
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		arrived.Add(1)
		_, _ = io.WriteString(w, "yes")
	}))
	defer target.Close()
	transport := targetTransport().(probingTransport)
	defer transport.CloseIdleConnections()
	exchange := func(allowed bool, body io.Reader) error {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, target.URL, body)
		require.NoError(t, err)
		response, err := transport.RoundTripIf(r, func() bool { return allowed })
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		return response.Body.Close()
	}
	for n := range 2 {
		// http.Transport may send a request without a body again by itself.
		require.Error(t, exchange(false, http.NoBody))
		require.Error(t, exchange(false, strings.NewReader("body")))
		time.Sleep(20 * time.Millisecond)
		require.EqualValues(t, n, arrived.Load())
		require.NoError(t, exchange(true, http.NoBody))
	}
}

// TestTransportRejectsInvalidStatus guards against a status that is none and reaches the caller, and against the connection that it came on
// being used again: http.Transport keeps those of 600 and 999.
func TestTransportRejectsInvalidStatus(t *testing.T) {
	for _, status := range []string{"042", "101", "600", "999"} {
		var conns atomic.Int32
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				conns.Add(1)
				go func() {
					defer conn.Close()
					for reader := bufio.NewReader(conn); ; {
						if _, err := http.ReadRequest(reader); err != nil {
							return
						}
						_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" None\r\nContent-Length: 0\r\n\r\n")
					}
				}()
			}
		}()
		transport := targetTransport().(probingTransport)
		for n := range 3 {
			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+l.Addr().String(), nil)
			require.NoError(t, err)
			_, err = transport.RoundTripIf(r, func() bool { return true })
			var invalid *upstream.InvalidAnswerError
			require.ErrorAs(t, err, &invalid, status)
			require.Eventually(t, func() bool { return conns.Load() == int32(n+1) }, time.Second, time.Millisecond)
			time.Sleep(5 * time.Millisecond)
		}
		transport.CloseIdleConnections()
		require.NoError(t, l.Close())
	}
}
