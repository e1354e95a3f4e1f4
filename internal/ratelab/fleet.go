package ratelab

import (
	"fmt"
	"time"

	"github.com/guavaford/guavaford/internal/rate"
)

// fleetMeasuredTime is the measured part of a fleet run, in virtual time.
const fleetMeasuredTime = 5 * time.Second

// SimulateFleet simulates a fleet of nodes and returns its lease traffic and the sum of its outcomes. perNode requests
// a second enter each node, spread over organisations that use 70 % of their rate and hash to the shards.
func SimulateFleet(cfg rate.Config, nodes, organisations int, perNode float64, shards uint32) Result {
	w := NewSimulation(cfg, 1)
	w.Shards = shards
	w.AddOwner(0, 0)
	for i := range nodes {
		w.AddNode(i%3, 0)
	}
	total := perNode * float64(nodes)
	tallies := make([]*OutcomeCounter, organisations)
	for i := range organisations {
		demand := total / float64(organisations)
		f := Flow{Organisation: fmt.Sprintf("o%d", i), PerSecond: demand / 0.7, Burst: demand, Demand: demand, Node: anyNode}
		w.SetLimits(f.Organisation, f.PerSecond, f.Burst)
		tallies[i] = NewOutcomeCounter(f.PerSecond, f.Burst)
		w.generateRequests(f, tallies[i], nil)
	}
	w.At(warmUpTime, func() {
		w.Messages = 0
		w.Bytes = 0
		for _, t := range tallies {
			t.StartMeasuring()
		}
	})
	w.Run(warmUpTime + fleetMeasuredTime)
	row := Result{Scenario: "fleet", Method: "lease"}
	for _, t := range tallies {
		row.Demand += t.Demand
		row.Admitted += t.Admitted
		row.Ideal += t.Ideal
		row.WrongfulRefusalShare += float64(t.WrongfulRefusals)
		row.Excess = max(row.Excess, t.Excess)
		row.WaitP50 = max(row.WaitP50, t.Wait(50))
		row.WaitP99 = max(row.WaitP99, t.Wait(99))
	}
	row.WrongfulRefusalShare /= float64(row.Ideal)
	row.MessagesPerNode = float64(w.Messages) / fleetMeasuredTime.Seconds() / float64(nodes)
	row.BytesPerNode = float64(w.Bytes) / fleetMeasuredTime.Seconds() / float64(nodes)
	return row
}
