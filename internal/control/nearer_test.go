package control

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// Guards against redirecting a new node to a replica whose state no quorum confirms. After a power failure
// of all hosts, a replica that lost its disk answers other replicas long before it belongs to the cluster
// again. Until then the node must get its configuration from another replica.
func TestNodesAreNotRedirectedToUnconfirmedReplica(t *testing.T) {
	runWithCluster(t, 3, func(c *cluster) {
		request := func() *apiv1.SyncRequest {
			return &apiv1.SyncRequest{Node: "n", Incarnation: 1, Address: "n", DataCentre: "dc-host-2"}
		}
		redirected := func() bool {
			resp, err := c.hosts["host-1"].replica.Sync(context.Background(), request())
			return err == nil && resp.RegistrySource == "" && resp.Placement != nil
		}
		c.eventually(5*time.Second, redirected)

		// The replica keeps running but reaches no quorum.
		unconfirmed := c.hosts["host-2"].replica
		for _, other := range []string{"host-1", "host-3"} {
			c.net.Block("host-2", other)
			c.net.Block(other, "host-2")
		}
		require.True(t, unconfirmed.recentlyConfirmed(unconfirmed.o.Clock.Now()), "its last quorum round has only just ended")
		c.eventually(5*time.Second, func() bool { return !unconfirmed.recentlyConfirmed(unconfirmed.o.Clock.Now()) })
		c.eventually(5*time.Second, func() bool { return !redirected() })

		// A new process of the host answers registry exchanges, but does not belong to the cluster yet.
		r := c.hosts["host-1"].replica
		now := r.o.Clock.Now()
		first := unconfirmed.o.Identity.Incarnation + 1
		reply := &apiv1.RelayMessage{Source: "host-2", Incarnation: first, ReadingNs: 1}
		r.relay.HandleReply(now, reply)
		require.False(t, redirected(), "a new process has not said that it vouches")
		reply.Vouches = true
		r.relay.HandleReply(now, reply)
		require.True(t, redirected())

		// A message of yet another new process arrives, and then a late one of the process before.
		r.relay.HandleReply(now, &apiv1.RelayMessage{Source: "host-2", Incarnation: first + 1, ReadingNs: 1})
		require.False(t, redirected(), "a new process has not said that it vouches")
		r.relay.Merge(now, &apiv1.RelayMessage{Source: "host-2", Incarnation: first, Vouches: true})
		require.False(t, redirected(), "a message of an earlier process says nothing about the new one")
	})
}

// Guards against ignoring the first reply of a new process: a replica that restarted quickly can already be
// confirmed by a quorum by then.
func TestFirstReplyOfNewProcessCanReportConfirmedState(t *testing.T) {
	runWithCluster(t, 3, func(c *cluster) {
		r := c.hosts["host-1"].replica
		now := r.o.Clock.Now()
		incarnation := c.hosts["host-2"].replica.o.Identity.Incarnation + 1
		r.relay.HandleReply(now, &apiv1.RelayMessage{Source: "host-2", Incarnation: incarnation, ReadingNs: 1, Vouches: true})
		require.True(t, r.relay.CanConfirm(now, "host-2", time.Second))
	})
}
