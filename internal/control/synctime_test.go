package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavaford/guavaford/internal/replica"
)

// TestSyncTimeFollowsTheDisk guards against an estimate that one fast sync between slow ones hides, and against one that a single slow sync, or a disk that was
// full for long, raises for good.
func TestSyncTimeFollowsTheDisk(t *testing.T) {
	var s syncTime
	now := time.Unix(1_700_000_000, 0)
	require.Zero(t, s.estimate(now))
	s.observe(now, 200*time.Millisecond)
	s.observe(now.Add(time.Second), time.Millisecond)
	require.Equal(t, 200*time.Millisecond, s.estimate(now.Add(time.Second)))
	require.Equal(t, 100*time.Millisecond, s.estimate(now.Add(syncTimeHalfLife)))
	s.observe(now.Add(syncTimeHalfLife), 150*time.Millisecond)
	require.Equal(t, 150*time.Millisecond, s.estimate(now.Add(syncTimeHalfLife)))
	now = now.Add(time.Minute)
	s.observe(now, time.Hour)
	require.Equal(t, replica.MaxSyncTime, s.estimate(now))
	require.Equal(t, replica.MaxSyncTime, s.estimate(now.Add(-time.Hour)), "a reading from before the sync")
	require.Less(t, s.estimate(now.Add(10*syncTimeHalfLife)), time.Millisecond)
	require.Zero(t, s.estimate(now.Add(1000*syncTimeHalfLife)))
}
