package upstream

import (
	"context"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// probeTimeout bounds a probe in these tests.
const probeTimeout = 100 * time.Millisecond

// probedProcess is a process that accepts connections until it ends, in virtual time.
type probedProcess struct {
	ended chan struct{}
	// serve, if set, handles an accepted connection.
	serve func(c net.Conn)
}

// dial opens a connection, or refuses it once the process has ended.
func (p *probedProcess) dial(context.Context, string, string) (net.Conn, error) {
	select {
	case <-p.ended:
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	default:
	}
	near, far := net.Pipe()
	go func() {
		if p.serve != nil {
			p.serve(far)
		}
		<-p.ended
		_ = far.Close()
	}()
	return near, nil
}

// probe probes a process that ends after some time, and returns the result and the time that it took.
func probe(t *testing.T, after time.Duration, serve func(c net.Conn)) (refused bool, took time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		p := &probedProcess{ended: make(chan struct{}), serve: serve}
		time.AfterFunc(after, func() { close(p.ended) })
		ctx, cancel := context.WithTimeout(t.Context(), probeTimeout)
		defer cancel()
		began := time.Now()
		refused = Probe(ctx, p.dial, "target")
		took = time.Since(began)
		time.Sleep(after)
	})
	return refused, took
}

// TestProbeOfAProcessThatIsEnding guards against a crash that is taken for a single broken exchange: the connections of a
// process may break off before its listener is closed, and a probe that connects in between saw a live process.
func TestProbeOfAProcessThatIsEnding(t *testing.T) {
	for _, after := range []time.Duration{0, time.Millisecond, 10 * time.Millisecond, probeWatch - time.Millisecond} {
		refused, took := probe(t, after, nil)
		require.True(t, refused, after)
		require.LessOrEqual(t, took, after+probeInterval)
	}
}

// TestProbeOfALiveProcess guards against a live process that is taken for one that has ended, whatever it does with new
// connections, and against a probe that holds back the failed request for long.
func TestProbeOfALiveProcess(t *testing.T) {
	for name, c := range map[string]struct {
		serve func(c net.Conn)
		most  time.Duration
	}{
		"waits for a request":            {nil, probeWatch},
		"speaks first":                   {func(c net.Conn) { _, _ = c.Write([]byte("hello")) }, probeWatch},
		"closes each connection at once": {func(c net.Conn) { _ = c.Close() }, probeTimeout},
	} {
		refused, took := probe(t, time.Second, c.serve)
		require.False(t, refused, name)
		require.LessOrEqual(t, took, c.most, name)
	}
}
