package memnet

import (
	"context"
	"io"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavaford/guavaford/internal/peer"
)

// pair connects host a to host b and returns both ends.
func pair(t *testing.T, n *Network) (client, server peer.Session) {
	listener, err := n.Host("b").Listen("b:1")
	require.NoError(t, err)
	client, err = n.Host("a").Dial(context.Background(), "b:1")
	require.NoError(t, err)
	server, err = listener.Accept()
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	return client, server
}

// sendText sends text on a new stream and returns what arrives and after how long.
func sendText(t *testing.T, client, server peer.Session, text string) (string, time.Duration) {
	out, err := client.Open(context.Background())
	require.NoError(t, err)
	begun := time.Now()
	_, err = out.Write([]byte(text))
	require.NoError(t, err)
	in, err := server.Accept()
	require.NoError(t, err)
	got := make([]byte, len(text))
	_, err = io.ReadFull(in, got)
	require.NoError(t, err)
	return string(got), time.Since(begun)
}

// TestLinksDelayHoldAndDrop guards against a network that doesn't simulate faults as documented: latency of dials and
// messages, a stall that delays a message, silence that drops one without a reset, and the crash of a host.
func TestLinksDelayHoldAndDrop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(1)
		defer n.Close()
		n.SetLatency(func(string, string) Latency {
			return Latency{Delay: 5 * time.Millisecond, Jitter: 2 * time.Millisecond}
		})
		begun := time.Now()
		client, server := pair(t, n)
		require.GreaterOrEqual(t, time.Since(begun), 10*time.Millisecond, "a dial takes a round trip")

		got, took := sendText(t, client, server, "hello")
		require.Equal(t, "hello", got)
		require.GreaterOrEqual(t, took, 5*time.Millisecond)
		require.Less(t, took, 7*time.Millisecond)

		n.Stall("a", "b", time.Second)
		_, took = sendText(t, client, server, "late")
		require.Equal(t, time.Second, took.Round(10*time.Millisecond))

		n.DropOpenSessions("a", "b")
		lost, err := client.Open(context.Background())
		require.NoError(t, err)
		_, err = lost.Write([]byte("lost"))
		require.NoError(t, err)
		require.NoError(t, lost.SetReadDeadline(time.Now().Add(time.Minute)))
		_, err = lost.Read(make([]byte, 1))
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		fresh, other := pair(t, n)
		got, _ = sendText(t, fresh, other, "again")
		require.Equal(t, "again", got)

		n.Crash("b")
		<-fresh.Done()
		_, err = n.Host("a").Dial(context.Background(), "b:1")
		require.ErrorIs(t, err, errRefused)
	})
}

// TestWritersWaitForReaders guards against writers that send without limit: a write beyond the window must block until
// the other end reads.
func TestWritersWaitForReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(1)
		defer n.Close()
		client, server := pair(t, n)
		out, err := client.Open(context.Background())
		require.NoError(t, err)
		require.NoError(t, out.SetWriteDeadline(time.Now().Add(time.Second)))
		written, err := out.Write(make([]byte, 2*streamWindow))
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		require.Equal(t, streamWindow, written)
		in, err := server.Accept()
		require.NoError(t, err)
		_, err = io.ReadFull(in, make([]byte, streamWindow))
		require.NoError(t, err)
		require.NoError(t, out.SetWriteDeadline(time.Now().Add(time.Second)))
		_, err = out.Write(make([]byte, streamWindow))
		require.NoError(t, err)
	})
}
