package ratelab

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/blackboard"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/rate"
)

// alternatingSender sends every second request on the node's own connection to the owner, which shortens it, and
// forwards the others through another node, as a node does whose connection to the owner comes and goes.
type alternatingSender struct {
	owner      *rate.Owner
	connection rate.Identity
	sent       atomic.Int64
	mu         sync.Mutex
	identities map[string]bool
}

func (w *alternatingSender) Lease(ctx context.Context, _ string, r *apiv1.LeaseRequest) (*apiv1.LeaseResponse, error) {
	time.Sleep(time.Millisecond)
	if w.sent.Add(1)%2 == 0 {
		r = rate.OmitIdentity(r, w.connection)
		rate.FillIdentity(r, w.connection)
	}
	w.mu.Lock()
	w.identities[fmt.Sprint(r.GetNode(), "/", r.GetIncarnation())] = true
	w.mu.Unlock()
	return w.owner.Lease(ctx, r)
}

// TestNodeHasOneLeaseOnDirectAndForwardedRequests guards against an owner that sees two leases of one node: the tokens
// of the second one would stay outstanding until it ends. The organisation is small, the path of the requests changes
// from one to the next, and the number of shards becomes known after the start.
func TestNodeHasOneLeaseOnDirectAndForwardedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		identity := rate.Identity{Node: "n", Incarnation: 1}
		owner := rate.NewOwner(&movingOwnership{epoch: 1, since: time.Now()}, fixedLimits{perSecond: 5, burst: 5}, clock.System{}, rate.Config{})
		sender := &alternatingSender{owner: owner, connection: identity, identities: map[string]bool{}}
		placement := blackboard.NewSection(&apiv1.Placement{})
		client := rate.NewClient(identity, sender, placement, clock.System{}, rate.Config{})
		var group sync.WaitGroup
		group.Go(func() { client.Run(ctx) })
		time.Sleep(time.Second)
		placement.Publish(placementOf(7))

		refused := 0
		for range 80 {
			time.Sleep(250 * time.Millisecond)
			if _, refusal := client.Take(ctx, "kanzlei"); refusal != nil {
				refused++
			}
		}
		require.Equal(t, map[string]bool{"n/1": true}, sender.identities)
		require.Zero(t, refused, "requests refused at 4 a second and a rate of 5")

		// A changed number of shards ends the leases; the owners must not take the new ones for the old.
		placement.Publish(placementOf(3))
		time.Sleep(100 * time.Millisecond)
		_, refusal := client.Take(ctx, "kanzlei")
		require.Nil(t, refusal)
		require.Len(t, sender.identities, 2, "identities of the requests: %v", sender.identities)
		cancel()
		group.Wait()
	})
}

// placementOf returns a placement in which every shard has an owner.
func placementOf(shards uint32) *apiv1.Placement {
	p := &apiv1.Placement{RateShards: shards}
	for shard := range shards {
		p.RateOwners = append(p.RateOwners, &apiv1.ShardOwner{Shard: shard, Epoch: 1})
	}
	return p
}
