package peer_test

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/memnet"
	"github.com/guavaford/guavaford/internal/peer"
	"github.com/guavaford/guavaford/internal/reqbody"
)

// silenceBound is the time within which a silent connection must be detected: three
// unanswered ping intervals after the first ping, and two network delays.
const silenceBound = 1100 * time.Millisecond

// fixture is a pool on host a and a server on host b, connected by an in-memory network.
type fixture struct {
	t      *testing.T
	net    *memnet.Network
	pool   *peer.Pool
	server *peer.Server
	number uint64
}

func newFixture(t *testing.T, o peer.ServerOptions, handle func(context.Context, *peer.IncomingCall)) *fixture {
	f := &fixture{t: t, net: memnet.New(1)}
	f.net.SetLatency(func(string, string) memnet.Latency {
		return memnet.Latency{Delay: time.Millisecond, Jitter: time.Millisecond}
	})
	f.server = peer.NewServer(peer.Identity{Node: "b", Incarnation: 2}, o)
	f.server.HandleCall(handle)
	listener, err := f.net.Host("b").Listen("b:1")
	require.NoError(t, err)
	go func() { _ = f.server.Serve(listener) }()
	f.pool = peer.NewPool(peer.Identity{Node: "a", Incarnation: 1}, f.net.Host("a"), peer.PoolOptions{Seed: 1})
	return f
}

// close stops the pool, the server and the network, so that all goroutines of the synctest bubble end.
func (f *fixture) close() {
	f.pool.Close()
	f.server.Close()
	f.net.Close()
	synctest.Wait()
}

func (f *fixture) call(ctx context.Context, size int) (*peer.Answer, error) {
	f.number++
	header := &apiv1.CallHeader{
		Key:           &apiv1.CallKey{Node: "a", Incarnation: 1, Number: f.number},
		ContentLength: int64(size),
	}
	body, err := reqbody.NewInterruptible(int64(size), bytes.NewReader(make([]byte, size)), func() {}).Lend()
	require.NoError(f.t, err)
	return f.pool.Call(ctx, "b:1", header, body)
}

// roundTrip makes one call, reads its answer and returns the first error.
func (f *fixture) roundTrip(ctx context.Context, size int) error {
	answer, err := f.call(ctx, size)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	got, err := io.ReadAll(answer.Body)
	if err == nil {
		require.Len(f.t, got, size)
	}
	return err
}

// echo answers a call with its body.
func echo(_ context.Context, in *peer.IncomingCall) {
	if in.Answer(&apiv1.AnswerHeader{Status: 200, ContentLength: in.Header.ContentLength}) != nil {
		return
	}
	if _, err := io.Copy(in, in.Body); err != nil {
		in.Abort()
		return
	}
	_ = in.Finish(0)
}

// TestSilenceAtEachStep guards against a call that hangs when its connection stops
// carrying bytes, in either direction and at each step of the call. The call must fail
// with CallError.Silent within the bound, the handler's context must end with
// ErrSessionLost, and the next call must succeed.
func TestSilenceAtEachStep(t *testing.T) {
	steps := []string{"before the call", "in the request body", "before the answer", "in the answer body"}
	ways := map[string][][2]string{
		"to the server":      {{"a", "b"}},
		"from the server":    {{"b", "a"}},
		"in both directions": {{"a", "b"}, {"b", "a"}},
	}
	for _, step := range steps {
		for name, way := range ways {
			t.Run(step+" "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { silenceAt(t, step, way) })
			})
		}
	}
}

func silenceAt(t *testing.T, step string, way [][2]string) {
	const size = 600 << 10 // more than the flow-control windows of both directions together
	var current string
	causes := make(chan error, 1)
	var f *fixture
	reach := func(here string) {
		if here != current {
			return
		}
		current = ""
		for _, w := range way {
			f.net.DropOpenSessions(w[0], w[1])
		}
	}
	f = newFixture(t, peer.ServerOptions{}, func(ctx context.Context, in *peer.IncomingCall) {
		silenced := current != ""
		_, _ = io.ReadFull(in.Body, make([]byte, size/2))
		reach("in the request body")
		_, _ = io.Copy(io.Discard, in.Body)
		reach("before the answer")
		_ = in.Answer(&apiv1.AnswerHeader{Status: 200, ContentLength: size})
		_, _ = in.Write(make([]byte, size/2))
		reach("in the answer body")
		_, _ = in.Write(make([]byte, size/2))
		_ = in.Finish(0)
		if silenced {
			<-ctx.Done()
			causes <- context.Cause(ctx)
		}
	})
	defer f.close()
	require.NoError(t, f.roundTrip(context.Background(), size))
	current = step
	reached := step == "before the call"
	reach("before the call")

	begun := time.Now()
	err := f.roundTrip(context.Background(), size)
	var callErr *peer.CallError
	require.ErrorAs(t, err, &callErr)
	require.True(t, callErr.Silent, "%v", err)
	require.True(t, callErr.Sent)
	require.Less(t, time.Since(begun), silenceBound)

	begun = time.Now()
	require.NoError(t, f.roundTrip(context.Background(), size))
	require.Less(t, time.Since(begun), 100*time.Millisecond)
	if !reached {
		require.ErrorIs(t, <-causes, peer.ErrSessionLost)
	}
}

// TestSilentIdleConnectionIsProbed guards against a call that fails because its
// connection went silent while idle, and against pings on an idle connection.
func TestSilentIdleConnectionIsProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, peer.ServerOptions{}, echo)
		defer f.close()
		require.NoError(t, f.roundTrip(context.Background(), 1))
		time.Sleep(time.Second)
		before := f.net.Traffic("a").Messages
		time.Sleep(time.Minute)
		require.Equal(t, before, f.net.Traffic("a").Messages)
		f.net.DropOpenSessions("a", "b")
		begun := time.Now()
		require.NoError(t, f.roundTrip(context.Background(), 1))
		require.Less(t, time.Since(begun), 300*time.Millisecond)
	})
}

// TestCancelReachesHandler guards against a handler that keeps running after its caller's context has ended, for a call
// without a body and for one whose body is still being sent.
func TestCancelReachesHandler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		causes := make(chan error, 1)
		f := newFixture(t, peer.ServerOptions{}, func(ctx context.Context, in *peer.IncomingCall) {
			<-ctx.Done()
			causes <- context.Cause(ctx)
		})
		defer f.close()
		for _, size := range []int{0, 1 << 20} {
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			begun := time.Now()
			err := f.roundTrip(ctx, size)
			require.ErrorIs(t, err, context.DeadlineExceeded)
			require.ErrorIs(t, <-causes, peer.ErrCancelled)
			require.Less(t, time.Since(begun), 60*time.Millisecond)
			cancel()
		}
	})
}

// TestPartitionAndHeal guards against calls that hang during a network partition, that
// report a wrong Sent, or that keep failing or run twice after it, when the delayed
// packets arrive.
func TestPartitionAndHeal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		handled := 0
		f := newFixture(t, peer.ServerOptions{}, func(ctx context.Context, in *peer.IncomingCall) {
			handled++
			echo(ctx, in)
		})
		defer f.close()
		for range 2 {
			require.NoError(t, f.roundTrip(context.Background(), 100))
			f.net.Partition([]string{"a"}, []string{"b"})
			unsent := 0
			for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
				begun := time.Now()
				err := f.roundTrip(context.Background(), 100)
				var callErr *peer.CallError
				require.ErrorAs(t, err, &callErr)
				require.Equal(t, callErr.Sent, callErr.Silent)
				require.LessOrEqual(t, time.Since(begun), 2*time.Second+silenceBound)
				if !callErr.Sent {
					unsent++
				}
				time.Sleep(10 * time.Millisecond)
			}
			require.Positive(t, unsent)
			f.net.Heal()
			require.Eventually(t, func() bool { return f.roundTrip(context.Background(), 100) == nil }, 3*time.Second, 50*time.Millisecond)
			time.Sleep(time.Second)
		}
		require.LessOrEqual(t, handled, 6, "a delayed call ran more than once")
	})
}

// TestRestartedServerIsANewIncarnation guards against a server crash that is reported as
// silence, and against an answer under the old identity after the restart.
func TestRestartedServerIsANewIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, peer.ServerOptions{}, func(ctx context.Context, _ *peer.IncomingCall) { <-ctx.Done() })
		defer f.close()
		time.AfterFunc(100*time.Millisecond, func() { f.net.Crash("b") })
		err := f.roundTrip(context.Background(), 100)
		var callErr *peer.CallError
		require.ErrorAs(t, err, &callErr)
		require.True(t, callErr.Sent)
		require.False(t, callErr.Silent, "a reset is not silence")

		restarted := peer.NewServer(peer.Identity{Node: "b", Incarnation: 3}, peer.ServerOptions{})
		restarted.HandleCall(echo)
		listener, err := f.net.Host("b").Listen("b:1")
		require.NoError(t, err)
		go func() { _ = restarted.Serve(listener) }()
		defer restarted.Close()
		answer, err := f.call(context.Background(), 0)
		require.NoError(t, err)
		require.Equal(t, peer.Identity{Node: "b", Incarnation: 3}, answer.From)
		require.NoError(t, answer.Body.Close())
	})
}

// TestShortCallsKeepTheirConnection guards against a connection that the accepting side closes as silent, and a call that fails with it,
// because the pings of the dialling side fall into intervals at whose ends no call was in flight there. Calls of up to 30 ms follow each
// other with pauses of up to 30 ms for an hour.
func TestShortCallsKeepTheirConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(41, 0))
		pause := func() time.Duration { return time.Duration(random.Int64N(int64(30 * time.Millisecond))) }
		var work time.Duration
		f := newFixture(t, peer.ServerOptions{}, func(ctx context.Context, in *peer.IncomingCall) {
			time.Sleep(work)
			echo(ctx, in)
		})
		defer f.close()
		for began := time.Now(); time.Since(began) < time.Hour; time.Sleep(pause()) {
			work = pause()
			require.NoError(t, f.roundTrip(context.Background(), 10), "after %v", time.Since(began))
		}
		require.EqualValues(t, 1, f.net.Traffic("a").Dials)
	})
}
