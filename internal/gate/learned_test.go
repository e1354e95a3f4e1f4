package gate

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavaford/guavaford/internal/admission"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/shed"
)

// learningPolicy is that of targets behind a direct entry.
type learningPolicy struct{ fixedPolicy }

func (p learningPolicy) Admission(*registry.Target) admission.Config {
	return admission.Config{Slots: p.slots, FixedLimit: true, NoShedding: true, LearnLimit: true}
}

// TestAnswersTellTheExpectedTimeOfTheirRoute guards against callers that hear nothing of a target's speed, or that of
// another route, and against what was learned being lost when the configuration is applied again.
func TestAnswersTellTheExpectedTimeOfTheirRoute(t *testing.T) {
	target := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			time.Sleep(60 * time.Millisecond)
		}
	}))
	defer target.Close()
	address := strings.TrimPrefix(target.URL, "http://")
	f := newFixture(t, address, 10)
	f.gate.opts.Policies = learningPolicy{fixedPolicy{10}}
	targets := []*registry.Target{{Name: "t1", Service: "s", Node: "n", Address: address, Slots: 10}}
	f.gate.SetTargets(targets)
	expected := func(path string) time.Duration {
		h := header(true)
		h.Path, h.Route = path, path
		answer := f.gate.Do(t.Context(), h, nil)
		read(t, answer)
		return time.Duration(answer.Header.GetLoad().GetExpectedTimeNs())
	}
	require.Zero(t, expected("/slow"), "the report is made before the first request has ended")
	expected("/quick")
	f.gate.SetTargets(targets)
	require.Greater(t, expected("/slow"), 30*time.Millisecond)
	require.Less(t, expected("/quick"), expected("/slow"))
}

// TestMovedCallsAreNotLoad guards against load that counts a call both here and at the target to which it goes from the
// queue: entries would refuse requests although the service has room.
func TestMovedCallsAreNotLoad(t *testing.T) {
	loads := map[bool]float64{}
	for _, moves := range []bool{false, true} {
		release := make(chan struct{})
		target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
		f := newFixture(t, strings.TrimPrefix(target.URL, "http://"), 1)
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = f.gate.Do(t.Context(), header(true), nil).Body.Close()
		}()
		require.Eventually(t, func() bool { return f.gate.Loads()[0].Load.InFlight == 1 }, time.Second, time.Millisecond)
		for range 40 {
			h := header(true)
			h.MayMove, h.MaxWaitNs = moves, int64(10*time.Millisecond)
			refusal := f.gate.Do(t.Context(), h, nil).Refusal()
			require.NotNil(t, refusal)
			require.Contains(t, []outcome.Code{outcome.QueueFull, outcome.DeadlineTooShort}, refusal.Code)
		}
		close(release)
		<-done
		e, ok := f.gate.find("t1")
		require.True(t, ok)
		loads[moves] = e.meter.Read(time.Now(), shed.Capacity{Slots: 1}).ArrivalsPerSecond
		target.Close()
	}
	require.Greater(t, loads[false], 20.0)
	require.Less(t, loads[true], 5.0)
}
