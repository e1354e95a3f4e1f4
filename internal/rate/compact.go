package rate

import (
	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// OmitIdentity returns a request without its identity if that is the identity of the connection on which it is sent.
// Any other identity is sent in full, since the owner keeps one lease for each.
func OmitIdentity(r *apiv1.LeaseRequest, connection Identity) *apiv1.LeaseRequest {
	if r.GetNode() != connection.Node || r.GetIncarnation() != connection.Incarnation {
		return r
	}
	return &apiv1.LeaseRequest{Sequence: r.GetSequence(), Shard: r.GetShard(), Epoch: r.GetEpoch(), Demands: r.GetDemands()}
}

// FillIdentity fills in the identity that OmitIdentity left out.
func FillIdentity(r *apiv1.LeaseRequest, connection Identity) {
	if r.GetNode() == "" {
		r.Node, r.Incarnation = connection.Node, connection.Incarnation
	}
}
