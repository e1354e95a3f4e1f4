package capacity

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestFitExtrapolates guards against a wrong line through exact points, and against a MaxRelativeError that misses a
// point off the line.
func TestFitExtrapolates(t *testing.T) {
	s := Slope{Points: []Point{{10, 25}, {100, 205}, {1000, 2005}}, PlannedSize: 6700}
	fixed, perUnit := s.Fit()
	require.InDelta(t, 5, fixed, 1e-6)
	require.InDelta(t, 2, perUnit, 1e-9)
	require.InDelta(t, 13405, s.AtPlannedSize(), 1e-3)
	require.InDelta(t, 0, s.MaxRelativeError(), 1e-6)

	s.Points[1].Value = 410
	require.Greater(t, s.MaxRelativeError(), 0.1)
}

// TestHeartbeatFitsTheBudget guards against heartbeats that outgrow the budget of a node's control traffic. It checks
// message sizes, which are the same in every run.
func TestHeartbeatFitsTheBudget(t *testing.T) {
	const bytesPerSecondBudget = 20_000
	require.Less(t, heartbeatBytes(calledServices), bytesPerSecondBudget/4.0)
	grown := heartbeatBytes(100) - heartbeatBytes(10)
	require.Less(t, grown/90, 40.0, "bytes for each service called")
}

// TestModelIsAccepted guards against a model configuration that the store refuses, and against tables without rows.
func TestModelIsAccepted(t *testing.T) {
	require.Positive(t, snapshotBytes(100))
	var out strings.Builder
	WriteTable(&out, []Slope{{Role: "r", Points: []Point{{1, 1}, {2, 2}, {3, 3}}, PlannedSize: 4}})
	require.Contains(t, out.String(), "| r |")
}
