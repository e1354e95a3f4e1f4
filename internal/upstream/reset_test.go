package upstream

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// connPair returns both ends of a connection, the first one with reports of resets.
func connPair(t *testing.T) (near net.Conn, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	raw, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	accepted, err := l.Accept()
	require.NoError(t, err)
	near = reportResets(raw)
	t.Cleanup(func() { _ = near.Close(); _ = accepted.Close() })
	return near, accepted.(*net.TCPConn)
}

// writeUntilError writes until the system reports an error.
func writeUntilError(c net.Conn) error {
	for {
		if _, err := c.Write(make([]byte, 64<<10)); err != nil {
			return err
		}
	}
}

func resetNow(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// TestReadReportsAResetThatAWriteHasTaken: the reader gets what has arrived, and then the reset.
func TestReadReportsAResetThatAWriteHasTaken(t *testing.T) {
	near, far := connPair(t)
	_, err := io.WriteString(far, "part")
	require.NoError(t, err)
	resetNow(far)
	require.ErrorIs(t, writeUntilError(near), syscall.ECONNRESET)
	data, err := io.ReadAll(near)
	require.Equal(t, "part", string(data))
	require.ErrorIs(t, err, syscall.ECONNRESET)
	_, err = near.Read(make([]byte, 1))
	require.ErrorIs(t, err, syscall.ECONNRESET, "the reader asks again")
}

// TestReadReportsTheEndBeforeAReset: a reset that follows the end does not take back what was sent.
func TestReadReportsTheEndBeforeAReset(t *testing.T) {
	near, far := connPair(t)
	_, err := io.WriteString(far, "whole")
	require.NoError(t, err)
	require.NoError(t, far.CloseWrite())
	time.Sleep(10 * time.Millisecond)
	resetNow(far)
	require.ErrorIs(t, writeUntilError(near), syscall.EPIPE)
	data, err := io.ReadAll(near)
	require.NoError(t, err)
	require.Equal(t, "whole", string(data))
}

// TestReadDoesNotWaitForAWrite: the other side has ended what it sends, and reads nothing.
func TestReadDoesNotWaitForAWrite(t *testing.T) {
	near, far := connPair(t)
	written := make(chan error, 1)
	go func() { written <- writeUntilError(near) }()
	_, err := io.WriteString(far, "whole")
	require.NoError(t, err)
	require.NoError(t, far.CloseWrite())
	data, err := io.ReadAll(near)
	require.NoError(t, err)
	require.Equal(t, "whole", string(data))
	select {
	case err = <-written:
		require.Fail(t, "the write has ended", "%v", err)
	default:
	}
	resetNow(far)
	<-written
}

// TestResetDuringReadAndWriteIsReportedToBoth: reader and writer wait when the reset arrives, and either may take the error from the system.
func TestResetDuringReadAndWriteIsReportedToBoth(t *testing.T) {
	for range 200 {
		near, far := connPair(t)
		written := make(chan error, 1)
		go func() { written <- writeUntilError(near) }()
		go func() { time.Sleep(time.Millisecond); resetNow(far) }()
		_, err := near.Read(make([]byte, 1))
		require.ErrorIs(t, err, syscall.ECONNRESET)
		require.Error(t, <-written)
	}
}
