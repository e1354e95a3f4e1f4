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
	"github.com/guavaford/guavaford/internal/quarantine"
	"github.com/guavaford/guavaford/internal/reqbody"
	"github.com/guavaford/guavaford/internal/upstream"
)

// execution is one admitted call that runs at a target.
type execution struct {
	gate    *Gate
	entry   *targetEntry
	header  *apiv1.CallHeader
	permit  admission.Permit
	running *callctx.RunningCall
	// fingerprint identifies requests that are the same as this one; trial is nil unless it is a suspect.
	fingerprint quarantine.Fingerprint
	trial       *quarantine.Trial
	// suspect is what is known of the request, if its target crashed while it was in flight.
	suspect *apiv1.QuarantineRecord
	// handle identifies the call in requests of its target; empty if targets get no handle.
	handle callctx.Handle
	cancel context.CancelFunc
	// arrived is when the call reached the gate, started when it was sent to the target.
	arrived time.Time
	started time.Time
	// sending says whether the request has been sent to the target.
	sending sendState
	once    sync.Once
	// answered is set once the target has answered the request itself.
	answered bool
	// allowanceLeft is the number of extra attempts not used; set by end.
	allowanceLeft int
}

// begin registers an admitted call as running, so that its target can make sub-calls.
func (g *Gate) begin(ctx context.Context, cancel context.CancelFunc, e *targetEntry, h *apiv1.CallHeader, a admitted, arrived time.Time) *execution {
	running := &callctx.RunningCall{Origin: g.origin(ctx, h), Context: ctx}
	g.opts.Metrics.Executions.Add(1)
	if g.opts.LoadTracker != nil {
		g.opts.LoadTracker.RequestStarted(g.opts.Clock.Now(), workOf(h))
	}
	g.opts.CallIndex.Add(running)
	g.opts.Metrics.InFlight.Add(1)
	x := &execution{
		gate:        g,
		entry:       e,
		header:      h,
		permit:      a.permit,
		fingerprint: a.fingerprint,
		trial:       a.trial,
		running:     running,
		cancel:      cancel,
		arrived:     arrived,
		started:     g.opts.Clock.Now(),
	}
	e.runs.started(x)
	if g.opts.HeaderNames.Handle != "" {
		x.handle = g.opts.Handles.Add(running)
	}
	return x
}

// end releases all resources of the call. Only the first invocation has an effect.
func (x *execution) end(kind admission.ResultKind) {
	x.once.Do(func() {
		if x.handle != "" {
			x.gate.opts.Handles.Remove(x.handle)
		}
		x.gate.opts.CallIndex.Remove(x.running)
		x.cancel()
		x.allowanceLeft = x.running.Origin.Allowance.Close()
		x.gate.opts.Metrics.InFlight.Add(-1)
		now := x.gate.opts.Clock.Now()
		x.updateMeter(now, kind)
		x.entry.runs.ended(x)
		if x.answered && kind != admission.Cancelled {
			x.completed()
		}
		x.trial.Release()
		x.permit.Release(admission.Result{
			Kind:       kind,
			Downstream: x.running.SubCallTime(now),
			Route:      x.header.GetRoute(),
		})
	})
}

// updateMeter reports the end of the call to the target's meter. A call that the target rejected while it was full is
// not reported, and so counts as offered load in full. Time for which the calls of the request waited for slots is left
// out: it ends once entries admit what the services below can do, and would make this service look overloaded as well.
func (x *execution) updateMeter(now time.Time, kind admission.ResultKind) {
	held := now.Sub(x.started)
	if !x.gate.opts.CountNestedQueueing {
		held = max(held-x.running.QueueTime(), 0)
	}
	switch {
	case kind == admission.Success:
		x.entry.meter.Finished(now, held)
	case kind != admission.Rejected || x.entry.hasSpareCapacity():
		x.entry.meter.Aborted(now, held)
	}
}

// queuedMicroseconds returns the time for which the call and the calls that its target made for it waited for slots.
func (x *execution) queuedMicroseconds() uint64 {
	return microseconds(x.started.Sub(x.arrived) + x.running.QueueTime())
}

// exchange sends the request to the target and waits for the header of its response.
func (x *execution) exchange(ctx context.Context, body *reqbody.Lease) (*http.Response, *outcome.Refusal) {
	req, err := x.targetRequest(ctx, body)
	if err != nil {
		x.end(admission.Cancelled)
		return nil, outcome.NotRun(outcome.BadRequest, 0, "%v", err)
	}
	resp, err := x.roundTrip(req)
	if err == nil {
		if resp.StatusCode != http.StatusMisdirectedRequest {
			// Otherwise another target has the address, and speaks of itself.
			x.observeNotices(resp.Header)
		}
		refusal := x.targetRefusal(resp)
		if refusal == nil {
			x.answered = true
			return resp, nil
		}
		_, _ = io.CopyN(io.Discard, resp.Body, maxRefusalBody)
		_ = resp.Body.Close()
		x.end(admission.Rejected)
		return nil, refusal
	}
	if refusal := x.unsentRefusal(); refusal != nil {
		x.end(admission.Cancelled)
		return nil, refusal
	}
	refusal := transportRefusal(ctx, err)
	if invalid := (*upstream.InvalidAnswerError)(nil); errors.As(err, &invalid) {
		x.observeInvalid(invalid, refusal)
	} else {
		x.suspect = x.observeBreak(ctx, err)
	}
	x.end(refusalResult(refusal))
	return nil, refusal
}

// observeInvalid records an invalid answer and states the reason in the refusal. The target has not crashed.
func (x *execution) observeInvalid(err *upstream.InvalidAnswerError, refusal *outcome.Refusal) {
	if refusal.Code == outcome.TargetFailed {
		refusal.Detail = "the target sent an " + err.Error()
	}
	x.recordInvalid(err)
}

// recordInvalid counts and logs an invalid answer.
func (x *execution) recordInvalid(err *upstream.InvalidAnswerError) {
	x.gate.opts.Metrics.InvalidAnswers.Add(1)
	x.logNotice("invalid answer of the target", "reason", err.Reason)
}

// maxRefusalBody is how many bytes of the body of a target's refusal are read, so that the connection can be reused.
const maxRefusalBody = 64 << 10

// targetRefusal returns a refusal if the response says that the target did not run the request, else nil.
func (x *execution) targetRefusal(resp *http.Response) *outcome.Refusal {
	names := x.gate.opts.HeaderNames
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

// targetRetryAfter is the time after which a target that refused for overload may accept requests again.
const targetRetryAfter = 250 * time.Millisecond

// refusalResult returns the result of a failed exchange for admission.
func refusalResult(r *outcome.Refusal) admission.ResultKind {
	switch r.Code {
	case outcome.DeadlineExceeded:
		return admission.TimedOut
	case outcome.Cancelled:
		return admission.Cancelled
	default:
		return admission.Failure
	}
}

// statusResult returns the result of a response with this status for admission.
func statusResult(status int) admission.ResultKind {
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
	load.Cutoff = admission.StricterCutoff(load.Cutoff, x.running.Cutoff())
	load.QueuedUs = x.queuedMicroseconds()
	return &apiv1.AnswerHeader{
		Key:           x.header.GetKey(),
		Status:        uint32(resp.StatusCode),
		Headers:       x.gate.opts.HeaderNames.ForwardedResponseFields(resp.Header),
		ContentLength: resp.ContentLength,
		Load:          load,
		PassedOn:      resp.StatusCode >= http.StatusInternalServerError && x.running.SubCallRefused(),
	}
}

// runIdempotent runs an idempotent call, and ends it when its caller is gone.
func (g *Gate) runIdempotent(ctx context.Context, e *targetEntry, h *apiv1.CallHeader, body *reqbody.Lease) *Answer {
	ctx, cancel := g.deadlineContext(ctx, h)
	arrived := g.opts.Clock.Now()
	permission, refusal := g.admitIdempotent(ctx, e, h)
	if refusal != nil {
		cancel()
		return refuse(h, refusal, g.loadOfRefused(e, h, arrived))
	}
	x := g.begin(ctx, cancel, e, h, permission, arrived)
	resp, refusal := x.exchange(ctx, body)
	if refusal != nil {
		load := g.load(e, h)
		load.QueuedUs = x.queuedMicroseconds()
		answer := refuse(h, refusal, load)
		x.tellSuspect(answer.Header.Refusal)
		answer.AllowanceLeft = func() (int, bool) { return x.allowanceLeft, true }
		return answer
	}
	b := &releasingBody{execution: x, body: resp.Body, kind: statusResult(resp.StatusCode)}
	return &Answer{Header: x.answerHeader(resp), Body: b, AllowanceLeft: b.allowanceLeft}
}

// releasingBody ends the execution when the body has been read to its end, fails or is closed.
type releasingBody struct {
	execution *execution
	body      io.ReadCloser
	kind      admission.ResultKind
	ended     bool
}

// Read reads from the body of the target's response.
func (b *releasingBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	switch {
	case err == io.EOF:
		b.ended = true
		b.execution.end(b.kind)
	case err != nil:
		b.execution.brokeOff(err)
		b.execution.end(admission.Failure)
	}
	return n, err
}

// brokeOff handles a body that the target did not send to its end.
func (x *execution) brokeOff(err error) {
	x.answered = false
	if invalid := (*upstream.InvalidAnswerError)(nil); errors.As(err, &invalid) {
		x.recordInvalid(invalid)
		return
	}
	x.suspect = x.observeBreak(x.running.Context, err)
}

// Close ends the exchange. A call whose answer was not read to its end counts as cancelled.
func (b *releasingBody) Close() error {
	err := b.body.Close()
	b.execution.end(admission.Cancelled)
	return err
}

func (b *releasingBody) allowanceLeft() (int, bool) {
	return b.execution.allowanceLeft, b.ended
}

// runNonIdempotent runs a non-idempotent call at most once, by its record in the call table. The answer of
// a duplicate is that of the first attempt.
func (g *Gate) runNonIdempotent(ctx context.Context, e *targetEntry, h *apiv1.CallHeader, body *reqbody.Lease) *Answer {
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
		return answerFromBuffer(ctx, h, call.Response, remote(e, h))
	}
	arrived := g.opts.Clock.Now()
	permission, refusal := g.admit(queueCtx, e, h)
	if refusal != nil {
		cancelQueued()
		g.calls.FenceRefused(key, call)
		return publishRefusal(call, refuse(h, refusal, g.loadOfRefused(e, h, arrived)))
	}
	switch started, retryAfter := g.calls.Start(call, h.GetService()+" "+h.GetRoute()); started {
	case calltable.WasFenced:
		cancelQueued()
		permission.abandon(e)
		return publishRefusal(call, refuse(h, outcome.NotRun(outcome.Cancelled, 0, "the call was fenced"), nil))
	case calltable.NoRoom:
		cancelQueued()
		permission.abandon(e)
		g.calls.FenceRefused(key, call)
		return publishRefusal(call, refuse(h, g.noRoom(h, retryAfter), g.load(e, h)))
	}
	deadline, _ := queueCtx.Deadline()
	cancelQueued()
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	stop := context.AfterFunc(ctx, func() {
		if !errors.Is(context.Cause(ctx), peer.ErrSessionLost) {
			cancel()
		}
	})
	x := g.begin(runCtx, cancel, e, h, permission, arrived)
	go func() {
		defer stop()
		x.runToBuffer(runCtx, call, body)
		g.calls.Finish(key, call)
	}()
	return answerFromBuffer(ctx, h, call.Response, remote(e, h))
}

// remote reports whether a call comes from another node than that of its target.
func remote(e *targetEntry, h *apiv1.CallHeader) bool { return h.GetKey().GetNode() != e.target.Node }

// noRoom returns the refusal of a call for whose answer there is no room, and logs it.
func (g *Gate) noRoom(h *apiv1.CallHeader, retryAfter time.Duration) *outcome.Refusal {
	if g.opts.LogLimiter != nil {
		if leftOut, ok := g.opts.LogLimiter.Allow(g.opts.Clock.Now()); ok {
			g.opts.Log.Warn("no room for another kept answer", "request", h.GetRequestId(), "route", h.GetRoute(), "kept_bytes", g.calls.KeptBytes(),
				"retry_after", retryAfter, "left_out", leftOut)
		}
	}
	return outcome.NotRun(outcome.AnswersFull, retryAfter, "the answers kept beside the target leave no room for another")
}

// publishRefusal stores the refusal of a call that was never started in its response buffer, for duplicates that wait.
func publishRefusal(call *calltable.Call, a *Answer) *Answer {
	left, _ := a.AllowanceLeft()
	call.Response.SetHeader(a.Header)
	call.Response.Close(nil, left)
	return a
}

// runToBuffer runs the exchange and writes the answer to the response buffer of the call.
func (x *execution) runToBuffer(ctx context.Context, call *calltable.Call, body *reqbody.Lease) {
	resp, refusal := x.exchange(ctx, body)
	if refusal != nil {
		message := refusal.Message()
		x.tellSuspect(message)
		call.Response.SetHeader(&apiv1.AnswerHeader{Key: x.header.GetKey(), Refusal: message})
		call.Response.Close(nil, x.allowanceLeft)
		return
	}
	defer resp.Body.Close()
	call.Response.SetHeader(x.answerHeader(resp))
	err := copyToBuffer(ctx, call.Response, resp.Body)
	kind := statusResult(resp.StatusCode)
	if err != nil {
		kind = admission.Failure
		x.brokeOff(err)
	}
	x.end(kind)
	call.Response.Close(err, x.allowanceLeft)
}

// copyToBuffer copies the body of a target's response to a response buffer.
func copyToBuffer(ctx context.Context, response *calltable.ResponseBuffer, body io.Reader) error {
	return buffer.Copy(body, func(part []byte) error { return response.Write(ctx, part) })
}

// answerFromBuffer waits for the header of the answer in a response buffer, and returns the answer.
func answerFromBuffer(ctx context.Context, h *apiv1.CallHeader, response *calltable.ResponseBuffer, remote bool) *Answer {
	header, err := response.Header(ctx)
	if err != nil {
		r := &outcome.Refusal{Code: outcome.OutcomeUnknown, Ran: outcome.RanUnknown, Detail: "the caller stopped waiting for the answer"}
		return refuse(h, r, nil)
	}
	// Several readers may forward one answer at the same time, and each changes its own header.
	header = proto.CloneOf(header)
	if header.GetRefusal() != nil {
		left := response.AllowanceLeft()
		return &Answer{Header: header, AllowanceLeft: func() (int, bool) { return left, true }}
	}
	reader, ok := response.Reader(ctx, remote)
	if !ok {
		r := &outcome.Refusal{Code: outcome.AnswerTooLarge, Ran: outcome.RanYes, Detail: "the answer is no longer kept"}
		return refuse(h, r, nil)
	}
	return &Answer{
		Header:        header,
		Body:          keptBody{reader, ctx},
		AllowanceLeft: func() (int, bool) { return response.AllowanceLeft(), true },
	}
}

// keptBody is the body of an answer that is kept.
type keptBody struct {
	*calltable.ResponseReader
	ctx context.Context
}

// Close closes the reader. The answer is not kept for a caller that has cancelled its call, as that doesn't come again.
func (b keptBody) Close() error {
	if errors.Is(context.Cause(b.ctx), peer.ErrCancelled) {
		b.Abandon()
	}
	return b.ResponseReader.Close()
}
