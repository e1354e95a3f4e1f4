package faultsoak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/guavaford/guavaford/internal/clock"
)

// Times between the moments at which a target becomes cold, and for how long it does at most.
const (
	meanCoolInterval = 1200 * time.Millisecond
	minCold          = 500 * time.Millisecond
	maxCold          = 4 * time.Second
)

// coolTargets makes one target of the cold service after the other cold, as the seed says.
func (r *run) coolTargets(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(r.Seed, 3))
	for clock.Sleep(ctx, time.Duration(rnd.ExpFloat64()*float64(meanCoolInterval))) {
		n := r.fleet.nodes[controlNodes+rnd.IntN(targetNodes)]
		d := minCold + time.Duration(rnd.Int64N(int64(maxCold-minCold)))
		r.changes.Go(func() { n.coldTarget.becomeCold(d) })
	}
}

// cold is the cold time of a target. Requests count while its node knows of it.
type cold struct {
	mu sync.Mutex
	// until is when the target is warm, known until when its node has accepted that it is cold.
	until, known time.Time
}

// begin makes the target cold for a time. It may be cold already.
func (c *cold) begin(now time.Time, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until := now.Add(d); until.After(c.until) {
		c.until = until
	}
}

// end returns when the target is warm.
func (c *cold) end() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.until
}

// told records that the node has accepted an announcement by which the target is cold until a time.
func (c *cold) told(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until.After(c.known) {
		c.known = until
	}
}

// counts reports whether a request at a time counts against the bound.
func (c *cold) counts(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.known)
}
