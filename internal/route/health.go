package route

import (
	"math/bits"
	"time"
)

const (
	// ejectStreak is the number of failures in a row that ejects a target.
	ejectStreak = 5
	// unreachableWeight is the number of failures that an unreachable target counts for.
	unreachableWeight = 2
	// ejectSamples is the number of recent outcomes from which their ratio counts.
	ejectSamples = 16
	// ejectBase and ejectMax bound the time of an ejection; it doubles with each in a row.
	ejectBase = time.Second
	ejectMax  = 30 * time.Second
	// ejectForgive is the time without ejection after which the count starts anew.
	ejectForgive = time.Minute
)

// health decides from outcomes when a target is ejected. It is pure: time comes as a value.
type health struct {
	streak int
	// recent has a bit for each of the last outcomes, set for a failure.
	recent  uint32
	samples int
	// ejections counts ejections in a row.
	ejections int
	until     time.Time
}

// succeed counts a success.
func (h *health) succeed(now time.Time) {
	h.streak = 0
	h.push(0)
	if h.ejections > 0 && now.Sub(h.until) > ejectForgive {
		h.ejections = 0
	}
}

// fail counts a failure of the given weight and reports whether the target should be ejected.
func (h *health) fail(weight int) bool {
	h.streak += weight
	h.push(1)
	if h.streak >= ejectStreak || (h.ejections > 0 && h.samples == 1) {
		return true
	}
	return h.samples >= ejectSamples && bits.OnesCount32(h.recent&(1<<ejectSamples-1)) > ejectSamples/2
}

// push records an outcome.
func (h *health) push(bit uint32) {
	h.recent = h.recent<<1 | bit
	h.samples++
}

// eject starts an ejection and returns its end.
func (h *health) eject(now time.Time) time.Time {
	length := ejectMax
	if h.ejections < 5 {
		length = min(ejectBase<<h.ejections, ejectMax)
	}
	h.ejections++
	h.streak, h.recent, h.samples = 0, 0, 0
	h.until = now.Add(length)
	return h.until
}
