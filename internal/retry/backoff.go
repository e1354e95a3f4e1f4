package retry

import (
	"time"

	"github.com/guavaford/guavaford/internal/outcome"
)

// Bounds of the wait before an extra attempt.
const (
	backoffBase = 5 * time.Millisecond
	backoffCap  = 500 * time.Millisecond
	// minAttemptTime is the time that must be left for the attempt itself.
	minAttemptTime = 2 * time.Millisecond
)

// Backoff returns the wait before extra attempt number attempt, counted from 1. The wait
// doubles with each attempt and is drawn from its upper half by rnd, which returns values in
// [0, 1). It is never shorter than retryAfter. ok is false when remaining, the time until
// the deadline, leaves no room for the wait and an attempt.
func Backoff(attempt int, remaining time.Duration, retryAfter time.Duration, rnd func() float64) (wait time.Duration, ok bool) {
	ceiling := backoffCap
	if shift := max(attempt-1, 0); shift < 7 {
		ceiling = min(backoffBase<<shift, backoffCap)
	}
	wait = ceiling/2 + time.Duration(rnd()*float64(ceiling/2))
	if retryAfter > 0 {
		wait = retryAfter + time.Duration(rnd()*float64(ceiling))
	}
	return wait, wait+minAttemptTime <= remaining
}

// MayRepeat reports whether a hop may make another attempt after a refusal from the hop
// below. repeatable states that a second run of the work is harmless.
func MayRepeat(r *outcome.Refusal, repeatable bool) bool {
	if r.Retried {
		return false
	}
	switch r.Code {
	case outcome.Evicted, outcome.QueueFull, outcome.TargetLeaving, outcome.NodeStopping, outcome.TargetFailed, outcome.TargetUnreachable, outcome.Overloaded,
		// The node beside a target may have lost control while others have not.
		outcome.StaleConfiguration:
		return repeatable || r.Ran == outcome.RanNo
	default:
		return false
	}
}
