package peer

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/require"
)

// stuckConn is a connection whose reads go on after Close until released.
type stuckConn struct {
	net.Conn
	released chan struct{}
}

func (c *stuckConn) Read([]byte) (int, error) {
	<-c.released
	return 0, io.EOF
}

// TestReadEndsWhileItsSessionShutsDown guards against a read that takes a whole processor while its session is shut down and its stream not
// closed yet: where time stands still for a process until it waits, it never ended.
func TestReadEndsWhileItsSessionShutsDown(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	conn := &stuckConn{Conn: near, released: make(chan struct{})}
	session, err := newYamuxSession(yamux.Client, conn, conn, newYamuxConfig(), &LinkStats{})
	require.NoError(t, err)
	stream, err := session.Open(context.Background())
	require.NoError(t, err)
	read := make(chan error, 1)
	go func() {
		_, err := stream.Read(make([]byte, 1))
		read <- err
	}()
	select {
	case err := <-read:
		t.Fatalf("the read ended before the session: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	closed := make(chan error, 1)
	go func() { closed <- session.Close() }()
	defer func() {
		close(conn.released)
		<-closed
	}()
	select {
	case err := <-read:
		require.ErrorIs(t, err, io.EOF)
	case <-time.After(2 * time.Second):
		t.Fatal("the read goes on")
	}
	_, err = stream.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "nor does a later read")
}
