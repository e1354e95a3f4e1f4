package lab

import (
	"math"
	"time"

	"github.com/guavaford/guavaford/internal/registry"
)

// Scenario describes how load changes over time and which faults occur. Between CauseFrom and CauseTo it has a
// disturbance: other load, a slow service or a fault.
type Scenario struct {
	Name string
	// Length is the duration of the run. CauseFrom and CauseTo bound the disturbance, From and To the measured
	// period.
	Length, CauseFrom, CauseTo, From, To time.Duration
	// Base, During and After are the loads before, during and after the disturbance, as multiples of the
	// deployment's capacity.
	Base, During, After float64
	// Tenants multiplies the load of single organisations.
	Tenants map[string]float64
	// Slow multiplies the service time of the deployment's Deep service during the disturbance; 0 for none.
	Slow float64
	// OneClass puts all requests into one class.
	OneClass bool
	// Resends is how often a caller retries.
	Resends int
	// Cause and Recover are called at the start and end of the disturbance; nil for none.
	Cause, Recover func(r *run)
	// Share is the part of the announced slots of a service that really exists; 0 counts as 1.
	Share float64
}

// loadFactor returns the load of an organisation at a given time, as a multiple of its load at 1.
func (s *Scenario) loadFactor(t time.Duration, tenant string) float64 {
	factor := s.Base
	switch {
	case t >= s.CauseFrom && t < s.CauseTo:
		factor = s.During
	case t >= s.CauseTo:
		factor = s.After
	}
	return factor * s.tenantFactor(tenant)
}

// priority returns the class of a chain's requests.
func (s *Scenario) priority(c *Chain) int {
	if s.OneClass {
		return 1
	}
	return c.Priority
}

// tenantFactor returns the factor by which an organisation's load is multiplied.
func (s *Scenario) tenantFactor(name string) float64 {
	if f, ok := s.Tenants[name]; ok {
		return f
	}
	return 1
}

// peakLoadFactor returns the highest load factor of an organisation.
func (s *Scenario) peakLoadFactor(tenant string) float64 {
	return max(s.Base, s.During, s.After) * s.tenantFactor(tenant)
}

// capacityShare returns the part of a service's announced slots that really exists.
func (s *Scenario) capacityShare(string) float64 {
	if s.Share == 0 {
		return 1
	}
	return s.Share
}

// Result holds the figures of one run, which are one row of the table.
type Result struct {
	Deployment, Scenario, Policy string
	// Goodput is the number of requests completed in the measured period as a share of the achievable
	// number.
	Goodput float64
	// Recovery is the time from the end of the disturbance until goodput is at 95% of the
	// achievable for a second; negative if that was not reached.
	Recovery time.Duration
	// Wasted is the share of started attempts that contributed to no successful answer.
	Wasted float64
	// ExtraMean and ExtraMax are the mean and maximum of extra attempts for each caller attempt.
	ExtraMean float64
	ExtraMax  int
	// WorstTenant is the lowest ratio of an organisation's completed requests to its fair share.
	WorstTenant float64
	// RefusedWithinRate is the share of caller attempts, of organisations within their fair share,
	// that were refused or timed out.
	RefusedWithinRate float64
	// Classes holds completed requests as a share of offered requests, for each priority.
	Classes [3]float64
	// LeaverStarts counts the attempts that a target started after its node knew that it was leaving.
	LeaverStarts int
	// Reasons counts the failed caller attempts of the measured period.
	Reasons map[Reason]int
	// Lost counts offered requests that were not completed. Without caller retries these are lost.
	Lost int
}

// recoveryShare is the share of the achievable goodput that counts as recovered, and
// recoverySpan the time for which it must hold.
const (
	recoveryShare = 0.95
	recoverySpan  = time.Second
)

// Measure simulates a scenario under a policy.
func Measure(d *Deployment, s *Scenario, p Policy, seed uint64) Result {
	r := newRun(d, s, p, seed)
	r.startArrivals()
	if s.Slow > 0 || s.Cause != nil {
		r.sim.After(s.CauseFrom, r.startDisturbance)
		r.sim.After(s.CauseTo, r.endDisturbance)
	}
	r.sim.Run(s.Length)
	return r.recorder.summary()
}

// startDisturbance starts the disturbance of the scenario.
func (r *run) startDisturbance() {
	if r.scenario.Slow > 0 {
		r.setSlowFactor(r.scenario.Slow)
	}
	if r.scenario.Cause != nil {
		r.scenario.Cause(r)
	}
}

// endDisturbance ends the disturbance of the scenario.
func (r *run) endDisturbance() {
	if r.scenario.Slow > 0 {
		r.setSlowFactor(1)
	}
	if r.scenario.Recover != nil {
		r.scenario.Recover(r)
	}
}

// setSlowFactor multiplies the service time of the deployment's Deep service.
func (r *run) setSlowFactor(factor float64) {
	for _, t := range r.targetList {
		if t.service.Name == r.deployment.Deep {
			t.slowFactor = factor
		}
	}
}

// summary computes the figures of the run.
func (c *recorder) summary() Result {
	s := c.run.scenario
	result := Result{
		Deployment:   c.run.deployment.Name,
		Scenario:     s.Name,
		Policy:       c.run.policy.Name,
		Goodput:      c.completed(s.From, s.To) / c.achievable(s.From, s.To),
		Recovery:     c.recovery(),
		Wasted:       float64(c.wasted) / math.Max(float64(c.attempts), 1),
		ExtraMean:    float64(c.extraAttempts) / math.Max(float64(c.callerAttempts), 1),
		ExtraMax:     c.maxExtraAttempts,
		LeaverStarts: c.startsAfterLeaving,
		Reasons:      c.reasons,
	}
	for priority, counts := range c.byClass {
		result.Classes[priority] = float64(counts.completed) / math.Max(float64(counts.offered), 1)
		result.Lost += max(counts.offered-counts.completed, 0)
	}
	result.WorstTenant, result.RefusedWithinRate = c.tenantFigures(c.achievable(s.From, s.To))
	return result
}

// recovery returns the time from the end of the disturbance until goodput has recovered, or -1.
func (c *recorder) recovery() time.Duration {
	s := c.run.scenario
	for t := s.CauseTo; t+recoverySpan <= s.Length; t += binLength {
		if c.completed(t, t+recoverySpan) >= recoveryShare*c.achievable(t, t+recoverySpan) {
			return t - s.CauseTo
		}
	}
	return -1
}

// tenantFigures returns the lowest ratio of an organisation's completed requests to its fair share of
// the achievable number, and the share of caller attempts that failed among organisations that
// offered no more than their share.
func (c *recorder) tenantFigures(achievable float64) (worst, failed float64) {
	worst = math.Inf(1)
	share := c.fairShare(achievable)
	callerAttempts, failures := 0, 0
	for i, t := range c.byTenant {
		fair := math.Min(float64(t.offered), share*c.run.deployment.Tenants[i].Share)
		worst = math.Min(worst, float64(t.completed)/math.Max(fair, 1))
		if float64(t.offered) <= share*c.run.deployment.Tenants[i].Share {
			callerAttempts += t.succeeded + t.failed
			failures += t.failed
		}
	}
	return worst, float64(failures) / math.Max(float64(callerAttempts), 1)
}

// fairShare returns the max-min fair number of requests for each unit of Tenant.Share.
func (c *recorder) fairShare(achievable float64) float64 {
	share := 0.0
	for range len(c.byTenant) + 1 {
		left, weights := achievable, 0.0
		for i, t := range c.byTenant {
			weight := c.run.deployment.Tenants[i].Share
			if float64(t.offered) <= share*weight {
				left -= float64(t.offered)
			} else {
				weights += weight
			}
		}
		if weights == 0 {
			return share
		}
		share = left / weights
	}
	return share
}

// leave makes a target leave: its own node refuses new requests at once, other nodes learn of it later.
func (r *run) leave(t *fakeTarget) {
	r.gates[t.record.ID()].drain()
	r.updateTarget(t, func(record *registry.Target) { record.State = leavingState })
}

// crashTarget stops the process of a target; the node beside it sees that at once.
func (r *run) crashTarget(t *fakeTarget) {
	t.state = crashed
	for _, a := range t.pending {
		a.targetCrashed()
	}
	r.updateTarget(t, func(record *registry.Target) { record.State = goneState })
}

// failHost stops the host of a target; the nodes that call it find out by pings, the registry later.
func (r *run) failHost(t *fakeTarget) {
	t.state = unresponsive
	r.sim.After(pingTimeout, func() {
		for _, a := range t.pending {
			a.connectionLost()
		}
	})
	r.sim.After(nodeTimeout, func() {
		r.updateTarget(t, func(record *registry.Target) { record.State = goneState })
	})
}
