package gate

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/admission"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/shed"
	"github.com/guavaford/guavaford/internal/telemetry"
)

// manualClock is a clock that a test moves.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

// newRepeatGate returns a gate with a bound on repeats whose service has four targets, its clock, and the entry of the target on
// its host. The gate has heard of the target for a whole window.
func newRepeatGate(loadTracker *shed.LoadTracker) (*Gate, *manualClock, *targetEntry) {
	c := &manualClock{now: time.Unix(1_000_000, 0)}
	g := New(Options{
		Clock:       c,
		Log:         telemetry.Discard(),
		LoadTracker: loadTracker,
		RepeatLimit: RepeatLimit{Ratio: 0.5, Reserve: 10, Window: 10 * time.Second, Targets: func(string) int { return 4 }},
	})
	e := g.newEntry(admission.Config{})
	e.target = &registry.Target{Name: "t", Service: "s"}
	g.admitRepeat(e, repeat(apiv1.Repeat_REPEAT_NONE, 1, 0))
	c.now = c.now.Add(10 * time.Second)
	return g, c, e
}

// repeat returns the header of a call with this kind of repeat.
func repeat(r apiv1.Repeat, depth, attempt int) *apiv1.CallHeader {
	return &apiv1.CallHeader{Repeat: r, Depth: uint32(depth), Attempt: uint32(attempt), Service: "s"}
}

// TestRepeatsFollowTheRequestsOfCallers guards against too many repeats when answers are lost: calls from targets, and
// further attempts of one request, must not raise the number of allowed repeats.
func TestRepeatsFollowTheRequestsOfCallers(t *testing.T) {
	g, clock, e := newRepeatGate(shed.NewLoadTracker())
	allowed := func() int {
		n := 0
		for g.admitRepeat(e, repeat(apiv1.Repeat_REPEAT_REACHED, 1, 1)) == nil {
			n++
		}
		return n
	}
	require.Equal(t, 1, allowed(), "half of a quarter of the reserve, less the share for unknown targets")
	clock.now = clock.now.Add(10*time.Second + time.Millisecond)
	require.Equal(t, 1, allowed(), "time earns the other half within a window")
	for range 100 {
		require.Nil(t, g.admitRepeat(e, repeat(apiv1.Repeat_REPEAT_NONE, 1, 0)))
	}
	require.Zero(t, allowed(), "calls of targets don't count as requests of callers")
	total := 0
	for range 20 {
		require.Nil(t, g.admitRepeat(e, repeat(apiv1.Repeat_REPEAT_NONE, 0, 0)))
		require.Nil(t, g.admitRepeat(e, repeat(apiv1.Repeat_REPEAT_NONE, 0, 1)), "the second attempt of a request that reached no target does not count as a second request")
		total += allowed()
	}
	require.Equal(t, 10, total)
}

// TestRunThatCallsOthersIsNotRepeated guards against repeats that multiply along a call chain: each sub-call of a
// repeated run would be a repeat at the service that it calls.
func TestRunThatCallsOthersIsNotRepeated(t *testing.T) {
	loadTracker := shed.NewLoadTracker()
	g, clock, e := newRepeatGate(loadTracker)
	require.Nil(t, g.admitRepeat(e, repeat(apiv1.Repeat_REPEAT_MAY_HAVE_RUN, 1, 1)))
	clock.now = clock.now.Add(10*time.Second + time.Millisecond)
	loadTracker.CallStarted(clock.now, shed.ServiceRoute{Service: "s"}, shed.ServiceRoute{Service: "below"})
	r := g.admitRepeat(e, repeat(apiv1.Repeat_REPEAT_MAY_HAVE_RUN, 1, 1))
	require.Equal(t, outcome.RepeatRefused, r.Code)
	require.Equal(t, outcome.RanNo, r.Ran)
	require.Nil(t, g.admitRepeat(e, repeat(apiv1.Repeat_REPEAT_REACHED, 1, 1)), "a request that reached a target but did not run has made no sub-calls")
}

// TestRepeatDecisionsAreLogged guards against a repeat that is granted or refused without a line that names the request
// and the state of the window.
func TestRepeatDecisionsAreLogged(t *testing.T) {
	g, _, e := newRepeatGate(shed.NewLoadTracker())
	var lines bytes.Buffer
	var err error
	g.opts.Log, err = telemetry.NewLogger(&lines, "info")
	require.NoError(t, err)
	h := repeat(apiv1.Repeat_REPEAT_REACHED, 1, 1)
	h.RequestId = "r1"
	for range 2 {
		g.admitRepeat(e, h)
	}
	require.Contains(t, lines.String(), `msg="repeat granted" request=r1 service=s target=t tokens=0 capacity=1 targets=4`)
	require.Contains(t, lines.String(), `msg="repeat refused" request=r1 service=s target=t tokens=0 capacity=1 targets=4`)
}
