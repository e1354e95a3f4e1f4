package lab

import (
	"strconv"
	"time"

	"github.com/guavaford/guavaford/internal/admission"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/retry"
)

const (
	// resendDelay is the pause of a caller that sends again after a refusal; it takes no
	// heed of Retry-After.
	resendDelay = 100 * time.Millisecond
)

// work is what a caller wants done; it sends a try until one succeeds or it has had enough.
type work struct {
	chain   *Chain
	tenant  int
	resends int
	// counted is set when the work belongs to the measured period.
	counted bool
}

// drive starts the arrivals of all chains and tenants.
func (r *run) drive() {
	for i := range r.deployment.Chains {
		for tenant := range r.deployment.Tenants {
			r.scheduleArrival(&r.deployment.Chains[i], tenant)
		}
	}
}

// scheduleArrival waits for the next arrival of a Poisson process whose rate follows the
// scenario: arrivals come at the highest rate and are thinned to the current one.
func (r *run) scheduleArrival(c *Chain, tenant int) {
	highest := c.Rate * r.deployment.Tenants[tenant].Share * r.scenario.peak(r.deployment.Tenants[tenant].Name)
	wait := time.Duration(r.random.ExpFloat64() / highest * float64(time.Second))
	r.sim.After(wait, func() {
		if r.random.Float64()*highest < r.offered(c, tenant) {
			w := &work{chain: c, tenant: tenant, resends: r.scenario.Resends, counted: r.result.counted()}
			r.result.wanted(w)
			r.send(w)
		}
		r.scheduleArrival(c, tenant)
	})
}

// offered returns the wanted requests a second of a chain and tenant now.
func (r *run) offered(c *Chain, tenant int) float64 {
	t := r.deployment.Tenants[tenant]
	return c.Rate * t.Share * r.scenario.load(r.result.elapsed(), t.Name)
}

// send makes one try at a random entry node.
func (r *run) send(w *work) {
	r.requests++
	entry := r.nodes[r.random.IntN(len(r.nodes))]
	t := &try{
		run:      r,
		chain:    w.chain,
		tenant:   w.tenant,
		counted:  w.counted,
		level:    admission.LevelOf(r.scenario.priority(w.chain), strconv.FormatUint(r.requests, 10)),
		deadline: r.sim.Now().Add(r.deployment.Timeout),
	}
	t.root = &call{try: t, node: entry, allowance: retry.NewAllowance(allowanceExtra)}
	t.root.done = func(refusal *outcome.Refusal) {
		r.sim.After(clientDelay, func() { r.answered(w, t, refusal) })
	}
	r.sim.After(clientDelay, t.root.dispatch)
	r.sim.After(r.deployment.Timeout, func() { r.timedOut(w, t) })
}

// answered takes the answer of a try at its caller.
func (r *run) answered(w *work, t *try, refusal *outcome.Refusal) {
	if t.ended {
		return
	}
	t.ended = true
	r.result.tryEnded(t, refusal == nil)
	if refusal == nil {
		r.result.succeeded(w)
		return
	}
	r.result.refused(t, refusal.Code)
	r.resend(w, resendDelay)
}

// timedOut ends a try whose caller has waited long enough.
func (r *run) timedOut(w *work, t *try) {
	if t.ended {
		return
	}
	t.ended = true
	r.result.tryEnded(t, false)
	r.result.refused(t, outcome.DeadlineExceeded)
	r.sim.After(clientDelay, t.root.cancel)
	r.resend(w, 0)
}

// resend sends again unless the caller has had enough.
func (r *run) resend(w *work, wait time.Duration) {
	if w.resends == 0 {
		return
	}
	w.resends--
	jitter := time.Duration(r.random.Float64() * float64(wait))
	r.sim.After(wait+jitter, func() { r.send(w) })
}

// attemptStarted counts an attempt that began at a target.
func (t *try) attemptStarted() {
	t.started++
	if t.ended && t.run.result.measured() {
		t.run.result.attempts++
		t.run.result.wasted++
	}
}
