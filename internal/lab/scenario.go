package lab

import (
	"math"
	"time"

	"github.com/guavaford/guavaford/internal/registry"
)

// Scenario is a course of load and faults.
type Scenario struct {
	Name string
	// Length of the run, the period of the cause, and the period that is measured.
	Length, CauseFrom, CauseTo, From, To time.Duration
	// Base, During and After are loads as multiples of the deployment's capacity.
	Base, During, After float64
	// Tenants multiplies the load of single organisations.
	Tenants map[string]float64
	// Slow multiplies the service time of the deep service during the cause; 0 for none.
	Slow float64
	// OneClass puts all requests into one class.
	OneClass bool
	// Resends is how often a caller sends again.
	Resends int
	// Cause and Recover are called at the start and end of the cause.
	Cause, Recover func(r *run)
	// Share is the part of the deep service's slots that really exist; 0 counts as 1.
	Share float64
}

// load returns the load factor at a time for an organisation.
func (s *Scenario) load(t time.Duration, tenant string) float64 {
	factor := s.Base
	switch {
	case t >= s.CauseFrom && t < s.CauseTo:
		factor = s.During
	case t >= s.CauseTo:
		factor = s.After
	}
	return factor * s.tenant(tenant)
}

// priority returns the class of a chain's requests.
func (s *Scenario) priority(c *Chain) int {
	if s.OneClass {
		return 1
	}
	return c.Priority
}

// tenant returns the multiple of an organisation.
func (s *Scenario) tenant(name string) float64 {
	if f, ok := s.Tenants[name]; ok {
		return f
	}
	return 1
}

// peak returns the highest load of an organisation.
func (s *Scenario) peak(tenant string) float64 {
	return max(s.Base, s.During, s.After) * s.tenant(tenant)
}

// capacityShare returns the part of a service's slots that exist.
func (s *Scenario) capacityShare(string) float64 {
	if s.Share == 0 {
		return 1
	}
	return s.Share
}

// Result is one line of the table.
type Result struct {
	Deployment, Scenario, Policy string
	// Goodput is the work done in the measured period as a share of the best possible.
	Goodput float64
	// Recovery is the time from the end of the cause until goodput is at 95% of the best
	// possible for a second; negative if that was not reached.
	Recovery time.Duration
	// Wasted is the share of attempts that ran in vain.
	Wasted float64
	// ExtraMean and ExtraMax are extra attempts for each request sent.
	ExtraMean float64
	ExtraMax  int
	// WorstTenant is the lowest ratio of an organisation's work done to its fair share.
	WorstTenant float64
	// RefusedWithinRate is the share of requests, of organisations within their fair share,
	// that brought their callers nothing.
	RefusedWithinRate float64
	// Classes holds the work done as a share of the work wanted, for each priority.
	Classes [3]float64
	// LeaverStarts counts requests that a leaving target was given after its node knew.
	LeaverStarts int
	// Reasons counts the failed tries of the measured period.
	Reasons map[Reason]int
	// Lost counts work that was wanted and, with callers that send once, not done.
	Lost int
}

// recoveryShare is the share of the best possible goodput that counts as recovered, and
// recoverySpan the time for which it must hold.
const (
	recoveryShare = 0.95
	recoverySpan  = time.Second
)

// Measure runs a scenario under a policy.
func Measure(d *Deployment, s *Scenario, p Policy, seed uint64) Result {
	r := newRun(d, s, p, seed)
	r.drive()
	if s.Slow > 0 || s.Cause != nil {
		r.sim.After(s.CauseFrom, r.cause)
		r.sim.After(s.CauseTo, r.recover)
	}
	r.sim.Run(s.Length)
	return r.result.summary()
}

// cause starts the cause of the scenario.
func (r *run) cause() {
	if r.scenario.Slow > 0 {
		r.setSlow(r.scenario.Slow)
	}
	if r.scenario.Cause != nil {
		r.scenario.Cause(r)
	}
}

// recover ends the cause of the scenario.
func (r *run) recover() {
	if r.scenario.Slow > 0 {
		r.setSlow(1)
	}
	if r.scenario.Recover != nil {
		r.scenario.Recover(r)
	}
}

// setSlow sets the factor of the deep service's time.
func (r *run) setSlow(factor float64) {
	for _, t := range r.order {
		if t.service.Name == r.deployment.Deep {
			t.slow = factor
		}
	}
}

// summary computes the line of the table.
func (c *recorder) summary() Result {
	s := c.run.scenario
	result := Result{
		Deployment:   c.run.deployment.Name,
		Scenario:     s.Name,
		Policy:       c.run.policy.Name,
		Goodput:      c.done(s.From, s.To) / c.best(s.From, s.To),
		Recovery:     c.recovery(),
		Wasted:       float64(c.wasted) / math.Max(float64(c.attempts), 1),
		ExtraMean:    float64(c.extra) / math.Max(float64(c.tries), 1),
		ExtraMax:     c.extraMax,
		LeaverStarts: c.leaverStarts,
		Reasons:      c.reasons,
	}
	for priority, counts := range c.byClass {
		result.Classes[priority] = float64(counts.done) / math.Max(float64(counts.wanted), 1)
		result.Lost += max(counts.wanted-counts.done, 0)
	}
	result.WorstTenant, result.RefusedWithinRate = c.tenants(c.best(s.From, s.To))
	return result
}

// recovery returns the time from the end of the cause until goodput is back.
func (c *recorder) recovery() time.Duration {
	s := c.run.scenario
	for t := s.CauseTo; t+recoverySpan <= s.Length; t += bin {
		if c.done(t, t+recoverySpan) >= recoveryShare*c.best(t, t+recoverySpan) {
			return t - s.CauseTo
		}
	}
	return -1
}

// tenants returns the worst ratio of work done to the fair share of the best possible, and
// the share of tries refused among organisations that wanted no more than their share.
func (c *recorder) tenants(best float64) (worst, refused float64) {
	worst = math.Inf(1)
	share := c.fairShare(best)
	tries, refusals := 0, 0
	for i, t := range c.byTenant {
		fair := math.Min(float64(t.wanted), share*c.run.deployment.Tenants[i].Share)
		worst = math.Min(worst, float64(t.done)/math.Max(fair, 1))
		if float64(t.wanted) <= share*c.run.deployment.Tenants[i].Share {
			tries += t.counted + t.refused
			refusals += t.refused
		}
	}
	return worst, float64(refusals) / math.Max(float64(tries), 1)
}

// fairShare returns the max-min fair amount of work for each unit of share.
func (c *recorder) fairShare(best float64) float64 {
	share := 0.0
	for range len(c.byTenant) + 1 {
		left, weights := best, 0.0
		for i, t := range c.byTenant {
			weight := c.run.deployment.Tenants[i].Share
			if float64(t.wanted) <= share*weight {
				left -= float64(t.wanted)
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

// leave makes a target leave: its node refuses at once, others learn later.
func (r *run) leave(t *fakeTarget) {
	r.gates[t.record.ID()].drain()
	r.change(t, func(record *registry.Target) { record.State = leavingState })
}

// crash stops the process of a target; the node beside it sees that at once.
func (r *run) crash(t *fakeTarget) {
	t.state = crashed
	for _, a := range t.pending {
		a.crash()
	}
	r.change(t, func(record *registry.Target) { record.State = goneState })
}

// silence stops the host of a target; callers' nodes find out by pings, the registry later.
func (r *run) silence(t *fakeTarget) {
	t.state = silent
	r.sim.After(silenceBound, func() {
		for _, a := range t.pending {
			a.lost()
		}
	})
	r.sim.After(livenessBound, func() {
		r.change(t, func(record *registry.Target) { record.State = goneState })
	})
}
