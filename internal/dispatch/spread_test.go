package dispatch

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/callctx"
	"github.com/guavaford/guavaford/internal/gate"
	"github.com/guavaford/guavaford/internal/retry"
	"github.com/guavaford/guavaford/internal/route"
	"github.com/guavaford/guavaford/internal/telemetry"
)

// TestCallsThatLeaveTheDataCentreAreCountedAndLogged guards against a spread of demand that operators can't see: targets
// nearby are short, and those elsewhere have room.
func TestCallsThatLeaveTheDataCentreAreCountedAndLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		picks := route.DefaultConfig()
		picks.EvenSpread, picks.SlowStart = true, 0
		s := &fakeSender{}
		d := newDispatcher(t, s, &picks)
		lines := &bytes.Buffer{}
		log, err := telemetry.NewLogger(lines, "info")
		require.NoError(t, err)
		d.o.Log, d.o.DataCentre = log, "centre-a"
		s.call = func(int) (*gate.Answer, error) {
			a := answerOf("booked")
			a.Header.Load = &apiv1.LoadReport{InFlight: 1, Limit: 4}
			if s.calls[len(s.calls)-1].GetTarget() == "a" {
				a.Header.Load.Queued = 5
			}
			return a, nil
		}
		for range 500 {
			time.Sleep(5 * time.Millisecond)
			result := d.Do(t.Context(), &Request{
				Origin:  &callctx.Origin{Deadline: time.Now().Add(10 * time.Second), Allowance: retry.NewAllowance(0)},
				Service: "s", Method: "POST", Path: "/", Body: BufferedBody(nil), MaxTargets: 1, MaxWait: time.Second,
			})
			require.Nil(t, result.Refusal())
		}
		elsewhere := int64(0)
		for _, c := range s.calls {
			if c.GetTarget() != "a" {
				elsewhere++
			}
		}
		require.Greater(t, elsewhere, int64(100))
		require.Equal(t, elsewhere, d.o.Metrics.CrossedAttempts.Load())
		require.Positive(t, d.SpreadShare())
		require.Equal(t, 1, bytes.Count(lines.Bytes(), []byte("calls leave the data centre")), lines.String())
	})
}
