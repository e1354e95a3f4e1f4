package dispatch

import (
	"context"
	"io"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/buffer"
	"github.com/guavaford/guavaford/internal/gate"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/route"
)

// Bounds of a request with MaxTargets.
const (
	// maxAttempts bounds the attempts of one request, including those that reached no target.
	maxAttempts = 6
	// minAttemptTime is the time that must be left until the deadline for another attempt.
	minAttemptTime = 20 * time.Millisecond
	// maxBufferedAnswer is the size in bytes of the largest answer that is buffered before it is returned,
	// so that another attempt can follow when it is cut short.
	maxBufferedAnswer = 64 << 10
)

// runBounded makes attempts until one succeeds, no further one is allowed, or MaxTargets targets were
// reached. When the node on a target's host refuses an attempt before it reaches the target, that costs
// nothing and another target is tried at once; if it refuses since the target drains, not even an attempt. An attempt
// after one that reached a target is a repeat; the gate of its target decides whether the limit on repeats allows it.
func (c *call) runBounded(ctx context.Context) *Result {
	c.started = c.dispatcher.o.Clock.Now()
	var last, ran *gate.Answer
	reached := 0
	for {
		choice, refusal := c.pick()
		if refusal != nil && c.moved > 0 && len(c.tried) == 1 {
			// The call was moved away from the only target that is left. It may queue there now.
			c.tried = nil
			continue
		}
		if refusal != nil {
			return c.noTargetResult(refusal, firstNonNil(ran, last))
		}
		answer := c.attemptBuffered(ctx, choice)
		refusal = answer.Refusal()
		if c.moveOn(ctx, choice, refusal) {
			last = lastAfterMove(last, answer)
			continue
		}
		c.logAttempt(choice, refusal)
		if refusal == nil {
			return c.finalResult(answer, nil)
		}
		last = answer
		if refusal.Ran != outcome.RanNo {
			ran, c.repeat = answer, apiv1.Repeat_REPEAT_MAY_HAVE_RUN
			reached++
		} else if refusal.Reached {
			c.repeat = max(c.repeat, apiv1.Repeat_REPEAT_REACHED)
			reached++
		}
		if (c.redirect(refusal) || c.move(refusal)) && ctx.Err() == nil {
			continue
		}
		if !c.mayTryNext(ctx, refusal, reached) {
			last = firstNonNil(ran, last)
			return c.finalResult(last, last.Refusal())
		}
	}
}

// firstNonNil returns a, or b if a is nil. A request that may have run must not be answered with the
// refusal of a later attempt that did not run.
func firstNonNil(a, b *gate.Answer) *gate.Answer {
	if a != nil {
		return a
	}
	return b
}

// mayTryNext reports whether another target may be tried after a refusal.
func (c *call) mayTryNext(ctx context.Context, r *outcome.Refusal, reached int) bool {
	if ctx.Err() != nil || c.attempts >= maxAttempts || reached >= c.request.MaxTargets || !c.request.Body.Replayable() {
		return false
	}
	if c.request.Origin.Deadline.Sub(c.dispatcher.o.Clock.Now()) < minAttemptTime {
		return false
	}
	if r.Ran != outcome.RanNo && (!c.request.Idempotent || c.hasSubCalls()) {
		return false
	}
	switch r.Code {
	case outcome.Overloaded, outcome.QueueFull, outcome.Evicted, outcome.TargetLeaving, outcome.TargetFailed, outcome.TargetUnreachable,
		outcome.NodeStopping, outcome.StaleConfiguration, outcome.RepeatRefused, outcome.AnswersFull:
		return true
	case outcome.DeadlineTooShort:
		// The queue of this target is too long, but that of another may be shorter. One more target is tried while over
		// half of the longest wait is left.
		return !r.Reached && c.attempts-c.moved < 2 && c.queueWaitLeft() > c.request.MaxWait/2
	default:
		return false
	}
}

// boundQueueWait shortens the wait of a first attempt in the queue of its target if other targets have room. The call
// must be able to go there afterwards, with most of its time left: a body that isn't all in memory may have been sent in
// part by then.
func (c *call) boundQueueWait(h *apiv1.CallHeader, choice route.Choice) {
	wait := choice.QueueWait()
	_, complete := c.request.Body.Bytes()
	c.mayMove = wait > 0 && c.request.MaxTargets > 0 && c.attempts == 0 && c.trialTarget == "" && complete &&
		time.Duration(h.MaxWaitNs) >= minWaitAfterMove*wait && time.Duration(h.TimeoutNs) >= minWaitAfterMove*wait+minAttemptTime
	if c.mayMove {
		h.MaxWaitNs, h.MayMove = int64(wait), true
	}
}

// minWaitAfterMove is the multiple of the shortened wait that a call must be allowed to wait altogether.
const minWaitAfterMove = 4

// move reports whether a call that was refused after a shortened wait goes to another target. It was not run, and the
// refusal says only that the queue was long, so it doesn't count as an attempt.
func (c *call) move(r *outcome.Refusal) bool {
	if !c.mayMove || r == nil || r.Ran != outcome.RanNo || r.Reached {
		return false
	}
	c.mayMove = false
	if r.Code != outcome.QueueFull && r.Code != outcome.DeadlineTooShort {
		return false
	}
	c.moved++
	c.dispatcher.o.Metrics.MovedCalls.Add(1)
	return true
}

// hasSubCalls reports whether another run of the request would repeat sub-calls. Gates refuse such repeats.
func (c *call) hasSubCalls() bool {
	p := c.dispatcher.o.LoadTracker
	return p != nil && len(p.CallsPerRequest(c.work())) > 1
}

// queueWaitLeft returns how long the request may still wait for a slot: MaxWait less the time since the first attempt
// began, at least 1 ms, or 0 without MaxWait.
func (c *call) queueWaitLeft() time.Duration {
	if c.request.MaxWait == 0 {
		return 0
	}
	return max(c.request.MaxWait-c.dispatcher.o.Clock.Now().Sub(c.started), time.Millisecond)
}

// attemptBuffered makes one attempt and reads an answer of up to maxBufferedAnswer bytes to its end.
func (c *call) attemptBuffered(ctx context.Context, choice route.Choice) *gate.Answer {
	answer := c.attempt(ctx, choice)
	size := answer.Header.GetContentLength()
	if answer.Refusal() != nil || size > maxBufferedAnswer {
		return answer
	}
	start := &buffer.Chunks{}
	if err := start.Fill(answer.Body, maxBufferedAnswer+1); err != nil {
		start.Discard()
		_ = answer.Body.Close()
		c.recallBody(&apiv1.CallHeader{RequestId: c.request.Origin.RequestID, Target: choice.Target().Name})
		r := &outcome.Refusal{Code: outcome.TargetFailed, Ran: outcome.RanUnknown, Reached: true,
			Detail: "the answer was cut short: " + err.Error()}
		if ctx.Err() != nil {
			r = contextRefusal(ctx)
		}
		return &gate.Answer{Header: refusalHeader(answer, r), AllowanceLeft: func() (int, bool) { return 0, true }}
	}
	buffered := *answer
	if start.Len() > maxBufferedAnswer {
		buffered.Body = &joinedBody{Reader: io.MultiReader(start, answer.Body), Closer: answer.Body}
		return &buffered
	}
	_ = answer.Body.Close()
	buffered.Header.ContentLength = int64(start.Len())
	// Chunks that are not read are left to the garbage collector, since a body may be closed while it is being read.
	buffered.Body = io.NopCloser(start)
	return &buffered
}

// joinedBody is a body whose start was read already.
type joinedBody struct {
	io.Reader
	io.Closer
}

// refusalHeader returns the header of a refusal that replaces an answer.
func refusalHeader(of *gate.Answer, r *outcome.Refusal) *apiv1.AnswerHeader {
	return &apiv1.AnswerHeader{Key: of.Header.GetKey(), Refusal: r.Message(), Load: of.Header.GetLoad()}
}

// logAttempt logs a finished attempt, unless it was the first and succeeded.
func (c *call) logAttempt(choice route.Choice, r *outcome.Refusal) {
	d := c.dispatcher
	if r == nil && c.attempts == 1 && c.moves == 0 {
		return
	}
	leftOut, ok := d.o.LogLimiter.Allow(d.o.Clock.Now())
	if !ok {
		return
	}
	if r == nil {
		d.o.Log.Info("answered after another attempt", "request", c.request.Origin.RequestID, "service", c.request.Service,
			"target", choice.Target().Name, "attempts", c.attempts, "moves", c.moves, "left_out", leftOut)
		return
	}
	d.o.Log.Info("attempt failed", "request", c.request.Origin.RequestID, "service", c.request.Service,
		"target", choice.Target().Name, "attempt", c.attempts, "code", r.Code, "ran", r.Ran, "reached", r.Reached, "detail", r.Detail,
		"left_out", leftOut)
}
