package peer_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/memnet"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/peer"
)

func encode(t *testing.T, frames ...proto.Message) []byte {
	var buf bytes.Buffer
	for _, frame := range frames {
		_, err := protodelim.MarshalTo(&buf, frame)
		require.NoError(t, err)
	}
	return buf.Bytes()
}

func writeRaw(t *testing.T, w io.Writer, frames ...proto.Message) {
	_, err := w.Write(encode(t, frames...))
	require.NoError(t, err)
}

// rawServer accepts one session at host x, sends Hello, and answers the first call with the given frames.
func rawServer(t *testing.T, n *memnet.Network, frames ...proto.Message) {
	listener, err := n.Host("x").Listen("x:1")
	require.NoError(t, err)
	go func() {
		session, err := listener.Accept()
		require.NoError(t, err)
		control, err := session.Accept()
		require.NoError(t, err)
		writeRaw(t, control, &apiv1.ControlFrame{Hello: &apiv1.Hello{Node: "x", ProtocolVersion: 2}})
		stream, err := session.Accept()
		require.NoError(t, err)
		// The client closes the stream before it has read the whole of an oversize header, so this write may fail.
		_, _ = stream.Write(encode(t, frames...))
		require.NoError(t, stream.Close())
		<-session.Done()
	}()
}

// TestInvalidAnswerFailsTheCall guards against a faulty answer that the caller takes for a complete one: an answer to
// another call, or one that is cut off, altered, aborted or oversize.
func TestInvalidAnswerFailsTheCall(t *testing.T) {
	key := &apiv1.CallKey{Node: "a", Incarnation: 1, Number: 1}
	header := &apiv1.AnswerHeader{Key: key, Status: 200, ContentLength: 2}
	part := &apiv1.BodyFrame{Data: []byte("ok")}
	const checksum = 0x1a3c8b9e // not that of "ok"
	answers := map[string][]proto.Message{
		"crossed":         {&apiv1.AnswerHeader{Key: &apiv1.CallKey{Node: "a", Incarnation: 1, Number: 2}}},
		"no key":          {&apiv1.AnswerHeader{Status: 200}},
		"nothing":         nil,
		"cut":             {header, part},
		"wrong length":    {header, part, &apiv1.BodyFrame{Last: true, Length: 3}},
		"wrong checksum":  {header, part, &apiv1.BodyFrame{Last: true, Length: 2, Checksum: checksum}},
		"aborted":         {header, part, &apiv1.BodyFrame{Last: true, Aborted: true}},
		"oversize frame":  {header, &apiv1.BodyFrame{Data: make([]byte, 64<<10)}},
		"oversize header": {&apiv1.AnswerHeader{Key: key, Headers: []*apiv1.HeaderField{{Value: string(make([]byte, 1<<20))}}}},
	}
	for name, frames := range answers {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, peer.ServerOptions{}, echo)
				defer f.close()
				rawServer(t, f.net, frames...)
				answer, err := f.pool.Call(context.Background(), "x:1", &apiv1.CallHeader{Key: key}, nil)
				if err == nil {
					_, err = io.ReadAll(answer.Body)
					_ = answer.Body.Close()
				}
				require.Error(t, err)
			})
		})
	}
}

// TestGarbageEndsOnlyItsConnection sends invalid bytes before and after the Hello handshake and guards against a
// connection that stays open after them, and against effects on other connections.
func TestGarbageEndsOnlyItsConnection(t *testing.T) {
	hello := []proto.Message{
		&apiv1.StreamHeader{Method: apiv1.Method_METHOD_CONTROL},
		&apiv1.ControlFrame{Hello: &apiv1.Hello{Node: "x", ProtocolVersion: 2}},
	}
	garbage := bytes.Repeat([]byte{0xff}, 1<<10)
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, peer.ServerOptions{}, echo)
		defer f.close()
		for _, helloSent := range []bool{false, true} {
			session, err := f.net.Host("x").Dial(context.Background(), "b:1")
			require.NoError(t, err)
			control, err := session.Open(context.Background())
			require.NoError(t, err)
			stream := control
			if helloSent {
				writeRaw(t, control, hello...)
				stream, err = session.Open(context.Background())
				require.NoError(t, err)
			}
			_, err = stream.Write(garbage)
			require.NoError(t, err)
			if helloSent {
				requireStreamClosed(t, stream)
			}
			_, _ = control.Write(garbage)
			<-session.Done()
		}
		require.NoError(t, f.roundTrip(context.Background(), 10))
	})
}

// requireStreamClosed waits until the peer has closed a stream.
func requireStreamClosed(t *testing.T, stream net.Conn) {
	_, err := io.Copy(io.Discard, stream)
	require.NoError(t, err)
}

// TestOtherProtocolVersionIsRefused guards against a connection between nodes of different protocol versions: the
// server must name the client's version in its Hello and close the connection.
func TestOtherProtocolVersionIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, peer.ServerOptions{}, echo)
		defer f.close()
		session, err := f.net.Host("x").Dial(context.Background(), "b:1")
		require.NoError(t, err)
		control, err := session.Open(context.Background())
		require.NoError(t, err)
		writeRaw(t, control, &apiv1.StreamHeader{Method: apiv1.Method_METHOD_CONTROL},
			&apiv1.ControlFrame{Hello: &apiv1.Hello{Node: "x", ProtocolVersion: 99}})
		reply := make([]byte, 256)
		n, err := control.Read(reply)
		require.NoError(t, err)
		require.Contains(t, string(reply[:n]), "protocol version 99")
		<-session.Done()
	})
}

// TestSlowReaderDoesNotBlockOtherCalls guards against an unread answer that blocks its handler for ever or other calls
// on the same connection: the handler's write must time out, and another call must succeed meanwhile.
func TestSlowReaderDoesNotBlockOtherCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		result := make(chan error, 1)
		f := newFixture(t, peer.ServerOptions{}, func(ctx context.Context, in *peer.IncomingCall) {
			if in.Header.ContentLength > 0 {
				echo(ctx, in)
				return
			}
			_ = in.Answer(&apiv1.AnswerHeader{ContentLength: -1})
			_, err := in.Write(make([]byte, 4<<20))
			result <- err
		})
		defer f.close()
		unread, err := f.call(context.Background(), 0)
		require.NoError(t, err)
		require.NoError(t, f.roundTrip(context.Background(), 1<<20))
		begun := time.Now()
		require.Error(t, <-result)
		require.Less(t, time.Since(begun), 11*time.Second)
		_, err = io.Copy(io.Discard, unread.Body)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		require.NoError(t, unread.Body.Close())
	})
}

// TestShutdownAbortsNoCall guards against calls that are aborted by a shutdown: it stops a server while calls run and
// others arrive. Each call must either succeed or fail with CallError.Sent false.
func TestShutdownAbortsNoCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, peer.ServerOptions{}, func(ctx context.Context, in *peer.IncomingCall) {
			time.Sleep(300 * time.Millisecond)
			echo(ctx, in)
		})
		defer f.close()
		results := make(chan error, 40)
		number := uint64(100)
		for range cap(results) {
			number++
			header := &apiv1.CallHeader{Key: &apiv1.CallKey{Number: number}}
			go func() {
				answer, err := f.pool.Call(context.Background(), "b:1", header, nil)
				if err == nil {
					_, err = io.ReadAll(answer.Body)
					_ = answer.Body.Close()
				}
				results <- err
			}()
			if number == 120 {
				go func() { require.NoError(t, f.server.Shutdown(context.Background())) }()
			}
			time.Sleep(time.Millisecond)
		}
		succeeded := 0
		for range cap(results) {
			err := <-results
			if err == nil {
				succeeded++
				continue
			}
			var callErr *peer.CallError
			require.ErrorAs(t, err, &callErr)
			require.False(t, callErr.Sent, "%v", err)
		}
		require.GreaterOrEqual(t, succeeded, 20)
		require.Less(t, succeeded, 40)
	})
}

// TestExchangesBeyondTheLimitAreRefusedAsNotRun guards against a call above MaxStreams that hangs or runs: it must be
// refused as overloaded, and the refusal must say that it has not run.
func TestExchangesBeyondTheLimitAreRefusedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		f := newFixture(t, peer.ServerOptions{MaxStreams: 2}, func(ctx context.Context, in *peer.IncomingCall) {
			<-release
			echo(ctx, in)
		})
		defer f.close()
		done := make(chan error, 2)
		for number := range 2 {
			header := &apiv1.CallHeader{Key: &apiv1.CallKey{Number: uint64(number + 100)}}
			go func() {
				_, err := f.pool.Call(context.Background(), "b:1", header, nil)
				done <- err
			}()
		}
		time.Sleep(50 * time.Millisecond)
		answer, err := f.call(context.Background(), 0)
		require.NoError(t, err)
		refusal := outcome.FromMessage(answer.Header.Refusal)
		require.Equal(t, outcome.Overloaded, refusal.Code)
		require.Equal(t, outcome.RanNo, refusal.Ran)
		close(release)
		require.NoError(t, <-done)
		require.NoError(t, <-done)
	})
}

// TestReconnectsAreSpacedOut guards against a flood of connection attempts when an address without a listener is called
// continuously. Attempts must follow the exponential backoff, and must not stop.
func TestReconnectsAreSpacedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, peer.ServerOptions{}, echo)
		defer f.close()
		for range 3000 {
			_, err := f.pool.Call(context.Background(), "nowhere:1", &apiv1.CallHeader{}, nil)
			var callErr *peer.CallError
			require.ErrorAs(t, err, &callErr)
			require.False(t, callErr.Sent)
			time.Sleep(10 * time.Millisecond)
		}
		// 30 s: at most six attempts in the first 2 s, then at most one in 1 s.
		require.LessOrEqual(t, f.net.Traffic("a").Dials, uint64(36))
		require.GreaterOrEqual(t, f.net.Traffic("a").Dials, uint64(14))
	})
}
