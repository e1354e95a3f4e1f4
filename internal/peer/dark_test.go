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

// Pattern: hosts lose power while their targets hold a part of a service's calls, whose time limit is below a second.

// darkBound is the time after which a call to a dark host fails at the latest, so that most of 700 ms is left.
const darkBound = 400 * time.Millisecond

// harmless makes a call that may be repeated.
func (f *fixture) harmless(ctx context.Context) (*peer.Answer, error) {
	f.number++
	return f.pool.Call(ctx, "b:1", &apiv1.CallHeader{
		Key: &apiv1.CallKey{Node: "a", Incarnation: 1, Number: f.number}, Idempotent: true,
	}, nil)
}

// slow answers after a while.
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

func inFixture(t *testing.T, work time.Duration, run func(t *testing.T, f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, peer.ServerOptions{}, slow(work))
		defer f.close()
		require.NoError(t, f.roundTrip(t.Context(), 10))
		run(t, f)
	})
}

func TestHarmlessCallToAHostThatGoesDarkFailsInTime(t *testing.T) {
	for name, after := range map[string]time.Duration{"before the call": 0, "while it runs": 30 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			inFixture(t, 100*time.Millisecond, func(t *testing.T, f *fixture) {
				time.AfterFunc(after, func() { f.net.Partition([]string{"a"}, []string{"b"}) })
				time.Sleep(time.Millisecond)
				ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
				defer cancel()
				began := time.Now()
				_, err := f.harmless(ctx)
				var callErr *peer.CallError
				require.ErrorAs(t, err, &callErr)
				require.True(t, callErr.Sent, "it may have run")
				require.NoError(t, ctx.Err())
				require.Less(t, time.Since(began), darkBound+after)
			})
		})
	}
}

func TestCallThatMustRunOnceWaitsForItsAnswer(t *testing.T) {
	inFixture(t, 100*time.Millisecond, func(t *testing.T, f *fixture) {
		f.net.Stall("b", "a", 600*time.Millisecond)
		require.NoError(t, f.roundTrip(t.Context(), 10))
	})
}

func TestLongHarmlessCallToAHostThatAnswersPingsIsWaitedFor(t *testing.T) {
	inFixture(t, 3*time.Second, func(t *testing.T, f *fixture) {
		answer, err := f.harmless(t.Context())
		require.NoError(t, err)
		require.NoError(t, answer.Body.Close())
	})
}

func TestLossOfAPacketDoesNotEndAHarmlessCall(t *testing.T) {
	// A lost packet is sent again after 200 ms at least.
	inFixture(t, 250*time.Millisecond, func(t *testing.T, f *fixture) {
		time.AfterFunc(100*time.Millisecond, func() { f.net.Stall("b", "a", 200*time.Millisecond) })
		answer, err := f.harmless(t.Context())
		require.NoError(t, err)
		require.NoError(t, answer.Body.Close())
	})
}

func TestCallDoesNotWaitLongForAConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, peer.ServerOptions{}, echo)
		defer f.close()
		f.net.Partition([]string{"a"}, []string{"b"})
		began := time.Now()
		err := f.roundTrip(t.Context(), 10)
		var callErr *peer.CallError
		require.ErrorAs(t, err, &callErr)
		require.False(t, callErr.Sent, "nothing has left, so that any call may go elsewhere")
		require.Less(t, time.Since(began), darkBound)

		began = time.Now()
		require.Error(t, f.roundTrip(t.Context(), 10))
		require.Less(t, time.Since(began), 50*time.Millisecond, "the same attempt is not waited for twice")

		// The attempt itself goes on and serves later calls.
		f.net.Heal()
		time.Sleep(peerRecovers)
		require.NoError(t, f.roundTrip(t.Context(), 10))
	})
}

// peerRecovers is the longest time of an attempt and the pause after it.
const peerRecovers = 3 * time.Second
