package control

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// ownersOfShards assigns shards to replicas in turn, as in a balanced cluster.
func ownersOfShards(shards, replicas int) []*apiv1.ShardOwner {
	owners := make([]*apiv1.ShardOwner, 0, shards)
	for i := range shards {
		replica := i % replicas
		owners = append(owners, &apiv1.ShardOwner{
			Shard:       uint32(i),
			Replica:     uint64(replica+1) << 40,
			Address:     fmt.Sprintf("10.%d.0.44:7440", replica),
			Epoch:       uint64(i%3 + 1),
			Incarnation: uint64(replica+1) << 50,
		})
	}
	return owners
}

// Guards against placements that repeat the address of the owner for each shard: every move of a shard is
// sent to every node.
func TestShardOwnersAreSentAsTable(t *testing.T) {
	full := &apiv1.Placement{Revision: 7, RateShards: 64, RunShards: 4, Version: 99, RateOwners: ownersOfShards(64, 5)}
	resp := packOwners(&apiv1.SyncResponse{Placement: proto.CloneOf(full)})
	require.Less(t, proto.Size(resp), 500)
	require.Greater(t, proto.Size(full), 2000)
	unpackOwners(resp)
	require.True(t, proto.Equal(full, resp.Placement))

	require.Nil(t, packOwners(&apiv1.SyncResponse{}).Placement)
	none := packOwners(&apiv1.SyncResponse{Placement: &apiv1.Placement{Version: 1}})
	unpackOwners(none)
	require.EqualValues(t, 1, none.Placement.Version)
}

// Guards against a panic of the node on an inconsistent table: one that refers to a process which it does not
// contain, or whose columns differ in length, yields no owners.
func TestInconsistentOwnerTableIsDropped(t *testing.T) {
	for _, table := range []*apiv1.OwnerTable{
		{ProcessOf: []uint32{3}, EpochOf: []uint64{1}, Processes: []*apiv1.ShardProcess{{Replica: 1}}},
		{ProcessOf: []uint32{0, 0}, EpochOf: []uint64{1}, Processes: []*apiv1.ShardProcess{{Replica: 1}}},
	} {
		resp := &apiv1.SyncResponse{Placement: &apiv1.Placement{OwnerTable: table}}
		unpackOwners(resp)
		require.Empty(t, resp.Placement.RateOwners)
	}
}
