package lab

import (
	"time"

	"github.com/guavaford/guavaford/internal/registry"
)

// Durations says how long the parts of scenarios last.
type Durations struct {
	// Surge and Slowdown are the lengths of the disturbances in scenarios b and c.
	Surge, Slowdown time.Duration
	// Steady is the length of the other scenarios.
	Steady time.Duration
	// Settle is the time between the start of a disturbance and the measured period.
	Settle time.Duration
	// After is the time from the end of the disturbance to the end of the run.
	After time.Duration
}

// FullDurations returns the lengths for the published table.
func FullDurations() Durations {
	return Durations{Surge: 30 * time.Second, Slowdown: 20 * time.Second, Steady: 20 * time.Second, Settle: 5 * time.Second, After: 10 * time.Second}
}

// ShortDurations returns the lengths for the checks in CI, which must be quick.
func ShortDurations() Durations {
	return Durations{Surge: 6 * time.Second, Slowdown: 8 * time.Second, Steady: 6 * time.Second, Settle: 3 * time.Second, After: 5 * time.Second}
}

// disturbanceStart is the time at which the disturbance of a scenario starts.
const disturbanceStart = 3 * time.Second

// aggressiveRetries is how often callers retry in the scenarios with overload.
const aggressiveRetries = 3

// Scenarios returns the scenarios of the table.
func Scenarios(l Durations) []*Scenario {
	return []*Scenario{
		steady(l, "a 50%", 0.5),
		steady(l, "a 90%", 0.9),
		surge(l, "b 1.5x", 1.5),
		surge(l, "b 3x", 3),
		surge(l, "b 10x", 10),
		slowdown(l),
		noisyTenant(l),
		overstatedSlots(l),
		coldStart(l),
		leavingTarget(l),
		targetCrash(l),
		hostFailure(l),
	}
}

// steady has constant load.
func steady(l Durations, name string, load float64) *Scenario {
	return &Scenario{
		Name: name, Length: disturbanceStart + l.Steady, DisturbanceStart: disturbanceStart, DisturbanceEnd: disturbanceStart, MeasureFrom: disturbanceStart, MeasureTo: disturbanceStart + l.Steady,
		Base: load, During: load, After: load,
	}
}

// surge has load above capacity from callers that retry, and 70% load before and after it.
func surge(l Durations, name string, load float64) *Scenario {
	end := disturbanceStart + l.Surge
	return &Scenario{
		Name: name, Length: end + l.After, DisturbanceStart: disturbanceStart, DisturbanceEnd: end, MeasureFrom: disturbanceStart + l.Settle, MeasureTo: end,
		Base: 0.7, During: load, After: 0.7, CallerRetries: aggressiveRetries,
	}
}

// slowdown makes the innermost service 5 times slower under load above capacity, with callers that
// retry.
func slowdown(l Durations) *Scenario {
	end := disturbanceStart + l.Slowdown
	return &Scenario{
		Name: "c slow 5x", Length: end + l.After, DisturbanceStart: disturbanceStart, DisturbanceEnd: end, MeasureFrom: disturbanceStart + l.Settle, MeasureTo: end,
		Base: 1.1, During: 1.1, After: 1.1, SlowFactor: 5, CallerRetries: aggressiveRetries,
	}
}

// noisyTenant has one large organisation at 5 times its rate beside seven within theirs, all in one
// class and without rate limits. It shows how fairly admission control alone shares capacity.
func noisyTenant(l Durations) *Scenario {
	return &Scenario{
		Name: "d one at 5x", Length: disturbanceStart + l.Steady, DisturbanceStart: disturbanceStart, DisturbanceEnd: disturbanceStart, MeasureFrom: disturbanceStart, MeasureTo: disturbanceStart + l.Steady,
		Base: 0.8, During: 0.8, After: 0.8, TenantFactors: map[string]float64{"large-1": 5}, OneClass: true,
	}
}

// realSlotShare is the part of the slots announced by target 0 of the InnermostService that exists.
const realSlotShare = 0.4

// overstatedSlots has a target that announces more slots than it has.
func overstatedSlots(l Durations) *Scenario {
	s := steady(l, "e liar", 0.7)
	s.Base, s.During, s.After = 0.7, 0.7, 0.7
	s.DisturbanceStart, s.DisturbanceEnd = 0, 0
	s.RealSlotShare = (realSlotShare + 2) / 3
	s.MeasureFrom += l.Settle
	s.Length += l.Settle
	s.MeasureTo += l.Settle
	s.StartDisturbance = func(r *run) {
		t := r.targetOf(r.deployment.InnermostService, 0)
		t.slots = int(float64(t.slots) * realSlotShare)
	}
	return s
}

// coldStart has a target that restarts and is slow until it is warm.
func coldStart(l Durations) *Scenario {
	s := steady(l, "e cold", 0.7)
	s.StartDisturbance = func(r *run) {
		t := r.targetOf(r.deployment.InnermostService, 0)
		t.coldSince = r.sim.Now()
		r.updateTarget(t, func(record *registry.Target) {
			record.Started = r.sim.Now()
			record.Incarnation++
		})
	}
	return s
}

// leavingTarget has a target of the entry service that leaves at 80% load.
func leavingTarget(l Durations) *Scenario {
	s := steady(l, "f leaves", 0.8)
	s.StartDisturbance = func(r *run) { r.leave(r.targetOf(r.deployment.Services[0].Name, 0)) }
	return s
}

// targetCrash has a target process of the entry service that dies at 80% load.
func targetCrash(l Durations) *Scenario {
	s := steady(l, "f crashes", 0.8)
	s.StartDisturbance = func(r *run) { r.crashTarget(r.targetOf(r.deployment.Services[0].Name, 0)) }
	return s
}

// hostFailure has a host of the entry service that stops responding for good at 80% load.
func hostFailure(l Durations) *Scenario {
	s := steady(l, "f goes silent", 0.8)
	s.StartDisturbance = func(r *run) { r.failHost(r.targetOf(r.deployment.Services[0].Name, 0)) }
	return s
}
