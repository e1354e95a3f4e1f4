package retry

import (
	"time"

	"github.com/guavaford/guavaford/internal/outcome"
)

// Bounds of the wait before a retry.
const (
	backoffBase = 5 * time.Millisecond
	backoffCap  = 500 * time.Millisecond
	// minAttemptTime is the time that must remain for the attempt itself.
	minAttemptTime = 2 * time.Millisecond
)

// Backoff returns the wait before retry number attempt, counted from 1. The wait doubles with each retry
// up to backoffCap and is drawn from the upper half of its range by rnd, which returns values in [0, 1).
// It is never shorter than retryAfter. ok is false if remaining, the time until the deadline, is too short
// for the wait and the attempt.
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

// MayRetry reports whether a node may retry after a refusal from the next node of the call path.
// repeatable is true if running the work twice is harmless.
func MayRetry(r *outcome.Refusal, repeatable bool) bool {
	if r.Retried {
		return false
	}
	switch r.Code {
	case outcome.Evicted, outcome.QueueFull, outcome.TargetLeaving, outcome.NodeStopping, outcome.TargetFailed, outcome.TargetUnreachable, outcome.Overloaded,
		// The node beside one target may have lost contact with the control plane while others have not.
		outcome.StaleConfiguration, outcome.AnswersFull:
		return repeatable || r.Ran == outcome.RanNo
	default:
		return false
	}
}
