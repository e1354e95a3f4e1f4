package runrecord

import (
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/clock"
)

// Stamper sets the time of log entries for the leader of a shard. Its time starts at that of the
// table and advances with the leader's monotonic clock.
type Stamper struct {
	clock clock.Clock
	// startTableTime is the table's time, in nanoseconds, at startedAt.
	startTableTime int64
	startedAt      time.Time
}

// NewStamper returns a stamper for a leader's term that begins now, when the table's time is tableNow.
func NewStamper(clk clock.Clock, tableNow int64) *Stamper {
	return &Stamper{clock: clk, startTableTime: tableNow, startedAt: clk.Now()}
}

// Stamp sets the time of the claim or the outcome in a request.
func (s *Stamper) Stamp(r *apiv1.RunRequest) {
	now := s.startTableTime + int64(s.clock.Now().Sub(s.startedAt))
	if r.GetClaim() != nil {
		r.Claim.NowUnixNs = now
	}
	if r.GetFinish() != nil {
		r.Finish.NowUnixNs = now
	}
}
