package dispatch

import (
	"context"

	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/route"
)

// moveOn reports whether the request goes on to another target at once since its target took no new work before it got the request: it
// drains, was removed or was replaced. That attempt counts neither as one nor as a repeat, whether the request was queued there or came
// too late. As each target is tried once, their number bounds the moves.
func (c *call) moveOn(ctx context.Context, choice route.Choice, r *outcome.Refusal) bool {
	if r == nil || r.Code != outcome.TargetLeaving || r.Ran != outcome.RanNo || r.Reached || r.Retried {
		return false
	}
	left := c.request.Origin.Deadline.Sub(c.dispatcher.o.Clock.Now())
	if ctx.Err() != nil || left < minAttemptTime || !c.request.Body.Replayable() {
		return false
	}
	c.attempts--
	c.moves++
	if c.trialTarget == choice.Target().ID() {
		c.trialTarget = ""
	}
	c.dispatcher.o.Metrics.MovedAttempts.Add(1)
	c.logMove(choice, r)
	return true
}

// logMove logs that a request goes on to another target, at a limited rate.
func (c *call) logMove(choice route.Choice, r *outcome.Refusal) {
	d := c.dispatcher
	if leftOut, ok := d.o.LogLimiter.Allow(d.o.Clock.Now()); ok {
		d.o.Log.Info("request moves to another target", "request", c.request.Origin.RequestID, "service", c.request.Service,
			"target", choice.Target().Name, "moves", c.moves, "attempts", c.attempts, "counted", false, "detail", r.Detail, "left_out", leftOut)
	}
}
