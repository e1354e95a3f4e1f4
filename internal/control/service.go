package control

import (
	"context"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// Service is what nodes and operators need of control. *Replica serves it in its own process,
// *Client over connections to any live replica.
type Service interface {
	// Propose submits a change. The outcome says whether it was accepted; an error means that
	// no replica answered.
	Propose(ctx context.Context, r *apiv1.ProposeRequest) (*apiv1.ProposeResponse, error)
	// Sync exchanges a node's state against news, and vouches for the revision.
	Sync(ctx context.Context, r *apiv1.SyncRequest) (*apiv1.SyncResponse, error)
	// Lease asks the owner of a rate shard for tokens.
	Lease(ctx context.Context, r *apiv1.LeaseRequest) (*apiv1.LeaseResponse, error)
	// Run claims or finishes a run record.
	Run(ctx context.Context, r *apiv1.RunRequest) (*apiv1.RunResponse, error)
	// Status describes control as the answering replica sees it.
	Status(ctx context.Context) (*apiv1.ControlStatus, error)
}

// RunTable is the state machine of one shard of run records.
type RunTable interface {
	Apply(index uint64, data []byte) []byte
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// RateOwner serves the rate shards that this replica owns.
type RateOwner interface {
	Lease(ctx context.Context, r *apiv1.LeaseRequest) (*apiv1.LeaseResponse, error)
}

// Registry relays target records between nodes and replicas.
type Registry interface {
	// Announced takes a node's announcement, and reports whether the whole set is wanted.
	Announced(now time.Time, r *apiv1.SyncRequest) (wantAnnounced bool)
	Merge(now time.Time, m *apiv1.RelayMessage)
	Updates(r *apiv1.SyncRequest) []*apiv1.ServiceUpdate
	Outgoing(now time.Time) *apiv1.RelayMessage
	Expire(now time.Time)
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}
