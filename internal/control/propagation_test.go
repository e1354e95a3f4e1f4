package control

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/peer"
)

// follower is a node that follows the configuration through a client.
type follower struct {
	client  *Client
	pool    *peer.Pool
	request *apiv1.SyncRequest
	// arrivals is when each revision arrived, by the clock of the test.
	arrivals map[uint64]time.Time
}

func newFollower(c *cluster, number int) *follower {
	name := fmt.Sprintf("node-%d", number)
	pool := peer.NewPool(peer.Identity{Node: name, Incarnation: 1}, c.net.Host(name), peer.PoolOptions{Seed: uint64(number + 1)})
	return &follower{
		client:   NewClient(pool, c.names, ClientOptions{Seed: uint64(number + 1)}),
		pool:     pool,
		request:  &apiv1.SyncRequest{Node: name, Incarnation: 1, WaitNs: int64(time.Second)},
		arrivals: map[uint64]time.Time{},
	}
}

// run sends heartbeats until ctx ends, and checks that revisions arrive without gaps and only grow.
func (f *follower) run(ctx context.Context, t *testing.T) {
	defer f.pool.Close()
	for ctx.Err() == nil {
		response, err := f.client.Sync(ctx, f.request)
		if err != nil {
			clock.Sleep(ctx, 100*time.Millisecond)
			continue
		}
		if response.Placement != nil {
			f.request.PlacementVersion = response.Placement.Version
		}
		for _, delta := range response.Deltas {
			require.Equal(t, f.request.Revision+1, delta.Revision)
			f.setRevision(delta.Revision)
		}
		if response.Snapshot != nil {
			require.Greater(t, response.Snapshot.Revision, f.request.Revision)
			f.setRevision(response.Snapshot.Revision)
		}
	}
}

func (f *follower) setRevision(revision uint64) {
	f.request.Revision = revision
	f.arrivals[revision] = time.Now()
}

// Guards against changes that reach nodes too late. It measures the time from the acceptance of a change to
// its arrival at the last of 500 nodes, also after the loss of the leader.
func TestChangesReachAllFollowers(t *testing.T) {
	runWithCluster(t, 3, func(c *cluster) {
		const nodes = followerCount
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var group sync.WaitGroup
		var followers []*follower
		for i := range nodes {
			f := newFollower(c, i)
			followers = append(followers, f)
			group.Add(1)
			go func() {
				defer group.Done()
				f.run(ctx, t)
			}()
		}
		time.Sleep(3 * time.Second)
		accepted := map[uint64]time.Time{}
		for i := range 10 {
			revision := c.mustAccept(c.other(), change(fmt.Sprint(i)))
			accepted[revision] = time.Now()
			time.Sleep(200 * time.Millisecond)
			if i == 7 {
				c.crash(c.leader())
			}
		}
		time.Sleep(3 * time.Second)
		cancel()
		group.Wait()
		var steady, afterLoss time.Duration
		for revision, at := range accepted {
			for _, f := range followers {
				arrived, ok := f.arrivals[revision]
				if !ok {
					continue // it arrived in a snapshot with a later one
				}
				if revision <= 8 {
					steady = max(steady, arrived.Sub(at))
				} else {
					afterLoss = max(afterLoss, arrived.Sub(at))
				}
			}
		}
		for _, f := range followers {
			require.Equal(t, uint64(10), f.request.Revision)
		}
		t.Logf("time from acceptance to the last of %d nodes: %v; after the loss of the leader %v", nodes, steady, afterLoss)
		require.LessOrEqual(t, steady, propagationBound)
		require.LessOrEqual(t, afterLoss, 2*propagationBound, "half of the target of 8 s at full size")
	})
}
