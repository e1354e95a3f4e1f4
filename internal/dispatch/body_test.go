package dispatch

import (
	"bytes"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavaford/guavaford/internal/gate"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/reqbody"
)

// bookingBody returns a body of 66,000 bytes, a little more than what is buffered.
func bookingBody() []byte {
	data := make([]byte, 66_000)
	for i := range data {
		data[i] = byte(i % 251)
	}
	return data
}

// withBody is bounded for a request with a body of which only the start is buffered.
func withBody(t *testing.T, source io.Reader) func(r *Request) {
	return func(r *Request) {
		bounded(3, false)(r)
		body, err := NewBody(reqbody.New(-1, source))
		require.NoError(t, err)
		r.Body = body
	}
}

// TestRefusedAttemptTakesNoMoreOfTheBody guards against a body with a part missing: the forwarder of an attempt that was
// refused had sent the buffered start, was about to ask for more when the next attempt began, and took what that one lacked.
func TestRefusedAttemptTakesNoMoreOfTheBody(t *testing.T) {
	s := &fakeSender{}
	var second chan struct{}
	var bodies [][]byte
	s.bodies = func(attempt int, body io.ReadCloser) {
		if attempt == 1 {
			second = make(chan struct{})
			_, err := io.ReadFull(body, make([]byte, MaxBufferedBody+1))
			require.NoError(t, err)
			go func() {
				defer body.Close()
				select {
				case <-second:
				case <-time.After(recallTimeout / 2):
				}
				_, _ = body.Read(make([]byte, 32<<10))
			}()
			return
		}
		close(second)
		synctest.Wait()
		got, err := io.ReadAll(body)
		require.NoError(t, err)
		bodies = append(bodies, got)
	}
	s.call = func(attempt int) (*gate.Answer, error) {
		if attempt == 1 {
			return refusalOf(shedAtTarget), nil
		}
		return answerOf("booked"), nil
	}
	result, _ := sendWith(t, s, withBody(t, bytes.NewReader(bookingBody())))
	require.Nil(t, result.Refusal(), "nothing beyond the start was taken, so that the body is sent again")
	require.Len(t, bodies, 1)
	require.True(t, bytes.Equal(bookingBody(), bodies[0]), "%d bytes", len(bodies[0]))
}

// TestRefusalIsNotRunIfTheBodyCannotBeSentAgain guards against an attempt with a part of the body, and against a wrong
// word on whether the request ran: one attempt has taken more than the start, another does not return the body.
func TestRefusalIsNotRunIfTheBodyCannotBeSentAgain(t *testing.T) {
	for name, returned := range map[string]bool{"taken": true, "not returned": false} {
		t.Run(name, func(t *testing.T) {
			s := refuseFirst(1, shedAtTarget)
			s.bodies = func(_ int, body io.ReadCloser) {
				if !returned {
					_, _ = body.Read(make([]byte, 1))
					return
				}
				_, err := io.Copy(io.Discard, body)
				require.NoError(t, err)
				require.NoError(t, body.Close())
			}
			result, took := sendWith(t, s, withBody(t, bytes.NewReader(bookingBody())))
			require.NotNil(t, result.Refusal())
			require.Equal(t, outcome.RanNo, result.Refusal().Ran)
			require.Len(t, s.calls, 1)
			require.LessOrEqual(t, took, recallTimeout, "the refusal does not wait for the forwarder beyond its bound")
		})
	}
}

// TestTrialTargetIsNotSentAPartOfTheBody guards against the same for the attempt at a target that a gate has named.
func TestTrialTargetIsNotSentAPartOfTheBody(t *testing.T) {
	suspected := outcome.NotRun(outcome.Suspected, 0, "kept for a trial")
	suspected.TrialTarget = "node-b/b"
	s := refuseFirst(1, suspected)
	s.bodies = func(_ int, body io.ReadCloser) {
		_, _ = io.Copy(io.Discard, body)
		_ = body.Close()
	}
	result, _ := sendWith(t, s, withBody(t, bytes.NewReader(bookingBody())))
	require.NotNil(t, result.Refusal())
	require.Equal(t, outcome.RanNo, result.Refusal().Ran)
	require.Len(t, s.calls, 1)
}
