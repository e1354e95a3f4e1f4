// Package control is one process's control replica.
package control

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/store"
	"github.com/guavaford/guavaford/internal/telemetry"
)

// Options of a replica.
type Options struct {
	DataFolder string
	// Node is the name of this host, and Incarnation the number of this process.
	Node        string
	Incarnation uint64
	// Address is the peer address of this host.
	Address    string
	DataCentre string
	// InitialReplicas are the peer addresses of the replicas that found the cluster together;
	// empty or only the own address founds a group of one.
	InitialReplicas []string
	Bootstrap       bool
	// Check validates a whole configuration; nil accepts every one.
	Check store.Checker
	// NewRunTable makes the state machine of one shard of run records.
	NewRunTable func() RunTable
	Registry    Registry
	RateShards  uint32
	RunShards   uint32
	Clock       clock.Clock
	Log         telemetry.Logger
}

// Replica is a control replica.
type Replica struct {
	options Options
	store   *store.Store

	mu     sync.Mutex
	tables []RunTable
	index  uint64
}

// Open starts a replica on its data folder.
func Open(o Options) (*Replica, error) {
	r := &Replica{options: o, store: store.New(o.Check)}
	for range o.RunShards {
		r.tables = append(r.tables, o.NewRunTable())
	}
	r.apply(&apiv1.StoreCommand{Setup: &apiv1.ClusterSetup{RateShards: o.RateShards, RunShards: o.RunShards}})
	return r, nil
}

// Serve runs the replica until the context ends.
func (r *Replica) Serve(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// TransferLeadership hands leadership over before a planned stop.
func (r *Replica) TransferLeadership(context.Context) {}

func (r *Replica) apply(command *apiv1.StoreCommand) *apiv1.StoreReply {
	data, err := proto.Marshal(command)
	if err != nil {
		panic(err)
	}
	r.index++
	var reply apiv1.StoreReply
	if err := proto.Unmarshal(r.store.Apply(r.index, data), &reply); err != nil {
		panic(err)
	}
	return &reply
}

// Propose submits a change.
func (r *Replica) Propose(_ context.Context, request *apiv1.ProposeRequest) (*apiv1.ProposeResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := r.apply(r.store.Validate(request.Change))
	return &apiv1.ProposeResponse{Outcome: reply.Outcome}, nil
}

// Sync vouches for the revision, and returns early on news.
func (r *Replica) Sync(ctx context.Context, request *apiv1.SyncRequest) (*apiv1.SyncResponse, error) {
	response := &apiv1.SyncResponse{Vouched: true, VouchedRevision: r.store.Head().Load().Revision}
	if r.options.Registry != nil {
		response.WantAnnounced = r.options.Registry.Announced(r.options.Clock.Now(), request)
	}
	response.RegistrySource = r.options.Node
	wait := time.NewTimer(time.Duration(request.WaitNs))
	defer wait.Stop()
	for {
		_, changed := r.store.Head().Watch()
		var registryChanged <-chan struct{}
		if r.options.Registry != nil {
			registryChanged = r.options.Registry.Changed()
			response.Services = r.options.Registry.Updates(request)
		}
		news := r.store.Since(request.Revision)
		response.Snapshot, response.Deltas = news.Snapshot, news.Deltas
		if news.Snapshot != nil || len(news.Deltas) > 0 || len(response.Services) > 0 || response.WantAnnounced {
			break
		}
		select {
		case <-changed:
			continue
		case <-registryChanged:
			continue
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-wait.C:
		}
		break
	}
	head := r.store.Head().Load()
	self := &apiv1.ReplicaInfo{Id: 1, Node: r.options.Node, Address: r.options.Address, DataCentre: r.options.DataCentre}
	response.Placement = &apiv1.Placement{
		Revision:   head.Revision,
		Replicas:   []*apiv1.ReplicaInfo{self},
		RateShards: head.RateShards,
		RunShards:  head.RunShards,
	}
	for shard := range head.RateShards {
		response.Placement.RateOwners = append(response.Placement.RateOwners,
			&apiv1.ShardOwner{Shard: shard, Replica: 1, Address: r.options.Address, Epoch: 1})
	}
	return response, nil
}

// Lease asks the owner of a rate shard for tokens.
func (r *Replica) Lease(_ context.Context, request *apiv1.LeaseRequest) (*apiv1.LeaseResponse, error) {
	return &apiv1.LeaseResponse{Sequence: request.Sequence, NotOwner: true}, nil
}

// Run claims or finishes a run record.
func (r *Replica) Run(_ context.Context, request *apiv1.RunRequest) (*apiv1.RunResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	data, err := proto.Marshal(request)
	if err != nil {
		return nil, err
	}
	r.index++
	response := &apiv1.RunResponse{}
	return response, proto.Unmarshal(r.tables[request.Shard].Apply(r.index, data), response)
}

// Status describes control as this replica sees it.
func (r *Replica) Status(context.Context) (*apiv1.ControlStatus, error) {
	return &apiv1.ControlStatus{Revision: r.store.Head().Load().Revision, Vouched: true}, nil
}

var _ Service = (*Replica)(nil)
