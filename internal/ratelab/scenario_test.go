package ratelab

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Bounds of the rate scenarios, from their stated targets.
const (
	withinRefusedBound = 0.001
	smallServedBound   = 0.99
)

func TestLargeOrganisationLeavesOthersAlone(t *testing.T) {
	for _, d := range []Deployment{Koperasi, Verband} {
		for _, r := range LargeBesideSmall(d, Methods()[0]) {
			require.Zero(t, r.Excess, "%s %s", d.Name, r.Organisation)
			if r.Organisation == "large" {
				require.Greater(t, float64(r.Admitted), 0.99*float64(r.Ideal))
				continue
			}
			require.LessOrEqual(t, r.WithinRefusedShare, withinRefusedBound, "%s %s", d.Name, r.Organisation)
			require.GreaterOrEqual(t, float64(r.Admitted), smallServedBound*float64(r.Ideal))
		}
	}
}

func TestMovingDemandWithSmallBurst(t *testing.T) {
	for _, d := range []Deployment{Koperasi, Verband} {
		for _, r := range MovingDemand(d, Methods()[0]) {
			require.Less(t, 6, d.Nodes())
			require.Zero(t, r.Excess, d.Name)
			require.LessOrEqual(t, r.WithinRefusedShare, withinRefusedBound, d.Name)
		}
	}
}

func TestStaticSplitIsWorse(t *testing.T) {
	split := MovingDemand(Koperasi, Method{Name: "static split", Split: true})
	require.Greater(t, split[0].WithinRefusedShare, 0.1)
}
