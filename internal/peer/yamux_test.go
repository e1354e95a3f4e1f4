package peer

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

var testSecret = []byte("a fleet secret of 32 bytes......")

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// echo answers each call with its body, and returns the call's allowance of extra attempts unused.
func echo(_ context.Context, in *IncomingCall) {
	if err := in.Answer(&apiv1.AnswerHeader{Status: 200, ContentLength: in.Header.ContentLength}); err != nil {
		return
	}
	if _, err := io.Copy(in, in.Body); err != nil {
		in.Abort()
		return
	}
	_ = in.Finish(int(in.Header.Allowance))
}

func ping(_ context.Context, _ Identity, req *apiv1.LeaseRequest) (*apiv1.LeaseResponse, error) {
	return &apiv1.LeaseResponse{Sequence: req.Sequence}, nil
}

// startLoopback returns a server on loopback, a pool that can reach it, and the server's address.
func startLoopback(t testing.TB, call func(context.Context, *IncomingCall)) (*Server, *Pool, string) {
	return startLoopbackWith(t, PoolOptions{Seed: 1}, call)
}

// startLoopbackWith is startLoopback with options of the pool.
func startLoopbackWith(t testing.TB, o PoolOptions, call func(context.Context, *IncomingCall)) (*Server, *Pool, string) {
	transport, err := NewYamux(testSecret)
	require.NoError(t, err)
	listener, err := transport.Listen("127.0.0.1:0")
	require.NoError(t, err)
	server := NewServer(Identity{Node: "b", Incarnation: 2}, ServerOptions{})
	server.HandleCall(call)
	HandleUnary(server, apiv1.Method_METHOD_LEASE, func() *apiv1.LeaseRequest { return &apiv1.LeaseRequest{} }, ping)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	pool := NewPool(Identity{Node: "a", Incarnation: 1}, transport, o)
	t.Cleanup(func() {
		pool.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		require.NoError(t, server.Shutdown(ctx))
		require.NoError(t, <-served)
	})
	return server, pool, listener.Addr()
}

func newCall(number uint64, length int) *apiv1.CallHeader {
	return &apiv1.CallHeader{
		Key:           &apiv1.CallKey{Node: "a", Incarnation: 1, Number: number},
		Method:        "POST",
		Path:          "/",
		Allowance:     3,
		ContentLength: int64(length),
	}
}

// TestCallsOverLoopback guards against faults of unary exchanges and calls over real TLS and yamux, with body sizes
// around the limits of frames and of inline bodies.
func TestCallsOverLoopback(t *testing.T) {
	_, pool, address := startLoopback(t, echo)
	ctx := context.Background()
	var resp apiv1.LeaseResponse
	require.NoError(t, Unary(ctx, pool, address, apiv1.Method_METHOD_LEASE, &apiv1.LeaseRequest{Sequence: 7}, &resp))
	require.Equal(t, uint64(7), resp.Sequence)
	err := Unary(ctx, pool, address, apiv1.Method_METHOD_RUN, &apiv1.RunRequest{}, &apiv1.RunResponse{})
	require.ErrorContains(t, err, "METHOD_RUN is not served here")

	for number, size := range []int{0, 1, inlineBodyBytes, inlineBodyBytes + 1, maxFrameData * 3, 1 << 20} {
		want := bytes.Repeat([]byte{byte(number + 1)}, size)
		answer, err := pool.Call(ctx, address, newCall(uint64(number), size), lend(bytes.NewReader(want)))
		require.NoError(t, err)
		require.Equal(t, uint32(200), answer.Header.Status)
		require.Equal(t, Identity{Node: "b", Incarnation: 2}, answer.From)
		got, err := io.ReadAll(answer.Body)
		require.NoError(t, err)
		require.True(t, bytes.Equal(want, got), "body of %d bytes", size)
		left, ok := answer.AllowanceLeft()
		require.True(t, ok)
		require.Equal(t, 3, left)
		require.NoError(t, answer.Body.Close())
	}
}

// TestUnknownLengthBody guards against the loss of a body that is sent without an announced length.
func TestUnknownLengthBody(t *testing.T) {
	_, pool, address := startLoopback(t, echo)
	answer, err := pool.Call(context.Background(), address, newCall(1, -1), lend(io.MultiReader(strings.NewReader("one "), strings.NewReader("two"))))
	require.NoError(t, err)
	got, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.Equal(t, "one two", string(got))
	require.NoError(t, answer.Body.Close())
}

// TestWrongSecretIsRefusedByBothEnds guards against a connection between nodes with different secrets, and against a
// secret that is too short.
func TestWrongSecretIsRefusedByBothEnds(t *testing.T) {
	_, _, address := startLoopback(t, echo)
	stranger, err := NewYamux([]byte("another secret of 32 bytes......"))
	require.NoError(t, err)
	pool := NewPool(Identity{Node: "x"}, stranger, PoolOptions{Seed: 1})
	defer pool.Close()
	_, err = pool.Call(context.Background(), address, newCall(1, 0), nil)
	var callErr *CallError
	require.ErrorAs(t, err, &callErr)
	require.False(t, callErr.Sent)
	require.ErrorContains(t, err, "authenticate")
	_, err = NewYamux([]byte("short"))
	require.ErrorContains(t, err, "at least 16")
}
