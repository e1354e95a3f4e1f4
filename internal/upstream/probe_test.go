package upstream

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// probeListener accepts connections as a process does.
type probeListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func listenForProbes(t *testing.T, serve func(c net.Conn)) *probeListener {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &probeListener{Listener: inner}
	t.Cleanup(l.closeAll)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			l.mu.Lock()
			l.conns = append(l.conns, c)
			l.mu.Unlock()
			serve(c)
		}
	}()
	return l
}

// closeAll closes the listener and all connections.
func (l *probeListener) closeAll() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
}

func probe(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return Probe(ctx, (&net.Dialer{}).DialContext, address)
}

// TestProbeOfAProcessThatIsEnding guards against a crash that is taken for a single broken exchange: the connections of a
// process may break off before its listener is closed, and a probe that connects in between saw a live process.
func TestProbeOfAProcessThatIsEnding(t *testing.T) {
	l := listenForProbes(t, func(net.Conn) {})
	time.AfterFunc(10*time.Millisecond, l.closeAll)
	require.True(t, probe(l.Addr().String()))
}

// TestProbeOfALiveProcess guards against a live process that is taken for one that has ended, whatever it does with new
// connections, and against a probe that holds back the failed request for long.
func TestProbeOfALiveProcess(t *testing.T) {
	for name, serve := range map[string]func(c net.Conn){
		"waits for a request": func(net.Conn) {},
		"speaks first":        func(c net.Conn) { _, _ = c.Write([]byte("hello")) },
	} {
		l := listenForProbes(t, serve)
		began := time.Now()
		require.False(t, probe(l.Addr().String()), name)
		require.Less(t, time.Since(began), time.Second, name)
	}
	l := listenForProbes(t, func(c net.Conn) { _ = c.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	require.False(t, Probe(ctx, (&net.Dialer{}).DialContext, l.Addr().String()), "closes each connection at once")
}
