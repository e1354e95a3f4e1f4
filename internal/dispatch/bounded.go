package dispatch

import (
	"bytes"
	"context"
	"io"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/gate"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/route"
)

// Bounds of a request that may reach only so many targets.
const (
	// maxTries bounds the attempts of one request, those included that reached no target.
	maxTries = 6
	// minAttempt is the time that must be left for another attempt.
	minAttempt = 20 * time.Millisecond
	// wholeAnswerBytes is the largest answer that is read to its end before it counts, so that one
	// that breaks off can still be replaced by another.
	wholeAnswerBytes = 64 << 10
)

// runBounded makes attempts under the bound of the request's route. Refusals of the node beside a
// target cost nothing and are followed by another target at once. An attempt after one that
// reached a target is a repeat; the gate of its target says whether there is room for it.
func (c *call) runBounded(ctx context.Context) *Result {
	c.started = c.dispatcher.o.Clock.Now()
	var last, ran *gate.Answer
	reached := 0
	for {
		choice, refusal := c.pick()
		if refusal != nil {
			return c.noChoice(refusal, either(ran, last))
		}
		answer := c.attemptWhole(ctx, choice)
		refusal = answer.Refusal()
		c.logAttempt(choice, refusal)
		if refusal == nil {
			return c.final(answer, nil)
		}
		last = answer
		if refusal.Ran != outcome.RanNo {
			ran, c.repeat = answer, apiv1.Repeat_REPEAT_MAY_HAVE_RUN
			reached++
		} else if refusal.Reached {
			c.repeat = max(c.repeat, apiv1.Repeat_REPEAT_REACHED)
			reached++
		}
		if !c.mayGoOn(ctx, refusal, reached) {
			last = either(ran, last)
			return c.final(last, last.Refusal())
		}
	}
}

// either returns the first answer unless it is nil. A request that may have run must not be answered
// by the refusal of a later attempt, which did not.
func either(a, b *gate.Answer) *gate.Answer {
	if a != nil {
		return a
	}
	return b
}

// mayGoOn reports whether another target may be tried after a refusal.
func (c *call) mayGoOn(ctx context.Context, r *outcome.Refusal, reached int) bool {
	if ctx.Err() != nil || c.attempts >= maxTries || reached >= c.request.MaxTargets || !c.request.Body.Replayable() {
		return false
	}
	if c.request.Origin.Deadline.Sub(c.dispatcher.o.Clock.Now()) < minAttempt {
		return false
	}
	if r.Ran != outcome.RanNo && (!c.request.Idempotent || c.repeatsCalls()) {
		return false
	}
	switch r.Code {
	case outcome.Overloaded, outcome.QueueFull, outcome.Evicted, outcome.TargetLeaving, outcome.TargetFailed, outcome.TargetUnreachable,
		outcome.NodeStopping, outcome.StaleConfiguration, outcome.RepeatRefused:
		return true
	case outcome.DeadlineTooShort:
		// The queue of this target is too long; that of another may not be, if there is time to wait.
		return !r.Reached && c.attempts < 2 && c.waitLeft() > c.request.MaxWait/2
	default:
		return false
	}
}

// repeatsCalls reports whether another run of the request would repeat calls below it. Gates refuse that.
func (c *call) repeatsCalls() bool {
	p := c.dispatcher.o.Pressures
	return p != nil && len(p.Needs(c.work())) > 1
}

// waitLeft returns how long the request may still wait for a slot. All its waits together keep to the bound.
func (c *call) waitLeft() time.Duration {
	if c.request.MaxWait == 0 {
		return 0
	}
	return max(c.request.MaxWait-c.dispatcher.o.Clock.Now().Sub(c.started), time.Millisecond)
}

// attemptWhole makes one attempt and reads a short answer to its end.
func (c *call) attemptWhole(ctx context.Context, choice route.Choice) *gate.Answer {
	answer := c.attempt(ctx, choice)
	size := answer.Header.GetContentLength()
	if answer.Refusal() != nil || size > wholeAnswerBytes {
		return answer
	}
	read := bytes.NewBuffer(make([]byte, 0, max(size, 0)+bytes.MinRead))
	_, err := read.ReadFrom(io.LimitReader(answer.Body, wholeAnswerBytes+1))
	data := read.Bytes()
	if err != nil {
		_ = answer.Body.Close()
		r := &outcome.Refusal{Code: outcome.TargetFailed, Ran: outcome.RanUnknown, Reached: true,
			Detail: "the answer broke off: " + err.Error()}
		if ctx.Err() != nil {
			r = ended(ctx)
		}
		return &gate.Answer{Header: refusalHeader(answer, r), AllowanceLeft: func() (int, bool) { return 0, true }}
	}
	whole := *answer
	if len(data) > wholeAnswerBytes {
		whole.Body = &joinedBody{Reader: io.MultiReader(bytes.NewReader(data), answer.Body), Closer: answer.Body}
		return &whole
	}
	_ = answer.Body.Close()
	whole.Header.ContentLength = int64(len(data))
	whole.Body = io.NopCloser(bytes.NewReader(data))
	return &whole
}

// joinedBody is a body of which the start was read already.
type joinedBody struct {
	io.Reader
	io.Closer
}

// refusalHeader returns the header of a refusal that takes the place of an answer.
func refusalHeader(of *gate.Answer, r *outcome.Refusal) *apiv1.AnswerHeader {
	return &apiv1.AnswerHeader{Key: of.Header.GetKey(), Refusal: r.Message(), Load: of.Header.GetLoad()}
}

// logAttempt logs an attempt that reached its end.
func (c *call) logAttempt(choice route.Choice, r *outcome.Refusal) {
	d := c.dispatcher
	if r == nil && c.attempts == 1 {
		return
	}
	leftOut, ok := d.o.Lines.Allow(d.o.Clock.Now())
	if !ok {
		return
	}
	if r == nil {
		d.o.Log.Info("answered after another attempt", "request", c.request.Origin.RequestID, "service", c.request.Service,
			"target", choice.Target().Name, "attempts", c.attempts, "left_out", leftOut)
		return
	}
	d.o.Log.Info("attempt failed", "request", c.request.Origin.RequestID, "service", c.request.Service,
		"target", choice.Target().Name, "attempt", c.attempts, "code", r.Code, "ran", r.Ran, "reached", r.Reached, "detail", r.Detail,
		"left_out", leftOut)
}
