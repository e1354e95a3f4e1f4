package node

import (
	"testing"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

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
