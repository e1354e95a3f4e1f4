package registry

import (
	"math"
	"time"
)

const (
	// penaltyHalfLife is the time in which the penalty decays to half.
	penaltyHalfLife = 15 * time.Second
	// suppressThreshold is the penalty from which a target is suppressed.
	suppressThreshold = 3.0
	// reuseThreshold is the penalty below which it becomes visible again.
	reuseThreshold = 1.5
	// maxPenalty bounds the penalty, and thereby the time that a target stays suppressed.
	maxPenalty = 6.0
)

// flapDamping is the flap damping state of one target. Each disappearance adds 1
// to a penalty that decays exponentially. A target that keeps disappearing is
// suppressed for a while, so that it doesn't load callers and heartbeats with
// changes.
type flapDamping struct {
	penalty    float64
	updatedAt  time.Time
	suppressed bool
}

// decay applies the decay of the penalty up to now.
func (f *flapDamping) decay(now time.Time) {
	if f.penalty > 0 {
		f.penalty *= math.Exp2(-now.Sub(f.updatedAt).Seconds() / penaltyHalfLife.Seconds())
	}
	f.updatedAt = now
}

// addDisappearance adds a disappearance to the penalty.
func (f *flapDamping) addDisappearance(now time.Time) {
	f.decay(now)
	f.penalty = min(f.penalty+1, maxPenalty)
	if f.penalty >= suppressThreshold {
		f.suppressed = true
	}
}

// isSuppressed reports whether the target is suppressed.
func (f *flapDamping) isSuppressed(now time.Time) bool {
	if !f.suppressed {
		return false
	}
	f.decay(now)
	if f.penalty < reuseThreshold {
		f.suppressed = false
	}
	return f.suppressed
}
