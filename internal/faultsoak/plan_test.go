package faultsoak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPlanDependsOnSeedOnly guards against runs that can't be repeated by their seed.
func TestPlanDependsOnSeedOnly(t *testing.T) {
	require.Equal(t, NewPlan(7, time.Minute, 3, 6), NewPlan(7, time.Minute, 3, 6))
	require.NotEqual(t, NewPlan(7, time.Minute, 3, 6), NewPlan(8, time.Minute, 3, 6))
}

// TestPlanKeepsAQuorum guards against plans that impair more than one host with a control replica at a time, which
// three replicas don't tolerate, or that never draw some kind of fault or never let faults overlap.
func TestPlanKeepsAQuorum(t *testing.T) {
	seen, overlaps := map[Kind]bool{}, 0
	for seed := range uint64(200) {
		impairedUntil, lastEnd := time.Duration(0), time.Duration(0)
		for _, f := range NewPlan(seed, 30*time.Second, 3, 6) {
			seen[f.Kind] = true
			require.LessOrEqual(t, f.Start+f.Duration, 30*time.Second, "a fault ends after the plan")
			if f.Start < lastEnd {
				overlaps++
			}
			lastEnd = max(lastEnd, f.Start+f.Duration)
			if f.Node >= 3 || !impairsReplica(f.Kind) {
				continue
			}
			require.GreaterOrEqual(t, f.Start, impairedUntil, "two hosts with a control replica are impaired at once")
			impairedUntil = f.Start + f.Duration
		}
	}
	require.Len(t, seen, len(kinds), "some kinds of faults are never drawn")
	require.Positive(t, overlaps)
}
