package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// TestClientGoesHomeAsSoonAsItKnowsTheReplicas: at first a node knows only the seeds, and not where they are. What it
// fetches must not cross data centres for half a minute because of that.
func TestClientGoesHomeAsSoonAsItKnowsTheReplicas(t *testing.T) {
	c := NewClient(nil, []string{"seed-1", "seed-2"}, ClientOptions{DataCentre: "kl", Seed: 1})
	now := time.Now()
	first := c.candidates(now)
	require.Len(t, first, 2)
	c.note(first[0], true)
	c.Learn(&apiv1.Placement{Replicas: []*apiv1.ReplicaInfo{
		{Address: "seed-1", DataCentre: "penang"}, {Address: "seed-2", DataCentre: "johor"}, {Address: "home", DataCentre: "kl"},
	}})
	require.NotEqual(t, "home", c.candidates(now.Add(time.Millisecond))[0], "it may have lost its disk, and vouches for nothing yet")
	c.setNearer(true)
	require.Equal(t, "home", c.candidates(now.Add(time.Millisecond))[0])

	// A home replica that fails is left for the others, and not tried again with each heartbeat.
	c.note("home", false)
	c.note("seed-2", true)
	require.Equal(t, "seed-2", c.candidates(now.Add(3 * time.Second))[0])
	require.Equal(t, "home", c.candidates(now.Add(homeInterval + time.Second))[0])
}
