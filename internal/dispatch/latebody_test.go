package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavaford/guavaford/internal/gate"
	"github.com/guavaford/guavaford/internal/linkshare"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/peer"
)

// lateBody is the failure of a call whose body can't arrive in time over the link to its target's host.
var lateBody = &peer.CallError{Err: &peer.LateBodyError{Length: 360_000, Verdict: linkshare.Verdict{TooLate: true, Arrival: 3 * time.Second, Remaining: time.Second}}}

// TestBodyThatCantArriveInTimeGoesToAnotherTarget guards against a request that is refused, or loses an attempt, for one slow link.
func TestBodyThatCantArriveInTimeGoesToAnotherTarget(t *testing.T) {
	for name, change := range map[string]func(r *Request){"bounded by targets": bounded(1, false), "bounded by the allowance": func(*Request) {}} {
		t.Run(name, func(t *testing.T) {
			s := &fakeSender{call: func(attempt int) (*gate.Answer, error) {
				if attempt < 3 {
					return nil, lateBody
				}
				return answerOf("done"), nil
			}}
			result, took := sendWith(t, s, change)
			require.Nil(t, result.Refusal())
			require.Equal(t, 1, result.Attempts)
			require.Len(t, s.calls, 3)
			require.Less(t, took, time.Millisecond)
		})
	}
}

// TestBodyThatCantArriveInTimeAnywhereIsRefusedAsNotRun guards against a caller that is told another reason, an unknown outcome, or no time
// for a retry.
func TestBodyThatCantArriveInTimeAnywhereIsRefusedAsNotRun(t *testing.T) {
	for name, change := range map[string]func(r *Request){"bounded by targets": bounded(1, false), "bounded by the allowance": func(*Request) {}} {
		t.Run(name, func(t *testing.T) {
			s := &fakeSender{call: func(int) (*gate.Answer, error) { return nil, lateBody }}
			result, _ := sendWith(t, s, change)
			require.Len(t, s.calls, 3)
			require.Equal(t, outcome.LinkTooSlow, result.Refusal().Code)
			require.Equal(t, outcome.RanNo, result.Refusal().Ran)
			require.False(t, result.Refusal().Retried)
			require.Equal(t, 2*time.Second, result.Refusal().RetryAfter)
		})
	}
}
