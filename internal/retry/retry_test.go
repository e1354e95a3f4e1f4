package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavaford/guavaford/internal/outcome"
)

// spendTree makes a random call tree spend from a and returns the extra attempts made.
func spendTree(t *rapid.T, a *Allowance, depth int) int {
	spent := 0
	for range rapid.IntRange(0, 4).Draw(t, "steps") {
		if rapid.Bool().Draw(t, "retry here") && a.Take() {
			spent++
		}
		if depth == 0 {
			continue
		}
		lent := a.Lend(rapid.IntRange(0, 3).Draw(t, "lend"))
		below := NewAllowance(lent)
		spent += spendTree(t, below, depth-1)
		rest := below.Close()
		if rapid.Bool().Draw(t, "answer arrives") {
			a.Return(rest)
		}
	}
	return spent
}

func TestAllowanceIsExactForTheTree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		extra := rapid.IntRange(0, 6).Draw(t, "extra")
		a := NewAllowance(extra)
		spent := spendTree(t, a, rapid.IntRange(0, 6).Draw(t, "depth"))
		require.LessOrEqual(t, spent+a.Left(), extra)
	})
}

func TestClosedAllowanceGivesNothing(t *testing.T) {
	a := NewAllowance(3)
	require.Equal(t, 3, a.Close())
	a.Return(2)
	require.False(t, a.Take())
	require.Zero(t, a.Left())
}

func TestBudgetBoundsExtraAttempts(t *testing.T) {
	now := time.Unix(1, 0)
	b := NewBudget(DefaultBudgetRatio, DefaultBudgetBurst)
	extra := 0
	for range 1000 {
		now = now.Add(time.Millisecond)
		b.First(now)
		if b.Allow(now) {
			extra++
		}
	}
	require.LessOrEqual(t, extra, 1000/10+int(DefaultBudgetBurst)+1)
	require.GreaterOrEqual(t, extra, 1000/10)
}

func TestBackoffRespectsDeadline(t *testing.T) {
	half := func() float64 { return 0.5 }
	wait, ok := Backoff(1, time.Second, 0, half)
	require.True(t, ok)
	require.LessOrEqual(t, wait, backoffBase)
	_, ok = Backoff(1, 3*time.Millisecond, 0, half)
	require.False(t, ok)
	_, ok = Backoff(1, time.Second, 2*time.Second, half)
	require.False(t, ok)
	wait, _ = Backoff(100, time.Hour, 0, half)
	require.LessOrEqual(t, wait, backoffCap)
}

func TestMayRepeat(t *testing.T) {
	require.True(t, MayRepeat(outcome.NotRun(outcome.TargetLeaving, 0, ""), false))
	require.False(t, MayRepeat(&outcome.Refusal{Code: outcome.TargetFailed, Ran: outcome.RanUnknown}, false))
	require.True(t, MayRepeat(&outcome.Refusal{Code: outcome.TargetFailed, Ran: outcome.RanUnknown}, true))
	require.False(t, MayRepeat(&outcome.Refusal{Code: outcome.TargetLeaving, Ran: outcome.RanNo, Retried: true}, true))
	require.False(t, MayRepeat(outcome.NotRun(outcome.DeadlineTooShort, 0, ""), true))
}
