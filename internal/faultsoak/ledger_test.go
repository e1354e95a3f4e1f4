package faultsoak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// validRecorder returns a recorder without violated guarantees.
func validRecorder() *Recorder {
	l := NewRecorder(RateLimit{PerSecond: 2, Burst: 3, MaxQueueTime: time.Second})
	l.RecordRun("a")
	l.RecordTry("a", Unknown, false)
	l.RecordTry("a", Served, true)
	l.RecordTry("b", NotRun, false)
	l.ChangeAccepted("c")
	l.ChangePresent("c")
	return l
}

// TestValidRunIsNotReported guards against reports about a run in which all guarantees held.
func TestValidRunIsNotReported(t *testing.T) {
	require.Empty(t, validRecorder().Violations())
}

// TestEachBrokenPromiseIsFound guards against a violated guarantee that isn't reported, or is reported twice.
func TestEachBrokenPromiseIsFound(t *testing.T) {
	now := time.Unix(100, 0)
	for name, c := range map[string]struct {
		violate func(*Recorder)
		message string
	}{
		"run twice":          {func(l *Recorder) { l.RecordRun("a") }, "ran 2 times"},
		"served, never run":  {func(l *Recorder) { l.RecordTry("d", Served, false) }, "never ran"},
		"refused, and run":   {func(l *Recorder) { l.RecordRun("b") }, "refused as not run"},
		"mixed answers":      {func(l *Recorder) { l.WrongAnswer("a", "answer to b") }, "got the answer"},
		"lost change":        {func(l *Recorder) { l.ChangeAccepted("e") }, "not in force"},
		"work after leaving": {func(l *Recorder) { l.RecordRunAfterLeave("t") }, "said that it leaves"},
		"no recovery":        {func(l *Recorder) { l.RecordTry("f", Unknown, true) }, "50.0%"},
		"over the rate": {func(l *Recorder) {
			for i := range 16 {
				l.RecordLimitedRun(now.Add(time.Duration(i) * time.Millisecond))
			}
		}, "16 requests"},
	} {
		t.Run(name, func(t *testing.T) {
			l := validRecorder()
			c.violate(l)
			broken := l.Violations()
			require.Len(t, broken, 1)
			require.Contains(t, broken[0], c.message)
		})
	}
}

// TestRateIsCheckedPerWindow guards against adding up the runs of the limited organisation beyond one window.
func TestRateIsCheckedPerWindow(t *testing.T) {
	l := validRecorder()
	for i := range 100 {
		l.RecordLimitedRun(time.Unix(100, 0).Add(time.Duration(i) * 500 * time.Millisecond))
	}
	require.Empty(t, l.Violations())
}

// TestRefusalVerdict guards against taking a refusal for a guarantee that the request did not run if it doesn't say so.
func TestRefusalVerdict(t *testing.T) {
	require.Equal(t, NotRun, refusalVerdict([]byte(`{"ran":"no"}`)))
	for _, body := range []string{`{"ran":"unknown"}`, `{"ran":"yes"}`, `{}`, `garbage`} {
		require.Equal(t, Unknown, refusalVerdict([]byte(body)), body)
	}
}
