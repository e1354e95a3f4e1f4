package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavaford/guavaford/internal/coldstart"
)

// coldReport returns a report of a remaining cold time.
func coldReport(start, sequence int, left time.Duration) Report {
	r := newReport("a", start, sequence, readyState)
	r.ColdLeft = &left
	return r
}

// TestColdTimeIsKeptWithItsArrival guards against a remaining time that starts anew whenever it is read, against a late report that changes
// it, and against the time of one run of a target that counts for the next.
func TestColdTimeIsKeptWithItsArrival(t *testing.T) {
	l, now := NewLocal(LocalOptions{Node: "n"}), time.Now()
	var told []coldstart.Reading
	l.OnColdReading(func(name string, started time.Time, r coldstart.Reading) {
		require.Equal(t, "a", name)
		told = append(told, r)
	})
	takeReport(t, l, now, coldReport(1, 5, 3*time.Second))
	version := l.Section().Load().Version
	first := coldstart.Reading{Sequence: 5, At: now, Left: 3 * time.Second}
	known, ok := l.ColdReading("a", time.UnixMilli(1))
	require.True(t, ok)
	require.Equal(t, first, known)
	require.Equal(t, ReportOutdated, takeReport(t, l, now.Add(time.Second), coldReport(1, 4, 0)))
	takeReport(t, l, now.Add(time.Second), coldReport(1, 5, 3*time.Second))
	known, _ = l.ColdReading("a", time.UnixMilli(1))
	require.Equal(t, first, known, "the same report once more")
	takeReport(t, l, now.Add(2*time.Second), coldReport(1, 6, time.Second))
	known, _ = l.ColdReading("a", time.UnixMilli(1))
	require.Equal(t, coldstart.Reading{Sequence: 6, At: now.Add(2 * time.Second), Left: time.Second}, known)
	require.Equal(t, known, told[len(told)-1])
	require.Equal(t, version, l.Section().Load().Version, "the fleet does not hear of each reading")
	takeReport(t, l, now.Add(3*time.Second), newReport("a", 2, 1, readyState))
	_, ok = l.ColdReading("a", time.UnixMilli(2))
	require.False(t, ok, "another run")
	l.RemoveReported(now.Add(4*time.Second), "a")
	_, ok = l.ColdReading("a", time.UnixMilli(1))
	require.False(t, ok)
}

// TestHeldReportCountsFromItsArrival guards against a cold time that is too long, since the report was held back after a restart of the node.
func TestHeldReportCountsFromItsArrival(t *testing.T) {
	l, now := NewLocal(LocalOptions{Node: "n", AwaitRestore: true}), time.Now()
	require.Equal(t, ReportHeld, takeReport(t, l, now, coldReport(1, 5, 3*time.Second)))
	_, ok := l.ColdReading("a", time.UnixMilli(1))
	require.False(t, ok)
	l.Restore(now.Add(time.Second), nil)
	known, ok := l.ColdReading("a", time.UnixMilli(1))
	require.True(t, ok)
	require.Equal(t, now, known.At)
}
