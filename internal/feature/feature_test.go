package feature

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestAllFeaturesAreEnabledByDefault guards against a zero Set that disables a feature.
func TestAllFeaturesAreEnabledByDefault(t *testing.T) {
	for _, name := range Names() {
		require.True(t, Set{}.On(Name(name)))
	}
	require.Empty(t, Set{}.Off())
}

// TestNamedFeaturesAreDisabled guards against disabling other features than the named ones, and against a
// list of disabled features in the order of the arguments.
func TestNamedFeaturesAreDisabled(t *testing.T) {
	s, err := Parse([]string{string(ScanAllTargets), string(EntryShedding)})
	require.NoError(t, err)
	require.False(t, s.On(ScanAllTargets))
	require.True(t, s.On(SlowTargets))
	require.Equal(t, []string{string(EntryShedding), string(ScanAllTargets)}, s.Off(), "must be in the order of the help text")
}

// TestUnknownFeatureErrorListsAllFeatures guards against accepting a misspelled name, and against an error
// that does not tell the valid ones.
func TestUnknownFeatureErrorListsAllFeatures(t *testing.T) {
	_, err := Parse([]string{"fencing"})
	require.ErrorContains(t, err, "fencing")
	for _, name := range Names() {
		require.ErrorContains(t, err, name)
	}
}
