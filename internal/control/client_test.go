package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// Guards against a client that keeps fetching from another data centre until localRetryInterval is
// over (half a minute): at first a node knows only the seeds, and not their data centres. It must
// switch as soon as a replica in its own data centre is known to be confirmed by a quorum.
func TestClientSwitchesToLocalReplicaOnceItIsConfirmed(t *testing.T) {
	c := NewClient(nil, []string{"seed-1", "seed-2"}, ClientOptions{DataCentre: "kl", Seed: 1})
	now := time.Now()
	first := c.candidates(now)
	require.Len(t, first, 2)
	c.recordAttempt(first[0], true)
	c.UpdatePlacement(&apiv1.Placement{Replicas: []*apiv1.ReplicaInfo{
		{Address: "seed-1", DataCentre: "penang"}, {Address: "seed-2", DataCentre: "johor"}, {Address: "home", DataCentre: "kl"},
	}})
	require.NotEqual(t, "home", c.candidates(now.Add(time.Millisecond))[0], "the local replica may have lost its disk; no quorum has confirmed its state yet")
	c.setLocalAvailable(true)
	require.Equal(t, "home", c.candidates(now.Add(time.Millisecond))[0])

	// After a failure of the local replica the client uses another one, and doesn't try the local one
	// again with each heartbeat.
	c.recordAttempt("home", false)
	c.recordAttempt("seed-2", true)
	require.Equal(t, "seed-2", c.candidates(now.Add(3 * time.Second))[0])
	require.Equal(t, "home", c.candidates(now.Add(localRetryInterval + time.Second))[0])
}
