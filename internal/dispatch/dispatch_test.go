package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
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

// errLost is the failure of a connection that had carried the call.
var errLost = &peer.CallError{Sent: true, Err: errors.New("lost")}

// fakeSender answers calls, fences and attaches by functions.
type fakeSender struct {
	calls  []*apiv1.CallHeader
	call   func(attempt int) (*gate.Answer, error)
	fence  func() (*apiv1.FenceResponse, error)
	attach func() (*gate.Answer, error)
	// leave makes the caller go.
	leave context.CancelFunc
}

func (s *fakeSender) Call(_ context.Context, _ string, h *apiv1.CallHeader, _ io.Reader) (*gate.Answer, error) {
	s.calls = append(s.calls, h)
	return s.call(len(s.calls))
}

func (s *fakeSender) Attach(context.Context, string, *apiv1.CallKey) (*gate.Answer, error) {
	return s.attach()
}

func (s *fakeSender) Fence(context.Context, string, *apiv1.FenceRequest) (*apiv1.FenceResponse, error) {
	return s.fence()
}

// anyService follows every service.
type anyService struct{}

func (anyService) Want(string) bool { return true }

// targetIncarnation is the incarnation of the nodes beside the test's targets.
const targetIncarnation = 5

// answerOf returns a whole answer.
func answerOf(body string) *gate.Answer {
	return &gate.Answer{
		Header:        &apiv1.AnswerHeader{Status: 200, ContentLength: int64(len(body))},
		Body:          io.NopCloser(strings.NewReader(body)),
		AllowanceLeft: func() (int, bool) { return 0, true },
	}
}

// refusalOf returns the refusal of a node beside a target.
func refusalOf(r *outcome.Refusal) *gate.Answer {
	return &gate.Answer{
		Header:        &apiv1.AnswerHeader{Refusal: r.Message()},
		AllowanceLeft: func() (int, bool) { return 0, true },
	}
}

// fenced returns a function that answers a fence.
func fenced(state apiv1.CallState, incarnation uint64) func() (*apiv1.FenceResponse, error) {
	return func() (*apiv1.FenceResponse, error) {
		return &apiv1.FenceResponse{State: state, Incarnation: incarnation}, nil
	}
}

// book dispatches one request over a service with three targets.
func book(t *testing.T, s *fakeSender, idempotent bool) (*Result, time.Duration) {
	return bookWith(t, s, func(r *Request) { r.Idempotent = idempotent })
}

// bookWith is book for a request that change has set up.
func bookWith(t *testing.T, s *fakeSender, change func(r *Request)) (*Result, time.Duration) {
	var result *Result
	var took time.Duration
	synctest.Test(t, func(t *testing.T) {
		view := &registry.View{Services: map[string][]*registry.Target{}}
		for _, name := range []string{"a", "b", "c"} {
			view.Services["s"] = append(view.Services["s"], &registry.Target{
				Name: name, Service: "s", Node: "node-" + name, NodeAddress: name, Slots: 4, Incarnation: targetIncarnation,
				State: apiv1.TargetState_TARGET_STATE_READY,
			})
		}
		b, err := board.New(blackboard.NewSection(view))
		require.NoError(t, err)
		d := New(Options{
			Identity:  peer.Identity{Node: "entry", Incarnation: 1},
			Sender:    s,
			Directory: anyService{},
			Board:     b,
			Clock:     clock.System{},
			Metrics:   telemetry.NewMetrics(),
			Log:       telemetry.Discard(),
			Lines:     telemetry.NewSampler(100),
		})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		s.leave = cancel
		start := time.Now()
		r := &Request{
			Origin:  &callctx.Origin{Organisation: "court", Deadline: start.Add(10 * time.Second), Allowance: retry.NewAllowance(3)},
			Service: "s",
			Method:  "POST",
			Path:    "/",
			Body:    KeptBody(nil),
		}
		change(r)
		result = d.Do(ctx, r)
		took = time.Since(start)
	})
	return result, took
}

func TestFencedAttemptGoesElsewhere(t *testing.T) {
	s := &fakeSender{fence: fenced(apiv1.CallState_CALL_STATE_FENCED, targetIncarnation)}
	s.call = func(attempt int) (*gate.Answer, error) {
		if attempt == 1 {
			return nil, errLost
		}
		return answerOf("booked"), nil
	}
	result, _ := book(t, s, false)
	require.Nil(t, result.Refusal())
	require.Equal(t, 2, result.Attempts)
	require.NotEqual(t, s.calls[0].GetTarget(), s.calls[1].GetTarget())
	require.NotEqual(t, s.calls[0].GetKey().GetNumber(), s.calls[1].GetKey().GetNumber())
}

// TestTargetsThatCannotBeReachedAreNotRun: every node beside a target refuses the connection, as after a
// loss of many. Nothing was sent, so a caller may send even a booking again.
func TestTargetsThatCannotBeReachedAreNotRun(t *testing.T) {
	s := &fakeSender{call: func(int) (*gate.Answer, error) {
		return nil, &peer.CallError{Err: errors.New("connection refused")}
	}}
	result, _ := bookWith(t, s, bounded(2, false))
	refusal := result.Refusal()
	require.Equal(t, outcome.RanNo, refusal.Ran)
	require.Equal(t, http.StatusServiceUnavailable, refusal.Code.Status())
	require.Positive(t, refusal.RetryAfter)
}

// TestUnsentAttemptOfACallerThatLeft: the caller goes while the connection is opened. That says nothing about the target.
func TestUnsentAttemptOfACallerThatLeft(t *testing.T) {
	s := &fakeSender{}
	s.call = func(int) (*gate.Answer, error) {
		s.leave()
		return nil, &peer.CallError{Err: context.Canceled}
	}
	result, _ := bookWith(t, s, bounded(2, false))
	require.Equal(t, outcome.Cancelled, result.Refusal().Code)
	require.Equal(t, outcome.RanNo, result.Refusal().Ran)
	require.Len(t, s.calls, 1)
}

func TestStartedAttemptIsFetchedNotRepeated(t *testing.T) {
	for _, state := range []apiv1.CallState{apiv1.CallState_CALL_STATE_RUNNING, apiv1.CallState_CALL_STATE_FINISHED} {
		s := &fakeSender{fence: fenced(state, targetIncarnation)}
		s.call = func(int) (*gate.Answer, error) { return nil, errLost }
		tries := 0
		s.attach = func() (*gate.Answer, error) {
			if tries++; tries < 3 {
				return nil, errLost
			}
			return answerOf("booked"), nil
		}
		result, _ := book(t, s, false)
		require.Nil(t, result.Refusal())
		require.Len(t, s.calls, 1, "a call that was started is never sent again")
	}
}

func TestNobodyCanTell(t *testing.T) {
	for name, fence := range map[string]func() (*apiv1.FenceResponse, error){
		"restarted": fenced(apiv1.CallState_CALL_STATE_FENCED, targetIncarnation+1),
		"no record": fenced(apiv1.CallState_CALL_STATE_UNSPECIFIED, targetIncarnation),
		"away":      func() (*apiv1.FenceResponse, error) { return nil, errLost },
	} {
		s := &fakeSender{fence: fence}
		s.call = func(int) (*gate.Answer, error) { return nil, errLost }
		result, took := book(t, s, false)
		refusal := result.Refusal()
		require.Equal(t, outcome.OutcomeUnknown, refusal.Code, name)
		require.Equal(t, outcome.RanUnknown, refusal.Ran, name)
		require.Len(t, s.calls, 1, name)
		require.Less(t, took, unknownAfter+2*fenceTimeout, name)
	}
}

// TestAllowanceBoundsTheAttempts lets every attempt be refused as not run.
func TestAllowanceBoundsTheAttempts(t *testing.T) {
	s := &fakeSender{}
	s.call = func(int) (*gate.Answer, error) {
		return refusalOf(outcome.NotRun(outcome.QueueFull, 0, "full")), nil
	}
	result, _ := book(t, s, false)
	require.Equal(t, outcome.QueueFull, result.Refusal().Code)
	require.True(t, result.Refusal().Retried, "hops above must not repeat it")
	spent := len(s.calls) - 1
	for _, h := range s.calls {
		spent += int(h.GetAllowance())
	}
	require.LessOrEqual(t, spent, 3)
	require.Greater(t, len(s.calls), 1)
}

func TestRetriedRefusalIsNotRepeated(t *testing.T) {
	s := &fakeSender{}
	s.call = func(int) (*gate.Answer, error) {
		r := outcome.NotRun(outcome.QueueFull, 0, "full")
		r.Retried = true
		return refusalOf(r), nil
	}
	_, _ = book(t, s, true)
	require.Len(t, s.calls, 1)
}
