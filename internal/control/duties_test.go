package control

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/replica"
)

func replicaInfo(id uint64, learner bool) *apiv1.ReplicaInfo {
	return &apiv1.ReplicaInfo{Id: id, Node: fmt.Sprint("n", id), Address: fmt.Sprint("a", id), Learner: learner}
}

// execute applies a plan as the store does.
func execute(owners []*apiv1.ShardOwner, plan *apiv1.ShardAssignment) []*apiv1.ShardOwner {
	next := append([]*apiv1.ShardOwner(nil), owners...)
	for _, owner := range plan.GetOwners() {
		moved := proto.CloneOf(owner)
		moved.Epoch++
		next[owner.Shard] = moved
	}
	return next
}

func TestShardsMoveOnlyFromDeadOwners(t *testing.T) {
	var owners []*apiv1.ShardOwner
	for shard := range uint32(12) {
		owners = append(owners, &apiv1.ShardOwner{Shard: shard})
	}
	live := []candidate{{replicaInfo(1, false), 11}, {replicaInfo(2, false), 12}, {replicaInfo(3, false), 13}}
	owners = execute(owners, planShards(owners, live, false))
	counts := func() map[uint64]int {
		n := map[uint64]int{}
		for _, owner := range owners {
			n[owner.Replica]++
		}
		return n
	}
	require.Equal(t, map[uint64]int{1: 4, 2: 4, 3: 4}, counts())
	require.Nil(t, planShards(owners, live, true), "nothing is to do")

	// A replica that the leader has not heard itself keeps its shards and gets none.
	unheard := []candidate{live[0], {replicaInfo(2, false), 0}}
	plan := planShards(owners, unheard, true)
	require.Len(t, plan.Owners, 4)
	for _, owner := range plan.Owners {
		require.Equal(t, uint64(1), owner.Replica)
	}
	require.Nil(t, planShards(owners, []candidate{{replicaInfo(1, false), 0}, unheard[1], live[2]}, true))

	// A restarted process has forgotten what it granted: it needs a new epoch even for its own shards.
	live[1].incarnation = 99
	plan = planShards(owners, live, false)
	require.Len(t, plan.Owners, 4)
	owners = execute(owners, plan)
	require.Equal(t, map[uint64]int{1: 4, 2: 4, 3: 4}, counts())
	for _, owner := range owners {
		if owner.Replica == 2 {
			require.Equal(t, uint64(99), owner.Incarnation)
			require.Equal(t, uint64(2), owner.Epoch)
		}
	}

	// A new replica gets its share one shard at a time.
	live = append(live, candidate{replicaInfo(4, false), 14})
	for planShards(owners, live, true) != nil {
		plan := planShards(owners, live, true)
		require.Len(t, plan.Owners, 1)
		owners = execute(owners, plan)
	}
	require.Equal(t, map[uint64]int{1: 3, 2: 3, 3: 3, 4: 3}, counts())
	require.Nil(t, planShards(owners, nil, true))
}

func TestMembershipMovesInSafeSteps(t *testing.T) {
	members := func(r ...*apiv1.ReplicaInfo) *apiv1.Membership { return &apiv1.Membership{Replicas: r} }
	current := members(replicaInfo(1, false), replicaInfo(2, false), replicaInfo(3, false))
	require.Nil(t, admission(current, replicaInfo(3, false)), "a member is admitted")

	// The same node with another identity: the old one goes first.
	again := replicaInfo(3, false)
	again.Id = 7
	next := admission(current, again)
	require.Nil(t, find(next, 3))
	require.Nil(t, find(next, 7))
	next = admission(next, again)
	require.True(t, find(next, 7).Learner)
	require.Len(t, next.Replicas, 3)

	moved := replicaInfo(2, false)
	moved.Address = "elsewhere"
	require.Equal(t, "elsewhere", find(admission(current, moved), 2).Address)

	// Another group converges to the same members, in steps of one replica each.
	peers := func(m *apiv1.Membership, caughtUp bool) []replica.Peer {
		var list []replica.Peer
		for _, r := range m.Replicas {
			list = append(list, replica.Peer{Replica: r, CaughtUp: caughtUp})
		}
		return list
	}
	target := members(replicaInfo(1, false), moved, replicaInfo(7, false), replicaInfo(8, true))
	require.Nil(t, find(convergence(peers(current, true), target), 3))
	for range 10 {
		step := convergence(peers(current, false), target)
		if step == nil {
			break
		}
		current = step
	}
	require.True(t, find(current, 7).Learner, "a learner that lags does not vote")
	current = convergence(peers(current, true), target)
	require.False(t, find(current, 7).Learner)
	require.Nil(t, convergence(peers(current, true), target))
	require.True(t, find(current, 8).Learner, "one that does not vote in the target does not vote here")
}
