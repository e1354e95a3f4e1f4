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
	"github.com/guavaford/guavaford/internal/retry"
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
	result, _ := sendWith(t, s, func(r *Request) {
		bounded(2, false)(r)
		r.Body = &Body{Length: 1 << 20, restRead: true}
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

// TestCallQueuedAtATargetThatDrainsRunsAtAnother guards against a call of a target, which may queue for all the time that it has left, that
// runs at a target long after that has begun to drain, while another has a free slot.
func TestCallQueuedAtATargetThatDrainsRunsAtAnother(t *testing.T) {
	release, held := make(chan struct{}), make(chan struct{}, 1)
	slow := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		held <- struct{}{}
		<-release
	}))
	defer slow.Close()
	defer close(release)
	quick := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "quick") }))
	defer quick.Close()
	target := func(name string, s *httptest.Server) *registry.Target {
		return &registry.Target{Name: name, Service: "s", Node: "n", Address: s.Listener.Addr().String(), Slots: 1, State: apiv1.TargetState_TARGET_STATE_READY}
	}
	a, b := target("a", slow), target("b", quick)
	lines := &bytes.Buffer{}
	log, err := telemetry.NewLogger(lines, "info")
	require.NoError(t, err)
	metrics := telemetry.NewMetrics()
	g := gate.New(gate.Options{KeyChecker: anyKey{}, Policies: oneSlot{}, Handles: callctx.NewHandles(), Clock: clock.System{}, Metrics: metrics,
		Log: telemetry.Discard(), Transport: &http.Transport{}})
	g.SetTargets([]*registry.Target{a, b})
	view := blackboard.NewSection(&registry.View{Services: map[string][]*registry.Target{"s": {a}}})
	bd, err := board.New(view)
	require.NoError(t, err)
	d := New(Options{Identity: peer.Identity{Node: "n", Incarnation: 1}, Gate: g, Directory: anyService{}, Board: bd, Clock: clock.System{}, Metrics: metrics,
		Log: log, LogLimiter: telemetry.NewLogLimiter(100)})
	call := func(depth int) (*Result, string) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		result := d.Do(ctx, &Request{
			Origin:  &callctx.Origin{RequestID: "the-call", Depth: depth, Deadline: time.Now().Add(10 * time.Second), Allowance: retry.NewAllowance(0)},
			Service: "s", Method: http.MethodPost, Path: "/", MaxTargets: 1, MaxWait: 10 * time.Second, Body: BufferedBody([]byte("body")),
		})
		if result.Refusal() != nil {
			return result, ""
		}
		data, err := io.ReadAll(result.Body)
		require.NoError(t, err)
		return result, string(data)
	}
	go call(0)
	<-held
	done := make(chan string, 1)
	go func() {
		_, text := call(1)
		done <- text
	}()
	require.Eventually(t, func() bool { return g.Loads()[0].Load.Queued+g.Loads()[1].Load.Queued == 1 }, 5*time.Second, time.Millisecond)
	d.update(&registry.View{Services: map[string][]*registry.Target{"s": {a, b}}}, bd.Configuration.Load().Snapshot)
	draining := *a
	draining.State = apiv1.TargetState_TARGET_STATE_LEAVING
	g.SetTargets([]*registry.Target{&draining, b})
	select {
	case text := <-done:
		require.Equal(t, "quick", text)
	case <-time.After(2 * time.Second):
		require.Fail(t, "the call waits for the target that drains")
	}
	require.Contains(t, lines.String(), `msg="request moves to another target" request=the-call service=s target=a moves=1 attempts=0 counted=false`)
	require.EqualValues(t, 1, metrics.MovedAttempts.Load())
	require.Zero(t, metrics.ExtraAttempts.Load())
}
