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

// Bounds of the questions about an attempt whose connection failed.
const (
	fenceTimeout  = time.Second
	fenceInterval = 50 * time.Millisecond
	// unknownAfter is how long a node that does not answer is asked.
	unknownAfter = 5 * time.Second
)

// recover finds out what became of an attempt whose connection failed before the answer.
func (c *call) recover(ctx context.Context, target *registry.Target, h *apiv1.CallHeader, err error) *gate.Answer {
	d := c.dispatcher
	if leftOut, ok := d.o.Lines.Allow(d.o.Clock.Now()); ok {
		d.o.Log.Warn("connection of an attempt failed", "request", h.GetRequestId(), "target", target.ID(), "err", err, "left_out", leftOut)
	}
	var callErr *peer.CallError
	unsent := errors.As(err, &callErr) && !callErr.Sent
	switch {
	case ctx.Err() != nil:
		r := ended(ctx)
		if unsent {
			r.Ran = outcome.RanNo
		}
		return c.failed(h, r)
	case unsent:
		return c.failed(h, outcome.Unreachable("no connection to the node beside the target"))
	}
	if h.GetIdempotent() {
		r := &outcome.Refusal{Code: outcome.TargetFailed, Ran: outcome.RanUnknown, Detail: "the connection to the node beside the target failed"}
		return c.failed(h, r)
	}
	return c.resolve(ctx, target, h)
}

// ended returns the refusal of an attempt whose caller stopped waiting.
func ended(ctx context.Context) *outcome.Refusal {
	r := &outcome.Refusal{Code: outcome.Cancelled, Ran: outcome.RanUnknown, Detail: "cancelled while the attempt was under way"}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.Code = outcome.DeadlineExceeded
		r.Detail = "the deadline passed while the attempt was under way"
	}
	return r
}

// failed returns an answer made here. What was lent is gone unless the work provably did not run.
func (c *call) failed(h *apiv1.CallHeader, r *outcome.Refusal) *gate.Answer {
	left := 0
	if r.Ran == outcome.RanNo {
		left = int(h.GetAllowance())
	}
	return &gate.Answer{
		Header:        &apiv1.AnswerHeader{Key: h.GetKey(), Refusal: r.Message()},
		AllowanceLeft: func() (int, bool) { return left, true },
	}
}

// unknown returns the honest answer when nobody can tell whether the call ran.
func (c *call) unknown(h *apiv1.CallHeader, detail string) *gate.Answer {
	return c.failed(h, &outcome.Refusal{Code: outcome.OutcomeUnknown, Ran: outcome.RanUnknown, Detail: detail})
}

// resolve asks the node beside the target over other connections until it fences the
// call, or its answer can be fetched, or nobody can tell any more.
func (c *call) resolve(ctx context.Context, target *registry.Target, h *apiv1.CallHeader) *gate.Answer {
	d := c.dispatcher
	until := d.o.Clock.Now().Add(unknownAfter)
	for d.o.Clock.Now().Before(until) && ctx.Err() == nil {
		resp, err := c.fence(ctx, target, h)
		if err != nil {
			clock.Sleep(ctx, fenceInterval)
			continue
		}
		if resp.GetIncarnation() != target.Incarnation {
			return c.unknown(h, "the node beside the target restarted while the call was under way")
		}
		switch resp.GetState() {
		case apiv1.CallState_CALL_STATE_FENCED:
			return c.failed(h, outcome.Unreachable("the call was fenced before it was started"))
		case apiv1.CallState_CALL_STATE_RUNNING, apiv1.CallState_CALL_STATE_FINISHED:
			answer, err := d.o.Sender.Attach(ctx, target.NodeAddress, h.GetKey())
			if err == nil {
				return c.guard(ctx, target, h, answer)
			}
			until = d.o.Clock.Now().Add(unknownAfter)
			clock.Sleep(ctx, fenceInterval)
		default:
			return c.unknown(h, "the node beside the target has no record of the call")
		}
	}
	if ctx.Err() != nil {
		return c.failed(h, ended(ctx))
	}
	return c.unknown(h, "the node beside the target does not answer")
}

// fence asks for the promise that the call was not started and never will be.
func (c *call) fence(ctx context.Context, target *registry.Target, h *apiv1.CallHeader) (*apiv1.FenceResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	return c.dispatcher.o.Sender.Fence(ctx, target.NodeAddress, &apiv1.FenceRequest{
		Key:               h.GetKey(),
		TargetIncarnation: target.Incarnation,
	})
}

// guard makes the body of a non-idempotent call's answer survive the loss of its connection.
func (c *call) guard(ctx context.Context, target *registry.Target, h *apiv1.CallHeader, answer *gate.Answer) *gate.Answer {
	if h.GetIdempotent() || answer.Body == nil {
		return answer
	}
	body := &resumingBody{ctx: ctx, call: c, target: target, header: h, current: answer}
	return &gate.Answer{Header: answer.Header, Body: body, AllowanceLeft: body.allowanceLeft}
}

// resumeAttempts bounds how often one answer is fetched again.
const resumeAttempts = 3

// resumingBody fetches the rest of an answer over another connection when one is lost.
type resumingBody struct {
	ctx     context.Context
	call    *call
	target  *registry.Target
	header  *apiv1.CallHeader
	current *gate.Answer
	offset  int64
	resumes int
}

// Read reads from the answer, wherever it comes from.
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
		if b.ctx.Err() != nil || b.resumes == resumeAttempts || !b.resume() {
			return 0, err
		}
	}
}

// resume attaches to the call again and skips what was read already.
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

// Close closes the current connection's part.
func (b *resumingBody) Close() error {
	return b.current.Body.Close()
}

func (b *resumingBody) allowanceLeft() (int, bool) {
	return b.current.AllowanceLeft()
}
