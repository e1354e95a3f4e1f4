package gate

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/calltable"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/upstream"
)

// conditionalTransport is a transport that asks right before it sends a request. Requests over other transports count as sent once they
// are passed on.
type conditionalTransport interface {
	// RoundTripIf is like RoundTrip, but calls mayBegin before the first byte of the request is written, perhaps more than once. If that
	// returns false, nothing is written and an error is returned.
	RoundTripIf(r *http.Request, mayBegin func() bool) (*http.Response, error)
}

// sendState says whether the request of an execution has been sent to its target. The zero value means that it has not.
type sendState struct{ value atomic.Int32 }

const (
	unsent int32 = iota
	sent
	// withdrawn requests are never sent.
	withdrawn
	// refusedAsCold requests are never sent, as their target has become cold.
	refusedAsCold
)

// leavingRetryAfter is the RetryAfter of a request that a target did not take as it drains or is gone. The refusal itself tells the node
// that sent the request to choose other targets.
const leavingRetryAfter = 100 * time.Millisecond

func leavingRefusal(detail string) *outcome.Refusal {
	return outcome.NotRun(outcome.TargetLeaving, leavingRetryAfter, "%s", detail)
}

// errWithdrawn is the error of an exchange that was not begun.
var errWithdrawn = errors.New("the target drains, the request is not sent")

// setDraining makes a target refuse all requests that have not been sent to it, or accept requests again unless it has said that it leaves.
func (g *Gate) setDraining(e *targetEntry, draining bool) {
	e.notices.mu.Lock()
	draining = draining || e.notices.leaving
	queued := e.admission.SetDraining(draining)
	e.runs.trials.SetDraining(draining)
	e.notices.mu.Unlock()
	if !draining {
		return
	}
	unsent := e.runs.withdrawUnsent()
	if queued+unsent == 0 {
		return
	}
	g.opts.Metrics.Withdrawn.Add(int64(queued + unsent))
	g.opts.Log.Info("requests leave a target that drains", "target", e.target.Name, "service", e.target.Service, "queued", queued, "unsent", unsent)
}

// waitingCalls holds the idempotent calls that wait for admission, so that the nodes that sent them can withdraw them.
type waitingCalls struct {
	mu    sync.Mutex
	calls map[calltable.Key]context.CancelCauseFunc
}

// add adds a call and returns a context that ends once the call is withdrawn.
func (w *waitingCalls) add(ctx context.Context, k calltable.Key) context.Context {
	ctx, cancel := context.WithCancelCause(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.calls == nil {
		w.calls = make(map[calltable.Key]context.CancelCauseFunc)
	}
	w.calls[k] = cancel
	return ctx
}

// withdraw ends the wait of a call. It returns false if the call does not wait.
func (w *waitingCalls) withdraw(k calltable.Key) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	cancel, ok := w.calls[k]
	if ok {
		cancel(errWithdrawn)
		delete(w.calls, k)
	}
	return ok
}

// remove removes a call that no longer waits. It returns false if the call was withdrawn.
func (w *waitingCalls) remove(k calltable.Key) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	cancel, ok := w.calls[k]
	if ok {
		cancel(nil)
		delete(w.calls, k)
	}
	return ok
}

// admitIdempotent is like admit for an idempotent call, which the node that sent it may withdraw while it waits.
func (g *Gate) admitIdempotent(ctx context.Context, e *targetEntry, h *apiv1.CallHeader) (admitted, *outcome.Refusal) {
	k := calltable.KeyOf(h.GetKey())
	a, refusal := g.admit(g.waiting.add(ctx, k), e, h)
	if g.waiting.remove(k) {
		return a, refusal
	}
	if refusal == nil {
		a.abandon(e)
	}
	return admitted{}, leavingRefusal("the node that sent the request withdrew it while it was queued")
}

// find returns the execution of a call, or nil.
func (s *runState) find(k calltable.Key) *execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	for x := range s.running {
		if calltable.KeyOf(x.header.GetKey()) == k {
			return x
		}
	}
	return nil
}

// withdrawUnsent ends the executions whose requests have not been sent, and returns their number.
func (s *runState) withdrawUnsent() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for x := range s.running {
		if x.withdraw() {
			n++
		}
	}
	return n
}

// withdraw prevents the request from being sent, and ends the wait for a connection. It returns false if the request has been sent.
func (x *execution) withdraw() bool {
	if !x.sending.value.CompareAndSwap(unsent, withdrawn) {
		return false
	}
	x.cancel()
	return true
}

// mayBegin reports whether the request may be sent, and counts it as sent if so. A target that drains gets no more requests, and one that
// has become cold since the call was admitted only those for which its rate has room.
func (x *execution) mayBegin() bool {
	if x.entry.admission.Draining() {
		x.withdraw()
	}
	if x.sending.value.Load() == unsent && !x.permit.Confirm() {
		x.sending.value.CompareAndSwap(unsent, refusedAsCold)
	}
	return x.sending.value.CompareAndSwap(unsent, sent) || x.sending.value.Load() == sent
}

// roundTrip sends the request, unless the target drains or becomes cold before the first byte is written.
func (x *execution) roundTrip(r *http.Request) (*http.Response, error) {
	transport := x.gate.opts.Transport
	var response *http.Response
	var err error
	if conditional, ok := transport.(conditionalTransport); ok {
		response, err = conditional.RoundTripIf(r, x.mayBegin)
	} else if x.mayBegin() {
		response, err = transport.RoundTrip(r)
	} else {
		return nil, errWithdrawn
	}
	if err != nil {
		return nil, err
	}
	if err = upstream.CheckStatus(response.StatusCode); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// unsentRefusal returns the refusal of a request that was admitted but may not be sent any more, or nil.
func (x *execution) unsentRefusal() *outcome.Refusal {
	switch x.sending.value.Load() {
	case withdrawn:
		return leavingRefusal("the target takes no new work, or the request was withdrawn; it was admitted but not sent")
	case refusedAsCold:
		return outcome.NotRun(outcome.QueueFull, 0, "the target has become cold; the request was admitted but not sent")
	default:
		return nil
	}
}
