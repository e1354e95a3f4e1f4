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
	"github.com/guavaford/guavaford/internal/homeregion"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/peer"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/reqbody"
	"github.com/guavaford/guavaford/internal/retry"
	"github.com/guavaford/guavaford/internal/route"
	"github.com/guavaford/guavaford/internal/telemetry"
)

// errLost is the failure of a connection after the call was sent over it.
var errLost = &peer.CallError{Sent: true, Err: errors.New("lost")}

// fakeSender answers calls, fences and attaches with the functions that a test sets.
type fakeSender struct {
	calls  []*apiv1.CallHeader
	call   func(attempt int) (*gate.Answer, error)
	fence  func() (*apiv1.FenceResponse, error)
	attach func() (*gate.Answer, error)
	// bodies, if set, is given the body of each call.
	bodies func(attempt int, body io.ReadCloser)
	// leave cancels the context of the caller.
	leave context.CancelFunc
	// eject makes the dispatcher eject the target of the last call.
	eject func()
}

func (s *fakeSender) Call(_ context.Context, _ string, h *apiv1.CallHeader, body *reqbody.Lease) (*gate.Answer, error) {
	s.calls = append(s.calls, h)
	if s.bodies != nil {
		s.bodies(len(s.calls), body)
	}
	return s.call(len(s.calls))
}

func (s *fakeSender) Attach(context.Context, string, *apiv1.CallKey) (*gate.Answer, error) {
	return s.attach()
}

func (s *fakeSender) Fence(context.Context, string, *apiv1.FenceRequest) (*apiv1.FenceResponse, error) {
	return s.fence()
}

// anyService is a Directory that accepts every subscription.
type anyService struct{}

func (anyService) Subscribe(string) bool { return true }

// targetIncarnation is the incarnation of the nodes on the hosts of the targets.
const targetIncarnation = 5

// answerOf returns an answer with the given body.
func answerOf(body string) *gate.Answer {
	return &gate.Answer{
		Header:        &apiv1.AnswerHeader{Status: 200, ContentLength: int64(len(body))},
		Body:          io.NopCloser(strings.NewReader(body)),
		AllowanceLeft: func() (int, bool) { return 0, true },
	}
}

// refusalOf returns an answer with a refusal by the node on a target's host.
func refusalOf(r *outcome.Refusal) *gate.Answer {
	return &gate.Answer{
		Header:        &apiv1.AnswerHeader{Refusal: r.Message()},
		AllowanceLeft: func() (int, bool) { return 0, true },
	}
}

// fenced returns a fence function that answers with the given state and incarnation.
func fenced(state apiv1.CallState, incarnation uint64) func() (*apiv1.FenceResponse, error) {
	return func() (*apiv1.FenceResponse, error) {
		return &apiv1.FenceResponse{State: state, Incarnation: incarnation}, nil
	}
}

// send dispatches one request to a service with three targets and returns its result and how long it took.
func send(t *testing.T, s *fakeSender, idempotent bool) (*Result, time.Duration) {
	return sendWith(t, s, func(r *Request) { r.Idempotent = idempotent })
}

// newDispatcher returns a dispatcher that knows three targets of service s and picks among them by the given settings.
func newDispatcher(t *testing.T, s *fakeSender, picks *route.Config) *Dispatcher {
	view := &registry.View{Services: map[string][]*registry.Target{}}
	for _, name := range []string{"a", "b", "c"} {
		view.Services["s"] = append(view.Services["s"], &registry.Target{
			Name: name, Service: "s", Node: "node-" + name, NodeAddress: name, Slots: 4, Incarnation: targetIncarnation,
			DataCentre: "centre-" + name, State: apiv1.TargetState_TARGET_STATE_READY,
		})
	}
	b, err := board.New(blackboard.NewSection(view))
	require.NoError(t, err)
	return New(Options{
		Identity:   peer.Identity{Node: "entry", Incarnation: 1},
		Sender:     s,
		Directory:  anyService{},
		Board:      b,
		Clock:      clock.System{},
		Metrics:    telemetry.NewMetrics(),
		Log:        telemetry.Discard(),
		LogLimiter: telemetry.NewLogLimiter(100),
		Route:      picks,
		Regions:    homeregion.Map{"centre-a": "west", "centre-b": "west", "centre-c": "east"},
	})
}

// sendWith is like send for a request that change has modified.
func sendWith(t *testing.T, s *fakeSender, change func(r *Request)) (*Result, time.Duration) {
	var result *Result
	var took time.Duration
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher(t, s, nil)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		s.leave = cancel
		s.eject = func() {
			last := s.calls[len(s.calls)-1].GetTarget()
			for range 20 {
				choice, refusal := d.service("s").picker.Pick(route.Query{Accept: func(t *registry.Target) bool { return t.Name == last }})
				require.Nil(t, refusal)
				choice.Done(route.Observation{Outcome: route.Unreachable})
			}
		}
		start := time.Now()
		r := &Request{
			Origin:  &callctx.Origin{Organisation: "court", Deadline: start.Add(10 * time.Second), Allowance: retry.NewAllowance(3)},
			Service: "s",
			Method:  "POST",
			Path:    "/",
			Body:    BufferedBody(nil),
		}
		change(r)
		result = d.Do(ctx, r)
		took = time.Since(start)
		r.Body.source.Close(nil)
	})
	return result, took
}

// TestFencedAttemptIsRetriedAtAnotherTarget guards against failed calls where the fence proves that the lost attempt
// never runs.
func TestFencedAttemptIsRetriedAtAnotherTarget(t *testing.T) {
	s := &fakeSender{fence: fenced(apiv1.CallState_CALL_STATE_FENCED, targetIncarnation)}
	s.call = func(attempt int) (*gate.Answer, error) {
		if attempt == 1 {
			return nil, errLost
		}
		return answerOf("booked"), nil
	}
	result, _ := send(t, s, false)
	require.Nil(t, result.Refusal())
	require.Equal(t, 2, result.Attempts)
	require.NotEqual(t, s.calls[0].GetTarget(), s.calls[1].GetTarget())
	require.NotEqual(t, s.calls[0].GetKey().GetNumber(), s.calls[1].GetKey().GetNumber())
}

// TestCallsThatReachNoTargetAreNotRun guards against an unknown outcome where nothing was sent: every node on a
// target's host refuses the connection, as after the loss of many. A caller may retry even a non-idempotent request.
func TestCallsThatReachNoTargetAreNotRun(t *testing.T) {
	s := &fakeSender{call: func(int) (*gate.Answer, error) {
		return nil, &peer.CallError{Err: errors.New("connection refused")}
	}}
	result, _ := sendWith(t, s, bounded(2, false))
	refusal := result.Refusal()
	require.Equal(t, outcome.RanNo, refusal.Ran)
	require.Equal(t, http.StatusServiceUnavailable, refusal.Code.Status())
	require.Positive(t, refusal.RetryAfter)
}

// TestCallerCancelsBeforeTheAttemptIsSent guards against a call that is reported as a failure of the target, or as one
// that may have run, when the caller cancels while the connection is being opened.
func TestCallerCancelsBeforeTheAttemptIsSent(t *testing.T) {
	s := &fakeSender{}
	s.call = func(int) (*gate.Answer, error) {
		s.leave()
		return nil, &peer.CallError{Err: context.Canceled}
	}
	result, _ := sendWith(t, s, bounded(2, false))
	require.Equal(t, outcome.Cancelled, result.Refusal().Code)
	require.Equal(t, outcome.RanNo, result.Refusal().Ran)
	require.Len(t, s.calls, 1)
}

// TestStartedAttemptIsFetchedNotRepeated guards against a non-idempotent call that runs twice after its connection is
// lost: the fence shows that it was started, so its answer is fetched.
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
		result, _ := send(t, s, false)
		require.Nil(t, result.Refusal())
		require.Len(t, s.calls, 1, "a call that was started is never sent again")
	}
}

// TestOutcomeIsUnknownWithoutProof guards against another attempt, or a claim that the call did not run, when the
// node on the target's host restarted, has no record of the call or doesn't answer.
func TestOutcomeIsUnknownWithoutProof(t *testing.T) {
	for name, fence := range map[string]func() (*apiv1.FenceResponse, error){
		"restarted": fenced(apiv1.CallState_CALL_STATE_FENCED, targetIncarnation+1),
		"no record": fenced(apiv1.CallState_CALL_STATE_UNSPECIFIED, targetIncarnation),
		"no answer": func() (*apiv1.FenceResponse, error) { return nil, errLost },
	} {
		s := &fakeSender{fence: fence}
		s.call = func(int) (*gate.Answer, error) { return nil, errLost }
		result, took := send(t, s, false)
		refusal := result.Refusal()
		require.Equal(t, outcome.OutcomeUnknown, refusal.Code, name)
		require.Equal(t, outcome.RanUnknown, refusal.Ran, name)
		require.Len(t, s.calls, 1, name)
		require.Less(t, took, resolveTimeout+2*fenceTimeout, name)
	}
}

// TestAllowanceBoundsTheAttempts guards against more attempts than the allowance of 3 when every attempt is refused
// as not run. What the attempts carried counts as spent.
func TestAllowanceBoundsTheAttempts(t *testing.T) {
	s := &fakeSender{}
	s.call = func(int) (*gate.Answer, error) {
		return refusalOf(outcome.NotRun(outcome.QueueFull, 0, "full")), nil
	}
	result, _ := send(t, s, false)
	require.Equal(t, outcome.QueueFull, result.Refusal().Code)
	require.True(t, result.Refusal().Retried, "hops above must not retry the call")
	spent := len(s.calls) - 1
	for _, h := range s.calls {
		spent += int(h.GetAllowance())
	}
	require.LessOrEqual(t, spent, 3)
	require.Greater(t, len(s.calls), 1)
}

// TestRetriedRefusalIsNotRepeated guards against retries at several hops that multiply.
func TestRetriedRefusalIsNotRepeated(t *testing.T) {
	s := &fakeSender{}
	s.call = func(int) (*gate.Answer, error) {
		r := outcome.NotRun(outcome.QueueFull, 0, "full")
		r.Retried = true
		return refusalOf(r), nil
	}
	_, _ = send(t, s, true)
	require.Len(t, s.calls, 1)
}
