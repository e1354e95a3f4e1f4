package rate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/blackboard"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/outcome"
)

// alwaysOwner owns every shard since a fixed time.
type alwaysOwner struct{ since time.Time }

func (o alwaysOwner) Owned(uint32) (uint64, time.Time, bool) { return firstEpoch, o.since, true }

// sameLimits gives every organisation the same limits.
type sameLimits struct{ perSecond, burst float64 }

func (l sameLimits) Limits(string) (float64, float64, bool) { return l.perSecond, l.burst, true }

// directSender passes requests to an owner with a delay each way.
type directSender struct {
	owner *Owner
	delay time.Duration
}

func (s directSender) Lease(ctx context.Context, _ string, r *apiv1.LeaseRequest) (*apiv1.LeaseResponse, error) {
	time.Sleep(s.delay)
	resp, err := s.owner.Lease(ctx, r)
	time.Sleep(s.delay)
	return resp, err
}

// TestClientStaysWithinRateAndRefusesWithRetryAfter guards against a client that admits more than burst and rate
// allow, and against refusals that don't say when to try again.
func TestClientStaysWithinRateAndRefusesWithRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		owner := NewOwner(alwaysOwner{since: time.Now()}, sameLimits{perSecond: 10, burst: 5}, clock.System{}, Config{})
		placement := blackboard.NewSection(&apiv1.Placement{
			RateShards: 1,
			RateOwners: []*apiv1.ShardOwner{{Epoch: firstEpoch}},
		})
		client := NewClient(Identity{Node: "n1", Incarnation: 7}, directSender{owner, time.Millisecond}, placement, clock.System{}, Config{})
		stopped := make(chan struct{})
		go func() {
			client.Run(ctx)
			close(stopped)
		}()
		time.Sleep(time.Second)

		for range 5 {
			charge, refusal := client.Take(ctx, "kanzlei")
			require.Nil(t, refusal)
			require.True(t, charge.Valid())
		}
		began := time.Now()
		refused := 0
		for range 20 {
			if _, refusal := client.Take(ctx, "kanzlei"); refusal != nil {
				require.Equal(t, outcome.RateExceeded, refusal.Code)
				require.Positive(t, refusal.RetryAfter)
				refused++
			}
		}
		admitted := 20 - refused
		require.LessOrEqual(t, float64(admitted), 5+10*time.Since(began).Seconds())
		require.Positive(t, admitted)
		cancel()
		<-stopped
	})
}
