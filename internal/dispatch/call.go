package dispatch

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/gate"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/retry"
	"github.com/guavaford/guavaford/internal/route"
	"github.com/guavaford/guavaford/internal/shed"
)

// call is one call and the attempts made so far.
type call struct {
	dispatcher *Dispatcher
	service    *service
	request    *Request
	attempts   int
	// rounds counts the waits before another try.
	rounds int
	// tried lists the targets of earlier attempts.
	tried   []string
	started time.Time
	// repeat says what earlier attempts did.
	repeat apiv1.Repeat
}

// run makes attempts until one gives the final answer.
func (c *call) run(ctx context.Context) *Result {
	d := c.dispatcher
	defer c.foldCutoff()
	c.service.budget.First(d.o.Clock.Now())
	var last *gate.Answer
	for {
		choice, refusal := c.pick()
		if refusal != nil && refusal.Code == outcome.Overloaded && last == nil && c.mayRepeat(refusal) && c.backoff(ctx, refusal) {
			continue
		}
		if refusal != nil {
			return c.noChoice(refusal, last)
		}
		answer := c.attempt(ctx, choice)
		refusal = answer.Refusal()
		if refusal == nil || !c.mayRepeat(refusal) {
			return c.final(answer, refusal)
		}
		last = answer
		if !c.backoff(ctx, refusal) {
			return c.final(answer, refusal)
		}
	}
}

// foldCutoff passes the cutoff of the service on to the call for which this one is made.
func (c *call) foldCutoff() {
	origin := c.request.Origin
	if origin.Fold != nil {
		origin.Fold(c.service.picker.Cutoff(origin.Route, origin.Organisation))
	}
}

// pick chooses a target that has not been tried yet.
func (c *call) pick() (route.Choice, *outcome.Refusal) {
	origin := c.request.Origin
	return c.service.picker.Pick(route.Query{
		Accept:       c.accepts,
		Exclude:      c.tried,
		Level:        origin.Level,
		Depth:        origin.Depth,
		Route:        origin.Route,
		Organisation: origin.Organisation,
	})
}

// accepts reports whether a target matches the selector of the request.
func (c *call) accepts(t *registry.Target) bool {
	return c.request.Selector == nil || c.request.Selector.Matches(t.Labels)
}

// noChoice returns the last answer if there was one, and the picker's refusal otherwise.
func (c *call) noChoice(refusal *outcome.Refusal, last *gate.Answer) *Result {
	if last != nil {
		return c.final(last, last.Refusal())
	}
	return refused(refusal, c.attempts)
}

// final marks a refusal after several attempts, so that hops above don't repeat them.
func (c *call) final(answer *gate.Answer, refusal *outcome.Refusal) *Result {
	if refusal != nil && c.attempts > 1 {
		answer.Header.Refusal.Retried = true
	}
	return &Result{Answer: answer, Attempts: c.attempts}
}

// mayRepeat reports whether another attempt is allowed, and spends one if so.
func (c *call) mayRepeat(refusal *outcome.Refusal) bool {
	if !retry.MayRepeat(refusal, c.request.Idempotent) || !c.request.Body.Replayable() {
		return false
	}
	if c.request.Origin.Allowance.Left() == 0 {
		return false
	}
	if !c.service.budget.Allow(c.dispatcher.o.Clock.Now()) {
		return false
	}
	return c.request.Origin.Allowance.Take()
}

// backoff waits before the next attempt. It returns false when the deadline leaves no room.
func (c *call) backoff(ctx context.Context, refusal *outcome.Refusal) bool {
	remaining := c.request.Origin.Deadline.Sub(c.dispatcher.o.Clock.Now())
	c.rounds++
	wait, ok := retry.Backoff(c.rounds, remaining, refusal.RetryAfter, rand.Float64)
	if !ok {
		return false
	}
	return clock.Sleep(ctx, wait)
}

// attempt sends the request to one target and waits for the header of the answer.
func (c *call) attempt(ctx context.Context, choice route.Choice) *gate.Answer {
	d := c.dispatcher
	target := choice.Target()
	header := c.header(target)
	c.attempts++
	c.tried = append(c.tried, target.ID())
	d.o.Metrics.Attempts.Add(1)
	if c.attempts > 1 {
		d.o.Metrics.ExtraAttempts.Add(1)
	}
	start := d.o.Clock.Now()
	answer := c.send(ctx, target, header)
	now := d.o.Clock.Now()
	choice.Done(observe(answer, now.Sub(start)))
	c.learn(now, target, answer.Header.GetLoad().GetPressures())
	if answer.Refusal() != nil {
		c.takeBack(answer)
		return answer
	}
	answer.Body = &returningBody{ReadCloser: answer.Body, call: c, answer: answer}
	return answer
}

// learn takes the load of services that came with an answer.
func (c *call) learn(now time.Time, target *registry.Target, told []*apiv1.Pressure) {
	relay := c.dispatcher.o.Pressures
	switch {
	case relay == nil:
	case c.request.Origin.Depth == 0:
		relay.LearnAtEntry(now, c.work(), target.ID(), told)
	default:
		relay.Learn(now, c.work(), target.ID(), told)
	}
}

// work names what the request asks its service for.
func (c *call) work() shed.Work {
	return shed.Work{Service: c.request.Service, Route: c.request.Origin.Route}
}

// header builds the header of the next attempt and lends it a part of the allowance.
func (c *call) header(target *registry.Target) *apiv1.CallHeader {
	d, r, origin := c.dispatcher, c.request, c.request.Origin
	return &apiv1.CallHeader{
		Key: &apiv1.CallKey{
			Node:        d.o.Identity.Node,
			Incarnation: d.o.Identity.Incarnation,
			Number:      d.sequence.Add(1),
		},
		RequestId:     origin.RequestID,
		Service:       r.Service,
		Target:        target.Name,
		Organisation:  origin.Organisation,
		Weight:        origin.Weight,
		Class:         origin.Class,
		Priority:      uint32(origin.Priority),
		Depth:         uint32(origin.Depth),
		TimeoutNs:     int64(origin.Deadline.Sub(d.o.Clock.Now())),
		Allowance:     uint32(c.lend()),
		Level:         origin.Level,
		KeyNumber:     origin.KeyNumber,
		Idempotent:    r.Idempotent,
		Method:        r.Method,
		Path:          r.Path,
		Headers:       r.Headers,
		ContentLength: r.Body.Length,
		Attempt:       uint32(c.attempts),
		Route:         origin.Route,
		Host:          r.Host,
		CallerService: r.CallerService,
		MaxWaitNs:     int64(c.waitLeft()),
		Repeat:        c.repeat,
	}
}

// lend takes the part of the allowance that an attempt carries. One extra attempt stays
// here while there are others, since a lost answer doesn't bring back what it was lent.
func (c *call) lend() int {
	left := c.request.Origin.Allowance.Left()
	return c.request.Origin.Allowance.Lend(left / 2)
}

// takeBack returns the unused part of the allowance that an attempt carried.
func (c *call) takeBack(answer *gate.Answer) {
	if left, ok := answer.AllowanceLeft(); ok {
		c.request.Origin.Allowance.Return(left)
	}
}

// send carries the attempt to the gate beside the target.
func (c *call) send(ctx context.Context, target *registry.Target, h *apiv1.CallHeader) *gate.Answer {
	d := c.dispatcher
	if target.Node == d.o.Identity.Node {
		return d.o.Gate.Do(ctx, h, c.request.Body.reader())
	}
	answer, err := d.o.Sender.Call(ctx, target.NodeAddress, h, c.request.Body.reader())
	if err == nil {
		return c.guard(ctx, target, h, answer)
	}
	return c.recover(ctx, target, h, err)
}

// returningBody takes the unused allowance back when the answer has ended.
type returningBody struct {
	io.ReadCloser
	call     *call
	answer   *gate.Answer
	returned bool
}

// Read reads from the answer.
func (b *returningBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.returned {
		b.returned = true
		b.call.takeBack(b.answer)
	}
	return n, err
}

// observe tells the picker how an attempt went.
func observe(answer *gate.Answer, latency time.Duration) route.Observation {
	return route.Observation{
		Kind:    observationKind(answer),
		Latency: latency,
		Load:    answer.Header.GetLoad(),
	}
}

// observationKind says how an attempt went as the picker counts it.
func observationKind(answer *gate.Answer) route.Kind {
	refusal := answer.Refusal()
	switch {
	case refusal == nil && answer.Header.GetPassedOn():
		// What a deeper service refused says nothing about this target.
		return route.Cancelled
	case refusal == nil && answer.Header.GetStatus() >= http.StatusInternalServerError:
		return route.Failure
	case refusal == nil:
		return route.Success
	case refusal.Code == outcome.Cancelled:
		return route.Cancelled
	case refusal.Code == outcome.DeadlineExceeded && refusal.Ran != outcome.RanNo:
		return route.TimedOut
	case refusal.Code == outcome.TargetUnreachable:
		return route.Unreachable
	case refusal.Ran == outcome.RanNo:
		return route.Refused
	default:
		return route.Failure
	}
}
