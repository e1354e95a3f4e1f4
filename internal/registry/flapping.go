package registry

import (
	"math"
	"time"
)

const (
	// flapHalfLife is the time in which the count of disappearances halves.
	flapHalfLife = 15 * time.Second
	// flapLimit is the count from which a target is held back.
	flapLimit = 3.0
	// flapRelease is the count below which it is shown again.
	flapRelease = 1.5
	// flapCeiling bounds the count, and with it the time that a target is held back.
	flapCeiling = 6.0
)

// flapping counts how often a target has disappeared lately. A target that
// keeps disappearing is held back for a while, so that neither callers nor
// heartbeats are busy with it.
type flapping struct {
	count    float64
	at       time.Time
	suppress bool
}

// decay brings the count up to now.
func (f *flapping) decay(now time.Time) {
	if f.count > 0 {
		f.count *= math.Exp2(-now.Sub(f.at).Seconds() / flapHalfLife.Seconds())
	}
	f.at = now
}

// vanished counts a disappearance.
func (f *flapping) vanished(now time.Time) {
	f.decay(now)
	f.count = min(f.count+1, flapCeiling)
	if f.count >= flapLimit {
		f.suppress = true
	}
}

// held reports whether the target is held back.
func (f *flapping) held(now time.Time) bool {
	if !f.suppress {
		return false
	}
	f.decay(now)
	if f.count < flapRelease {
		f.suppress = false
	}
	return f.suppress
}
