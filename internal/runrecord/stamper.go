package runrecord

import (
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/clock"
)

// Stamper gives the leader of a shard the time for its entries. It starts at the table's
// time and advances with the leader's monotonic clock.
type Stamper struct {
	clock clock.Clock
	base  int64
	began time.Time
}

// NewStamper returns a stamper for a term that begins now with the table at tableNow.
func NewStamper(clk clock.Clock, tableNow int64) *Stamper {
	return &Stamper{clock: clk, base: tableNow, began: clk.Now()}
}

// Stamp sets the time of the claim or finish of a request.
func (s *Stamper) Stamp(r *apiv1.RunRequest) {
	now := s.base + int64(s.clock.Now().Sub(s.began))
	if r.GetClaim() != nil {
		r.Claim.NowUnixNs = now
	}
	if r.GetFinish() != nil {
		r.Finish.NowUnixNs = now
	}
}
