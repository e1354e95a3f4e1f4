package route

import (
	"math"
	"sync/atomic"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/registry"
)

// A cold target takes a small rate of requests from all nodes together, which the gate beside it enforces. A node learns that a target is cold
// from its load reports, and from the registry before the first of these. Calls go to the warm targets then, except for those by which
// the node keeps to its pace at each cold one: a node does not know how many others there are, so it raises the pace while the gate takes
// its calls and lowers it when the gate refuses one.

const (
	// maxColdInterval is the longest time between two calls of a node to a cold target. They tell when the target is warm.
	maxColdInterval = 2 * time.Second
	// coldSlowdown and coldSpeedup are the factors of the interval after a call that the gate refused and one that it took. Several
	// calls must be taken for each that is refused, since refused ones cost the caller time.
	coldSlowdown = 2.0
	coldSpeedup  = 0.7
	// coldJitter is the part of the interval that is random, so that nodes that learned of a cold target together do not call together.
	coldJitter = 0.5
	// minRegistryCold is the shortest time for which a target counts as cold by its state in the registry.
	minRegistryCold = time.Second
)

// coldStats is what a node knows of the cold time of one target, and its pace of calls meanwhile. Times are in nanoseconds since
// the picker was created. The zero value is that of a warm target.
type coldStats struct {
	untilNs atomic.Int64
	// heardNs is when a load report last told.
	heardNs atomic.Int64
	// shortestNs is the interval at which a node alone uses the whole cold rate.
	shortestNs atomic.Int64
	intervalNs atomic.Int64
	nextNs     atomic.Int64
}

// cold reports whether the target is cold as far as this node knows.
func (c *coldStats) cold(now int64) bool { return now < c.untilNs.Load() }

// begin sets the end of the cold time, and the pace if the target was warm.
func (c *coldStats) begin(now, until int64, perSecond float64) {
	if !c.cold(now) {
		shortest := int64(float64(time.Second) / max(perSecond, 1/maxColdInterval.Seconds()))
		c.shortestNs.Store(shortest)
		c.intervalNs.Store(shortest)
		c.nextNs.Store(now)
	}
	c.untilNs.Store(until)
}

// claim reports whether the caller's call is due at the cold target. Only one of several concurrent callers gets true.
func (c *coldStats) claim(now int64, random float64) bool {
	next := c.nextNs.Load()
	if now < next {
		return false
	}
	interval := float64(c.intervalNs.Load()) * (1 - coldJitter/2 + coldJitter*random)
	return c.nextNs.CompareAndSwap(next, now+int64(interval))
}

// adapt changes the pace after a call: taken is false if the gate refused it.
func (c *coldStats) adapt(taken bool) {
	factor := coldSlowdown
	if taken {
		factor = coldSpeedup
	}
	c.intervalNs.Store(int64(min(max(float64(c.intervalNs.Load())*factor, float64(c.shortestNs.Load())), float64(maxColdInterval))))
}

// observeCold takes over what a load report says of the cold time of its target.
func (p *Picker) observeCold(now int64, m *targetStats, r *apiv1.LoadReport) {
	if r == nil {
		return
	}
	if left := r.GetColdLeftMs(); left > 0 {
		p.beginCold(now, m, now+int64(left)*int64(time.Millisecond), r.GetColdPerSecond())
	} else if m.cold.untilNs.Load() != 0 {
		m.cold.untilNs.Store(0)
	}
	m.cold.heardNs.Store(now)
}

// beginCold sets the cold time of a target. Its load was that of a cold target or of a warm one, and slow start is for targets that do not
// say what they can take.
func (p *Picker) beginCold(now int64, m *targetStats, until int64, perSecond float64) {
	m.cold.begin(now, until, perSecond)
	m.slowStartFromNs.Store(never)
	for {
		known := p.coldUntilNs.Load()
		if known >= until || p.coldUntilNs.CompareAndSwap(known, until) {
			return
		}
	}
}

// updateCold takes over the state of a target in the registry, which counts until the target is heard. It is called for each update, and
// has an effect when the state has changed.
func (p *Picker) updateCold(now int64, k *trackedTarget, t *registry.Target) {
	cold := t.State == apiv1.TargetState_TARGET_STATE_COLD && t.Cold.PerSecond > 0
	if cold == k.listedCold {
		return
	}
	k.listedCold = cold
	if heard := k.cold.heardNs.Load(); heard != 0 && now-heard <= int64(reportTTL) {
		return
	}
	if cold {
		p.beginCold(now, k.targetStats, now+int64(max(t.Cold.Duration, minRegistryCold)), t.Cold.PerSecond)
	} else if t.State == apiv1.TargetState_TARGET_STATE_READY {
		k.cold.untilNs.Store(0)
	}
}

// choose returns the target for a call, or nil, and how long the call should queue there at most; 0 for no such bound.
// Ejected targets are eligible only if ejected is true.
func (p *Picker) choose(now int64, q *Query, ejected bool) (*entry, time.Duration) {
	if now >= p.coldUntilNs.Load() {
		return p.chooseWarm(now, q, ejected)
	}
	t, warm := p.table.Load(), *q
	warm.warmOnly = true
	if e := p.claimCold(now, t.local, q, ejected); e != nil {
		return e, 0
	}
	if e, queueWait := p.chooseWarm(now, &warm, ejected); e != nil {
		return e, queueWait
	}
	return p.claimCold(now, t.remote, q, ejected), 0
}

// claimCold returns a cold target at which a call of this node is due, or nil.
func (p *Picker) claimCold(now int64, entries []entry, q *Query, ejected bool) *entry {
	if len(entries) == 0 {
		return nil
	}
	start := int(p.random() % uint64(len(entries)))
	for i := range entries {
		e := &entries[(start+i)%len(entries)]
		if !e.cold.cold(now) || now < e.cold.nextNs.Load() || !q.eligible(now, e, ejected) {
			continue
		}
		if e.cold.claim(now, float64(p.random()>>11)/(1<<53)) {
			return e
		}
	}
	return nil
}

// noTarget returns the refusal of a call for which there is no target.
func (p *Picker) noTarget(now int64, q *Query) *outcome.Refusal {
	if left := p.warmIn(now, q); left > 0 {
		return &outcome.Refusal{Code: outcome.Overloaded, Ran: outcome.RanNo, RetryAfter: left,
			Detail: "the targets of the service are cold and take no further request now"}
	}
	return &outcome.Refusal{Code: outcome.NoTarget, Ran: outcome.RanNo, RetryAfter: noTargetRetryAfter,
		Detail: "no target of the service is available for this call"}
}

// WarmIn returns the time until the first target of the service is warm; 0 if there is a warm one, or none at all.
func (p *Picker) WarmIn() time.Duration {
	return p.warmIn(p.now(), &Query{})
}

// warmIn returns the time until the first of the targets that are eligible for a call is warm; 0 if there is a warm one, or none at all.
func (p *Picker) warmIn(now int64, q *Query) time.Duration {
	if now >= p.coldUntilNs.Load() {
		return 0
	}
	t, first := p.table.Load(), int64(math.MaxInt64)
	for _, entries := range [][]entry{t.local, t.remote} {
		for i := range entries {
			e := &entries[i]
			if !q.eligible(now, e, true) {
				continue
			}
			first = min(first, max(e.cold.untilNs.Load(), now))
		}
	}
	if first == math.MaxInt64 {
		return 0
	}
	return time.Duration(first - now)
}
