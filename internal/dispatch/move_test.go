package dispatch

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/admission"
	"github.com/guavaford/guavaford/internal/blackboard"
	"github.com/guavaford/guavaford/internal/board"
	"github.com/guavaford/guavaford/internal/callctx"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/gate"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/peer"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/reqbody"
	"github.com/guavaford/guavaford/internal/retry"
	"github.com/guavaford/guavaford/internal/route"
	"github.com/guavaford/guavaford/internal/telemetry"
)

// leaving is the refusal of a request by a target that drains, queued there or not.
var leaving = outcome.NotRun(outcome.TargetLeaving, 100*time.Millisecond, "the target takes no new work")

// TestMoveToAnotherTargetCostsNothing guards against a request that has less of its attempts or repeats left, or that waits, as its target
// drained before it ran there: the last of its attempts and the only target that it may reach are still to come.
func TestMoveToAnotherTargetCostsNothing(t *testing.T) {
	allowed := func(r *Request) { r.Origin.Allowance = retry.NewAllowance(0) }
	for name, change := range map[string]func(r *Request){"bounded by targets": bounded(1, false), "bounded by the allowance": allowed} {
		t.Run(name, func(t *testing.T) {
			s := refuseFirst(2, leaving)
			result, took := sendWith(t, s, change)
			require.Nil(t, result.Refusal())
			require.Equal(t, 1, result.Attempts)
			require.Less(t, took, time.Millisecond)
			require.Len(t, s.calls, 3)
			for i, h := range s.calls {
				require.Equal(t, apiv1.Repeat_REPEAT_NONE, h.GetRepeat())
				require.EqualValues(t, i, h.GetAttempt(), "a gate earns repeats by the first of them only")
			}
		})
	}
}

// TestMoveLeavesTheAttemptsOfARequest guards against moves that use up the attempts which follow a refusal by a target.
func TestMoveLeavesTheAttemptsOfARequest(t *testing.T) {
	s := &fakeSender{}
	s.call = func(attempt int) (*gate.Answer, error) {
		return refusalOf([]*outcome.Refusal{leaving, waitTooLong, leaving}[attempt-1]), nil
	}
	result, _ := sendWith(t, s, func(r *Request) {
		bounded(1, true)(r)
		r.MaxWait = time.Second
	})
	require.Len(t, s.calls, 3, "one more target is tried after a queue that is too long")
	require.Equal(t, outcome.DeadlineTooShort, result.Refusal().Code)
}

// TestRequestIsRefusedInTimeIfAllTargetsDrain guards against a request that waits for its deadline, is reported as one that may have run, or
// names no time for a retry, when no target is left for it.
func TestRequestIsRefusedInTimeIfAllTargetsDrain(t *testing.T) {
	for name, change := range map[string]func(r *Request){"bounded by targets": bounded(1, false), "bounded by the allowance": func(*Request) {}} {
		t.Run(name, func(t *testing.T) {
			s := refuseFirst(9, leaving)
			result, took := sendWith(t, s, change)
			require.Len(t, s.calls, 3)
			require.Equal(t, outcome.NoTarget, result.Refusal().Code)
			require.Equal(t, outcome.RanNo, result.Refusal().Ran)
			require.Equal(t, time.Second, result.Refusal().RetryAfter)
			require.Less(t, took, time.Millisecond)
		})
	}
}

// TestBodyThatWasReadIsNotSentOn guards against another target that gets a part of a body only: the request is refused as not run.
func TestBodyThatWasReadIsNotSentOn(t *testing.T) {
	s := refuseFirst(9, leaving)
	s.bodies = func(_ int, body io.ReadCloser) {
		_, err := io.Copy(io.Discard, body)
		require.NoError(t, err)
		require.NoError(t, body.Close())
	}
	result, _ := sendWith(t, s, func(r *Request) {
		bounded(2, false)(r)
		body, err := NewBody(reqbody.New(1<<20, bytes.NewReader(make([]byte, 1<<20))))
		require.NoError(t, err)
		r.Body = body
	})
	require.Len(t, s.calls, 1)
	require.Equal(t, outcome.TargetLeaving, result.Refusal().Code)
	require.Equal(t, outcome.RanNo, result.Refusal().Ran)
	require.Positive(t, result.Refusal().RetryAfter)
}

// TestRefusalByTheTargetItselfIsNoMove guards against a target that was reached and isn't counted as such.
func TestRefusalByTheTargetItselfIsNoMove(t *testing.T) {
	reached := *leaving
	reached.Reached = true
	s := refuseFirst(9, &reached)
	result, _ := sendWith(t, s, bounded(1, true))
	require.Len(t, s.calls, 1)
	require.Equal(t, outcome.TargetLeaving, result.Refusal().Code)
}

// TestSuspectMovesFromItsTrialTarget guards against a suspect that has no target left as the one named for its trial drains.
func TestSuspectMovesFromItsTrialTarget(t *testing.T) {
	s := &fakeSender{}
	s.call = func(attempt int) (*gate.Answer, error) {
		switch attempt {
		case 1:
			r := outcome.NotRun(outcome.Suspected, 0, "elsewhere")
			for _, name := range []string{"a", "b"} {
				if s.calls[0].GetTarget() != name {
					r.TrialTarget = "node-" + name + "/" + name
				}
			}
			return refusalOf(r), nil
		case 2:
			return refusalOf(leaving), nil
		}
		return answerOf("done"), nil
	}
	result, _ := sendWith(t, s, bounded(2, true))
	require.Nil(t, result.Refusal())
	require.Len(t, s.calls, 3)
}

// anyKey allows every key.
type anyKey struct{}

func (anyKey) CheckKeyNumber(uint64) *outcome.Refusal { return nil }

// oneSlot gives every target one slot.
type oneSlot struct{}

func (oneSlot) Admission(*registry.Target) admission.Config { return admission.Config{Slots: 1} }
func (oneSlot) Draining(*registry.Target) bool              { return false }

// pair is a node with two targets: a holds the one request that it runs until the test ends, and b answers at once.
type pair struct {
	gate       *gate.Gate
	dispatcher *Dispatcher
	metrics    *telemetry.Metrics
	lines      *bytes.Buffer
	a, b       *registry.Target
}

// newPair returns a pair and the answer of a call that is queued at a, with all of its time as the longest wait.
func newPair(t *testing.T, idempotent bool) (*pair, <-chan string) {
	release, held := make(chan struct{}), make(chan struct{}, 9)
	slow := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		held <- struct{}{}
		<-release
	}))
	t.Cleanup(slow.Close)
	t.Cleanup(func() { close(release) })
	quick := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }))
	t.Cleanup(quick.Close)
	target := func(name string, s *httptest.Server) *registry.Target {
		return &registry.Target{Name: name, Service: "s", Node: "n", Address: s.Listener.Addr().String(), Slots: 1, State: apiv1.TargetState_TARGET_STATE_READY}
	}
	p := &pair{metrics: telemetry.NewMetrics(), lines: &bytes.Buffer{}, a: target("a", slow), b: target("b", quick)}
	log, err := telemetry.NewLogger(p.lines, "info")
	require.NoError(t, err)
	p.gate = gate.New(gate.Options{KeyChecker: anyKey{}, Policies: oneSlot{}, Handles: callctx.NewHandles(), Clock: clock.System{}, Metrics: p.metrics,
		Log: telemetry.Discard(), Transport: &http.Transport{}})
	p.gate.SetTargets([]*registry.Target{p.a, p.b})
	only := &registry.View{Services: map[string][]*registry.Target{"s": {p.a}}}
	b, err := board.New(blackboard.NewSection(only))
	require.NoError(t, err)
	p.dispatcher = New(Options{Identity: peer.Identity{Node: "n", Incarnation: 1}, Gate: p.gate, Directory: anyService{}, Board: b, Clock: clock.System{},
		Metrics: p.metrics, Log: log, LogLimiter: telemetry.NewLogLimiter(100)})
	go p.call(t, 0, true)
	<-held
	done := make(chan string, 1)
	go func() { done <- p.call(t, 1, idempotent) }()
	require.Eventually(t, func() bool { return p.gate.Loads()[0].Load.Queued+p.gate.Loads()[1].Load.Queued == 1 }, 5*time.Second, time.Millisecond)
	p.dispatcher.update(&registry.View{Services: map[string][]*registry.Target{"s": {p.a, p.b}}}, b.Configuration.Load().Snapshot)
	return p, done
}

// call makes a call and returns the body of its answer, or its refusal.
func (p *pair) call(t *testing.T, depth int, idempotent bool) string {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	result := p.dispatcher.Do(ctx, &Request{
		Origin:  &callctx.Origin{RequestID: "the-call", Depth: depth, Deadline: time.Now().Add(10 * time.Second), Allowance: retry.NewAllowance(0)},
		Service: "s", Method: http.MethodPost, Path: "/", MaxTargets: 1, MaxWait: 10 * time.Second, Idempotent: idempotent, Body: BufferedBody([]byte("body")),
	})
	if r := result.Refusal(); r != nil {
		return r.Error()
	}
	data, err := io.ReadAll(result.Body)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// requireMoved waits shortly for the answer of the call that was queued at a, which must be that of b, without another attempt or a repeat.
func (p *pair) requireMoved(t *testing.T, done <-chan string) {
	t.Helper()
	select {
	case text := <-done:
		require.Equal(t, "body", text)
	case <-time.After(2 * time.Second):
		require.Fail(t, "the call waits for the target that takes no new work")
	}
	require.Contains(t, p.lines.String(), `msg="request moves to another target" request=the-call service=s target=a moves=1 attempts=0 counted=false`)
	require.EqualValues(t, 1, p.metrics.MovedAttempts.Load())
	require.Zero(t, p.metrics.ExtraAttempts.Load())
}

// TestCallQueuedAtATargetThatDrainsRunsAtAnother guards against a call of a target, which may queue for all the time that it has left, that
// runs at a target long after that has begun to drain, while another has a free slot.
func TestCallQueuedAtATargetThatDrainsRunsAtAnother(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		p, done := newPair(t, idempotent)
		draining := *p.a
		draining.State = apiv1.TargetState_TARGET_STATE_LEAVING
		p.gate.SetTargets([]*registry.Target{&draining, p.b})
		p.requireMoved(t, done)
	}
}

// TestCallQueuedAtAnEjectedTargetRunsAtAnother guards against a call that waits for a target which its node passes over after failures.
func TestCallQueuedAtAnEjectedTargetRunsAtAnother(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		p, done := newPair(t, idempotent)
		for range 20 {
			choice, refusal := p.dispatcher.service("s").picker.Pick(route.Query{Accept: func(t *registry.Target) bool { return t.Name == "a" }})
			require.Nil(t, refusal)
			choice.Done(route.Observation{Outcome: route.Unreachable})
		}
		p.requireMoved(t, done)
		require.Contains(t, p.lines.String(), `msg="target ejected"`)
	}
}

// TestEjectionOfATargetOfAnotherNodeWithdrawsWhatIsQueued guards against requests that wait at another node for a target that was ejected,
// and against a withdrawal that ends a request which that node has sent already.
func TestEjectionOfATargetOfAnotherNodeWithdrawsWhatIsQueued(t *testing.T) {
	for _, started := range []bool{false, true} {
		withdrawn := make(chan struct{})
		s := &fakeSender{}
		s.fence = func() (*apiv1.FenceResponse, error) { close(withdrawn); return &apiv1.FenceResponse{}, nil }
		s.call = func(attempt int) (*gate.Answer, error) {
			if attempt == 1 {
				s.eject()
				<-withdrawn
				if !started {
					return refusalOf(outcome.NotRun(outcome.Cancelled, 0, "the call was fenced")), nil
				}
			}
			return answerOf("done"), nil
		}
		result, _ := sendWith(t, s, bounded(1, false))
		require.Nil(t, result.Refusal())
		require.Equal(t, 1, result.Attempts)
		require.Len(t, s.calls, map[bool]int{false: 2, true: 1}[started])
	}
}
