package clocktest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSetMovesTheTimeOfDayOnly guards against a change in the layout of time.Time, which would make the tests that use Set prove nothing.
func TestSetMovesTheTimeOfDayOnly(t *testing.T) {
	start := time.Now()
	moved := Set(start, time.Hour).Add(5 * time.Second)
	require.Equal(t, 5*time.Second, moved.Sub(start))
	require.Equal(t, time.Hour+5*time.Second, moved.Round(0).Sub(start.Round(0)))
}
