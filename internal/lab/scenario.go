package lab

import (
	"math"
	"time"

	"github.com/guavaford/guavaford/internal/registry"
)

// Scenario describes how load changes over time and which faults occur. Between DisturbanceStart and DisturbanceEnd it
// has a disturbance: other load, a slow service or a fault.
type Scenario struct {
	Name string
	// Length is the duration of the run. DisturbanceStart and DisturbanceEnd bound the disturbance, MeasureFrom and
	// MeasureTo the measured period.
	Length, DisturbanceStart, DisturbanceEnd, MeasureFrom, MeasureTo time.Duration
	// Base, During and After are the loads before, during and after the disturbance, as multiples of the
	// deployment's capacity.
	Base, During, After float64
	// TenantFactors multiplies the load of single organisations.
	TenantFactors map[string]float64
	// SlowFactor multiplies the service time of the deployment's InnermostService during the disturbance; 0 for none.
	SlowFactor float64
	// OneClass puts all requests into one class.
	OneClass bool
	// CallerRetries is how often a caller retries.
	CallerRetries int
	// StartDisturbance and EndDisturbance are called at the start and end of the disturbance; nil for none.
	StartDisturbance, EndDisturbance func(r *run)
	// RealSlotShare is the part of the announced slots of a service that really exists; 0 counts as 1.
	RealSlotShare float64
}

// loadFactor returns the load of an organisation at a given time, as a multiple of its load at 1.
func (s *Scenario) loadFactor(t time.Duration, tenant string) float64 {
	factor := s.Base
	switch {
	case t >= s.DisturbanceStart && t < s.DisturbanceEnd:
		factor = s.During
	case t >= s.DisturbanceEnd:
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
	if f, ok := s.TenantFactors[name]; ok {
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
	if s.RealSlotShare == 0 {
		return 1
	}
	return s.RealSlotShare
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
	// ExtraAttemptsMean and ExtraAttemptsMax are the mean and maximum of extra attempts for each caller attempt.
	ExtraAttemptsMean float64
	ExtraAttemptsMax  int
	// WorstTenantRatio is the lowest ratio of an organisation's completed requests to its fair share.
	WorstTenantRatio float64
	// FailedWithinShare is the share of caller attempts, of organisations within their fair share,
	// that were refused or timed out.
	FailedWithinShare float64
	// Classes holds completed requests as a share of offered requests, for each priority.
	Classes [3]float64
	// StartsAfterLeaving counts the attempts that a target started after its node knew that it was leaving.
	StartsAfterLeaving int
	// Reasons counts the failed caller attempts of the measured period.
	Reasons map[Reason]int
	// NotCompleted counts offered requests that were not completed. Without caller retries these are lost.
	NotCompleted int
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
	if s.SlowFactor > 0 || s.StartDisturbance != nil {
		r.sim.After(s.DisturbanceStart, r.startDisturbance)
		r.sim.After(s.DisturbanceEnd, r.endDisturbance)
	}
	r.sim.Run(s.Length)
	return r.recorder.summary()
}

// startDisturbance starts the disturbance of the scenario.
func (r *run) startDisturbance() {
	if r.scenario.SlowFactor > 0 {
		r.setSlowFactor(r.scenario.SlowFactor)
	}
	if r.scenario.StartDisturbance != nil {
		r.scenario.StartDisturbance(r)
	}
}

// endDisturbance ends the disturbance of the scenario.
func (r *run) endDisturbance() {
	if r.scenario.SlowFactor > 0 {
		r.setSlowFactor(1)
	}
	if r.scenario.EndDisturbance != nil {
		r.scenario.EndDisturbance(r)
	}
}

// setSlowFactor multiplies the service time of the deployment's InnermostService.
func (r *run) setSlowFactor(factor float64) {
	for _, t := range r.targetList {
		if t.service.Name == r.deployment.InnermostService {
			t.slowFactor = factor
		}
	}
}

// summary computes the figures of the run.
func (c *recorder) summary() Result {
	s := c.run.scenario
	result := Result{
		Deployment:         c.run.deployment.Name,
		Scenario:           s.Name,
		Policy:             c.run.policy.Name,
		Goodput:            c.completed(s.MeasureFrom, s.MeasureTo) / c.achievable(s.MeasureFrom, s.MeasureTo),
		Recovery:           c.recovery(),
		Wasted:             float64(c.wasted) / math.Max(float64(c.attempts), 1),
		ExtraAttemptsMean:  float64(c.extraAttempts) / math.Max(float64(c.callerAttempts), 1),
		ExtraAttemptsMax:   c.maxExtraAttempts,
		StartsAfterLeaving: c.startsAfterLeaving,
		Reasons:            c.reasons,
	}
	for priority, counts := range c.byClass {
		result.Classes[priority] = float64(counts.completed) / math.Max(float64(counts.offered), 1)
		result.NotCompleted += max(counts.offered-counts.completed, 0)
	}
	result.WorstTenantRatio, result.FailedWithinShare = c.tenantFigures(c.achievable(s.MeasureFrom, s.MeasureTo))
	return result
}

// recovery returns the time from the end of the disturbance until goodput has recovered, or -1.
func (c *recorder) recovery() time.Duration {
	s := c.run.scenario
	for t := s.DisturbanceEnd; t+recoverySpan <= s.Length; t += binLength {
		if c.completed(t, t+recoverySpan) >= recoveryShare*c.achievable(t, t+recoverySpan) {
			return t - s.DisturbanceEnd
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
