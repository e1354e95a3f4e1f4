package control

import (
	"time"

	"github.com/guavaford/guavaford/internal/replica"
)

// syncTimeHalfLife is the time in which the estimate of a sync halves while syncs are faster.
const syncTimeHalfLife = 2 * time.Second

// syncTime estimates how long a sync of the log takes now: as long as the slowest recent one, and replica.MaxSyncTime at most. The zero value estimates
// zero.
type syncTime struct {
	// longest is the slowest recent sync, which ended at the time at.
	longest time.Duration
	at      time.Time
	// last is how long the latest sync took.
	last time.Duration
}

// observe records a sync that has ended now.
func (s *syncTime) observe(now time.Time, took time.Duration) {
	s.last = took
	if took = min(took, replica.MaxSyncTime); took >= s.estimate(now) {
		s.longest, s.at = took, now
	}
}

// estimate returns how long a sync takes now. now may be a reading from before the latest sync.
func (s *syncTime) estimate(now time.Time) time.Duration {
	halvings := max(now.Sub(s.at), 0) / syncTimeHalfLife
	return s.longest >> min(halvings, 62)
}
