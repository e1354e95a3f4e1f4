package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestGuardKeepsARequestFromBeingSent guards against a request that is sent although the condition for it has ended while the connection was
// opened.
func TestGuardKeepsARequestFromBeingSent(t *testing.T) {
	var ran atomic.Int64
	target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran.Add(1) }))
	defer target.Close()
	dials := 0
	transport := &Transport{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		dials++
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}}
	refused := errors.New("no longer")
	for _, guardErr := range []error{refused, nil} {
		request, err := http.NewRequest(http.MethodGet, target.URL, nil)
		require.NoError(t, err)
		called := 0
		response, err := transport.RoundTrip(request.WithContext(WithGuard(t.Context(), func() error {
			called++
			require.Equal(t, 1, dials, "the guard is asked when there is a connection, which is kept")
			return guardErr
		})))
		require.Equal(t, 1, called)
		require.ErrorIs(t, err, guardErr)
		if err == nil {
			_ = response.Body.Close()
		}
	}
	require.EqualValues(t, 1, ran.Load())
}
