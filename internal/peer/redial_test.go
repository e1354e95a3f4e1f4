package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// unreachableHost answers no connection attempt until it returns; attempts started before then are lost.
type unreachableHost struct {
	returns time.Time
	dials   atomic.Int64
	mu      sync.Mutex
	open    []net.Conn
}

func (h *unreachableHost) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	h.dials.Add(1)
	if time.Now().Before(h.returns) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open = append(h.open, far)
	return near, nil
}

// TestConnectsSoonAfterHostReturns guards against a connection that opens late after a host has its power back, because
// the first SYN packet was lost.
func TestConnectsSoonAfterHostReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &unreachableHost{returns: time.Now().Add(500 * time.Millisecond)}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		conn, err := redial(ctx, h.dial, "tcp", "host")
		require.NoError(t, err)
		require.NoError(t, conn.Close())
		require.Less(t, time.Since(h.returns), 2*redialInterval)
	})
}

// TestDialOfUnreachableHostEndsAtDeadline guards against attempts beyond the caller's deadline, and against more than
// one attempt per interval.
func TestDialOfUnreachableHostEndsAtDeadline(t *testing.T) {
	h := &unreachableHost{returns: time.Now().Add(time.Hour)}
	ctx, cancel := context.WithTimeout(context.Background(), 4*redialInterval)
	defer cancel()
	_, err := redial(ctx, h.dial, "tcp", "host")
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.LessOrEqual(t, h.dials.Load(), int64(5), "more than one attempt per interval")
}

// TestRefusedConnectionEndsAtOnce guards against further attempts after a host has refused the connection.
func TestRefusedConnectionEndsAtOnce(t *testing.T) {
	refused := errors.New("connection refused")
	var dials atomic.Int64
	_, err := redial(context.Background(), func(context.Context, string, string) (net.Conn, error) {
		dials.Add(1)
		return nil, refused
	}, "tcp", "host")
	require.ErrorIs(t, err, refused)
	require.EqualValues(t, 1, dials.Load())
}

// TestLateConnectionIsClosed guards against the leak of a connection that a second attempt opens after the first
// attempt has succeeded.
func TestLateConnectionIsClosed(t *testing.T) {
	near, far := net.Pipe()
	var dials atomic.Int64
	release := make(chan struct{})
	conn, err := redial(context.Background(), func(context.Context, string, string) (net.Conn, error) {
		if dials.Add(1) == 1 {
			time.Sleep(2 * redialInterval)
			first, _ := net.Pipe()
			return first, nil
		}
		<-release
		return near, nil
	}, "tcp", "host")
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	require.NoError(t, far.SetReadDeadline(time.Now().Add(time.Second)))
	close(release)
	_, err = far.Read(make([]byte, 1))
	require.ErrorContains(t, err, "EOF")
}
