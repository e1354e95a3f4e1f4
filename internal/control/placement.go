package control

import (
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/store"
)

// builtPlacement is a placement with what it was built from.
type builtPlacement struct {
	head      *store.Head
	view      *view
	placement *apiv1.Placement
}

// placement tells nodes where control duties are. It is built once for each state.
func (r *Replica) placement() *apiv1.Placement {
	head, v := r.store.Head().Load(), r.view.Load()
	if built := r.built.Load(); built != nil && built.head == head && built.view == v {
		return built.placement
	}
	placement := &apiv1.Placement{
		Replicas:   v.members,
		RateOwners: head.Owners,
		RateShards: head.RateShards,
		RunShards:  head.RunShards,
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(placement)
	if err != nil {
		panic("control: a placement does not encode: " + err.Error())
	}
	placement.Version = max(1, xxhash.Sum64(data))
	placement.Revision = head.Revision
	r.built.Store(&builtPlacement{head, v, placement})
	return placement
}

// packOwners returns an answer whose placement carries the owners of rate shards as a table. Each of the many shards
// would otherwise repeat the address of its owner, in every answer that follows a move.
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

// ownerTable returns the owners as a table. It returns false when they are not in the order of the shards, or there are none.
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

// unpackOwners restores the owners of rate shards in an answer that packOwners has packed. A table that names a process
// which it does not hold is dropped as a whole.
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
