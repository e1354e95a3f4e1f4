package faultsoak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestEachBrokenBoundIsFound guards against violations of the newer guarantees that aren't reported, or are reported twice.
func TestEachBrokenBoundIsFound(t *testing.T) {
	now := time.Unix(100, 0)
	for name, c := range map[string]struct {
		violate func(*Recorder)
		message string
	}{
		"cold target": {func(l *Recorder) {
			for i := range 40 {
				l.RecordColdRun("cold-1", now.Add(time.Duration(i)*35*time.Millisecond))
			}
		}, "cold target cold-1 got 28 requests in 1s, 27.5 may come"},
		"evacuated":          {func(l *Recorder) { l.RecordEvacuatedRun("front-1", 6*time.Second) }, "6.0s after its data centre was evacuated"},
		"lost evacuation":    {func(l *Recorder) { l.RecordLostEvacuation("dc1", false) }, "drained is false"},
		"away from home":     {func(l *Recorder) { l.RecordHomeRun("h", "front-3", awayRegion) }, "left its home region"},
		"upload cut short":   {func(l *Recorder) { l.RecordUpload("u", false, 7) }, "ended after 7 bytes"},
		"upload that is two": {func(l *Recorder) { l.RecordRun("u"); l.RecordRun("u") }, "ran 2 times"},
	} {
		t.Run(name, func(t *testing.T) {
			l := validRecorder()
			c.violate(l)
			broken := l.Violations()
			require.Len(t, broken, 1)
			require.Contains(t, broken[0], c.message)
		})
	}
	l := validRecorder()
	for i := range 27 * 5 {
		l.RecordColdRun("cold-1", now.Add(time.Duration(i)*time.Second/26))
	}
	l.RecordHomeRun("h", "front-1", homeRegion)
	l.RecordUpload("u", true, minUpload)
	l.RecordEvacuation()
	require.Empty(t, l.Violations())
	s := l.Summary()
	require.Equal(t, []int{135, 1, 1, 1}, []int{s.Cold, s.Home, s.Uploads, s.Evacuations})
}

// TestColdTimeCountsOnceItsNodeKnows guards against requests that count before the node beside a target can know that it is cold.
func TestColdTimeCountsOnceItsNodeKnows(t *testing.T) {
	var c cold
	now := time.Unix(100, 0)
	c.begin(now, time.Second)
	require.False(t, c.counts(now))
	c.told(c.end())
	require.True(t, c.counts(now.Add(999*time.Millisecond)))
	c.begin(now, 2*time.Second)
	require.False(t, c.counts(now.Add(time.Second)), "the node knows the first second only")
	c.told(c.end())
	require.True(t, c.counts(now.Add(time.Second)))
	require.False(t, c.counts(now.Add(2*time.Second)))
}

// TestEvacuationsAreCheckedWhileInForce guards against a check that ends too early, or goes on when an evacuation is taken back or a node
// can't know of it.
func TestEvacuationsAreCheckedWhileInForce(t *testing.T) {
	now := time.Unix(100, 0)
	e := evacuated{since: map[string]time.Time{}}
	e.set("dc0", now)
	_, overdue := e.overdue("dc0", now.Add(evacuationBound))
	require.False(t, overdue)
	_, overdue = e.overdue("dc0", now.Add(evacuationBound+1))
	require.True(t, overdue)
	_, overdue = e.overdue("dc1", now.Add(time.Hour))
	require.False(t, overdue)
	e.end("dc0")
	_, overdue = e.overdue("dc0", now.Add(time.Hour))
	require.False(t, overdue)

	var n touch
	require.True(t, n.has(now))
	n.lose()
	n.lose()
	n.regain(now)
	require.False(t, n.has(now.Add(time.Hour)), "one fault is left")
	n.regain(now)
	require.False(t, n.has(now.Add(evacuationBound)))
	require.True(t, n.has(now.Add(evacuationBound+1)))
	require.True(t, outOfTouch(PauseProcess) && !outOfTouch(KillProcess) && !outOfTouch(LosePower))
}

// TestEvacuationsDependOnSeedOnly guards against runs that can't be repeated, and against evacuations too short for their bound.
func TestEvacuationsDependOnSeedOnly(t *testing.T) {
	seen := map[int]bool{}
	for seed := range uint64(50) {
		plan := NewEvacuations(seed, 8*time.Second, 3)
		require.Equal(t, plan, NewEvacuations(seed, 8*time.Second, 3))
		require.Len(t, plan, 2)
		require.Less(t, plan[0].Start, plan[1].Start)
		require.Greater(t, plan[1].End-plan[1].Start, evacuationBound+4*time.Second)
		require.Less(t, plan[1].End, 8*time.Second+recovery-4*time.Second, "the capacity is back before quiet time")
		seen[plan[1].DataCentre] = true
	}
	require.Len(t, seen, 3)
}

// TestUploadBodies guards against bodies of other sizes than uploads have, and against bodies that could be mistaken for each other.
func TestUploadBodies(t *testing.T) {
	require.Equal(t, uploadBody("u1-2"), uploadBody("u1-2"))
	require.NotEqual(t, uploadBody("u1-2")[:minUpload/2], uploadBody("u1-3")[:minUpload/2])
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		size := len(uploadBody(id))
		require.GreaterOrEqual(t, size, minUpload)
		require.LessOrEqual(t, size, maxUpload)
	}
}
