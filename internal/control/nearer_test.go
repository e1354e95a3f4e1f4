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

		// The replica runs and answers relay messages, but reaches no quorum.
		c.net.Block("host-2", "host-3")
		c.net.Block("host-3", "host-2")
		lost := c.hosts["host-2"].replica
		c.eventually(5*time.Second, func() bool { return !sent() || lost.vouches(time.Now()) })
		r := c.hosts["host-1"].replica
		now := r.o.Clock.Now()
		reply := &apiv1.RelayMessage{Source: "host-2", Incarnation: lost.o.Identity.Incarnation + 1, ReadingNs: 1}
		r.relay.Acknowledged(now, reply)
		require.False(t, sent(), "a new process has not said that it vouches")
		reply.Vouches = true
		r.relay.Acknowledged(now, reply)
		require.True(t, sent())
	})
}
