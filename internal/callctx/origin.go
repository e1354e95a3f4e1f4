// Package callctx holds what is known of a request for its whole call tree.
//
// The entry node creates an Origin after it has checked the key. Each node beside a
// target keeps the Origin of the calls that run there and names it to the target by
// an opaque Handle. A sub-call takes everything that matters from that record, so a
// target has nothing that it could forge.
package callctx

import (
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/retry"
)

// OpenOrganisation is the organisation that requests on routes open to all count against.
const OpenOrganisation = "(open)"

// Origin describes the request at the root of a call tree as one of its calls sees it.
type Origin struct {
	RequestID    string
	Organisation string
	// Weight is the fair-share weight of the organisation.
	Weight   float64
	Class    string
	Priority int
	// Route is the route by which the request at the root came in.
	Route string
	// Level is the shedding level of the whole request.
	Level uint32
	// Depth is the number of calls above a call made with this origin.
	Depth    int
	Deadline time.Time
	// Allowance holds the extra attempts that are left to this part of the tree.
	Allowance *retry.Allowance
	// KeyNumber is the sequence number of the caller's key; 0 on routes open to all.
	KeyNumber uint64
	// Fold takes the cutoffs of services that sub-calls used; nil at the root.
	Fold func(cutoff *apiv1.Cutoff)
}

// Keyed reports whether the request came with a key.
func (o *Origin) Keyed() bool {
	return o.KeyNumber != 0
}
