package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/linkshare"
)

// gatedConn is a connection whose writes end when the test says so.
type gatedConn struct {
	net.Conn
	mu      sync.Mutex
	written bytes.Buffer
	gate    chan struct{}
	closed  chan struct{}
}

func newGatedConn() *gatedConn {
	return &gatedConn{gate: make(chan struct{}), closed: make(chan struct{})}
}

func (c *gatedConn) Write(p []byte) (int, error) {
	select {
	case <-c.gate:
	case <-c.closed:
		return 0, net.ErrClosed
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written.Write(p)
}

func (c *gatedConn) Close() error {
	close(c.closed)
	return nil
}

// frame is one yamux frame.
type frame struct {
	kind   byte
	flags  uint16
	stream uint32
	data   []byte
}

// write passes the frame to a connection as yamux does.
func (f frame) write(t *testing.T, conn io.Writer) {
	header := make([]byte, yamuxHeaderBytes)
	header[yamuxTypeOffset] = f.kind
	binary.BigEndian.PutUint16(header[yamuxFlagsOffset:], f.flags)
	binary.BigEndian.PutUint32(header[yamuxStreamOffset:], f.stream)
	binary.BigEndian.PutUint32(header[yamuxLengthOffset:], uint32(len(f.data)))
	_, err := conn.Write(header)
	require.NoError(t, err)
	if len(f.data) > 0 {
		_, err = conn.Write(f.data)
		require.NoError(t, err)
	}
}

// frames returns the frames that were written.
func (c *gatedConn) frames() []frame {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []frame
	for rest := c.written.Bytes(); len(rest) > 0; {
		f := frame{kind: rest[yamuxTypeOffset], flags: binary.BigEndian.Uint16(rest[yamuxFlagsOffset:]), stream: binary.BigEndian.Uint32(rest[yamuxStreamOffset:])}
		n := binary.BigEndian.Uint32(rest[yamuxLengthOffset:])
		rest = rest[yamuxHeaderBytes:]
		if f.kind == yamuxTypeData {
			f.data, rest = rest[:n], rest[n:]
		}
		list = append(list, f)
	}
	return list
}

// TestSmallFramesGoBeforeBodies guards against small frames that wait for bodies, against the end of a stream that overtakes its data, and
// against data that is taken for a header.
func TestSmallFramesGoBeforeBodies(t *testing.T) {
	conn := newGatedConn()
	stats := &LinkStats{}
	link := newLinkConn(conn, stats)
	defer link.Close()
	link.begin(1, linkshare.Class{Priority: 2}, 60_000)
	body := bytes.Repeat([]byte("body"), 10_000)
	frame{stream: 1, flags: 1, data: body}.write(t, link)
	link.end(1)
	require.Eventually(t, func() bool { return stats.Chunks.Load() == 1 }, 5*time.Second, time.Millisecond, "the first chunk is being written")
	confusing := []byte{0, yamuxTypeData, 0, 4, 0, 0, 0, 1, 0, 0, 0, 9}
	frame{stream: 3, data: confusing}.write(t, link)
	frame{stream: 1, kind: yamuxTypeWindow}.write(t, link)
	frame{stream: 1, kind: yamuxTypeWindow, flags: 4}.write(t, link)
	frame{stream: 5, kind: yamuxTypeWindow, flags: 4}.write(t, link)
	for range 5 {
		conn.gate <- struct{}{}
	}
	require.Eventually(t, func() bool { return len(conn.frames()) == 7 }, 5*time.Second, time.Millisecond)
	list := conn.frames()
	require.Equal(t, frame{stream: 1, flags: 1, data: body[:linkshare.ChunkBytes]}, list[0])
	require.Equal(t, frame{stream: 3, data: confusing}, list[1])
	require.Equal(t, frame{stream: 1, kind: yamuxTypeWindow}, list[2])
	require.Equal(t, frame{stream: 5, kind: yamuxTypeWindow, flags: 4}, list[3])
	require.Equal(t, frame{stream: 1, data: body[linkshare.ChunkBytes : 2*linkshare.ChunkBytes]}, list[4], "the flags are in the first frame only")
	require.Equal(t, frame{stream: 1, data: body[2*linkshare.ChunkBytes:]}, list[5])
	require.Equal(t, frame{stream: 1, kind: yamuxTypeWindow, flags: 4}, list[6])
	require.Zero(t, stats.Queued.Load())
}

// TestClosedLinkDropsItsQueue guards against bytes that count as queued after their connection has ended.
func TestClosedLinkDropsItsQueue(t *testing.T) {
	stats := &LinkStats{}
	link := newLinkConn(newGatedConn(), stats)
	link.begin(1, linkshare.Class{}, 100_000)
	frame{stream: 1, data: make([]byte, 100_000)}.write(t, link)
	require.Positive(t, stats.Queued.Load())
	require.NoError(t, link.Close())
	require.Zero(t, stats.Queued.Load())
	_, err := link.Write(make([]byte, yamuxHeaderBytes))
	require.ErrorIs(t, err, net.ErrClosed)
}

// slowTransport is a transport whose dialled connections carry rate bytes per second towards the server.
type slowTransport struct {
	*yamuxTransport
	rate int
}

// slowConn sleeps for as long as its writes take.
type slowConn struct {
	net.Conn
	rate int
}

func (c *slowConn) Write(p []byte) (int, error) {
	time.Sleep(time.Duration(len(p)) * time.Second / time.Duration(c.rate))
	return c.Conn.Write(p)
}

func (s *slowTransport) Dial(ctx context.Context, address string) (Session, error) {
	raw, err := s.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	slow := &slowConn{Conn: raw, rate: s.rate}
	return newYamuxSession(yamux.Client, slow, slow, s.yamux, s.stats)
}

// startSlow returns a pool whose connections are slow and the address of a server that reads all bodies.
func startSlow(t *testing.T, rate int, options PoolOptions, transport *yamuxTransport) (*Pool, string) {
	listener, err := transport.Listen("127.0.0.1:0")
	require.NoError(t, err)
	server := NewServer(Identity{Node: "b", Incarnation: 2}, ServerOptions{})
	server.HandleCall(func(_ context.Context, in *IncomingCall) {
		if in.Body != nil {
			if _, err := io.Copy(io.Discard, in.Body); err != nil {
				return
			}
		}
		_ = in.Answer(&apiv1.AnswerHeader{Status: 200})
		_ = in.Finish(0)
	})
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	pool := NewPool(Identity{Node: "a", Incarnation: 1}, &slowTransport{yamuxTransport: transport, rate: rate}, options)
	t.Cleanup(func() {
		pool.Close()
		server.Close()
		require.NoError(t, <-served)
	})
	return pool, listener.Addr()
}

// upload makes a call with a body and a time limit, and returns how long it took.
func upload(ctx context.Context, pool *Pool, address string, number uint64, size int, limit time.Duration) (time.Duration, error) {
	began := time.Now()
	h := newCall(number, size)
	h.TimeoutNs = int64(limit)
	answer, err := pool.Call(ctx, address, h, lend(bytes.NewReader(make([]byte, size))))
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	return time.Since(began), err
}

// TestSmallCallsBesideUploadsOnANarrowedLink guards against small calls and pings that wait for the bodies of 50 uploads, and against a
// connection that counts as silent for that: the uploads take 4.3 s.
func TestSmallCallsBesideUploadsOnANarrowedLink(t *testing.T) {
	transport := newYamuxTransport(nil, nil)
	pool, address := startSlow(t, 700_000, PoolOptions{Seed: 1}, transport)
	var uploads sync.WaitGroup
	failed := make(chan error, 50)
	for i := range uint64(50) {
		uploads.Go(func() {
			_, err := upload(t.Context(), pool, address, i+1, 60_000, 20*time.Second)
			failed <- err
		})
	}
	require.Eventually(t, func() bool { return transport.stats.Queued.Load() > 1<<20 }, 5*time.Second, time.Millisecond)
	for i := range uint64(10) {
		took, err := upload(t.Context(), pool, address, 1000+i, 100, 5*time.Second)
		require.NoError(t, err)
		require.Less(t, took, time.Second, "without the scheduler it waits for most of the uploads")
	}
	uploads.Wait()
	for range 50 {
		require.NoError(t, <-failed)
	}
	require.Zero(t, transport.stats.Queued.Load())
}

// TestBodyThatCantArriveInTimeIsNotSent guards against a body that is sent although it can't arrive in time, and against a call that counts
// as sent then.
func TestBodyThatCantArriveInTimeIsNotSent(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		transport := newYamuxTransport(nil, nil)
		pool, address := startSlow(t, 700_000, PoolOptions{Seed: 1, SendLateBodies: disabled}, transport)
		ctx, cancel := context.WithCancel(t.Context())
		var uploads sync.WaitGroup
		for i := range uint64(20) {
			uploads.Go(func() { _, _ = upload(ctx, pool, address, i+1, 600_000, 20*time.Second) })
		}
		time.Sleep(700 * time.Millisecond)
		late, stop := context.WithTimeout(ctx, time.Second)
		_, err := upload(late, pool, address, 100, 20_000_000, time.Second)
		stop()
		var callErr *CallError
		require.ErrorAs(t, err, &callErr)
		var body *LateBodyError
		require.Equal(t, !disabled, errors.As(err, &body))
		require.Equal(t, disabled, callErr.Sent)
		if !disabled {
			require.EqualValues(t, 1, transport.stats.Refused.Load())
			require.Positive(t, body.Verdict.RetryAfter())
			_, err = upload(ctx, pool, address, 101, 100, 5*time.Second)
			require.NoError(t, err, "small bodies are sent")
		}
		cancel()
		uploads.Wait()
	}
}

// TestWriterThatWaitsForRoomIsInterrupted guards against a body that is written on after its deadline, or after its stream was closed.
func TestWriterThatWaitsForRoomIsInterrupted(t *testing.T) {
	for name, interrupt := range map[string]func(net.Conn) error{
		"deadline": func(stream net.Conn) error { return stream.SetWriteDeadline(expiredDeadline) },
		"close":    func(stream net.Conn) error { return stream.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			conn := newGatedConn()
			near, far := net.Pipe()
			defer far.Close()
			conn.Conn = near
			session, err := newYamuxSession(yamux.Client, near, &pipeConn{gatedConn: conn}, newYamuxConfig(), &LinkStats{})
			require.NoError(t, err)
			defer session.Close()
			stream, err := session.Open(t.Context())
			require.NoError(t, err)
			beginBody(stream, linkshare.Class{}, 1<<20)
			wrote := make(chan error, 1)
			go func() {
				_, err := stream.Write(make([]byte, 1<<20))
				wrote <- err
			}()
			require.Eventually(t, func() bool { return session.link.stats.Waits.Load() == 1 }, 5*time.Second, time.Millisecond)
			require.NoError(t, interrupt(stream))
			select {
			case err := <-wrote:
				require.Error(t, err)
			case <-time.After(5 * time.Second):
				t.Fatal("the writer goes on")
			}
		})
	}
}

// pipeConn is a gatedConn that closes its pipe too.
type pipeConn struct{ *gatedConn }

func (c *pipeConn) Close() error {
	_ = c.gatedConn.Close()
	return c.Conn.Close()
}

// TestEndsNeedNotAgreeOnTheOrder guards against nodes that don't understand each other if only one of them has the scheduler disabled.
func TestEndsNeedNotAgreeOnTheOrder(t *testing.T) {
	off := []YamuxOption{WithoutLinkSharing()}
	for name, options := range map[string][2][]YamuxOption{"server": {off, nil}, "client": {nil, off}, "both": {off, off}} {
		t.Run(name, func(t *testing.T) {
			listener, err := NewPlaintextYamux(options[0]...).Listen("127.0.0.1:0")
			require.NoError(t, err)
			server := NewServer(Identity{Node: "b", Incarnation: 2}, ServerOptions{})
			server.HandleCall(echo)
			served := make(chan error, 1)
			go func() { served <- server.Serve(listener) }()
			pool := NewPool(Identity{Node: "a", Incarnation: 1}, NewPlaintextYamux(options[1]...), PoolOptions{Seed: 1})
			var calls sync.WaitGroup
			for i := range 8 {
				calls.Go(func() {
					want := bytes.Repeat([]byte{byte(i + 1)}, 1<<20)
					answer, err := pool.Call(t.Context(), listener.Addr(), newCall(uint64(i), len(want)), lend(bytes.NewReader(want)))
					if !assert.NoError(t, err) {
						return
					}
					got, err := io.ReadAll(answer.Body)
					assert.NoError(t, err)
					assert.True(t, bytes.Equal(want, got))
					assert.NoError(t, answer.Body.Close())
				})
			}
			calls.Wait()
			pool.Close()
			server.Close()
			require.NoError(t, <-served)
		})
	}
}
