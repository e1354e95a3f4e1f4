package control

import (
	"context"

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

var (
	_ Service = (*Replica)(nil)
	_ Service = (*Client)(nil)
)
