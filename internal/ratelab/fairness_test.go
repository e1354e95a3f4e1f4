package ratelab

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavaford/guavaford/internal/rate"
)

// TestNodeWithSmallDemandIsNotStarved guards against nodes with much demand taking the tokens of one with little. One
// node asks for a quarter of its equal share of an organisation's rate, the other twelve for 5 to 15 times theirs.
func TestNodeWithSmallDemandIsNotStarved(t *testing.T) {
	const nodes = 13
	for _, perSecond := range []float64{20, 100, 1000} {
		w := NewSimulation(rate.Config{}, 1)
		w.AddOwner(0, 0)
		w.SetLimits("o", perSecond, perSecond)
		var demand, admitted [nodes]int
		share := perSecond / nodes
		for i := range nodes {
			n := w.AddNode(0, 0)
			asks := share * float64(5*(1+i%3))
			if i == 0 {
				asks = share / 4
			}
			w.poissonArrivals(asks, func() {
				demand[i]++
				n.Request("o", requestTimeout, func(o Outcome) {
					if o.Admitted {
						admitted[i]++
					}
				})
			})
		}
		w.Run(time.Minute)
		require.GreaterOrEqual(t, float64(admitted[0]), 0.9*float64(demand[0]), "rate %g", perSecond)
		for i := 1; i < nodes; i++ {
			require.InEpsilon(t, admitted[1], admitted[i], 0.15, "rate %g, node %d", perSecond, i)
		}
	}
}
