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

// callerAttempt is one attempt of a caller at its request, with the call tree that it causes.
type callerAttempt struct {
	run      *run
	chain    *Chain
	tenant   int
	level    uint32
	deadline time.Time
	root     *call
	// startedAttempts counts the attempts that a target started; extraAttempts counts the attempts of
	// calls beyond their first.
	startedAttempts int
	extraAttempts   int
	// deepest is the depth of the deepest call made.
	deepest int
	counted bool
	ended   bool
}

// call is one call of the tree, from a node to the service at index depth of the chain.
type call struct {
	callerAttempt *callerAttempt
	depth         int
	node          *node
	allowance     *retry.Allowance
	active        *attempt
	attempts      int
	tried         []string
	cutoff        *apiv1.Cutoff
	ended         bool
	done          func(*outcome.Refusal)
}

// admissionRequest describes the call to the gate.
func (c *call) admissionRequest() admission.Request {
	t := c.callerAttempt
	tenant := t.run.deployment.Tenants[t.tenant]
	return admission.Request{
		Organisation: tenant.Name,
		Weight:       tenant.Share,
		Priority:     t.run.scenario.priority(t.chain),
		Depth:        c.depth,
		Level:        t.level,
		Deadline:     t.deadline,
	}
}

// dispatch picks a target and sends one attempt to it.
func (c *call) dispatch() {
	if c.ended {
		return
	}
	run := c.callerAttempt.run
	c.callerAttempt.deepest = max(c.callerAttempt.deepest, c.depth)
	service := c.callerAttempt.chain.Services[c.depth]
	tenant := run.deployment.Tenants[c.callerAttempt.tenant].Name
	picker := c.node.pickers[service]
	choice, refusal := picker.Pick(route.Query{Exclude: c.tried, Route: c.callerAttempt.chain.Route, Organisation: tenant, Level: c.callerAttempt.level, Depth: c.depth})
	if refusal != nil {
		c.cutoff = picker.Cutoff(c.callerAttempt.chain.Route, tenant)
		c.fail(refusal)
		return
	}
	if c.attempts == 0 {
		c.node.budgets[service].CountFirstAttempt(run.sim.Now())
	}
	c.attempts++
	target := run.targets[choice.Target().ID()]
	a := &attempt{call: c, choice: choice, target: target, sentAt: run.sim.Now()}
	c.active = a
	target.track(a)
	run.sim.After(run.delay(c.node.dataCentre, target.record.DataCentre), a.arrive)
}

// fail handles a failed attempt: it schedules another one or ends the call.
func (c *call) fail(refusal *outcome.Refusal) {
	c.active = nil
	run := c.callerAttempt.run
	if wait, ok := c.mayRetry(refusal); ok {
		c.callerAttempt.extraAttempts++
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

// mayRetry reports whether the call may make another attempt, and after which wait.
func (c *call) mayRetry(refusal *outcome.Refusal) (time.Duration, bool) {
	run := c.callerAttempt.run
	if !run.policy.Retries {
		ok := c.attempts <= baselineRetries && refusal.Code != outcome.NoTarget
		return 0, ok
	}
	now := run.sim.Now()
	if !retry.MayRetry(refusal, true) || c.allowance.Left() == 0 {
		return 0, false
	}
	wait, ok := retry.Backoff(c.attempts, c.callerAttempt.deadline.Sub(now), 0, run.random.Float64)
	if !ok || !c.node.budgets[c.callerAttempt.chain.Services[c.depth]].TryRetry(now) || !c.allowance.Take() {
		return 0, false
	}
	return wait, true
}

// end reports the outcome of the call, at most once.
func (c *call) end(refusal *outcome.Refusal) {
	if c.ended {
		return
	}
	c.ended = true
	c.done(refusal)
}

// cancel ends the call and its sub-calls without reporting an outcome.
func (c *call) cancel() {
	if c.ended {
		return
	}
	c.ended = true
	if a := c.active; a != nil {
		a.choice.Done(route.Observation{Outcome: route.Cancelled})
		c.callerAttempt.run.sim.After(c.callerAttempt.run.delay(c.node.dataCentre, a.target.record.DataCentre), a.cancel)
	}
}

// attempt is one attempt of a call at one target.
type attempt struct {
	call         *call
	choice       route.Choice
	target       *fakeTarget
	waiter       admission.Waiter
	sentAt       time.Time
	startedAt    time.Time
	subCall      *call
	cutoff       *apiv1.Cutoff
	admitted     bool
	executing    bool
	ended        bool
	subCallStart time.Time
	subCallTime  time.Duration
}

// arrive handles the arrival of the attempt at the gate beside the target.
func (a *attempt) arrive() {
	if a.call.ended || a.ended {
		return
	}
	switch a.target.state {
	case crashed:
		a.refuse(&outcome.Refusal{Code: outcome.TargetUnreachable, Ran: outcome.RanNo})
		return
	case unresponsive:
		a.target.run.sim.After(dialTimeout, a.connectionLost)
		return
	}
	a.target.run.gates[a.target.record.ID()].arrive(a)
}

// connectionLost ends an attempt whose host stopped responding.
func (a *attempt) connectionLost() {
	if a.ended || a.call.ended {
		return
	}
	a.ended = true
	a.choice.Done(route.Observation{Outcome: route.Failure})
	a.call.fail(&outcome.Refusal{Code: outcome.TargetFailed, Ran: outcome.RanUnknown})
}

// start passes the admitted attempt to its target.
func (a *attempt) start() {
	run := a.target.run
	a.admitted = true
	a.startedAt = run.sim.Now()
	a.call.callerAttempt.attemptStarted()
	if a.target.record.State == leavingState {
		run.recorder.startsAfterLeaving++
	}
	a.target.accept(a)
}

// refuse answers that the attempt did not run.
func (a *attempt) refuse(refusal *outcome.Refusal) {
	a.ended = true
	kind := route.Refused
	if refusal.Code == outcome.TargetUnreachable {
		kind = route.Failure
	}
	a.answer(kind, refusal)
}

// makeSubCall makes the next call of the chain. At the end of the chain it reports success at once.
func (a *attempt) makeSubCall(done func(admission.Result)) {
	t := a.call.callerAttempt
	if a.call.depth+1 == len(t.chain.Services) {
		done(admission.Result{Kind: admission.Success})
		return
	}
	run := t.run
	lent := a.call.allowance.Lend(a.call.allowance.Left())
	a.subCallStart = run.sim.Now()
	subCall := &call{callerAttempt: t, depth: a.call.depth + 1, node: run.nodeByTarget[a.target.record.ID()], allowance: retry.NewAllowance(lent)}
	a.subCall = subCall
	subCall.done = func(refusal *outcome.Refusal) {
		a.subCallTime += run.sim.Now().Sub(a.subCallStart)
		a.subCall = nil
		a.cutoff = admission.StricterCutoff(a.cutoff, subCall.cutoff)
		a.call.allowance.Return(subCall.allowance.Close())
		if refusal != nil {
			a.subCallFailed(refusal)
			return
		}
		done(admission.Result{Kind: admission.Success})
	}
	subCall.dispatch()
}

// subCallFailed ends the attempt with the refusal of its sub-call. It sets Retried, because this target
// ran: callers further up must not retry as if nothing had run.
func (a *attempt) subCallFailed(refusal *outcome.Refusal) {
	up := *refusal
	up.Retried = true
	if !a.target.run.policy.Retries {
		up.Retried = false
	}
	a.end(admission.Result{Kind: admission.Failure, Downstream: a.subCallTime}, &up)
}

// finish ends the attempt with the result of its target.
func (a *attempt) finish(res admission.Result) {
	res.Downstream = a.subCallTime
	a.end(res, nil)
}

// end releases the slots at the target and the gate, and answers.
func (a *attempt) end(res admission.Result, refusal *outcome.Refusal) {
	if a.ended || a.target.state != alive {
		return
	}
	a.ended = true
	a.target.release(a)
	a.target.run.gates[a.target.record.ID()].finish(a, res)
	kind := route.Success
	if refusal != nil {
		kind = route.Cancelled
	}
	a.answer(kind, refusal)
}

// targetCrashed ends an attempt whose target process died while the node beside it lives.
func (a *attempt) targetCrashed() {
	if a.ended || a.call.ended || !a.admitted {
		return
	}
	a.ended = true
	if a.subCall != nil {
		a.subCall.cancel()
	}
	a.target.run.gates[a.target.record.ID()].finish(a, admission.Result{Kind: admission.Failure})
	a.answer(route.Failure, &outcome.Refusal{Code: outcome.TargetFailed, Ran: outcome.RanUnknown})
}

// answer sends the outcome back to the node that made the call.
func (a *attempt) answer(kind route.CallOutcome, refusal *outcome.Refusal) {
	run, c := a.target.run, a.call
	tenant := run.deployment.Tenants[c.callerAttempt.tenant].Name
	load := run.gates[a.target.record.ID()].loadReport(tenant)
	if load != nil {
		load.Cutoff = admission.StricterCutoff(load.Cutoff, a.cutoff)
	}
	run.sim.After(run.delay(c.node.dataCentre, a.target.record.DataCentre), func() {
		if c.ended {
			return
		}
		c.cutoff = load.GetCutoff()
		a.choice.Done(route.Observation{Outcome: kind, Latency: run.sim.Now().Sub(a.sentAt), Load: load})
		if refusal == nil {
			c.active = nil
			c.end(nil)
			return
		}
		c.tried = append(c.tried, a.target.record.ID())
		c.fail(refusal)
	})
}

// cancel handles a cancellation at the gate: a queued attempt is removed, a running one stops.
func (a *attempt) cancel() {
	if a.ended || a.target.state != alive {
		return
	}
	gate := a.target.run.gates[a.target.record.ID()]
	if gate.cancel(a) {
		a.ended = true
		return
	}
	if !a.admitted {
		return
	}
	a.ended = true
	if a.subCall != nil {
		a.subCall.cancel()
	}
	a.target.release(a)
	gate.finish(a, admission.Result{Kind: admission.Cancelled, Downstream: a.subCallTime})
}

// node is the proxy process beside a target. Callers enter through it, and the target makes its sub-calls
// through it.
type node struct {
	dataCentre string
	pickers    map[string]picker
	budgets    map[string]*retry.Budget
}

// picker is the part of route.Picker that the simulation uses.
type picker interface {
	Pick(route.Query) (route.Choice, *outcome.Refusal)
	Cutoff(route, organisation string) *apiv1.Cutoff
	Update([]*registry.Target)
}
