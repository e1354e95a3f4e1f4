package dispatch

import (
	"context"
	"fmt"
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
	// attempts counts the attempts, moves those that were sent on to another target since theirs drained; these are not among attempts.
	attempts int
	moves    int
	// queueTime is the time for which the attempts, and the calls made for them, waited for slots.
	queueTime time.Duration
	// backoffs counts the waits before another attempt.
	backoffs int
	// tried lists the targets of earlier attempts.
	tried []string
	// started is when the first attempt began; set only for calls with MaxTargets.
	started time.Time
	// repeat tells the gates whether earlier attempts reached a target or may have run.
	repeat apiv1.Repeat
	// suspect is what a gate has said of the request after its target crashed, and trialTarget the only target at which it may run then.
	suspect     *apiv1.QuarantineRecord
	trialTarget string
	// withdrawn is set if the last attempt was withdrawn from its target, which may have come too late.
	withdrawn bool
	// redirects counts the times that a gate named a trialTarget.
	redirects int
	// coldRefusals counts the attempts that the gates of cold targets refused.
	coldRefusals int
	// mayMove is true while the attempt under way has a shortened wait; moved counts the moves after such attempts.
	mayMove bool
	moved   int
}

// run makes attempts, bounded by allowance, budget and deadline, until one gives the final answer.
func (c *call) run(ctx context.Context) *Result {
	d := c.dispatcher
	defer c.mergeCutoff()
	c.service.budget.CountFirstAttempt(d.o.Clock.Now())
	var last *gate.Answer
	for {
		choice, refusal := c.pick()
		if refusal != nil && refusal.Code == outcome.Overloaded && last == nil && c.takeRetry(refusal) && c.backoff(ctx, refusal) {
			continue
		}
		if refusal != nil {
			return c.noTargetResult(refusal, last)
		}
		answer := c.attempt(ctx, choice)
		refusal = answer.Refusal()
		if c.moveOn(ctx, choice, refusal) {
			last = lastAfterMove(last, answer)
			continue
		}
		if c.redirect(refusal) || c.refusedByCold(answer, refusal) {
			last = answer
			continue
		}
		if refusal == nil || !c.takeRetry(refusal) {
			return c.finalResult(answer, refusal)
		}
		last = answer
		if !c.backoff(ctx, refusal) {
			return c.finalResult(answer, refusal)
		}
	}
}

// mergeCutoff merges the cutoff of the service into the answer of the request for which this call is made.
func (c *call) mergeCutoff() {
	origin := c.request.Origin
	if origin.MergeCutoff != nil {
		origin.MergeCutoff(c.service.picker.Cutoff(origin.Route, origin.Organisation))
	}
}

// pick chooses a target that has not been tried yet.
func (c *call) pick() (route.Choice, *outcome.Refusal) {
	origin := c.request.Origin
	choice, refusal := c.service.picker.Pick(route.Query{
		Accept:       c.accepts,
		Exclude:      c.tried,
		Level:        origin.Level,
		Depth:        origin.Depth,
		Route:        origin.Route,
		Organisation: origin.Organisation,
		BodyBytes:    c.request.Body.Length(),
	})
	if refusal != nil && refusal.Code == outcome.NoTarget && c.request.HomeRegions.Restricted() {
		c.dispatcher.o.Metrics.HomeRegionRefusals.Add(1)
		refusal.Detail = fmt.Sprintf("no target of the service is available for this call in its home regions (%v)", c.request.HomeRegions)
	}
	return choice, refusal
}

// maxRedirects bounds how often a suspect is sent on to the target that may run it: the gates may know different targets.
const maxRedirects = 2

// redirect makes the next attempt go to the target that a gate named for the trial of a suspect. It reports whether that attempt follows
// in any case, as this one was not run for no other reason.
func (c *call) redirect(refusal *outcome.Refusal) bool {
	if refusal == nil || refusal.TrialTarget == "" || c.redirects >= maxRedirects || !c.request.Body.Replayable() {
		return false
	}
	c.redirects++
	c.trialTarget = refusal.TrialTarget
	return refusal.Ran == outcome.RanNo
}

// accepts reports whether a target is in the home regions of the request and matches its selector.
func (c *call) accepts(t *registry.Target) bool {
	if !c.dispatcher.o.Regions.Allows(c.request.HomeRegions, t.DataCentre) {
		return false
	}
	if c.trialTarget != "" && t.ID() != c.trialTarget {
		return false
	}
	return c.request.Selector == nil || c.request.Selector.Matches(t.Labels)
}

// noTargetResult returns the last answer if there was one, and the picker's refusal otherwise.
func (c *call) noTargetResult(refusal *outcome.Refusal, last *gate.Answer) *Result {
	if last != nil {
		return c.finalResult(last, last.Refusal())
	}
	return refused(refusal, c.attempts)
}

// finalResult returns an answer as the result. It marks a refusal after several attempts, so that hops above don't
// retry it.
func (c *call) finalResult(answer *gate.Answer, refusal *outcome.Refusal) *Result {
	if refusal != nil && c.attempts-c.moved > 1 {
		answer.Header.Refusal.Retried = true
	}
	return &Result{Answer: answer, Attempts: c.attempts, QueueTime: c.queueTime}
}

// takeRetry reports whether another attempt is allowed, and takes it from the budget and the allowance if so.
func (c *call) takeRetry(refusal *outcome.Refusal) bool {
	if !retry.MayRetry(refusal, c.request.Idempotent) || !c.request.Body.Replayable() {
		return false
	}
	if c.request.Origin.Allowance.Left() == 0 {
		return false
	}
	if !c.service.budget.TryRetry(c.dispatcher.o.Clock.Now()) {
		return false
	}
	return c.request.Origin.Allowance.Take()
}

// backoff waits before the next attempt. It returns false when the deadline leaves no time for one, or ctx ends.
func (c *call) backoff(ctx context.Context, refusal *outcome.Refusal) bool {
	remaining := c.request.Origin.Deadline.Sub(c.dispatcher.o.Clock.Now())
	c.backoffs++
	wait, ok := retry.Backoff(c.backoffs, remaining, refusal.RetryAfter, rand.Float64)
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
	header.KnownRateLimit = choice.RateLimit()
	c.boundQueueWait(header, choice)
	c.attempts++
	c.tried = append(c.tried, target.ID())
	d.o.Metrics.Attempts.Add(1)
	d.countCrossing(target)
	if c.attempts > 1 {
		d.o.Metrics.ExtraAttempts.Add(1)
	}
	start := d.o.Clock.Now()
	f := c.service.flights.begin(target, header)
	answer := c.send(ctx, target, header)
	c.withdrawn = c.service.flights.end(f)
	now := d.o.Clock.Now()
	choice.Done(observation(answer, now.Sub(start)))
	c.recordLoads(now, target, answer.Header.GetLoad().GetPressures())
	c.queueTime += time.Duration(answer.Header.GetLoad().GetQueuedUs()) * time.Microsecond
	if answer.Refusal() != nil {
		c.recallBody(header)
		if suspect := answer.Header.GetRefusal().GetSuspect(); suspect != nil {
			c.suspect = suspect
		}
		c.reclaimAllowance(answer)
		return answer
	}
	answer.Body = &reclaimingBody{ReadCloser: answer.Body, call: c, answer: answer}
	return answer
}

// recallBody takes the body back from a failed attempt, so that another one can follow. Without it none does.
func (c *call) recallBody(h *apiv1.CallHeader) {
	if c.request.Body.recall() {
		return
	}
	d := c.dispatcher
	if leftOut, ok := d.o.LogLimiter.Allow(d.o.Clock.Now()); ok {
		d.o.Log.Warn("body not returned by an attempt", "request", h.GetRequestId(), "target", h.GetTarget(), "waited", recallTimeout, "left_out", leftOut)
	}
}

// recordLoads records the load of services that came with an answer.
func (c *call) recordLoads(now time.Time, target *registry.Target, reported []*apiv1.Pressure) {
	relay := c.dispatcher.o.LoadTracker
	switch {
	case relay == nil:
	case c.request.Origin.Depth == 0:
		relay.LearnAtEntry(now, c.work(), target.ID(), reported)
	default:
		relay.Learn(now, c.work(), target.ID(), reported)
	}
}

// work identifies the kind of work that the request asks of its service.
func (c *call) work() shed.ServiceRoute {
	return shed.ServiceRoute{Service: c.request.Service, Route: c.request.Origin.Route}
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
		Allowance:     uint32(c.lendAllowance()),
		Level:         origin.Level,
		KeyNumber:     origin.KeyNumber,
		Idempotent:    r.Idempotent,
		Method:        r.Method,
		Path:          r.Path,
		Headers:       r.Headers,
		ContentLength: r.Body.Length(),
		Attempt:       uint32(c.attempts + c.moves),
		Route:         origin.Route,
		Host:          r.Host,
		CallerService: r.CallerService,
		MaxWaitNs:     int64(c.queueWaitLeft()),
		Repeat:        c.repeat,
		BodyDigest:    r.Body.digest(),
		Suspect:       c.suspect,
	}
}

// lendAllowance takes the part of the allowance that an attempt carries: half, rounded down. The
// rest stays here, since what an attempt carries is lost when its answer is.
func (c *call) lendAllowance() int {
	left := c.request.Origin.Allowance.Left()
	return c.request.Origin.Allowance.Lend(left / 2)
}

// reclaimAllowance returns the unused part of what an attempt carried to the allowance of the request.
func (c *call) reclaimAllowance(answer *gate.Answer) {
	if left, ok := answer.AllowanceLeft(); ok {
		c.request.Origin.Allowance.Return(left)
	}
}

// send passes the attempt to the gate of the node on the target's host.
func (c *call) send(ctx context.Context, target *registry.Target, h *apiv1.CallHeader) *gate.Answer {
	d := c.dispatcher
	body, err := c.request.Body.Lend()
	if err != nil {
		return c.refusalAnswer(h, outcome.NotRun(outcome.TargetUnreachable, 0, "the body can't be sent: %v", err))
	}
	if target.Node == d.o.Identity.Node {
		return d.o.Gate.Do(ctx, h, body)
	}
	answer, err := d.o.Sender.Call(ctx, target.NodeAddress, h, body)
	if err == nil {
		return c.makeResumable(ctx, target, h, answer)
	}
	return c.recoverAttempt(ctx, target, h, err)
}

// reclaimingBody reclaims the unused allowance when the answer has been read to its end.
type reclaimingBody struct {
	io.ReadCloser
	call      *call
	answer    *gate.Answer
	reclaimed bool
}

// Read reads from the answer.
func (b *reclaimingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.reclaimed {
		b.reclaimed = true
		b.call.reclaimAllowance(b.answer)
	}
	return n, err
}

// observation returns what the picker is told of an attempt.
func observation(answer *gate.Answer, latency time.Duration) route.Observation {
	return route.Observation{
		Outcome: observationKind(answer),
		Latency: latency,
		Load:    answer.Header.GetLoad(),
	}
}

// observationKind returns the outcome of an attempt as the picker counts it.
func observationKind(answer *gate.Answer) route.CallOutcome {
	refusal := answer.Refusal()
	switch {
	case refusal == nil && answer.Header.GetPassedOn():
		// The target failed because one of its sub-calls was refused, which says nothing about the target itself.
		return route.Cancelled
	case refusal == nil && answer.Header.GetStatus() >= http.StatusInternalServerError && answer.Header.GetLoad().GetColdLeftMs() > 0:
		// What a cold target answers says nothing about it once it is warm.
		return route.Cancelled
	case refusal == nil && answer.Header.GetStatus() >= http.StatusInternalServerError:
		return route.Failure
	case refusal == nil:
		return route.Success
	case refusal.Code == outcome.Cancelled || refusal.Code == outcome.Suspected || refusal.Code == outcome.Quarantined || refusal.Code == outcome.LinkTooSlow:
		// The last three say nothing about the target either.
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
