package dispatch

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/gate"
	"github.com/guavaford/guavaford/internal/homeregion"
	"github.com/guavaford/guavaford/internal/outcome"
)

// inRegions returns a change of a request that gives it home regions and as many targets as there are.
func inRegions(maxTargets int, regions ...string) func(r *Request) {
	return func(r *Request) {
		r.Idempotent, r.MaxTargets = true, maxTargets
		r.HomeRegions = homeregion.Combine(regions, nil)
	}
}

// TestRequestStaysInItsHomeRegions guards against a body that is sent to a target in another region: at first, and when
// the targets at home are full, fail, or are named for the trial of a suspect.
func TestRequestStaysInItsHomeRegions(t *testing.T) {
	for name, refusal := range map[string]*outcome.Refusal{
		"full":      outcome.NotRun(outcome.Overloaded, 0, "full"),
		"draining":  outcome.NotRun(outcome.TargetLeaving, 0, "leaves"),
		"failed":    {Code: outcome.TargetFailed, Ran: outcome.RanUnknown, Reached: true},
		"suspected": {Code: outcome.Suspected, Ran: outcome.RanNo, TrialTarget: "node-c/c"},
	} {
		for _, maxTargets := range []int{0, 3} {
			s := &fakeSender{fence: fenced(apiv1.CallState_CALL_STATE_FENCED, targetIncarnation)}
			s.call = func(int) (*gate.Answer, error) { return refusalOf(refusal), nil }
			result, _ := sendWith(t, s, inRegions(maxTargets, "west"))
			require.NotNil(t, result.Refusal(), name)
			require.NotEmpty(t, s.calls, name)
			for _, call := range s.calls {
				require.Contains(t, []string{"a", "b"}, call.GetTarget(), name)
			}
		}
	}
	s := &fakeSender{call: func(int) (*gate.Answer, error) { return answerOf("served"), nil }}
	result, _ := sendWith(t, s, inRegions(1, "east"))
	require.Nil(t, result.Refusal())
	require.Equal(t, "c", s.calls[0].GetTarget())
}

// TestRequestWithoutATargetAtHomeIsNotRun guards against a request that waits, or is sent elsewhere, when no target is in
// its home regions.
func TestRequestWithoutATargetAtHomeIsNotRun(t *testing.T) {
	for _, maxTargets := range []int{0, 3} {
		s := &fakeSender{}
		result, took := sendWith(t, s, inRegions(maxTargets, "north"))
		refusal := result.Refusal()
		require.Equal(t, outcome.RanNo, refusal.Ran)
		require.Equal(t, outcome.NoTarget, refusal.Code)
		require.Equal(t, http.StatusServiceUnavailable, refusal.Code.Status())
		require.Contains(t, refusal.Detail, "north")
		require.Empty(t, s.calls)
		require.Zero(t, took)
	}
}
