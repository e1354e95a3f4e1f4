package route

import (
	"math/bits"
	"time"
)

const (
	// ejectAfterFailures is the number of consecutive failures that ejects a target.
	ejectAfterFailures = 5
	// unreachableWeight is the number of failures that an unreachable target counts as.
	unreachableWeight = 2
	// ejectSamples is the number of recent outcomes needed to eject a target by its failure
	// ratio, and the number of the last outcomes that the ratio is taken over.
	ejectSamples = 16
	// ejectBase and ejectMax bound the duration of an ejection; it doubles with each
	// consecutive one.
	ejectBase = time.Second
	ejectMax  = 30 * time.Second
	// ejectResetAfter is the time since the end of the last ejection after which a success resets
	// the count of ejections.
	ejectResetAfter = time.Minute
)

// health decides from outcomes when a target is ejected. It reads no clock: the time is passed in.
type health struct {
	streak int
	// recent has one bit for each of the last outcomes, the newest lowest; 1 is a failure.
	recent  uint32
	samples int
	// ejections counts consecutive ejections.
	ejections int
	// until is the end of the last ejection.
	until time.Time
}

// succeed records a success.
func (h *health) succeed(now time.Time) {
	h.streak = 0
	h.record(0)
	if h.ejections > 0 && now.Sub(h.until) > ejectResetAfter {
		h.ejections = 0
	}
}

// fail records a failure of the given weight and reports whether the target should be ejected. After an ejection,
// a failure as the first outcome suffices.
func (h *health) fail(weight int) bool {
	h.streak += weight
	h.record(1)
	if h.streak >= ejectAfterFailures || (h.ejections > 0 && h.samples == 1) {
		return true
	}
	return h.samples >= ejectSamples && bits.OnesCount32(h.recent&(1<<ejectSamples-1)) > ejectSamples/2
}

// record appends an outcome.
func (h *health) record(bit uint32) {
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
