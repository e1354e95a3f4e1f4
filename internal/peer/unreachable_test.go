package peer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/peer"
)

// These tests cover hosts that lose power while their targets serve calls whose deadline is below a second.

// unreachableBound is the time within which a call to a host without power must fail, so that a deadline of 700 ms
// leaves time for another attempt.
const unreachableBound = 400 * time.Millisecond

// idempotentCall makes an idempotent call without a body.
func (f *fixture) idempotentCall(ctx context.Context) (*peer.Answer, error) {
	f.number++
	return f.pool.Call(ctx, "b:1", &apiv1.CallHeader{
		Key: &apiv1.CallKey{Node: "a", Incarnation: 1, Number: f.number}, Idempotent: true,
	}, nil)
}

// slow returns a handler that echoes the body after the given time.
func slow(work time.Duration) func(context.Context, *peer.IncomingCall) {
	return func(ctx context.Context, in *peer.IncomingCall) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(work):
		}
		echo(ctx, in)
	}
}

// withFixture runs a test on a fixture whose connection is open and whose calls take the given time.
func withFixture(t *testing.T, work time.Duration, run func(t *testing.T, f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, peer.ServerOptions{}, slow(work))
		defer f.close()
		require.NoError(t, f.roundTrip(t.Context(), 10))
		run(t, f)
	})
}

// TestIdempotentCallToHostThatLosesPowerFailsEarly guards against an idempotent call that waits for its deadline when
// its host loses power before or during the call, so that no time is left for another host.
func TestIdempotentCallToHostThatLosesPowerFailsEarly(t *testing.T) {
	for name, after := range map[string]time.Duration{"before the call": 0, "while it runs": 30 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, 100*time.Millisecond, func(t *testing.T, f *fixture) {
				time.AfterFunc(after, func() { f.net.Partition([]string{"a"}, []string{"b"}) })
				time.Sleep(time.Millisecond)
				ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
				defer cancel()
				began := time.Now()
				_, err := f.idempotentCall(ctx)
				var callErr *peer.CallError
				require.ErrorAs(t, err, &callErr)
				require.True(t, callErr.Sent, "the request was sent, so the call may have run")
				require.NoError(t, ctx.Err())
				require.Less(t, time.Since(began), unreachableBound+after)
			})
		})
	}
}

// TestNonIdempotentCallWaitsForItsAnswer guards against a watchdog that fails a call which must not be repeated, when
// its connection carries nothing for 600 ms.
func TestNonIdempotentCallWaitsForItsAnswer(t *testing.T) {
	withFixture(t, 100*time.Millisecond, func(t *testing.T, f *fixture) {
		f.net.Stall("b", "a", 600*time.Millisecond)
		require.NoError(t, f.roundTrip(t.Context(), 10))
	})
}

// TestLongIdempotentCallWaitsWhilePingsAreAnswered guards against a watchdog that fails a call which runs for long,
// though its host answers pings.
func TestLongIdempotentCallWaitsWhilePingsAreAnswered(t *testing.T) {
	withFixture(t, 3*time.Second, func(t *testing.T, f *fixture) {
		answer, err := f.idempotentCall(t.Context())
		require.NoError(t, err)
		require.NoError(t, answer.Body.Close())
	})
}

// TestPacketLossDoesNotFailIdempotentCall guards against a watchdog that fails a call after the loss of one packet.
func TestPacketLossDoesNotFailIdempotentCall(t *testing.T) {
	// TCP retransmits a lost packet after at least 200 ms.
	withFixture(t, 250*time.Millisecond, func(t *testing.T, f *fixture) {
		time.AfterFunc(100*time.Millisecond, func() { f.net.Stall("b", "a", 200*time.Millisecond) })
		answer, err := f.idempotentCall(t.Context())
		require.NoError(t, err)
		require.NoError(t, answer.Body.Close())
	})
}

// TestCallDoesNotWaitLongForAConnection guards against a call that waits for the whole connection attempt to an
// unreachable host, against a second call that waits again for the same attempt, and against an attempt that ends with
// its call.
func TestCallDoesNotWaitLongForAConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, peer.ServerOptions{}, echo)
		defer f.close()
		f.net.Partition([]string{"a"}, []string{"b"})
		began := time.Now()
		err := f.roundTrip(t.Context(), 10)
		var callErr *peer.CallError
		require.ErrorAs(t, err, &callErr)
		require.False(t, callErr.Sent, "nothing was sent, so that any call may be retried on another host")
		require.Less(t, time.Since(began), unreachableBound)

		began = time.Now()
		require.Error(t, f.roundTrip(t.Context(), 10))
		require.Less(t, time.Since(began), 50*time.Millisecond, "a second call waited again for the same connection attempt")

		// The connection attempt itself continues, and later calls use its connection.
		f.net.Heal()
		time.Sleep(reconnectTime)
		require.NoError(t, f.roundTrip(t.Context(), 10))
	})
}

// reconnectTime exceeds the longest connection attempt and the pause after it.
const reconnectTime = 3 * time.Second

// TestLongUnaryRequestFailsOnceThePeerIsSilent guards against a request whose answer may take long and that waits for it
// although its peer has fallen silent, so that another peer is asked too late. While the peer answers pings it waits.
func TestLongUnaryRequestFailsOnceThePeerIsSilent(t *testing.T) {
	for name, loss := range map[string]func(f *fixture){
		"nothing arrives":        func(f *fixture) { f.net.Block("a", "b") },
		"nothing comes back":     func(f *fixture) { f.net.Block("b", "a") },
		"the connection is lost": func(f *fixture) { f.net.DropOpenSessions("b", "a") },
	} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, 0, func(t *testing.T, f *fixture) {
				peer.HandleUnary(f.server, apiv1.Method_METHOD_STATUS, func() *apiv1.StatusRequest { return &apiv1.StatusRequest{} },
					func(ctx context.Context, _ peer.Identity, _ *apiv1.StatusRequest) (*apiv1.ControlStatus, error) {
						time.Sleep(1500 * time.Millisecond)
						return &apiv1.ControlStatus{}, nil
					})
				send := func() error {
					return peer.UnaryResponsive(t.Context(), f.pool, "b:1", apiv1.Method_METHOD_STATUS, &apiv1.StatusRequest{}, &apiv1.ControlStatus{})
				}
				require.NoError(t, send(), "a slow peer that answers pings")
				time.AfterFunc(700*time.Millisecond, func() { loss(f) })
				began := time.Now()
				require.Error(t, send())
				require.Less(t, time.Since(began), 700*time.Millisecond+510*time.Millisecond)
				f.net.Heal()
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// TestLongUnaryRequestDoesNotWaitForAConnection guards against a request that waits for a connection to a frozen host for as
// long as the attempt to connect may take.
func TestLongUnaryRequestDoesNotWaitForAConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, peer.ServerOptions{}, slow(0))
		defer f.close()
		f.net.Partition([]string{"a"}, []string{"b"})
		began := time.Now()
		err := peer.UnaryResponsive(t.Context(), f.pool, "b:1", apiv1.Method_METHOD_STATUS, &apiv1.StatusRequest{}, &apiv1.ControlStatus{})
		var callErr *peer.CallError
		require.ErrorAs(t, err, &callErr)
		require.False(t, callErr.Sent)
		require.Less(t, time.Since(began), unreachableBound)
	})
}
