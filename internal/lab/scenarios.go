package lab

import (
	"time"

	"github.com/guavaford/guavaford/internal/registry"
)

// Length says how long the parts of scenarios last.
type Length struct {
	// Surge and Slowdown are the lengths of the disturbances in scenarios b and c.
	Surge, Slowdown time.Duration
	// Steady is the length of the other scenarios.
	Steady time.Duration
	// Settle is the time between the start of a disturbance and the measured period.
	Settle time.Duration
	// After is the time from the end of the disturbance to the end of the run.
	After time.Duration
}

// Full returns the lengths for the published table.
func Full() Length {
	return Length{Surge: 30 * time.Second, Slowdown: 20 * time.Second, Steady: 20 * time.Second, Settle: 5 * time.Second, After: 10 * time.Second}
}

// Short returns the lengths for the checks in CI, which must be quick.
func Short() Length {
	return Length{Surge: 6 * time.Second, Slowdown: 8 * time.Second, Steady: 6 * time.Second, Settle: 3 * time.Second, After: 5 * time.Second}
}

// disturbanceStart is the time at which the disturbance of a scenario starts.
const disturbanceStart = 3 * time.Second

// aggressiveRetries is how often callers retry in the scenarios with overload.
const aggressiveRetries = 3

// Scenarios returns the scenarios of the table.
func Scenarios(l Length) []*Scenario {
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
func steady(l Length, name string, load float64) *Scenario {
	return &Scenario{
		Name: name, Length: disturbanceStart + l.Steady, CauseFrom: disturbanceStart, CauseTo: disturbanceStart, From: disturbanceStart, To: disturbanceStart + l.Steady,
		Base: load, During: load, After: load,
	}
}

// surge has load above capacity from callers that retry, and 70% load before and after it.
func surge(l Length, name string, load float64) *Scenario {
	end := disturbanceStart + l.Surge
	return &Scenario{
		Name: name, Length: end + l.After, CauseFrom: disturbanceStart, CauseTo: end, From: disturbanceStart + l.Settle, To: end,
		Base: 0.7, During: load, After: 0.7, Resends: aggressiveRetries,
	}
}

// slowdown makes the innermost service 5 times slower under load above capacity, with callers that
// retry.
func slowdown(l Length) *Scenario {
	end := disturbanceStart + l.Slowdown
	return &Scenario{
		Name: "c slow 5x", Length: end + l.After, CauseFrom: disturbanceStart, CauseTo: end, From: disturbanceStart + l.Settle, To: end,
		Base: 1.1, During: 1.1, After: 1.1, Slow: 5, Resends: aggressiveRetries,
	}
}

// noisyTenant has one large organisation at 5 times its rate beside seven within theirs, all in one
// class and without rate limits. It shows how fairly admission control alone shares capacity.
func noisyTenant(l Length) *Scenario {
	return &Scenario{
		Name: "d one at 5x", Length: disturbanceStart + l.Steady, CauseFrom: disturbanceStart, CauseTo: disturbanceStart, From: disturbanceStart, To: disturbanceStart + l.Steady,
		Base: 0.8, During: 0.8, After: 0.8, Tenants: map[string]float64{"large-1": 5}, OneClass: true,
	}
}

// realSlotShare is the part of the slots announced by target 0 of the Deep service that exists.
const realSlotShare = 0.4

// overstatedSlots has a target that announces more slots than it has.
func overstatedSlots(l Length) *Scenario {
	s := steady(l, "e liar", 0.7)
	s.Base, s.During, s.After = 0.7, 0.7, 0.7
	s.CauseFrom, s.CauseTo = 0, 0
	s.Share = (realSlotShare + 2) / 3
	s.From += l.Settle
	s.Length += l.Settle
	s.To += l.Settle
	s.Cause = func(r *run) {
		t := r.targetOf(r.deployment.Deep, 0)
		t.slots = int(float64(t.slots) * realSlotShare)
	}
	return s
}

// coldStart has a target that restarts and is slow until it is warm.
func coldStart(l Length) *Scenario {
	s := steady(l, "e cold", 0.7)
	s.Cause = func(r *run) {
		t := r.targetOf(r.deployment.Deep, 0)
		t.coldSince = r.sim.Now()
		r.updateTarget(t, func(record *registry.Target) {
			record.Started = r.sim.Now()
			record.Incarnation++
		})
	}
	return s
}

// leavingTarget has a target of the entry service that leaves at 80% load.
func leavingTarget(l Length) *Scenario {
	s := steady(l, "f leaves", 0.8)
	s.Cause = func(r *run) { r.leave(r.targetOf(r.deployment.Services[0].Name, 0)) }
	return s
}

// targetCrash has a target process of the entry service that dies at 80% load.
func targetCrash(l Length) *Scenario {
	s := steady(l, "f crashes", 0.8)
	s.Cause = func(r *run) { r.crashTarget(r.targetOf(r.deployment.Services[0].Name, 0)) }
	return s
}

// hostFailure has a host of the entry service that stops responding for good at 80% load.
func hostFailure(l Length) *Scenario {
	s := steady(l, "f goes silent", 0.8)
	s.Cause = func(r *run) { r.failHost(r.targetOf(r.deployment.Services[0].Name, 0)) }
	return s
}
