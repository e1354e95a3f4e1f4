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

// execute applies an assignment as the store does.
func execute(owners []*apiv1.ShardOwner, plan *apiv1.ShardAssignment) []*apiv1.ShardOwner {
	next := append([]*apiv1.ShardOwner(nil), owners...)
	for _, owner := range plan.GetOwners() {
		moved := proto.CloneOf(owner)
		moved.Epoch++
		next[owner.Shard] = moved
	}
	return next
}

// Guards against shards that move without need (each move costs a wait before tokens are granted
// again), and against owners with more than their share.
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
	require.Nil(t, planShards(owners, live, true), "no shard moves while all owners live and are balanced")

	// A replica from which the leader has received no message keeps its shards and gets no others.
	unheard := []candidate{live[0], {replicaInfo(2, false), 0}}
	plan := planShards(owners, unheard, true)
	require.Len(t, plan.Owners, 4)
	for _, owner := range plan.Owners {
		require.Equal(t, uint64(1), owner.Replica)
	}
	require.Nil(t, planShards(owners, []candidate{{replicaInfo(1, false), 0}, unheard[1], live[2]}, true))

	// A restarted process does not know what it granted: it needs a new epoch even for its own shards.
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

	// A new replica gets its share, one shard at a time.
	live = append(live, candidate{replicaInfo(4, false), 14})
	for planShards(owners, live, true) != nil {
		plan := planShards(owners, live, true)
		require.Len(t, plan.Owners, 1)
		owners = execute(owners, plan)
	}
	require.Equal(t, map[uint64]int{1: 3, 2: 3, 3: 3, 4: 3}, counts())
	require.Nil(t, planShards(owners, nil, true))
}

// Guards against membership changes of more than one replica at a time, and against learners that vote
// before they have caught up.
func TestMembershipMovesInSafeSteps(t *testing.T) {
	members := func(r ...*apiv1.ReplicaInfo) *apiv1.Membership { return &apiv1.Membership{Replicas: r} }
	current := members(replicaInfo(1, false), replicaInfo(2, false), replicaInfo(3, false))
	require.Nil(t, nextAdmissionStep(current, replicaInfo(3, false)), "a member needs no further step")

	// The same node with another identity: the old replica is removed first.
	again := replicaInfo(3, false)
	again.Id = 7
	next := nextAdmissionStep(current, again)
	require.Nil(t, findMember(next, 3))
	require.Nil(t, findMember(next, 7))
	next = nextAdmissionStep(next, again)
	require.True(t, findMember(next, 7).Learner)
	require.Len(t, next.Replicas, 3)

	moved := replicaInfo(2, false)
	moved.Address = "elsewhere"
	require.Equal(t, "elsewhere", findMember(nextAdmissionStep(current, moved), 2).Address)

	// Another group converges to the same members, in steps of one replica each.
	peers := func(m *apiv1.Membership, caughtUp bool) []replica.Peer {
		var list []replica.Peer
		for _, r := range m.Replicas {
			list = append(list, replica.Peer{Replica: r, CaughtUp: caughtUp})
		}
		return list
	}
	target := members(replicaInfo(1, false), moved, replicaInfo(7, false), replicaInfo(8, true))
	require.Nil(t, findMember(nextStepTowards(peers(current, true), target), 3))
	for range 10 {
		step := nextStepTowards(peers(current, false), target)
		if step == nil {
			break
		}
		current = step
	}
	require.True(t, findMember(current, 7).Learner, "a learner that has not caught up does not vote")
	current = nextStepTowards(peers(current, true), target)
	require.False(t, findMember(current, 7).Learner)
	require.Nil(t, nextStepTowards(peers(current, true), target))
	require.True(t, findMember(current, 8).Learner, "a learner of the target stays a learner")
}
