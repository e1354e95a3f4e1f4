package node

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
