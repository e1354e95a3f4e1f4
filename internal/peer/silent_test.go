package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// freezingProxy forwards TCP connections. freeze makes the open connections stop carrying
// bytes without closing them; connections accepted later work.
type freezingProxy struct {
	listener net.Listener
	backend  string

	mu     sync.Mutex
	frozen chan struct{}
	conns  []net.Conn
}

func startFreezingProxy(t *testing.T, backend string) *freezingProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &freezingProxy{listener: listener, backend: backend, frozen: make(chan struct{})}
	var running sync.WaitGroup
	running.Go(func() {
		for {
			front, err := listener.Accept()
			if err != nil {
				return
			}
			back, err := net.Dial("tcp", backend)
			if err != nil {
				_ = front.Close()
				continue
			}
			f.mu.Lock()
			f.conns = append(f.conns, front, back)
			frozen := f.frozen
			f.mu.Unlock()
			running.Go(func() { forward(front, back, frozen) })
			running.Go(func() { forward(back, front, frozen) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		f.mu.Lock()
		for _, c := range f.conns {
			_ = c.Close()
		}
		f.mu.Unlock()
		running.Wait()
	})
	return f
}

// forward copies until the connection is frozen; then it stops reading and leaves both ends open.
func forward(dst, src net.Conn, frozen chan struct{}) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		select {
		case <-frozen:
			return
		default:
		}
		if err != nil {
			_ = dst.Close()
			return
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (f *freezingProxy) freeze() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.frozen)
	f.frozen = make(chan struct{})
}

// TestSilentTCPConnection guards against a call that hangs when its TCP connection under
// TLS and yamux freezes: a small call, and one that fills every buffer. The bound includes
// a second for scheduling delays of the machine. The graceful shutdown at the end
// must close the frozen connections, on which the server never received an exchange.
func TestSilentTCPConnection(t *testing.T) {
	_, _, address := startLoopback(t, echo)
	f := startFreezingProxy(t, address)
	transport, err := NewYamux(testSecret)
	require.NoError(t, err)
	pool := NewPool(Identity{Node: "a", Incarnation: 1}, transport, PoolOptions{Seed: 1})
	t.Cleanup(pool.Close)
	number := uint64(0)
	roundTrip := func(size int) error {
		number++
		answer, err := pool.Call(context.Background(), f.listener.Addr().String(), newCall(number, size), lend(bytes.NewReader(make([]byte, size))))
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
		return err
	}
	for _, size := range []int{10, 16 << 20} {
		require.NoError(t, roundTrip(10))
		f.freeze()
		begun := time.Now()
		err := roundTrip(size)
		var callErr *CallError
		require.ErrorAs(t, err, &callErr)
		require.True(t, callErr.Silent, "%v", err)
		require.Less(t, time.Since(begun), 2*time.Second)
		require.NoError(t, roundTrip(size))
	}
}
