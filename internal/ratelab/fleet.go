package ratelab

import (
	"fmt"
	"time"

	"github.com/guavaford/guavaford/internal/rate"
)

// fleetMeasured is the length of a fleet run, in virtual time.
const fleetMeasured = 5 * time.Second

// Fleet returns the lease traffic of a fleet of nodes at which perNode requests a second enter
// each, spread over organisations that use 70 % of their rate and hash to the shards.
func Fleet(cfg rate.Config, nodes, organisations int, perNode float64, shards uint32) Row {
	w := NewWorld(cfg, 1)
	w.Shards = shards
	w.AddOwner(0, 0)
	for i := range nodes {
		w.AddNode(i%3, 0)
	}
	total := perNode * float64(nodes)
	tallies := make([]*Tally, organisations)
	for i := range organisations {
		demand := total / float64(organisations)
		f := Flow{Organisation: fmt.Sprintf("o%d", i), PerSecond: demand / 0.7, Burst: demand, Demand: demand, Node: anyNode}
		w.SetLimits(f.Organisation, f.PerSecond, f.Burst)
		tallies[i] = NewTally(f.PerSecond, f.Burst)
		w.drive(f, tallies[i], nil)
	}
	w.At(warmUp, func() {
		w.Messages = 0
		w.Bytes = 0
		for _, t := range tallies {
			t.Measure()
		}
	})
	w.Run(warmUp + fleetMeasured)
	row := Row{Scenario: "fleet", Method: "lease"}
	for _, t := range tallies {
		row.Demand += t.Demand
		row.Admitted += t.Admitted
		row.Ideal += t.Ideal
		row.WithinRefusedShare += float64(t.WithinRefused)
		row.Excess = max(row.Excess, t.Excess)
		row.WaitP50 = max(row.WaitP50, t.Wait(50))
		row.WaitP99 = max(row.WaitP99, t.Wait(99))
	}
	row.WithinRefusedShare /= float64(row.Ideal)
	row.MessagesPerNode = float64(w.Messages) / fleetMeasured.Seconds() / float64(nodes)
	row.BytesPerNode = float64(w.Bytes) / fleetMeasured.Seconds() / float64(nodes)
	return row
}
