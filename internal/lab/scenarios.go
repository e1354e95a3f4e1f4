package lab

import (
	"time"

	"github.com/guavaford/guavaford/internal/registry"
)

// Length says how long the causes of scenarios last.
type Length struct {
	// Surge and Slowdown are the lengths of the causes in scenarios b and c.
	Surge, Slowdown time.Duration
	// Steady is the length of the other scenarios.
	Steady time.Duration
	// Settle is the time after which figures count.
	Settle time.Duration
	// After is the time after the cause.
	After time.Duration
}

// Full returns the lengths of the table, and Short those of the checks in CI.
func Full() Length {
	return Length{Surge: 30 * time.Second, Slowdown: 20 * time.Second, Steady: 20 * time.Second, Settle: 5 * time.Second, After: 10 * time.Second}
}

// Short returns lengths that keep the checks quick.
func Short() Length {
	return Length{Surge: 6 * time.Second, Slowdown: 8 * time.Second, Steady: 6 * time.Second, Settle: 3 * time.Second, After: 5 * time.Second}
}

// causeAt is when the cause of a scenario starts.
const causeAt = 3 * time.Second

// hardResends is how often callers that resend hard send again.
const hardResends = 3

// Scenarios returns the scenarios of the table.
func Scenarios(l Length) []*Scenario {
	return []*Scenario{
		steady(l, "a 50%", 0.5),
		steady(l, "a 90%", 0.9),
		surge(l, "b 1.5x", 1.5),
		surge(l, "b 3x", 3),
		surge(l, "b 10x", 10),
		slowdown(l),
		greedy(l),
		liar(l),
		cold(l),
		leaver(l),
		crash(l),
		silence(l),
	}
}

// steady is constant load.
func steady(l Length, name string, load float64) *Scenario {
	return &Scenario{
		Name: name, Length: causeAt + l.Steady, CauseFrom: causeAt, CauseTo: causeAt, From: causeAt, To: causeAt + l.Steady,
		Base: load, During: load, After: load,
	}
}

// surge is demand above capacity from callers that resend hard, then 70%.
func surge(l Length, name string, load float64) *Scenario {
	end := causeAt + l.Surge
	return &Scenario{
		Name: name, Length: end + l.After, CauseFrom: causeAt, CauseTo: end, From: causeAt + l.Settle, To: end,
		Base: 0.7, During: load, After: 0.7, Resends: hardResends,
	}
}

// slowdown is a deep service that slows 5 times under load above capacity, with callers that
// resend hard.
func slowdown(l Length) *Scenario {
	end := causeAt + l.Slowdown
	return &Scenario{
		Name: "c slow 5x", Length: end + l.After, CauseFrom: causeAt, CauseTo: end, From: causeAt + l.Settle, To: end,
		Base: 1.1, During: 1.1, After: 1.1, Slow: 5, Resends: hardResends,
	}
}

// greedy is one large organisation at 5 times its rate beside seven within theirs, all in one
// class and without the limit of rates: what admission alone does for fair shares.
func greedy(l Length) *Scenario {
	return &Scenario{
		Name: "d one at 5x", Length: causeAt + l.Steady, CauseFrom: causeAt, CauseTo: causeAt, From: causeAt, To: causeAt + l.Steady,
		Base: 0.8, During: 0.8, After: 0.8, Tenants: map[string]float64{"large-1": 5}, OneClass: true,
	}
}

// liarShare is the part of the slots announced by target 0 of the deep service that exists.
const liarShare = 0.4

// liar is a target that announces more slots than it has.
func liar(l Length) *Scenario {
	s := steady(l, "e liar", 0.7)
	s.Base, s.During, s.After = 0.7, 0.7, 0.7
	s.CauseFrom, s.CauseTo = 0, 0
	s.Share = (liarShare + 2) / 3
	s.From += l.Settle
	s.Length += l.Settle
	s.To += l.Settle
	s.Cause = func(r *run) {
		t := r.targetOf(r.deployment.Deep, 0)
		t.slots = int(float64(t.slots) * liarShare)
	}
	return s
}

// cold is a target that restarts cold.
func cold(l Length) *Scenario {
	s := steady(l, "e cold", 0.7)
	s.Cause = func(r *run) {
		t := r.targetOf(r.deployment.Deep, 0)
		t.coldFrom = r.sim.Now()
		r.change(t, func(record *registry.Target) {
			record.Started = r.sim.Now()
			record.Incarnation++
		})
	}
	return s
}

// leaver is a target of the entry service that leaves at 80% load.
func leaver(l Length) *Scenario {
	s := steady(l, "f leaves", 0.8)
	s.Cause = func(r *run) { r.leave(r.targetOf(r.deployment.Services[0].Name, 0)) }
	return s
}

// crash is a target process of the entry service that dies at 80% load.
func crash(l Length) *Scenario {
	s := steady(l, "f crashes", 0.8)
	s.Cause = func(r *run) { r.crash(r.targetOf(r.deployment.Services[0].Name, 0)) }
	return s
}

// silence is a host of the entry service that goes silent for good at 80% load.
func silence(l Length) *Scenario {
	s := steady(l, "f goes silent", 0.8)
	s.Cause = func(r *run) { r.silence(r.targetOf(r.deployment.Services[0].Name, 0)) }
	return s
}
