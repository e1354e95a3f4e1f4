package faultsoak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// validLedger returns a ledger without violated guarantees.
func validLedger() *Ledger {
	l := NewLedger(RateLimit{PerSecond: 2, Burst: 3, Held: time.Second})
	l.Ran("a")
	l.Tried("a", Unknown, false)
	l.Tried("a", Served, true)
	l.Tried("b", NotRun, false)
	l.Accepted("c")
	l.Present("c")
	return l
}

// TestValidRunIsNotReported guards against reports about a run in which all guarantees held.
func TestValidRunIsNotReported(t *testing.T) {
	require.Empty(t, validLedger().Broken())
}

// TestEachBrokenPromiseIsFound guards against a violated guarantee that isn't reported, or is reported twice.
func TestEachBrokenPromiseIsFound(t *testing.T) {
	now := time.Unix(100, 0)
	for name, c := range map[string]struct {
		violate func(*Ledger)
		message string
	}{
		"run twice":          {func(l *Ledger) { l.Ran("a") }, "ran 2 times"},
		"served, never run":  {func(l *Ledger) { l.Tried("d", Served, false) }, "never ran"},
		"refused, and run":   {func(l *Ledger) { l.Ran("b") }, "refused as not run"},
		"mixed answers":      {func(l *Ledger) { l.Mixed("a", "answer to b") }, "got the answer"},
		"lost change":        {func(l *Ledger) { l.Accepted("e") }, "not in force"},
		"work after leaving": {func(l *Ledger) { l.RanAfterLeave("t") }, "said that it leaves"},
		"no recovery":        {func(l *Ledger) { l.Tried("f", Unknown, true) }, "50.0%"},
		"over the rate": {func(l *Ledger) {
			for i := range 16 {
				l.RanLimited(now.Add(time.Duration(i) * time.Millisecond))
			}
		}, "16 requests"},
	} {
		t.Run(name, func(t *testing.T) {
			l := validLedger()
			c.violate(l)
			broken := l.Broken()
			require.Len(t, broken, 1)
			require.Contains(t, broken[0], c.message)
		})
	}
}

// TestRateIsCheckedPerWindow guards against adding up the runs of the limited organisation beyond one window.
func TestRateIsCheckedPerWindow(t *testing.T) {
	l := validLedger()
	for i := range 100 {
		l.RanLimited(time.Unix(100, 0).Add(time.Duration(i) * 500 * time.Millisecond))
	}
	require.Empty(t, l.Broken())
}

// TestRefusalVerdict guards against taking a refusal for a guarantee that the request did not run if it doesn't say so.
func TestRefusalVerdict(t *testing.T) {
	require.Equal(t, NotRun, refusalVerdict([]byte(`{"ran":"no"}`)))
	for _, body := range []string{`{"ran":"unknown"}`, `{"ran":"yes"}`, `{}`, `garbage`} {
		require.Equal(t, Unknown, refusalVerdict([]byte(body)), body)
	}
}
