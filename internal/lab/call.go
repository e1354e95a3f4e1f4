package lab

import (
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/admission"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/retry"
	"github.com/guavaford/guavaford/internal/route"
)

// try is one sending of a caller's request, with its whole call tree.
type try struct {
	run      *run
	chain    *Chain
	tenant   int
	level    uint32
	deadline time.Time
	root     *call
	// started counts attempts that began at a target; extra counts attempts beyond the first.
	started int
	extra   int
	// reached is the depth of the deepest call made.
	reached int
	counted bool
	ended   bool
}

// call is one call of the tree: the service at place in the chain, from a node.
type call struct {
	try       *try
	place     int
	node      *node
	allowance *retry.Allowance
	active    *attempt
	attempts  int
	tried     []string
	cutoff    *apiv1.Cutoff
	ended     bool
	done      func(*outcome.Refusal)
}

// request describes the call to the gate.
func (c *call) request() admission.Request {
	t := c.try
	tenant := t.run.deployment.Tenants[t.tenant]
	return admission.Request{
		Organisation: tenant.Name,
		Weight:       tenant.Share,
		Priority:     t.run.scenario.priority(t.chain),
		Depth:        c.place,
		Level:        t.level,
		Deadline:     t.deadline,
	}
}

// dispatch makes one attempt.
func (c *call) dispatch() {
	if c.ended {
		return
	}
	run := c.try.run
	c.try.reached = max(c.try.reached, c.place)
	service := c.try.chain.Services[c.place]
	tenant := run.deployment.Tenants[c.try.tenant].Name
	picker := c.node.pickers[service]
	choice, refusal := picker.Pick(route.Query{Exclude: c.tried, Route: c.try.chain.Route, Organisation: tenant, Level: c.try.level, Depth: c.place})
	if refusal != nil {
		c.cutoff = picker.Cutoff(c.try.chain.Route, tenant)
		c.fail(refusal)
		return
	}
	if c.attempts == 0 {
		c.node.budgets[service].First(run.sim.Now())
	}
	c.attempts++
	target := run.targets[choice.Target().ID()]
	a := &attempt{call: c, choice: choice, target: target, sent: run.sim.Now()}
	c.active = a
	target.expect(a)
	run.sim.After(run.delay(c.node.dataCentre, target.record.DataCentre), a.arrive)
}

// fail ends the call or makes another attempt.
func (c *call) fail(refusal *outcome.Refusal) {
	c.active = nil
	run := c.try.run
	if wait, ok := c.mayRetry(refusal); ok {
		c.try.extra++
		run.sim.After(wait, c.dispatch)
		return
	}
	if c.attempts > 1 {
		again := *refusal
		again.Retried = true
		refusal = &again
	}
	c.end(refusal)
}

// mayRetry decides on another attempt.
func (c *call) mayRetry(refusal *outcome.Refusal) (time.Duration, bool) {
	run := c.try.run
	if !run.policy.Retries {
		ok := c.attempts <= baselineExtra && refusal.Code != outcome.NoTarget
		return 0, ok
	}
	now := run.sim.Now()
	if !retry.MayRepeat(refusal, true) || c.allowance.Left() == 0 {
		return 0, false
	}
	wait, ok := retry.Backoff(c.attempts, c.try.deadline.Sub(now), 0, run.random.Float64)
	if !ok || !c.node.budgets[c.try.chain.Services[c.place]].Allow(now) || !c.allowance.Take() {
		return 0, false
	}
	return wait, true
}

// end reports the outcome once.
func (c *call) end(refusal *outcome.Refusal) {
	if c.ended {
		return
	}
	c.ended = true
	c.done(refusal)
}

// cancel ends the call and everything below it without an outcome.
func (c *call) cancel() {
	if c.ended {
		return
	}
	c.ended = true
	if a := c.active; a != nil {
		a.choice.Done(route.Observation{Kind: route.Cancelled})
		c.try.run.sim.After(c.try.run.delay(c.node.dataCentre, a.target.record.DataCentre), a.cancel)
	}
}

// attempt is one sending of a call to a target.
type attempt struct {
	call      *call
	choice    route.Choice
	target    *fakeTarget
	waiter    admission.Waiter
	sent      time.Time
	started   time.Time
	below     *call
	cutoff    *apiv1.Cutoff
	begun     bool
	executing bool
	ended     bool
	belowFrom time.Time
	belowTime time.Duration
}

// arrive reaches the gate beside the target.
func (a *attempt) arrive() {
	if a.call.ended || a.ended {
		return
	}
	switch a.target.state {
	case crashed:
		a.refuse(&outcome.Refusal{Code: outcome.TargetUnreachable, Ran: outcome.RanNo})
		return
	case silent:
		a.target.run.sim.After(dialTimeout, a.lost)
		return
	}
	a.target.run.gates[a.target.record.ID()].arrive(a)
}

// lost ends an attempt of which nothing was heard.
func (a *attempt) lost() {
	if a.ended || a.call.ended {
		return
	}
	a.ended = true
	a.choice.Done(route.Observation{Kind: route.Failure})
	a.call.fail(&outcome.Refusal{Code: outcome.TargetFailed, Ran: outcome.RanUnknown})
}

// start runs the attempt at its target.
func (a *attempt) start() {
	run := a.target.run
	a.begun = true
	a.started = run.sim.Now()
	a.call.try.attemptStarted()
	if a.target.record.State == leavingState {
		run.result.leaverStarts++
	}
	a.target.begin(a)
}

// refuse answers that the attempt was not run.
func (a *attempt) refuse(refusal *outcome.Refusal) {
	a.ended = true
	kind := route.Refused
	if refusal.Code == outcome.TargetUnreachable {
		kind = route.Failure
	}
	a.answer(kind, refusal)
}

// callBelow makes the next call of the chain, or reports success at once at its end.
func (a *attempt) callBelow(done func(admission.Result)) {
	t := a.call.try
	if a.call.place+1 == len(t.chain.Services) {
		done(admission.Result{Kind: admission.Success})
		return
	}
	run := t.run
	lent := a.call.allowance.Lend(a.call.allowance.Left())
	a.belowFrom = run.sim.Now()
	below := &call{try: t, place: a.call.place + 1, node: run.beside[a.target.record.ID()], allowance: retry.NewAllowance(lent)}
	a.below = below
	below.done = func(refusal *outcome.Refusal) {
		a.belowTime += run.sim.Now().Sub(a.belowFrom)
		a.below = nil
		a.cutoff = admission.LowerCutoff(a.cutoff, below.cutoff)
		a.call.allowance.Return(below.allowance.Close())
		if refusal != nil {
			a.failedBelow(refusal)
			return
		}
		done(admission.Result{Kind: admission.Success})
	}
	below.dispatch()
}

// failedBelow passes a refusal from further down on: this target ran, so no hop above
// repeats the work as if it had not.
func (a *attempt) failedBelow(refusal *outcome.Refusal) {
	up := *refusal
	up.Retried = true
	if !a.target.run.policy.Retries {
		up.Retried = false
	}
	a.end(admission.Result{Kind: admission.Failure, Downstream: a.belowTime}, &up)
}

// finish ends the attempt with its result.
func (a *attempt) finish(res admission.Result) {
	res.Downstream = a.belowTime
	a.end(res, nil)
}

// end frees the target and answers.
func (a *attempt) end(res admission.Result, refusal *outcome.Refusal) {
	if a.ended || a.target.state != alive {
		return
	}
	a.ended = true
	a.target.leave(a)
	a.target.run.gates[a.target.record.ID()].finish(a, res)
	kind := route.Success
	if refusal != nil {
		kind = route.Cancelled
	}
	a.answer(kind, refusal)
}

// crash ends an attempt whose target process died while the node beside it lives.
func (a *attempt) crash() {
	if a.ended || a.call.ended || !a.begun {
		return
	}
	a.ended = true
	if a.below != nil {
		a.below.cancel()
	}
	a.target.run.gates[a.target.record.ID()].finish(a, admission.Result{Kind: admission.Failure})
	a.answer(route.Failure, &outcome.Refusal{Code: outcome.TargetFailed, Ran: outcome.RanUnknown})
}

// answer travels back to the caller's node.
func (a *attempt) answer(kind route.Kind, refusal *outcome.Refusal) {
	run, c := a.target.run, a.call
	tenant := run.deployment.Tenants[c.try.tenant].Name
	load := run.gates[a.target.record.ID()].load(tenant)
	if load != nil {
		load.Cutoff = admission.LowerCutoff(load.Cutoff, a.cutoff)
	}
	run.sim.After(run.delay(c.node.dataCentre, a.target.record.DataCentre), func() {
		if c.ended {
			return
		}
		c.cutoff = load.GetCutoff()
		a.choice.Done(route.Observation{Kind: kind, Latency: run.sim.Now().Sub(a.sent), Load: load})
		if refusal == nil {
			c.active = nil
			c.end(nil)
			return
		}
		c.tried = append(c.tried, a.target.record.ID())
		c.fail(refusal)
	})
}

// cancel reaches the gate: queued work is removed, running work stops.
func (a *attempt) cancel() {
	if a.ended || a.target.state != alive {
		return
	}
	gate := a.target.run.gates[a.target.record.ID()]
	if gate.cancel(a) {
		a.ended = true
		return
	}
	if !a.begun {
		return
	}
	a.ended = true
	if a.below != nil {
		a.below.cancel()
	}
	a.target.leave(a)
	gate.finish(a, admission.Result{Kind: admission.Cancelled, Downstream: a.belowTime})
}

// node is one process beside a target: the entry of callers and the way out of sub-calls.
type node struct {
	dataCentre string
	pickers    map[string]picker
	budgets    map[string]*retry.Budget
}

// picker is the part of route.Picker that the lab uses.
type picker interface {
	Pick(route.Query) (route.Choice, *outcome.Refusal)
	Cutoff(route, organisation string) *apiv1.Cutoff
	Update([]*registry.Target)
}
