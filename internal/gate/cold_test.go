package gate

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavaford/guavaford/internal/admission"
	"github.com/guavaford/guavaford/internal/coldstart"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/registry"
)

// coldPolicies give every target a cold rate.
type coldPolicies struct{ fixedPolicy }

func (p coldPolicies) Admission(t *registry.Target) admission.Config {
	c := p.fixedPolicy.Admission(t)
	c.Cold = coldstart.Policy{Duration: 3 * time.Second, PerSecond: 13}
	return c
}

// cooled returns a fixture whose target has a cold rate and started at a time.
func cooled(t *testing.T, started time.Time, fields func(h http.Header)) *fixture {
	f, _ := noticing(t, fields)
	names := noticeNames
	names.ColdMs, names.Target = "Cold-Ms", "Target"
	f.gate.opts.HeaderNames = &names
	f.gate.opts.Policies = coldPolicies{fixedPolicy{10}}
	target := *f.gate.targets["t1"].target
	target.Started = started
	f.gate.SetTargets([]*registry.Target{&target})
	return f
}

// coldLeft returns what the target's load report tells of its cold time.
func (f *fixture) coldLeft() time.Duration {
	e, _ := f.gate.find("t1")
	return time.Duration(f.gate.load(e, header(true)).GetColdLeftMs()) * time.Millisecond
}

// TestTargetWithoutReportIsColdAfterItsStart guards against a target that gets full load right after its start, before its first report, and
// against one that started long ago and gets the cold rate since its node has restarted.
func TestTargetWithoutReportIsColdAfterItsStart(t *testing.T) {
	f := cooled(t, time.Now(), func(http.Header) {})
	require.InDelta(t, 3*time.Second, f.coldLeft(), float64(500*time.Millisecond))
	f = cooled(t, time.Now().Add(-time.Minute), func(http.Header) {})
	require.Zero(t, f.coldLeft())
}

// TestReportsStartAndEndTheColdTimeAtTheGate guards against a gate that misses a report, that keeps a target cold when no report follows, or that takes
// a report of another run for one of this.
func TestReportsStartAndEndTheColdTimeAtTheGate(t *testing.T) {
	started := time.Now().Add(-time.Minute)
	f := cooled(t, started, func(http.Header) {})
	f.gate.ObserveCold("t1", started, coldstart.Reading{Sequence: 2, At: time.Now(), Left: time.Second})
	require.NotZero(t, f.coldLeft())
	require.EqualValues(t, 1, f.metrics.ColdStarts.Load())
	f.gate.ObserveCold("t1", started, coldstart.Reading{Sequence: 1, At: time.Now()})
	require.NotZero(t, f.coldLeft(), "a late report")
	f.gate.ObserveCold("t1", started.Add(time.Second), coldstart.Reading{Sequence: 9, At: time.Now()})
	require.NotZero(t, f.coldLeft(), "another run")
	f.gate.ObserveCold("t1", started, coldstart.Reading{Sequence: 3, At: time.Now()})
	require.Zero(t, f.coldLeft())
	f.gate.ObserveCold("t1", started, coldstart.Reading{Sequence: 4, At: time.Now(), Left: 50 * time.Millisecond})
	require.NotZero(t, f.coldLeft())
	require.Eventually(t, func() bool { return f.coldLeft() == 0 }, 5*time.Second, 5*time.Millisecond, "the remaining time has passed")
}

// TestResponsesTellTheColdTime guards against a field of a response that is not taken over, or is believed though another target sent it, or
// though it is no time.
func TestResponsesTellTheColdTime(t *testing.T) {
	value := "60000"
	started := time.Now().Add(-time.Minute)
	f := cooled(t, started, func(h http.Header) {
		if value != "" {
			h.Set("Cold-Ms", value)
		}
	})
	read(t, f.gate.Do(t.Context(), header(true), nil))
	require.InDelta(t, time.Minute, f.coldLeft(), float64(10*time.Second))
	for _, value = range []string{"", "soon", "-1", "NaN"} {
		e, _ := f.gate.find("t1")
		x := &execution{gate: f.gate, entry: e, header: header(true), started: time.Now()}
		x.observeColdField(value)
		require.NotZero(t, f.coldLeft(), "value %q", value)
	}
	e, _ := f.gate.find("t1")
	x := &execution{gate: f.gate, entry: e, header: header(true), started: time.Now()}
	x.observeColdField("0")
	require.Zero(t, f.coldLeft())
}

// TestColdTargetGetsNoMoreThanItsRate guards against a cold target that gets more than its rate from a gate under a flood, and against
// requests that are refused otherwise than as not run.
func TestColdTargetGetsNoMoreThanItsRate(t *testing.T) {
	var arrived atomic.Int64
	f := cooled(t, time.Now().Add(-time.Minute), func(http.Header) { arrived.Add(1) })
	e, _ := f.gate.find("t1")
	var callers sync.WaitGroup
	flood := func(length time.Duration) {
		for range 8 {
			callers.Go(func() {
				for start := time.Now(); time.Since(start) < length; {
					answer := f.gate.Do(t.Context(), header(true), nil)
					if r := answer.Refusal(); r != nil {
						if r.Ran != outcome.RanNo {
							t.Errorf("refused: %+v", r)
						}
						time.Sleep(time.Millisecond)
						continue
					}
					_ = answer.Body.Close()
				}
			})
		}
	}
	flood(1500 * time.Millisecond)
	time.Sleep(200 * time.Millisecond)
	f.gate.ObserveCold("t1", e.target.Started, coldstart.Reading{Sequence: 1, At: time.Now(), Left: time.Minute})
	// What was on its way to the target arrives at once.
	time.Sleep(20 * time.Millisecond)
	before, cold := arrived.Load(), time.Now()
	callers.Wait()
	got, length := float64(arrived.Load()-before), time.Since(cold).Seconds()
	require.LessOrEqual(t, got, 1.5*13*length+8, "in %.2f s", length)
	require.GreaterOrEqual(t, got, 0.5*13*length, "in %.2f s", length)
}

// TestProbesFindATargetThatBecomesCold guards against a target that gets the load of a warm one until its next report, and against probes
// that count against the rate of a cold target, or reach a target that drains or whose policy has no cold rate.
func TestProbesFindATargetThatBecomesCold(t *testing.T) {
	var cold atomic.Bool
	var probes atomic.Int64
	f := cooled(t, time.Now().Add(-time.Minute), func(h http.Header) {
		probes.Add(1)
		h.Set("Cold-Ms", "0")
		if cold.Load() {
			h.Set("Cold-Ms", "60000")
		}
	})
	go f.gate.ProbeColdTargets(t.Context(), http.DefaultTransport)
	time.Sleep(2 * coldProbeInterval)
	require.Zero(t, probes.Load(), "the policy names no health path")
	e, _ := f.gate.find("t1")
	policy := coldstart.Policy{Duration: 3 * time.Second, PerSecond: 13, HealthPath: "/health"}
	e.setColdPolicy(policy)
	require.Eventually(t, func() bool { return probes.Load() > 1 }, 5*time.Second, 5*time.Millisecond)
	require.Zero(t, f.coldLeft())
	cold.Store(true)
	require.Eventually(t, func() bool { return f.coldLeft() > 0 }, 5*time.Second, 5*time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	before := probes.Load()
	time.Sleep(3 * coldProbeInterval)
	require.Equal(t, before, probes.Load(), "a cold target is not asked")
	e.observeCold(coldstart.Reading{Sequence: 1, At: time.Now()}, "report")
	f.gate.setDraining(e, true)
	time.Sleep(50 * time.Millisecond)
	before = probes.Load()
	time.Sleep(3 * coldProbeInterval)
	require.Equal(t, before, probes.Load(), "a target that drains is not asked")
}
