package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavaford/guavaford/internal/outcome"
)

// spendTree lets a random call tree spend retries from a and returns how many it made.
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

// TestAllowanceBoundsRetriesOfTheWholeTree guards against a call tree that makes more retries than its
// root allows, also when responses are lost.
func TestAllowanceBoundsRetriesOfTheWholeTree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		extra := rapid.IntRange(0, 6).Draw(t, "extra")
		a := NewAllowance(extra)
		spent := spendTree(t, a, rapid.IntRange(0, 6).Draw(t, "depth"))
		require.LessOrEqual(t, spent+a.Left(), extra)
	})
}

// TestClosedAllowanceGrantsNoRetries guards against retries that are spent twice because a late sub-call
// returns some after Close.
func TestClosedAllowanceGrantsNoRetries(t *testing.T) {
	a := NewAllowance(3)
	require.Equal(t, 3, a.Close())
	a.Return(2)
	require.False(t, a.Take())
	require.Zero(t, a.Left())
}

// TestBudgetLimitsRetriesToItsRatio guards against more retries than the ratio and the burst allow, and
// against fewer than the ratio.
func TestBudgetLimitsRetriesToItsRatio(t *testing.T) {
	now := time.Unix(1, 0)
	b := NewBudget(DefaultBudgetRatio, DefaultBudgetBurst)
	extra := 0
	for range 1000 {
		now = now.Add(time.Millisecond)
		b.CountFirstAttempt(now)
		if b.TryRetry(now) {
			extra++
		}
	}
	require.LessOrEqual(t, extra, 1000/10+int(DefaultBudgetBurst)+1)
	require.GreaterOrEqual(t, extra, 1000/10)
}

// TestBackoffStaysWithinItsCapAndTheDeadline guards against retries that can't finish before the deadline,
// and against waits that overflow after many attempts.
func TestBackoffStaysWithinItsCapAndTheDeadline(t *testing.T) {
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

// TestOnlyRetrySafeRefusalsAreRetried guards against retries of work that may have run and must run only
// once, of requests already retried by another node, and of those whose refusal is final.
func TestOnlyRetrySafeRefusalsAreRetried(t *testing.T) {
	require.True(t, MayRetry(outcome.NotRun(outcome.TargetLeaving, 0, ""), false))
	require.False(t, MayRetry(&outcome.Refusal{Code: outcome.TargetFailed, Ran: outcome.RanUnknown}, false))
	require.True(t, MayRetry(&outcome.Refusal{Code: outcome.TargetFailed, Ran: outcome.RanUnknown}, true))
	require.False(t, MayRetry(&outcome.Refusal{Code: outcome.TargetLeaving, Ran: outcome.RanNo, Retried: true}, true))
	require.False(t, MayRetry(outcome.NotRun(outcome.DeadlineTooShort, 0, ""), true))
}
