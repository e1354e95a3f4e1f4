package dispatch

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/gate"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/peer"
	"github.com/guavaford/guavaford/internal/registry"
)

// Timing of the requests that find out what became of an attempt whose connection failed.
const (
	// fenceTimeout bounds one fence request; fenceInterval is the wait before the next.
	fenceTimeout  = time.Second
	fenceInterval = 50 * time.Millisecond
	// resolveTimeout is how long a node that does not answer is asked before the outcome is reported as unknown.
	resolveTimeout = 5 * time.Second
)

// recoverAttempt returns the answer of an attempt whose connection failed before the header of the answer arrived.
func (c *call) recoverAttempt(ctx context.Context, target *registry.Target, h *apiv1.CallHeader, err error) *gate.Answer {
	d := c.dispatcher
	var late *peer.LateBodyError
	if errors.As(err, &late) {
		if leftOut, ok := d.o.LogLimiter.Allow(d.o.Clock.Now()); ok {
			d.o.Log.Info("body not sent as it can't arrive in time", "request", h.GetRequestId(), "target", target.ID(), "length", late.Length,
				"remaining", late.Verdict.Remaining, "ahead", late.Verdict.Ahead, "bytes_per_second", int64(late.Verdict.Rate), "left_out", leftOut)
		}
		return c.refusalAnswer(h, outcome.NotRun(outcome.LinkTooSlow, late.Verdict.RetryAfter(), "the body can't arrive at the target's host in time"))
	}
	if leftOut, ok := d.o.LogLimiter.Allow(d.o.Clock.Now()); ok {
		d.o.Log.Warn("connection of an attempt failed", "request", h.GetRequestId(), "target", target.ID(), "err", err, "left_out", leftOut)
	}
	var callErr *peer.CallError
	unsent := errors.As(err, &callErr) && !callErr.Sent
	switch {
	case ctx.Err() != nil:
		r := contextRefusal(ctx)
		if unsent {
			r.Ran = outcome.RanNo
		}
		return c.refusalAnswer(h, r)
	case unsent:
		return c.refusalAnswer(h, outcome.Unreachable("no connection to the node on the target's host"))
	}
	if h.GetIdempotent() {
		r := &outcome.Refusal{Code: outcome.TargetFailed, Ran: outcome.RanUnknown, Detail: "the connection to the node on the target's host failed"}
		return c.refusalAnswer(h, r)
	}
	return c.resolveOutcome(ctx, target, h)
}

// contextRefusal returns the refusal of an attempt whose context has ended: cancelled, or past the deadline.
func contextRefusal(ctx context.Context) *outcome.Refusal {
	r := &outcome.Refusal{Code: outcome.Cancelled, Ran: outcome.RanUnknown, Detail: "cancelled while the attempt was under way"}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.Code = outcome.DeadlineExceeded
		r.Detail = "the deadline passed while the attempt was under way"
	}
	return r
}

// refusalAnswer returns an answer with a refusal by this node. The allowance that the attempt carried is spent unless
// the call provably did not run.
func (c *call) refusalAnswer(h *apiv1.CallHeader, r *outcome.Refusal) *gate.Answer {
	left := 0
	if r.Ran == outcome.RanNo {
		left = int(h.GetAllowance())
	}
	return &gate.Answer{
		Header:        &apiv1.AnswerHeader{Key: h.GetKey(), Refusal: r.Message()},
		AllowanceLeft: func() (int, bool) { return left, true },
	}
}

// unknownOutcome returns the answer for a call of which it can't be found out whether it ran.
func (c *call) unknownOutcome(h *apiv1.CallHeader, detail string) *gate.Answer {
	return c.refusalAnswer(h, &outcome.Refusal{Code: outcome.OutcomeUnknown, Ran: outcome.RanUnknown, Detail: detail})
}

// resolveOutcome asks the node on the target's host over other connections until it fences the call, or
// its answer can be fetched, or the outcome remains unknown: the node restarted, has no record of the
// call, or hasn't answered for resolveTimeout.
func (c *call) resolveOutcome(ctx context.Context, target *registry.Target, h *apiv1.CallHeader) *gate.Answer {
	d := c.dispatcher
	until := d.o.Clock.Now().Add(resolveTimeout)
	for d.o.Clock.Now().Before(until) && ctx.Err() == nil {
		resp, err := c.fence(ctx, target, h)
		if err != nil {
			clock.Sleep(ctx, fenceInterval)
			continue
		}
		if resp.GetIncarnation() != target.Incarnation {
			return c.unknownOutcome(h, "the node on the target's host restarted during the call")
		}
		switch resp.GetState() {
		case apiv1.CallState_CALL_STATE_FENCED:
			return c.refusalAnswer(h, outcome.Unreachable("the call was fenced before it was started"))
		case apiv1.CallState_CALL_STATE_RUNNING, apiv1.CallState_CALL_STATE_FINISHED:
			answer, err := d.o.Sender.Attach(ctx, target.NodeAddress, h.GetKey())
			if err == nil {
				return c.makeResumable(ctx, target, h, answer)
			}
			until = d.o.Clock.Now().Add(resolveTimeout)
			clock.Sleep(ctx, fenceInterval)
		default:
			return c.unknownOutcome(h, "the node on the target's host has no record of the call")
		}
	}
	if ctx.Err() != nil {
		return c.refusalAnswer(h, contextRefusal(ctx))
	}
	return c.unknownOutcome(h, "the node on the target's host does not answer")
}

// fence asks the node on the target's host to fence the call: if it was not started, it never will be.
func (c *call) fence(ctx context.Context, target *registry.Target, h *apiv1.CallHeader) (*apiv1.FenceResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	return c.dispatcher.o.Sender.Fence(ctx, target.NodeAddress, &apiv1.FenceRequest{
		Key:               h.GetKey(),
		TargetIncarnation: target.Incarnation,
	})
}

// makeResumable lets the body of a non-idempotent call's answer be read on after its connection is lost.
func (c *call) makeResumable(ctx context.Context, target *registry.Target, h *apiv1.CallHeader, answer *gate.Answer) *gate.Answer {
	if h.GetIdempotent() || answer.Body == nil {
		return answer
	}
	body := &resumingBody{ctx: ctx, call: c, target: target, header: h, current: answer}
	return &gate.Answer{Header: answer.Header, Body: body, AllowanceLeft: body.allowanceLeft}
}

// maxResumes bounds how often one answer is fetched again.
const maxResumes = 3

// resumingBody fetches the rest of an answer over a new connection when its connection is lost.
type resumingBody struct {
	ctx     context.Context
	call    *call
	target  *registry.Target
	header  *apiv1.CallHeader
	current *gate.Answer
	offset  int64
	resumes int
}

// Read reads from the answer. When its connection is lost, it continues over a new one.
func (b *resumingBody) Read(p []byte) (int, error) {
	for {
		n, err := b.current.Body.Read(p)
		b.offset += int64(n)
		if err == nil || err == io.EOF || n > 0 {
			if err != nil && err != io.EOF {
				err = nil
			}
			return n, err
		}
		if b.ctx.Err() != nil || b.resumes == maxResumes || !b.resume() {
			return 0, err
		}
	}
}

// resume attaches to the call over a new connection and skips the bytes that were read already.
func (b *resumingBody) resume() bool {
	b.resumes++
	answer, err := b.call.dispatcher.o.Sender.Attach(b.ctx, b.target.NodeAddress, b.header.GetKey())
	if err != nil || answer.Body == nil {
		return false
	}
	b.current.Body.Close()
	b.current = answer
	_, err = io.CopyN(io.Discard, answer.Body, b.offset)
	return err == nil
}

// Close closes the body of the current connection.
func (b *resumingBody) Close() error {
	return b.current.Body.Close()
}

// allowanceLeft returns the unused allowance by the current connection's answer.
func (b *resumingBody) allowanceLeft() (int, bool) {
	return b.current.AllowanceLeft()
}
