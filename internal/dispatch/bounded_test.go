package dispatch

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/gate"
	"github.com/guavaford/guavaford/internal/outcome"
)

// bounded returns a change that sets the number of targets that a request may reach.
func bounded(targets int, idempotent bool) func(r *Request) {
	return func(r *Request) { r.MaxTargets, r.Idempotent = targets, idempotent }
}

// Refusals by the nodes on the targets' hosts. queueFull and waitTooLong reached no target.
var (
	queueFull    = outcome.NotRun(outcome.QueueFull, 0, "full")
	shedAtTarget = &outcome.Refusal{Code: outcome.Overloaded, Ran: outcome.RanNo, Reached: true}
	mayHaveRun   = &outcome.Refusal{Code: outcome.TargetFailed, Ran: outcome.RanUnknown}
	waitTooLong  = outcome.NotRun(outcome.DeadlineTooShort, 0, "late")
)

// refuseFirst returns a sender that refuses the first n attempts with r and answers those after them.
func refuseFirst(n int, r *outcome.Refusal) *fakeSender {
	s := &fakeSender{}
	s.call = func(attempt int) (*gate.Answer, error) {
		if attempt <= n {
			return refusalOf(r), nil
		}
		return answerOf("booked"), nil
	}
	return s
}

// TestRefusalOfANodeIsFollowedByAnotherTargetAtOnce guards against refusals by nodes that cause a backoff or count as
// targets reached.
func TestRefusalOfANodeIsFollowedByAnotherTargetAtOnce(t *testing.T) {
	s := refuseFirst(2, queueFull)
	result, took := sendWith(t, s, bounded(1, false))
	require.Nil(t, result.Refusal(), "no target was reached before the third attempt")
	require.Less(t, took, 50*time.Millisecond)
}

// TestMaxTargetsBoundsTheTargetsReached guards against requests that reach more targets than their bound allows.
func TestMaxTargetsBoundsTheTargetsReached(t *testing.T) {
	s := refuseFirst(2, shedAtTarget)
	result, _ := sendWith(t, s, bounded(2, true))
	require.NotNil(t, result.Refusal())
	require.Len(t, s.calls, 2)
}

// TestRequestThatMayHaveRunIsSentAgainOnlyIfIdempotent guards against a non-idempotent request that runs twice.
func TestRequestThatMayHaveRunIsSentAgainOnlyIfIdempotent(t *testing.T) {
	result, _ := sendWith(t, refuseFirst(1, mayHaveRun), bounded(2, true))
	require.Nil(t, result.Refusal())
	s := refuseFirst(1, mayHaveRun)
	result, _ = sendWith(t, s, bounded(2, false))
	require.Equal(t, outcome.RanUnknown, result.Refusal().Ran)
	require.Len(t, s.calls, 1)
}

// TestAnswerThatIsCutShortIsReplacedByAnother guards against bytes of a broken answer at the start of the next one.
func TestAnswerThatIsCutShortIsReplacedByAnother(t *testing.T) {
	s := &fakeSender{}
	s.call = func(attempt int) (*gate.Answer, error) {
		a := answerOf("booked")
		if attempt == 1 {
			a.Body = io.NopCloser(io.MultiReader(io.LimitReader(a.Body, 3), brokenReader{}))
		}
		return a, nil
	}
	result, _ := sendWith(t, s, bounded(2, true))
	require.Nil(t, result.Refusal())
	data, err := io.ReadAll(result.Body)
	require.NoError(t, err)
	require.Equal(t, "booked", string(data), "the body is that of the second answer only")
}

// brokenReader fails like a connection that is cut.
type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestOneMoreTargetIsTriedWhenTheQueueIsTooLong guards against a request that tries target after target although their
// queues are all too long.
func TestOneMoreTargetIsTriedWhenTheQueueIsTooLong(t *testing.T) {
	s := refuseFirst(9, waitTooLong)
	result, _ := sendWith(t, s, func(r *Request) {
		bounded(2, true)(r)
		r.MaxWait = 100 * time.Millisecond
	})
	require.Equal(t, outcome.DeadlineTooShort, result.Refusal().Code)
	require.Len(t, s.calls, 2)
}

// TestMaxWaitBoundsTheTotalWait guards against a request that waits up to MaxWait at one target and then as long
// again at another.
func TestMaxWaitBoundsTheTotalWait(t *testing.T) {
	s := &fakeSender{}
	s.call = func(int) (*gate.Answer, error) {
		time.Sleep(90 * time.Millisecond)
		return refusalOf(waitTooLong), nil
	}
	result, took := sendWith(t, s, func(r *Request) {
		bounded(2, true)(r)
		r.MaxWait = 100 * time.Millisecond
	})
	require.Equal(t, outcome.DeadlineTooShort, result.Refusal().Code)
	require.Len(t, s.calls, 1)
	require.LessOrEqual(t, took, 100*time.Millisecond)
}

// TestRepeatsTellWhetherATargetWasReached guards against repeats that the gates can't recognise and so can't bound.
func TestRepeatsTellWhetherATargetWasReached(t *testing.T) {
	s := &fakeSender{}
	s.call = func(attempt int) (*gate.Answer, error) {
		return refusalOf([]*outcome.Refusal{queueFull, shedAtTarget, mayHaveRun, queueFull}[attempt-1]), nil
	}
	result, _ := sendWith(t, s, bounded(3, true))
	require.Equal(t, outcome.RanUnknown, result.Refusal().Ran, "the request may have run, whatever a later attempt was refused for")
	var repeats []apiv1.Repeat
	for _, h := range s.calls {
		repeats = append(repeats, h.GetRepeat())
	}
	require.Equal(t, []apiv1.Repeat{apiv1.Repeat_REPEAT_NONE, apiv1.Repeat_REPEAT_NONE, apiv1.Repeat_REPEAT_REACHED}, repeats)
}
