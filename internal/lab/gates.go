package lab

import (
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/admission"
	"github.com/guavaford/guavaford/internal/outcome"
)

// gate decides which attempts run at a target. It calls start or refuse of each attempt.
type gate interface {
	arrive(a *attempt)
	// cancel removes a queued attempt; false when it isn't queued.
	cancel(a *attempt) bool
	finish(a *attempt, res admission.Result)
	drain()
	// loadReport returns the load report that answers carry, or nil.
	loadReport(organisation string) *apiv1.LoadReport
}

// adaptiveGate is the product's admission control.
type adaptiveGate struct {
	sim    *Sim
	core   *admission.StateMachine
	queued map[*admission.Waiter]*attempt
}

func newAdaptiveGate(sim *Sim, c admission.Config) *adaptiveGate {
	return &adaptiveGate{sim: sim, core: admission.NewStateMachine(c), queued: make(map[*admission.Waiter]*attempt)}
}

func (g *adaptiveGate) arrive(a *attempt) {
	w := &a.waiter
	w.Request = a.call.admissionRequest()
	d := g.core.Arrive(g.sim.Now(), w)
	switch d.Verdict {
	case admission.Started:
		a.start()
	case admission.Refused:
		a.refuse(d.Refusal)
	case admission.Queued:
		g.queued[w] = a
		g.sim.After(w.QueueDeadline.Sub(g.sim.Now()), func() {
			if g.queued[w] == a {
				g.core.Expire(g.sim.Now(), w)
				g.applyDecisions()
			}
		})
	}
	g.applyDecisions()
}

// applyDecisions starts or refuses the queued attempts on which the state machine has decided.
func (g *adaptiveGate) applyDecisions() {
	for _, r := range append([]admission.QueuedDecision(nil), g.core.TakeDecisions()...) {
		a := g.queued[r.Waiter]
		delete(g.queued, r.Waiter)
		if r.Verdict == admission.Started {
			a.start()
		} else {
			a.refuse(r.Refusal)
		}
	}
}

func (g *adaptiveGate) cancel(a *attempt) bool {
	if !g.core.Cancel(&a.waiter) {
		return false
	}
	delete(g.queued, &a.waiter)
	return true
}

func (g *adaptiveGate) finish(a *attempt, res admission.Result) {
	g.core.Finish(g.sim.Now(), a.startedAt, res)
	g.applyDecisions()
}

func (g *adaptiveGate) drain() {
	g.core.SetDraining(true)
	g.applyDecisions()
}

func (g *adaptiveGate) loadReport(organisation string) *apiv1.LoadReport {
	return g.core.Load(g.sim.Now(), organisation).Message()
}

// fixedGate is the baseline with a fixed limit and one FIFO queue.
type fixedGate struct {
	limit, inFlight int
	queue           []*attempt
	draining        bool
}

// fixedQueueFactor is the queue length of the baseline in multiples of its limit.
const fixedQueueFactor = 10

func (g *fixedGate) arrive(a *attempt) {
	switch {
	case g.draining:
		a.refuse(outcome.NotRun(outcome.TargetLeaving, 0, ""))
	case g.inFlight < g.limit:
		g.inFlight++
		a.start()
	case len(g.queue) < g.limit*fixedQueueFactor:
		g.queue = append(g.queue, a)
	default:
		a.refuse(outcome.NotRun(outcome.QueueFull, time.Second, ""))
	}
}

func (g *fixedGate) cancel(a *attempt) bool {
	for i, queued := range g.queue {
		if queued == a {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			return true
		}
	}
	return false
}

func (g *fixedGate) finish(*attempt, admission.Result) {
	if len(g.queue) == 0 {
		g.inFlight--
		return
	}
	next := g.queue[0]
	g.queue = g.queue[1:]
	next.start()
}

func (g *fixedGate) drain() { g.draining = true }

func (g *fixedGate) loadReport(string) *apiv1.LoadReport { return nil }

// passThroughGate is the baseline that admits every request until its target leaves.
type passThroughGate struct {
	draining bool
}

func (g *passThroughGate) arrive(a *attempt) {
	if g.draining {
		a.refuse(outcome.NotRun(outcome.TargetLeaving, 0, ""))
		return
	}
	a.start()
}

func (g *passThroughGate) cancel(*attempt) bool { return false }

func (g *passThroughGate) finish(*attempt, admission.Result) {}

func (g *passThroughGate) drain() { g.draining = true }

func (g *passThroughGate) loadReport(string) *apiv1.LoadReport { return nil }
