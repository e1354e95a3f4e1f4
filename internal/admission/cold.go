package admission

import (
	"math"
	"time"

	"github.com/guavaford/guavaford/internal/outcome"
)

// While its target is cold, a controller starts no more than the cold rate. The queue in front of it is short: the rest of the
// service takes what the target can't, and a queue longer than the burst of the rate adds no throughput.

const (
	// coldQueueTime is the longest time that a request waits for a cold target, and the time in which its full queue drains.
	coldQueueTime = 200 * time.Millisecond
	// coldServiceTime is the service time that is assumed for a cold target before its first response.
	coldServiceTime = 100 * time.Millisecond
)

// coldState is what a state machine keeps while its target is cold, and across the change.
type coldState struct {
	// perSecond is the cold rate; 0 while the target is warm.
	perSecond float64
	// changedAt is when the target last became cold or warm. Requests that started before say nothing of the state since.
	changedAt time.Time
	// epoch counts the times that the target became cold.
	epoch uint64
	// warmServiceTime and warmQuickTime are the estimates from before the target became cold.
	warmServiceTime latency
	warmQuickTime   time.Duration
}

// SetColdRate sets how many requests may start in a second while the target is cold; 0 once it is warm. Queued requests that no
// longer fit are refused, so that they go to another target.
func (c *StateMachine) SetColdRate(now time.Time, perSecond float64) {
	was := c.cold.perSecond
	if was == perSecond {
		return
	}
	c.cold.perSecond = perSecond
	switch {
	case was == 0:
		c.cold.epoch++
		c.cold.changedAt = now
		c.cold.warmServiceTime, c.cold.warmQuickTime = c.serviceTime, c.quickTime
		c.serviceTime, c.quickTime = latency{}, 0
	case perSecond == 0:
		c.cold.changedAt = now
		c.serviceTime, c.quickTime = c.cold.warmServiceTime, c.cold.warmQuickTime
	}
	c.updateRate(now)
	for perSecond > 0 && c.queue.length > c.queueCap(now) {
		least := c.queue.leastImportant()
		c.queue.remove(least)
		c.recordDecision(least, refuse(outcome.QueueFull, c.retryAfter(now), "the target has become cold"))
	}
	c.dispatch(now)
}

// updateRate applies the lower one of the rate that the target names and the cold rate.
func (c *StateMachine) updateRate(now time.Time) {
	perSecond := c.namedRate
	if cold := c.cold.perSecond; cold > 0 && (perSecond == 0 || cold < perSecond) {
		perSecond = cold
	}
	c.rate.maxBurst = 0
	if c.cold.perSecond > 0 {
		c.rate.maxBurst = c.config.ColdBurst
	}
	c.rate.set(now, perSecond)
}

// confirmStart reports whether a request that was permitted to start in an epoch may still be sent: always, unless the target has become
// cold in between. Then it needs a token of the cold rate like any other.
func (c *StateMachine) confirmStart(now time.Time, epoch uint64) bool {
	if c.cold.epoch == epoch || c.cold.perSecond == 0 {
		return true
	}
	if c.rate.untilNext(now) > 0 {
		return false
	}
	c.rate.take()
	return true
}

// coldQueueCap returns how many requests may wait for a cold target.
func (c *StateMachine) coldQueueCap() int {
	return max(int(math.Ceil(c.rate.perSecond*coldQueueTime.Seconds())), 1)
}

// noTimeCode returns the code of a refusal for lack of time. At a cold target it is that of a full queue: another target, which is warm,
// may be fast enough.
func (c *StateMachine) noTimeCode() outcome.Code {
	if c.cold.perSecond > 0 {
		return outcome.QueueFull
	}
	return outcome.DeadlineTooShort
}

// saysOfPresent reports whether a request that started at a time says anything about the target as it is now.
func (c *StateMachine) saysOfPresent(started time.Time) bool {
	return !started.Before(c.cold.changedAt)
}

// SetColdRate sets how many requests may start in a second while the target is cold; 0 once it is warm.
func (g *Controller) SetColdRate(perSecond float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.SetColdRate(g.clock.Now(), perSecond)
	g.epoch.Store(g.core.cold.epoch)
	g.deliver()
}

// Confirm reports whether the request may still be sent to the target, which may have become cold since the permit was given. It must be
// called right before the request is sent. It is not safe for concurrent use.
func (p *Permit) Confirm() bool {
	if p.gate.epoch.Load() == p.epoch {
		return true
	}
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	if !p.gate.core.confirmStart(p.gate.clock.Now(), p.epoch) {
		return false
	}
	p.epoch = p.gate.core.cold.epoch
	return true
}
