package node

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavaford/guavaford/internal/feature"
	"github.com/guavaford/guavaford/internal/settings"
)

// TestLearnedCapacityIsSwitchedOff guards against learned capacity in a deployment whose settings don't ask for it, and
// against a switch that leaves a part of it on, or changes more.
func TestLearnedCapacityIsSwitchedOff(t *testing.T) {
	asked := settings.Node{DirectAddress: "127.0.0.1:1", LearnCapacity: true}
	on, off := routeConfigOf(t, asked), routeConfigOf(t, asked, feature.LearnedCapacity)
	require.True(t, on.LearnedCapacity)
	require.False(t, off.LearnedCapacity)
	require.Equal(t, routeWithout(t), off, "not asked for")
	require.Equal(t, directSlowRatio, off.SlowRatio)
	on.LearnedCapacity, on.SlowRatio = false, directSlowRatio
	require.Equal(t, off, on)
	require.Zero(t, routeConfigOf(t, asked, feature.SlowTargets).SlowRatio, "also with learned capacity")
}

// TestChangesOfCapacityAreLoggedOnce guards against a line at every check while a target is slow, against lines
// for small changes, and against one for the first limit.
func TestChangesOfCapacityAreLoggedOnce(t *testing.T) {
	var s learnedState
	for _, step := range []struct {
		slowdown float64
		limit    int
		want     capacityChange
	}{
		{1, 168, capacityChange{}},
		{1.4, 165, capacityChange{}},
		{2.5, 168, capacityChange{slowdown: true}},
		{1.4, 168, capacityChange{}},
		{1.1, 168, capacityChange{slowdown: true}},
		{1.4, 168, capacityChange{}},
		{1, 123, capacityChange{limit: true}},
		{1, 124, capacityChange{}},
		{1, 168, capacityChange{limit: true}},
	} {
		var change capacityChange
		s, change = s.next(step.slowdown, step.limit)
		require.Equal(t, step.want, change, "%+v", step)
	}
}
