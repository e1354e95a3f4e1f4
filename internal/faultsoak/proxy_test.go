package faultsoak

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newEchoProxy returns a proxy in front of an echo server, and a connection through it.
func newEchoProxy(t *testing.T) (*Proxy, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); _ = c.Close() }()
		}
	}()
	p, err := NewProxy(l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(p.Close)
	c, err := net.Dial("tcp", p.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return p, c
}

// exchange sends a byte and waits until the echo server has sent it back.
func exchange(c net.Conn, wait time.Duration) error {
	if _, err := c.Write([]byte{1}); err != nil {
		return err
	}
	if err := c.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return err
	}
	_, err := c.Read(make([]byte, 1))
	return err
}

const (
	echoTimeout   = 2 * time.Second
	holdCheckTime = 100 * time.Millisecond
)

// TestHeldBytesPassOnceTheFaultEnds guards against faults that lose bytes instead of holding them.
func TestHeldBytesPassOnceTheFaultEnds(t *testing.T) {
	for _, mode := range []Mode{Silent, OneWay} {
		p, c := newEchoProxy(t)
		require.NoError(t, exchange(c, echoTimeout))
		p.Set(mode, 0)
		require.ErrorContains(t, exchange(c, holdCheckTime), "timeout", string(mode))
		p.Set(Pass, 0)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(echoTimeout)))
		_, err := c.Read(make([]byte, 1))
		require.NoError(t, err, "the held byte was lost")
	}
}

// TestDelayedBytesArriveLate guards against a delay that applies to one direction only, or to none.
func TestDelayedBytesArriveLate(t *testing.T) {
	p, c := newEchoProxy(t)
	p.Set(Delay, 50*time.Millisecond)
	start := time.Now()
	require.NoError(t, exchange(c, echoTimeout))
	require.GreaterOrEqual(t, time.Since(start), 100*time.Millisecond, "the delay applies once in each direction")
}

// TestResetEndsOpenConnectionsOnly guards against a reset that leaves connections open or makes new ones fail.
func TestResetEndsOpenConnectionsOnly(t *testing.T) {
	p, c := newEchoProxy(t)
	require.NoError(t, exchange(c, echoTimeout))
	p.Reset()
	require.Error(t, exchange(c, echoTimeout))
	again, err := net.Dial("tcp", p.Address())
	require.NoError(t, err)
	defer again.Close()
	require.NoError(t, exchange(again, echoTimeout))
}
