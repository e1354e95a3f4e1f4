package control

import (
	"context"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// Service is the interface of the control plane for nodes and operators. *Replica implements it
// in its own process, *Client over connections to any live replica.
type Service interface {
	// Propose submits a configuration change. The outcome says whether it was accepted; an error
	// means that no replica answered.
	Propose(ctx context.Context, r *apiv1.ProposeRequest) (*apiv1.ProposeResponse, error)
	// Sync is the heartbeat of a node: it reports the node's state and returns what has changed,
	// together with the revision that a quorum confirmed as current.
	Sync(ctx context.Context, r *apiv1.SyncRequest) (*apiv1.SyncResponse, error)
	// Lease requests rate-limit tokens from the owner of a rate shard.
	Lease(ctx context.Context, r *apiv1.LeaseRequest) (*apiv1.LeaseResponse, error)
	// UpdateRunRecord claims or finishes a run record.
	UpdateRunRecord(ctx context.Context, r *apiv1.RunRequest) (*apiv1.RunResponse, error)
	// Status describes the control plane as the answering replica sees it.
	Status(ctx context.Context) (*apiv1.ControlStatus, error)
}

var (
	_ Service = (*Replica)(nil)
	_ Service = (*Client)(nil)
)
