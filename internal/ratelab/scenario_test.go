package ratelab

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavaford/guavaford/internal/rate"
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

// 67 nodes stand for the fleet of 6,700 at an owner whose pace is scaled down alike.
func TestNoRefusalsWithinRateAtFleetSize(t *testing.T) {
	cfg := rate.Config{}.WithDefaults()
	cfg.OwnerRequestsPerSecond /= 100
	row := Fleet(cfg, 67, 10, 66, 7)
	require.Zero(t, row.Excess)
	require.Greater(t, row.Demand, 10_000)
	require.LessOrEqual(t, row.WithinRefusedShare, withinRefusedBound)
	require.Less(t, row.BytesPerNode, 20_000.0)
}
