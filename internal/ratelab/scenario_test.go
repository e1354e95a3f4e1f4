package ratelab

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavaford/guavaford/internal/rate"
)

// Bounds that the scenarios must keep.
const (
	maxWithinRefusedShare = 0.001
	minServedShare        = 0.99
)

// seeds is the number of runs whose counts are added up. In a single one, one refusal of the smallest
// organisation's 950 requests would already exceed the bound.
const seeds = 3

// TestOverloadedOrganisationDoesNotAffectOthers guards against refusals within the rate of small organisations
// beside one that asks for 5 times its rate.
func TestOverloadedOrganisationDoesNotAffectOthers(t *testing.T) {
	for _, d := range []Deployment{Koperasi, Verband} {
		sums := map[string]*Result{}
		refused := map[string]float64{}
		for seed := uint64(1); seed <= seeds; seed++ {
			for _, r := range run("d", d, Methods()[0], largeBesideSmall(), seed) {
				require.Zero(t, r.Excess, "%s %s", d.Name, r.Organisation)
				sum, ok := sums[r.Organisation]
				if !ok {
					sum = &Result{}
					sums[r.Organisation] = sum
				}
				sum.Ideal += r.Ideal
				sum.Admitted += r.Admitted
				refused[r.Organisation] += r.WrongfulRefusalShare * float64(r.Ideal)
			}
		}
		require.Len(t, sums, 8)
		for organisation, sum := range sums {
			require.GreaterOrEqual(t, float64(sum.Admitted), minServedShare*float64(sum.Ideal), "%s %s", d.Name, organisation)
			if organisation != "large" {
				share := refused[organisation] / float64(sum.Ideal)
				require.LessOrEqual(t, share, maxWithinRefusedShare, "%s %s", d.Name, organisation)
			}
		}
	}
}

// TestMovingDemandWithSmallBurst guards against refusals within the rate when demand moves between data centres and
// the burst has fewer tokens than there are nodes.
func TestMovingDemandWithSmallBurst(t *testing.T) {
	for _, d := range []Deployment{Koperasi, Verband} {
		for _, r := range MovingDemand(d, Methods()[0]) {
			require.Less(t, 6, d.Nodes())
			require.Zero(t, r.Excess, d.Name)
			require.LessOrEqual(t, r.WrongfulRefusalShare, maxWithinRefusedShare, d.Name)
		}
	}
}

// TestStaticSplitRefusesRequestsWithinRate guards against a scenario in which the static split does as well as leases,
// so that it could not tell the two apart.
func TestStaticSplitRefusesRequestsWithinRate(t *testing.T) {
	split := MovingDemand(Koperasi, Method{Name: "static split", Split: true})
	require.Greater(t, split[0].WrongfulRefusalShare, 0.1)
}

// TestNoRefusalsWithinRateAtFleetSize guards against refusals within the rate when the owner makes its nodes ask less
// often. 67 nodes stand for a fleet of 6,700: the owner's request rate is scaled down by the same factor.
func TestNoRefusalsWithinRateAtFleetSize(t *testing.T) {
	cfg := rate.Config{}.WithDefaults()
	cfg.OwnerRequestsPerSecond /= 100
	row := SimulateFleet(cfg, 67, 10, 66, 7)
	require.Zero(t, row.Excess)
	require.Greater(t, row.Demand, 10_000)
	require.LessOrEqual(t, row.WrongfulRefusalShare, maxWithinRefusedShare)
	require.Less(t, row.BytesPerNode, 20_000.0)
}
