package dispatch

import (
	"context"
	"sync"
	"sync/atomic"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/gate"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/route"
)

// moveOn reports whether the request goes on to another target at once since its target took no new work before it got the request: it
// drains, was removed or replaced, or this node has ejected it and withdrew the request; or since the body can't reach its host in time.
// That attempt counts neither as one nor as a repeat, whether the request was queued there or came too late. As each target is tried once,
// their number bounds the moves.
func (c *call) moveOn(ctx context.Context, choice route.Choice, r *outcome.Refusal) bool {
	if r == nil || r.Code != outcome.TargetLeaving && r.Code != outcome.LinkTooSlow && !c.withdrawn || r.Ran != outcome.RanNo || r.Reached || r.Retried {
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

// lastAfterMove returns the answer that the caller gets if no target is left after a move: that of a body that can't arrive in time gives
// the reason, while all other moves leave it to the choice of targets.
func lastAfterMove(last, moved *gate.Answer) *gate.Answer {
	if last == nil && moved.Refusal().Code == outcome.LinkTooSlow {
		return moved
	}
	return last
}

// logMove logs that a request goes on to another target, at a limited rate.
func (c *call) logMove(choice route.Choice, r *outcome.Refusal) {
	d := c.dispatcher
	if leftOut, ok := d.o.LogLimiter.Allow(d.o.Clock.Now()); ok {
		d.o.Log.Info("request moves to another target", "request", c.request.Origin.RequestID, "service", c.request.Service,
			"target", choice.Target().Name, "moves", c.moves, "attempts", c.attempts, "counted", false, "detail", r.Detail, "left_out", leftOut)
	}
}

// maxParallelWithdrawals bounds the requests that are withdrawn from a target at the same time.
const maxParallelWithdrawals = 8

// flight is an attempt whose answer has not begun.
type flight struct {
	target *registry.Target
	header *apiv1.CallHeader
	// withdrawn is set before the gate of the target is asked to refuse the attempt.
	withdrawn atomic.Bool
}

// flights holds the attempts at the targets of one service whose answers have not begun.
type flights struct {
	mu  sync.Mutex
	all map[*flight]struct{}
}

func (s *flights) begin(target *registry.Target, h *apiv1.CallHeader) *flight {
	f := &flight{target: target, header: h}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = make(map[*flight]struct{})
	}
	s.all[f] = struct{}{}
	return f
}

// end removes an attempt and reports whether it was withdrawn.
func (s *flights) end(f *flight) (withdrawn bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.all, f)
	return f.withdrawn.Load()
}

// at returns the attempts at a target.
func (s *flights) at(id string) []*flight {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*flight
	for f := range s.all {
		if f.target.ID() == id {
			list = append(list, f)
		}
	}
	return list
}

// withdrawFrom withdraws the requests of this node from an ejected target: its gate refuses those that have not been sent to it as not
// run, and they go on to other targets. The rest is not affected.
func (d *Dispatcher) withdrawFrom(s *service, t *registry.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), fenceTimeout)
	defer cancel()
	slots := make(chan struct{}, maxParallelWithdrawals)
	for _, f := range s.flights.at(t.ID()) {
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			f.withdrawn.Store(true)
			if t.Node == d.o.Identity.Node {
				d.o.Gate.Fence(f.header.GetKey())
				return
			}
			// A node that does not answer leaves the attempt as it is: it ends as every other at that node.
			_, _ = d.o.Sender.Fence(ctx, t.NodeAddress, &apiv1.FenceRequest{Key: f.header.GetKey(), TargetIncarnation: t.Incarnation})
		}()
	}
	for range maxParallelWithdrawals {
		slots <- struct{}{}
	}
}
