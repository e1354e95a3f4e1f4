// Package board holds the state that the components of one node share.
//
// A board has one section (see package blackboard) for each kind of state. One component publishes a section's
// values, others load the current value or wait for the next:
//
//	section        writer             readers
//	Configuration  follow.Loop        gateway, dispatch, policy, node
//	Freshness      follow.Loop        gateway, node
//	Registry       registry.Directory dispatch, node
//	Placement      follow.Loop        rate, run records, node
package board

import (
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/blackboard"
	"github.com/guavaford/guavaford/internal/config"
	"github.com/guavaford/guavaford/internal/keys"
	"github.com/guavaford/guavaford/internal/registry"
)

// Configuration is the current configuration of a node, compiled, with the API keys that belong to it.
type Configuration struct {
	Revision uint64
	Snapshot *config.Snapshot
	Keys     *keys.Table
}

// Freshness records when a control replica last confirmed the current configuration as the newest one.
type Freshness struct {
	// RequestedAt is the time on the node's own clock at which it sent the request whose response confirmed the
	// configuration. It is zero before the first confirmation.
	RequestedAt time.Time
	// RespondedAt is the time at which that response arrived. A replica that has no changes to send delays its
	// response, so it may be much later than RequestedAt.
	RespondedAt time.Time
}

// Age returns the time since the node sent the request that led to the last confirmation. ok is false before the
// first one.
func (f *Freshness) Age(now time.Time) (age time.Duration, ok bool) {
	if f.RequestedAt.IsZero() {
		return 0, false
	}
	return now.Sub(f.RequestedAt), true
}

// SinceResponse returns the time since the last response of a replica. ok is false before the first confirmation.
func (f *Freshness) SinceResponse(now time.Time) (silence time.Duration, ok bool) {
	if f.RespondedAt.IsZero() {
		return 0, false
	}
	return now.Sub(f.RespondedAt), true
}

// Board holds the sections of one node. See the package comment for their writers and readers.
type Board struct {
	Configuration *blackboard.Section[Configuration]
	Freshness     *blackboard.Section[Freshness]
	Registry      *blackboard.Section[registry.View]
	Placement     *blackboard.Section[apiv1.Placement]
}

// New returns a board with the given registry section, which the directory publishes. All other sections hold empty
// values.
func New(reg *blackboard.Section[registry.View]) (*Board, error) {
	empty, err := config.Compile(0, nil)
	if err != nil {
		return nil, err
	}
	return &Board{
		Configuration: blackboard.NewSection(&Configuration{Snapshot: empty, Keys: keys.NewTable(nil)}),
		Freshness:     blackboard.NewSection(&Freshness{}),
		Registry:      reg,
		Placement:     blackboard.NewSection(&apiv1.Placement{}),
	}, nil
}
