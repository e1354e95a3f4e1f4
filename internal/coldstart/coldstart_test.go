package coldstart

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var policy = Policy{Duration: 3 * time.Second, PerSecond: 13}

// TestColdTimeEndsByItself guards against a target that stays cold after its last reading has run out, since no report follows.
func TestColdTimeEndsByItself(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewTracker(now)
	require.True(t, c.Observe(Reading{Sequence: 1, At: now, Left: 2 * time.Second}))
	require.Equal(t, 1500*time.Millisecond, c.Left(now.Add(500*time.Millisecond), policy))
	require.Zero(t, c.Left(now.Add(2*time.Second), policy))
	require.Zero(t, c.Left(now.Add(time.Hour), policy))
}

// TestReadingsStartAndEndTheColdTime guards against a target that becomes cold again and is taken for warm, and one that says that it is
// warm and is taken for cold.
func TestReadingsStartAndEndTheColdTime(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewTracker(now)
	c.Observe(Reading{Sequence: 1, At: now, Left: 3 * time.Second})
	require.True(t, c.Observe(Reading{Sequence: 2, At: now.Add(time.Second)}))
	require.Zero(t, c.Left(now.Add(time.Second), policy))
	require.True(t, c.Observe(Reading{Sequence: 3, At: now.Add(4 * time.Second), Left: 3 * time.Second}))
	require.Equal(t, 2*time.Second, c.Left(now.Add(5*time.Second), policy))
	require.True(t, c.Observe(Reading{At: now.Add(6 * time.Second)}), "a response has no sequence number")
	require.Zero(t, c.Left(now.Add(6*time.Second), policy))
}

// TestLateReadingsChangeNothing guards against a report that was delayed or sent twice, and restarts or ends the cold time.
func TestLateReadingsChangeNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewTracker(now)
	c.Observe(Reading{Sequence: 5, At: now, Left: 3 * time.Second})
	for _, sequence := range []uint64{4, 5} {
		require.False(t, c.Observe(Reading{Sequence: sequence, At: now.Add(time.Second)}))
		require.False(t, c.Observe(Reading{Sequence: sequence, At: now.Add(time.Second), Left: 9 * time.Second}))
	}
	c.Observe(Reading{At: now.Add(time.Second), Left: time.Second})
	require.False(t, c.Observe(Reading{Sequence: 5, At: now.Add(2 * time.Second), Left: 3 * time.Second}), "a response in between does not let it pass")
	require.False(t, c.Observe(Reading{At: now, Left: 3 * time.Second}), "the response to a request that was sent before")
	require.Zero(t, c.Left(now.Add(2*time.Second), policy))
}

// TestWithoutReadingTheStartCounts guards against a target without readings that gets full load right after its start, or little load long
// after it, and against the clock of a target that is ahead.
func TestWithoutReadingTheStartCounts(t *testing.T) {
	started := time.Unix(1000, 0)
	c := NewTracker(started)
	require.Equal(t, 2*time.Second, c.Left(started.Add(time.Second), policy))
	require.Zero(t, c.Left(started.Add(time.Minute), policy))
	require.Equal(t, policy.Duration, c.Left(started.Add(-time.Hour), policy))
}

// TestReadingsAreBounded guards against a report with an absurd remaining time.
func TestReadingsAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewTracker(now)
	c.Observe(Reading{Sequence: 1, At: now, Left: 1 << 62})
	require.Equal(t, MaxLeft, c.Left(now, policy))
	c.Observe(Reading{Sequence: 2, At: now, Left: -time.Second})
	require.Zero(t, c.Left(now, policy))
}

// TestNoColdTimeWithoutARate guards against a change for services whose policy has no cold rate.
func TestNoColdTimeWithoutARate(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewTracker(now)
	c.Observe(Reading{Sequence: 1, At: now, Left: time.Second})
	require.Zero(t, c.Left(now, Policy{Duration: time.Second}))
}
