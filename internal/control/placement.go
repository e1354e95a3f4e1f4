package control

import (
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/store"
)

// cachedPlacement is a placement together with the state it was built from.
type cachedPlacement struct {
	head      *store.PublishedState
	view      *view
	placement *apiv1.Placement
}

// placement returns the replicas and the owners of rate shards, for nodes to find them. It is built
// once for each state.
func (r *Replica) placement() *apiv1.Placement {
	head, v := r.store.PublishedState().Load(), r.view.Load()
	if cached := r.placementCache.Load(); cached != nil && cached.head == head && cached.view == v {
		return cached.placement
	}
	placement := &apiv1.Placement{
		Replicas:   v.members,
		RateOwners: head.Owners,
		RateShards: head.RateShards,
		RunShards:  head.RunShards,
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(placement)
	if err != nil {
		panic("control: encode placement: " + err.Error())
	}
	placement.Version = max(1, xxhash.Sum64(data))
	placement.Revision = head.Revision
	r.placementCache.Store(&cachedPlacement{head, v, placement})
	return placement
}

// packOwners replaces the list of rate-shard owners in a response by a table. The list repeats the
// address of an owner for each of its shards, in every response that follows a move.
func packOwners(resp *apiv1.SyncResponse) *apiv1.SyncResponse {
	placement := resp.GetPlacement()
	table, ok := ownerTable(placement.GetRateOwners())
	if !ok {
		return resp
	}
	packed := &apiv1.Placement{
		Revision:   placement.Revision,
		Replicas:   placement.Replicas,
		RateShards: placement.RateShards,
		RunShards:  placement.RunShards,
		Version:    placement.Version,
		OwnerTable: table,
	}
	resp.Placement = packed
	return resp
}

// ownerTable returns the owners as a table. It returns false if they are not ordered by shard or
// there are none.
func ownerTable(owners []*apiv1.ShardOwner) (*apiv1.OwnerTable, bool) {
	type process struct {
		replica, incarnation uint64
		address              string
	}
	table := &apiv1.OwnerTable{}
	index := make(map[process]uint32)
	for i, o := range owners {
		if o.GetShard() != uint32(i) {
			return nil, false
		}
		p := process{o.GetReplica(), o.GetIncarnation(), o.GetAddress()}
		at, ok := index[p]
		if !ok {
			at = uint32(len(table.Processes))
			index[p] = at
			table.Processes = append(table.Processes, &apiv1.ShardProcess{Replica: p.replica, Address: p.address, Incarnation: p.incarnation})
		}
		table.ProcessOf = append(table.ProcessOf, at)
		table.EpochOf = append(table.EpochOf, o.GetEpoch())
	}
	return table, len(owners) > 0
}

// unpackOwners restores the list of rate-shard owners in a response that packOwners has packed. A
// table that refers to a process which it does not contain, or whose columns differ in length, is
// dropped as a whole.
func unpackOwners(resp *apiv1.SyncResponse) {
	placement := resp.GetPlacement()
	table := placement.GetOwnerTable()
	if table == nil {
		return
	}
	placement.OwnerTable = nil
	if len(table.GetEpochOf()) != len(table.GetProcessOf()) {
		return
	}
	owners := make([]*apiv1.ShardOwner, 0, len(table.GetProcessOf()))
	for shard, at := range table.GetProcessOf() {
		if int(at) >= len(table.GetProcesses()) {
			return
		}
		p := table.GetProcesses()[at]
		owners = append(owners, &apiv1.ShardOwner{
			Shard:       uint32(shard),
			Replica:     p.GetReplica(),
			Address:     p.GetAddress(),
			Epoch:       table.GetEpochOf()[shard],
			Incarnation: p.GetIncarnation(),
		})
	}
	placement.RateOwners = owners
}
