package admission

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/servicerate"
)

// Controller admits requests to one target. It is safe for concurrent use.
type Controller struct {
	clock   clock.Clock
	waiters sync.Pool

	mu   sync.Mutex
	core *StateMachine
	// epoch is that of the core, for permits to compare without the lock.
	epoch atomic.Uint64
	// waking is set while a timer will call wake.
	waking bool
}

// NewController returns a controller for the target that c describes.
func NewController(c Config, clk clock.Clock) *Controller {
	return &Controller{
		clock: clk,
		core:  NewStateMachine(c),
		waiters: sync.Pool{New: func() any {
			return &Waiter{decided: make(chan Decision, 1)}
		}},
	}
}

// Permit allows one request to run at the target. It must be released exactly once.
type Permit struct {
	gate    *Controller
	started time.Time
	// epoch is the cold epoch in which the permit was given.
	epoch  uint64
	ticket servicerate.Ticket
}

// Acquire waits until the request may run. A refusal means that it was not started. When ctx
// is done, a queued request is removed at once.
func (g *Controller) Acquire(ctx context.Context, r Request) (Permit, *outcome.Refusal) {
	if ctx.Err() != nil {
		return Permit{}, cancelled(ctx)
	}
	w := g.waiters.Get().(*Waiter)
	defer g.waiters.Put(w)
	w.Request = r
	now := g.clock.Now()
	g.mu.Lock()
	d := g.core.Arrive(now, w)
	g.deliver()
	g.mu.Unlock()
	if d.Verdict == Queued {
		return g.wait(ctx, now, w)
	}
	return g.permit(now, d)
}

// wait blocks until a queued request is decided, reaches its QueueDeadline, or ctx is done.
func (g *Controller) wait(ctx context.Context, now time.Time, w *Waiter) (Permit, *outcome.Refusal) {
	timer := time.NewTimer(w.QueueDeadline.Sub(now))
	defer timer.Stop()
	select {
	case d := <-w.decided:
		return g.permit(g.clock.Now(), d)
	case <-timer.C:
		g.mu.Lock()
		g.core.Expire(g.clock.Now(), w)
		g.deliver()
		g.mu.Unlock()
		return g.permit(g.clock.Now(), <-w.decided)
	case <-ctx.Done():
		return g.abandon(ctx, w)
	}
}

// abandon removes a queued request whose ctx is done. If it was started meanwhile, its unused
// slot is released.
func (g *Controller) abandon(ctx context.Context, w *Waiter) (Permit, *outcome.Refusal) {
	g.mu.Lock()
	removed := g.core.Cancel(w)
	g.mu.Unlock()
	if removed {
		return Permit{}, cancelled(ctx)
	}
	if d := <-w.decided; d.Refusal != nil {
		return Permit{}, d.Refusal
	}
	now := g.clock.Now()
	Permit{gate: g, started: now}.Release(Result{Kind: Cancelled})
	return Permit{}, cancelled(ctx)
}

// permit turns a decision into the result of Acquire.
func (g *Controller) permit(now time.Time, d Decision) (Permit, *outcome.Refusal) {
	if d.Refusal != nil {
		return Permit{}, d.Refusal
	}
	return Permit{gate: g, started: now, epoch: d.epoch, ticket: d.Ticket}, nil
}

// deliver sends the decisions on queued requests to the goroutines that wait, and starts a timer if others wait for the rate limit.
// The caller holds mu.
func (g *Controller) deliver() {
	for _, r := range g.core.TakeDecisions() {
		r.Waiter.decided <- r.Decision
	}
	if g.waking {
		return
	}
	if after, ok := g.core.NextWake(g.clock.Now()); ok {
		g.waking = true
		time.AfterFunc(after, g.wake)
	}
}

// wake starts queued requests that the rate limit now allows.
func (g *Controller) wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waking = false
	g.core.Wake(g.clock.Now())
	g.deliver()
}

// SetRateLimit sets how many requests may start in a second; 0 ends the limit.
func (g *Controller) SetRateLimit(perSecond float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.SetRateLimit(g.clock.Now(), perSecond)
	g.deliver()
}

// Release frees the slot of the permit and reports how the request ended.
func (p Permit) Release(res Result) {
	now := p.gate.clock.Now()
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	res.Ticket = p.ticket
	p.gate.core.Finish(now, p.started, res)
	p.gate.deliver()
}

// Configure replaces the description of the target.
func (g *Controller) Configure(c Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.Configure(g.clock.Now(), c)
	g.deliver()
}

// SetDraining makes the controller refuse all requests, queued ones included, or accept them again. It returns the number of requests that
// left the queue.
func (g *Controller) SetDraining(draining bool) (left int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	left = g.core.SetDraining(draining)
	g.deliver()
	return left
}

// Draining reports whether the controller refuses all requests.
func (g *Controller) Draining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.draining
}

// Load returns the current state; its cutoff is that of an organisation that is not known.
func (g *Controller) Load() Load {
	return g.LoadFor("")
}

// LoadFor returns the current state with the cutoff of an organisation.
func (g *Controller) LoadFor(organisation string) Load {
	return g.LoadForRoute(organisation, "")
}

// LoadForRoute returns the current state with the cutoff of an organisation and the expected time of a route.
func (g *Controller) LoadForRoute(organisation, route string) Load {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.LoadForRoute(now, organisation, route)
}

// cancelled returns the refusal of a request whose ctx was cancelled or reached its deadline.
func cancelled(ctx context.Context) *outcome.Refusal {
	code := outcome.Cancelled
	if context.Cause(ctx) == context.DeadlineExceeded {
		code = outcome.DeadlineExceeded
	}
	return &outcome.Refusal{Code: code, Ran: outcome.RanNo, Detail: "the request ended before it was started"}
}
