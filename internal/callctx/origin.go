// Package callctx holds the context of a request that is passed down its call tree.
//
// A request that a caller sends is the root of a call tree; the sub-calls that targets make to execute it are the rest
// of the tree. An Origin describes the request at the root. A RunningCall is a call that a target executes at present,
// and a Handle is the opaque token by which the target refers to it.
//
// The entry node, which receives the request, creates its Origin after it has checked the key. The node at a target's
// host keeps the Origin of each call that runs at the target, and gives the target only a Handle. The context of a
// sub-call is taken from the record that the Handle refers to, so a target cannot forge it.
package callctx

import (
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/retry"
)

// OpenOrganisation is the organisation to which requests without a key, on open routes, are attributed.
const OpenOrganisation = "(open)"

// Origin describes the request at the root of a call tree, together with the limits for one of the calls in the tree.
type Origin struct {
	RequestID    string
	Organisation string
	// Weight is the fair-share weight of the organisation.
	Weight   float64
	Class    string
	Priority int
	// Route is the name of the route that the request at the root matched.
	Route string
	// Level is the load-shedding level of the request at the root. All its sub-calls share it.
	Level uint32
	// Depth is the number of ancestors, in the call tree, of a call made with this origin.
	Depth    int
	Deadline time.Time
	// Allowance is the number of extra attempts (retries) left to this subtree.
	Allowance *retry.Allowance
	// KeyNumber is the sequence number of the caller's key; 0 for requests without a key.
	KeyNumber uint64
	// MergeCutoff is called with the load-shedding cutoff of each service that a sub-call used; nil at the root.
	MergeCutoff func(cutoff *apiv1.Cutoff)
}

// HasKey reports whether the request was authenticated by a key.
func (o *Origin) HasKey() bool {
	return o.KeyNumber != 0
}
