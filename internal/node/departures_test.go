package node

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// leave makes a target leave that the node has not heard of.
func leave(p *Process, name string) {
	p.local.RemoveReported(time.Now(), name)
}

// TestConfirmationDuringAStop guards against a confirmation that adds goroutines to a WaitGroup that is already waited for: they run on after the process
// has closed, and the WaitGroup may panic.
func TestConfirmationDuringAStop(t *testing.T) {
	var logs lockedBuffer
	p := startNode(t, "127.0.0.1", "", nil, &logs)
	require.Eventually(t, func() bool { return len(p.board.Placement.Load().GetReplicas()) > 0 }, startLimit, 10*time.Millisecond)
	// Another replica, which does not answer: calls to it are logged when they fail.
	placement := &apiv1.Placement{Revision: 1, Replicas: []*apiv1.ReplicaInfo{{Id: 1, Node: "absent", Address: freeAddress(t, "127.0.0.2")}}}
	p.board.Placement.Publish(placement)
	leave(p, "before")
	require.ErrorIs(t, p.ConfirmDepartures(t.Context()), ErrNotStored)
	require.Contains(t, logs.String(), "departures not exchanged")

	var confirming sync.WaitGroup
	for range 8 {
		confirming.Go(func() {
			for i := range 50 {
				leave(p, "during")
				_ = p.ConfirmDepartures(t.Context())
				if i%10 == 0 {
					time.Sleep(time.Millisecond)
				}
			}
		})
	}
	p.Close()
	confirming.Wait()
	before := strings.Count(logs.String(), "departures not exchanged")
	leave(p, "after")
	began := time.Now()
	require.ErrorIs(t, p.ConfirmDepartures(t.Context()), ErrNotStored)
	require.Less(t, time.Since(began), departureTimeout)
	require.Equal(t, before, strings.Count(logs.String(), "departures not exchanged"), "a call was started after the process had closed")
}

// TestMajorityWhileTheClusterIsFounded guards against a node that takes the first voters of a cluster for all of them: the placement names one at first,
// and a node may hold an old placement after others have joined.
func TestMajorityWhileTheClusterIsFounded(t *testing.T) {
	replicas := func(n int) []*apiv1.ReplicaInfo {
		list := []*apiv1.ReplicaInfo{{Id: 99, Learner: true}}
		for i := range n {
			list = append(list, &apiv1.ReplicaInfo{Id: uint64(i + 1)})
		}
		return list
	}
	for _, c := range []struct {
		revision               uint64
		voters, founding, want int
	}{
		{0, 1, 5, 5},
		{0, 3, 5, 5},
		{0, 6, 5, 6},
		{0, 1, 0, 1},
		// A founded cluster may have fewer voters for a while.
		{1, 4, 5, 4},
	} {
		asked, voters := votersOf(&apiv1.Placement{Revision: c.revision, Replicas: replicas(c.voters)}, c.founding)
		require.Len(t, asked, c.voters, "learners don't count")
		require.Equal(t, c.want, voters, "%+v", c)
	}
	require.False(t, majority(2, 5))
	require.True(t, majority(3, 5))
}
