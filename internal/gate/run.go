package gate

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/admission"
	"github.com/guavaford/guavaford/internal/buffer"
	"github.com/guavaford/guavaford/internal/callctx"
	"github.com/guavaford/guavaford/internal/calltable"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/peer"
)

// execution is one admitted call at a target.
type execution struct {
	gate    *Gate
	entry   *entry
	header  *apiv1.CallHeader
	permit  admission.Permit
	running *callctx.Running
	// handle is empty where targets are not told of it.
	handle  callctx.Handle
	cancel  context.CancelFunc
	started time.Time
	once    sync.Once
	left    int
}

// begin registers an admitted call, so that its target can make sub-calls.
func (g *Gate) begin(ctx context.Context, cancel context.CancelFunc, e *entry, h *apiv1.CallHeader, permit admission.Permit) *execution {
	running := &callctx.Running{Origin: g.origin(ctx, h), Context: ctx}
	g.o.Metrics.Executions.Add(1)
	if g.o.Pressures != nil {
		g.o.Pressures.Ran(g.o.Clock.Now(), workOf(h))
	}
	g.o.Lineage.Add(running)
	g.o.Metrics.InFlight.Add(1)
	x := &execution{
		gate:    g,
		entry:   e,
		header:  h,
		permit:  permit,
		running: running,
		cancel:  cancel,
		started: g.o.Clock.Now(),
	}
	if g.o.Names.Handle != "" {
		x.handle = g.o.Handles.Add(running)
	}
	return x
}

// end releases everything that the call holds. Only the first call has an effect.
func (x *execution) end(kind admission.Kind) {
	x.once.Do(func() {
		if x.handle != "" {
			x.gate.o.Handles.Remove(x.handle)
		}
		x.gate.o.Lineage.Remove(x.running)
		x.cancel()
		x.left = x.running.Origin.Allowance.Close()
		x.gate.o.Metrics.InFlight.Add(-1)
		now := x.gate.o.Clock.Now()
		x.measure(now, kind)
		x.permit.Release(admission.Result{
			Kind:       kind,
			Downstream: x.running.Downstream(now),
		})
	})
}

// measure tells the target's meter how the call ended. One that a full target turned away counts as offered in full.
func (x *execution) measure(now time.Time, kind admission.Kind) {
	held := now.Sub(x.started)
	switch {
	case kind == admission.Success:
		x.entry.meter.Finished(now, held)
	case kind != admission.Rejected || x.entry.hasRoom():
		x.entry.meter.Cut(now, held)
	}
}

// exchange sends the request to the target and waits for the header of its answer.
func (x *execution) exchange(ctx context.Context, body io.Reader) (*http.Response, *outcome.Refusal) {
	req, err := x.targetRequest(ctx, body)
	if err != nil {
		x.end(admission.Cancelled)
		return nil, outcome.NotRun(outcome.BadRequest, 0, "%v", err)
	}
	resp, err := x.gate.o.Transport.RoundTrip(req)
	if err == nil {
		refusal := x.targetRefusal(resp)
		if refusal == nil {
			return resp, nil
		}
		_, _ = io.CopyN(io.Discard, resp.Body, maxRefusalBody)
		_ = resp.Body.Close()
		x.end(admission.Rejected)
		return nil, refusal
	}
	refusal := transportRefusal(ctx, err)
	x.end(resultOf(refusal))
	return nil, refusal
}

// maxRefusalBody is how much of a target's refusal is read to keep the connection, in bytes.
const maxRefusalBody = 64 << 10

// targetRefusal returns the refusal of a target that says that it did not run the request.
func (x *execution) targetRefusal(resp *http.Response) *outcome.Refusal {
	names := x.gate.o.Names
	notRun := names.NotRun != "" && resp.Header.Get(names.NotRun) != ""
	misdirected := names.Target != "" && resp.StatusCode == http.StatusMisdirectedRequest
	if !notRun && !misdirected {
		return nil
	}
	r := outcome.NotRun(outcome.Overloaded, targetRetryAfter, "the target refused with status %d", resp.StatusCode)
	if misdirected {
		r = outcome.NotRun(outcome.TargetLeaving, 0, "another target has the address")
	}
	r.Reached = true
	return r
}

// targetRetryAfter is when a target that refused for overload may have room again.
const targetRetryAfter = 250 * time.Millisecond

// resultOf tells admission what a failed exchange says about the target.
func resultOf(r *outcome.Refusal) admission.Kind {
	switch r.Code {
	case outcome.DeadlineExceeded:
		return admission.TimedOut
	case outcome.Cancelled:
		return admission.Cancelled
	default:
		return admission.Failure
	}
}

// resultOfStatus tells admission what a target's status says about it.
func resultOfStatus(status int) admission.Kind {
	switch {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return admission.Rejected
	case status >= http.StatusInternalServerError:
		return admission.Failure
	default:
		return admission.Success
	}
}

// answerHeader returns the answer header for a target's response.
func (x *execution) answerHeader(resp *http.Response) *apiv1.AnswerHeader {
	load := x.gate.load(x.entry, x.header)
	load.Cutoff = admission.LowerCutoff(load.Cutoff, x.running.Cutoff())
	return &apiv1.AnswerHeader{
		Key:           x.header.GetKey(),
		Status:        uint32(resp.StatusCode),
		Headers:       x.gate.o.Names.Response(resp.Header),
		ContentLength: resp.ContentLength,
		Load:          load,
		PassedOn:      resp.StatusCode >= http.StatusInternalServerError && x.running.Refused(),
	}
}

// runBound runs an idempotent call for as long as its caller waits.
func (g *Gate) runBound(ctx context.Context, e *entry, h *apiv1.CallHeader, body io.Reader) *Answer {
	ctx, cancel := g.deadlineContext(ctx, h)
	permit, refusal := g.admit(ctx, e, h)
	if refusal != nil {
		cancel()
		return refuse(h, refusal, g.load(e, h))
	}
	x := g.begin(ctx, cancel, e, h, permit)
	resp, refusal := x.exchange(ctx, body)
	if refusal != nil {
		answer := refuse(h, refusal, g.load(e, h))
		answer.AllowanceLeft = func() (int, bool) { return x.left, true }
		return answer
	}
	b := &boundBody{execution: x, body: resp.Body, kind: resultOfStatus(resp.StatusCode)}
	return &Answer{Header: x.answerHeader(resp), Body: b, AllowanceLeft: b.allowanceLeft}
}

// boundBody releases the execution when the body has ended or is closed.
type boundBody struct {
	execution *execution
	body      io.ReadCloser
	kind      admission.Kind
	ended     bool
}

// Read reads from the target's answer.
func (b *boundBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	switch {
	case err == io.EOF:
		b.ended = true
		b.execution.end(b.kind)
	case err != nil:
		b.execution.end(admission.Failure)
	}
	return n, err
}

// Close ends the exchange; an answer that is not read to its end counts as cancelled.
func (b *boundBody) Close() error {
	err := b.body.Close()
	b.execution.end(admission.Cancelled)
	return err
}

func (b *boundBody) allowanceLeft() (int, bool) {
	return b.execution.left, b.ended
}

// runRecorded runs a non-idempotent call under its record.
func (g *Gate) runRecorded(ctx context.Context, e *entry, h *apiv1.CallHeader, body io.Reader) *Answer {
	key := calltable.KeyOf(h.GetKey())
	queueCtx, cancelQueued := g.deadlineContext(ctx, h)
	call, result := g.calls.Begin(key, cancelQueued)
	switch result {
	case calltable.Fenced:
		cancelQueued()
		return refuse(h, outcome.NotRun(outcome.Cancelled, 0, "the call was fenced"), nil)
	case calltable.Full:
		cancelQueued()
		return refuse(h, outcome.NotRun(outcome.Overloaded, 0, "no room for another call record"), nil)
	case calltable.Duplicate:
		cancelQueued()
		return spooled(ctx, h, call.Spool)
	}
	permit, refusal := g.admit(queueCtx, e, h)
	if refusal != nil {
		cancelQueued()
		g.calls.Refuse(key, call)
		return settle(call, refuse(h, refusal, g.load(e, h)))
	}
	if !g.calls.Start(call) {
		cancelQueued()
		permit.Release(admission.Result{Kind: admission.Cancelled})
		return settle(call, refuse(h, outcome.NotRun(outcome.Cancelled, 0, "the call was fenced"), nil))
	}
	deadline, _ := queueCtx.Deadline()
	cancelQueued()
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	stop := context.AfterFunc(ctx, func() {
		if !errors.Is(context.Cause(ctx), peer.ErrSessionLost) {
			cancel()
		}
	})
	x := g.begin(runCtx, cancel, e, h, permit)
	go func() {
		defer stop()
		x.record(runCtx, call, body)
		g.calls.Finish(key, call)
	}()
	return spooled(ctx, h, call.Spool)
}

// settle publishes the refusal of a call that was never started, for duplicates that wait.
func settle(call *calltable.Call, a *Answer) *Answer {
	left, _ := a.AllowanceLeft()
	call.Spool.SetHeader(a.Header)
	call.Spool.Close(nil, left)
	return a
}

// record runs the exchange and keeps the answer in the spool of the call.
func (x *execution) record(ctx context.Context, call *calltable.Call, body io.Reader) {
	resp, refusal := x.exchange(ctx, body)
	if refusal != nil {
		call.Spool.SetHeader(&apiv1.AnswerHeader{Key: x.header.GetKey(), Refusal: refusal.Message()})
		call.Spool.Close(nil, x.left)
		return
	}
	defer resp.Body.Close()
	call.Spool.SetHeader(x.answerHeader(resp))
	err := copyToSpool(ctx, call.Spool, resp.Body)
	kind := resultOfStatus(resp.StatusCode)
	if err != nil {
		kind = admission.Failure
	}
	x.end(kind)
	call.Spool.Close(err, x.left)
}

// copyToSpool copies a target's answer to its end.
func copyToSpool(ctx context.Context, spool *calltable.Spool, body io.Reader) error {
	return buffer.Copy(body, func(part []byte) error { return spool.Write(ctx, part) })
}

// spooled returns the answer that arrives in a spool.
func spooled(ctx context.Context, h *apiv1.CallHeader, spool *calltable.Spool) *Answer {
	header, err := spool.Header(ctx)
	if err != nil {
		r := &outcome.Refusal{Code: outcome.OutcomeUnknown, Ran: outcome.RanUnknown, Detail: "the caller stopped waiting for the answer"}
		return refuse(h, r, nil)
	}
	// Several readers of one answer send it on at the same time, each under its own header.
	header = proto.CloneOf(header)
	if header.GetRefusal() != nil {
		left := spool.AllowanceLeft()
		return &Answer{Header: header, AllowanceLeft: func() (int, bool) { return left, true }}
	}
	if spool.Dropped() {
		r := &outcome.Refusal{Code: outcome.AnswerTooLarge, Ran: outcome.RanYes, Detail: "the answer is no longer kept"}
		return refuse(h, r, nil)
	}
	reader := spool.Reader(ctx)
	return &Answer{
		Header:        header,
		Body:          reader,
		AllowanceLeft: func() (int, bool) { return spool.AllowanceLeft(), true },
	}
}
