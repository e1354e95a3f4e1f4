package lab

import (
	"strconv"
	"time"

	"github.com/guavaford/guavaford/internal/admission"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/retry"
)

const (
	// callerRetryDelay is the least wait of a caller before it retries after a refusal; it ignores
	// Retry-After.
	callerRetryDelay = 100 * time.Millisecond
)

// callerRequest is one request of a caller, which makes attempts until one succeeds or no retries are left.
type callerRequest struct {
	chain       *Chain
	tenant      int
	retriesLeft int
	// counted is set when the request counts for the measured period.
	counted bool
}

// startArrivals starts the arrivals of requests of all chains and tenants.
func (r *run) startArrivals() {
	for i := range r.deployment.Chains {
		for tenant := range r.deployment.Tenants {
			r.scheduleArrival(&r.deployment.Chains[i], tenant)
		}
	}
}

// scheduleArrival schedules the next arrival of a Poisson process whose rate follows the
// scenario: arrivals are drawn at the highest rate and thinned to the current one.
func (r *run) scheduleArrival(c *Chain, tenant int) {
	highest := c.Rate * r.deployment.Tenants[tenant].Share * r.scenario.peakLoadFactor(r.deployment.Tenants[tenant].Name)
	wait := time.Duration(r.random.ExpFloat64() / highest * float64(time.Second))
	r.sim.After(wait, func() {
		if r.random.Float64()*highest < r.arrivalRate(c, tenant) {
			w := &callerRequest{chain: c, tenant: tenant, retriesLeft: r.scenario.CallerRetries, counted: r.recorder.counted()}
			r.recorder.arrived(w)
			r.send(w)
		}
		r.scheduleArrival(c, tenant)
	})
}

// arrivalRate returns the current offered load of a chain and tenant, in requests a second.
func (r *run) arrivalRate(c *Chain, tenant int) float64 {
	t := r.deployment.Tenants[tenant]
	return c.Rate * t.Share * r.scenario.loadFactor(r.recorder.elapsed(), t.Name)
}

// send makes one caller attempt at a random entry node.
func (r *run) send(w *callerRequest) {
	r.requests++
	entry := r.nodes[r.random.IntN(len(r.nodes))]
	t := &callerAttempt{
		run:      r,
		chain:    w.chain,
		tenant:   w.tenant,
		counted:  w.counted,
		level:    admission.LevelOf(r.scenario.priority(w.chain), strconv.FormatUint(r.requests, 10)),
		deadline: r.sim.Now().Add(r.deployment.Timeout),
	}
	t.root = &call{callerAttempt: t, node: entry, allowance: retry.NewAllowance(retryAllowance)}
	t.root.done = func(refusal *outcome.Refusal) {
		r.sim.After(clientDelay, func() { r.answered(w, t, refusal) })
	}
	r.sim.After(clientDelay, t.root.dispatch)
	r.sim.After(r.deployment.Timeout, func() { r.timedOut(w, t) })
}

// answered handles the answer to a caller attempt.
func (r *run) answered(w *callerRequest, t *callerAttempt, refusal *outcome.Refusal) {
	if t.ended {
		return
	}
	t.ended = true
	r.recorder.callerAttemptEnded(t, refusal == nil)
	if refusal == nil {
		r.recorder.succeeded(w)
		return
	}
	r.recorder.failed(t, refusal.Code)
	r.scheduleRetry(w, callerRetryDelay)
}

// timedOut ends and cancels a caller attempt that got no answer within the timeout.
func (r *run) timedOut(w *callerRequest, t *callerAttempt) {
	if t.ended {
		return
	}
	t.ended = true
	r.recorder.callerAttemptEnded(t, false)
	r.recorder.failed(t, outcome.DeadlineExceeded)
	r.sim.After(clientDelay, t.root.cancel)
	r.scheduleRetry(w, 0)
}

// scheduleRetry makes another caller attempt after a wait with jitter, if retries are left.
func (r *run) scheduleRetry(w *callerRequest, wait time.Duration) {
	if w.retriesLeft == 0 {
		return
	}
	w.retriesLeft--
	jitter := time.Duration(r.random.Float64() * float64(wait))
	r.sim.After(wait+jitter, func() { r.send(w) })
}

// attemptStarted counts an attempt that a target started. One that starts after its caller attempt has ended is
// wasted.
func (t *callerAttempt) attemptStarted() {
	t.startedAttempts++
	if t.ended && t.run.recorder.measured() {
		t.run.recorder.attempts++
		t.run.recorder.wasted++
	}
}
