package dispatch

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/callctx"
	"github.com/guavaford/guavaford/internal/gate"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/reqbody"
	"github.com/guavaford/guavaford/internal/retry"
	"github.com/guavaford/guavaford/internal/route"
)

// sendLearned sends a request that may wait for a second, after the reports of all targets have said that they have
// room. The gate of its first target refuses it with r if it may be moved, and that of the second with next.
func sendLearned(t *testing.T, r, next *outcome.Refusal, body func() *Body) (*Result, []*apiv1.CallHeader, *Dispatcher) {
	var result *Result
	var d *Dispatcher
	s := &fakeSender{}
	synctest.Test(t, func(t *testing.T) {
		picks := route.DefaultConfig()
		picks.LearnedCapacity = true
		d = newDispatcher(t, s, &picks)
		do := func(body *Body) *Result {
			return d.Do(t.Context(), &Request{
				Origin:  &callctx.Origin{Deadline: time.Now().Add(10 * time.Second), Allowance: retry.NewAllowance(0)},
				Service: "s", Method: "POST", Path: "/", Body: body, MaxTargets: 1, MaxWait: time.Second,
			})
		}
		answer := func() (*gate.Answer, error) {
			a := answerOf("booked")
			a.Header.Load = &apiv1.LoadReport{InFlight: 1, Limit: 4, ExpectedTimeNs: int64(100 * time.Millisecond)}
			return a, nil
		}
		s.call = func(int) (*gate.Answer, error) { return answer() }
		for range 30 {
			require.Nil(t, do(BufferedBody(nil)).Refusal())
		}
		s.calls = nil
		s.call = func(attempt int) (*gate.Answer, error) {
			switch {
			case attempt == 1 && s.calls[0].MayMove:
				time.Sleep(time.Duration(s.calls[0].MaxWaitNs))
				return refusalOf(r), nil
			case attempt == 2 && next != nil:
				return refusalOf(next), nil
			}
			return answer()
		}
		result = do(body())
	})
	return result, s.calls, d
}

// TestCallLeavesTheQueueOfItsTargetWhileOthersHaveRoom guards against calls that queue at a target that has just become
// slow while others have room, and against a move that counts as an attempt or bounds the wait at the second target.
func TestCallLeavesTheQueueOfItsTargetWhileOthersHaveRoom(t *testing.T) {
	for _, r := range []*outcome.Refusal{queueFull, waitTooLong} {
		result, calls, d := sendLearned(t, r, nil, func() *Body { return BufferedBody(nil) })
		require.Nil(t, result.Refusal())
		require.Len(t, calls, 2)
		require.NotEqual(t, calls[0].Target, calls[1].Target)
		require.Equal(t, 25*time.Millisecond, time.Duration(calls[0].MaxWaitNs))
		require.False(t, calls[1].MayMove)
		require.Greater(t, time.Duration(calls[1].MaxWaitNs), 900*time.Millisecond)
		require.Equal(t, apiv1.Repeat_REPEAT_NONE, calls[1].Repeat)
		require.EqualValues(t, 1, d.o.Metrics.MovedCalls.Load())
	}
	result, calls, _ := sendLearned(t, waitTooLong, mayHaveRun, func() *Body { return BufferedBody(nil) })
	require.Equal(t, outcome.RanUnknown, result.Refusal().Ran)
	require.Len(t, calls, 2)
	require.False(t, result.Answer.Header.Refusal.Retried, "only one attempt was made as far as callers are concerned")
}

// TestCallThatCannotBeSentAgainStaysInItsQueue guards against a request that is refused for good after the shortened wait, as
// its body can't be replayed.
func TestCallThatCannotBeSentAgainStaysInItsQueue(t *testing.T) {
	result, calls, _ := sendLearned(t, queueFull, nil, func() *Body {
		body, err := NewBody(reqbody.New(-1, strings.NewReader(strings.Repeat("x", MaxBufferedBody+1))))
		require.NoError(t, err)
		return body
	})
	require.Nil(t, result.Refusal())
	require.Len(t, calls, 1)
	require.False(t, calls[0].MayMove)
	require.Greater(t, time.Duration(calls[0].MaxWaitNs), 900*time.Millisecond)
}
