package control

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// TestNodesAreNotSentToAReplicaThatCannotVouch: all hosts have lost power and one replica its disk. It answers other replicas long
// before it belongs to the cluster again; a node that has just started must get its configuration from one that can vouch.
func TestNodesAreNotSentToAReplicaThatCannotVouch(t *testing.T) {
	inCluster(t, 3, func(c *cluster) {
		request := func() *apiv1.SyncRequest {
			return &apiv1.SyncRequest{Node: "n", Incarnation: 1, Address: "n", DataCentre: "dc-host-2"}
		}
		sent := func() bool {
			resp, err := c.hosts["host-1"].replica.Sync(context.Background(), request())
			return err == nil && resp.RegistrySource == "" && resp.Placement != nil
		}
		c.eventually(5*time.Second, sent)

		// The replica runs on, but reaches no quorum.
		lost := c.hosts["host-2"].replica
		for _, other := range []string{"host-1", "host-3"} {
			c.net.Block("host-2", other)
			c.net.Block(other, "host-2")
		}
		require.True(t, lost.vouches(lost.o.Clock.Now()), "its last quorum round was a moment ago")
		c.eventually(5*time.Second, func() bool { return !lost.vouches(lost.o.Clock.Now()) })
		c.eventually(5*time.Second, func() bool { return !sent() })

		// It answers relay messages again, as a new process that does not belong to the cluster yet.
		r := c.hosts["host-1"].replica
		now := r.o.Clock.Now()
		first := lost.o.Identity.Incarnation + 1
		reply := &apiv1.RelayMessage{Source: "host-2", Incarnation: first, ReadingNs: 1}
		r.relay.Acknowledged(now, reply)
		require.False(t, sent(), "a new process has not said that it vouches")
		reply.Vouches = true
		r.relay.Acknowledged(now, reply)
		require.True(t, sent())

		// Another new process is heard from, and then a late message of the one before.
		r.relay.Acknowledged(now, &apiv1.RelayMessage{Source: "host-2", Incarnation: first + 1, ReadingNs: 1})
		require.False(t, sent(), "a new process has not said that it vouches")
		r.relay.Merge(now, &apiv1.RelayMessage{Source: "host-2", Incarnation: first, Vouches: true})
		require.False(t, sent(), "an earlier process speaks for itself only")
	})
}

// TestFirstReplyOfANewProcessCanSayThatItVouches: a replica that was away for a moment vouches again by the time of its first reply.
func TestFirstReplyOfANewProcessCanSayThatItVouches(t *testing.T) {
	inCluster(t, 3, func(c *cluster) {
		r := c.hosts["host-1"].replica
		now := r.o.Clock.Now()
		incarnation := c.hosts["host-2"].replica.o.Identity.Incarnation + 1
		r.relay.Acknowledged(now, &apiv1.RelayMessage{Source: "host-2", Incarnation: incarnation, ReadingNs: 1, Vouches: true})
		require.True(t, r.relay.Vouching(now, "host-2", time.Second))
	})
}
