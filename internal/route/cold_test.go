package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/coldstart"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/registry"
)

// coldClock is the clock of these tests.
type coldClock struct{ now time.Time }

func (c *coldClock) Now() time.Time { return c.now }

// coldReport is the load report of a target that is cold for a time.
func coldReport(left time.Duration) *apiv1.LoadReport {
	return &apiv1.LoadReport{Limit: 2, InFlight: 2, ColdLeftMs: uint32(left.Milliseconds()), ColdPerSecond: 13}
}

func newColdPicker(targets int) (*Picker, *coldClock, []*registry.Target) {
	clock := &coldClock{now: time.Unix(1000, 0)}
	config := DefaultConfig()
	config.SlowRatio, config.ScanAllTargets, config.SpillLoad = 2.5, true, 0.85
	p := NewPicker(config, "dc", clock, 1)
	var list []*registry.Target
	for i := range targets {
		list = append(list, &registry.Target{Name: string(rune('a' + i)), Service: "s", Node: "n", DataCentre: "dc", Slots: 100, Started: clock.now,
			State: apiv1.TargetState_TARGET_STATE_READY, Cold: coldstart.Policy{Duration: 3 * time.Second, PerSecond: 13}})
	}
	p.Update(list)
	return p, clock, list
}

// count makes calls that all end in an outcome at once, one each millisecond, and counts them by target.
func (c *coldClock) count(t *testing.T, p *Picker, n int, end func(target string) Observation) map[string]int {
	counts := map[string]int{}
	for range n {
		c.now = c.now.Add(time.Millisecond)
		choice, refusal := p.Pick(Query{Route: "r"})
		if refusal != nil {
			require.Equal(t, outcome.Overloaded, refusal.Code)
			counts["refused"]++
			continue
		}
		name := choice.Target().Name
		counts[name]++
		choice.Done(end(name))
	}
	return counts
}

// TestColdTargetGetsTheLastOfTheCalls guards against calls to a cold target that the warm ones have room for, as soon as one report has told,
// and against a target that gets none or is still avoided once it is warm.
func TestColdTargetGetsTheLastOfTheCalls(t *testing.T) {
	p, clock, _ := newColdPicker(3)
	until := clock.now.Add(3 * time.Second)
	end := func(name string) Observation {
		if name == "a" && clock.now.Before(until) {
			// The gate refuses what other nodes have left no room for.
			return Observation{Outcome: Refused, Load: coldReport(until.Sub(clock.now))}
		}
		return Observation{Outcome: Success, Latency: 10 * time.Millisecond, Load: &apiv1.LoadReport{Limit: 100, InFlight: 50}}
	}
	counts := clock.count(t, p, 3000, end)
	require.LessOrEqual(t, counts["a"], 10, "%v", counts)
	require.GreaterOrEqual(t, counts["a"], 3, "%v", counts)
	require.Zero(t, counts["refused"])
	clock.now = until
	require.Greater(t, clock.count(t, p, 300, end)["a"], 60, "the remaining time has passed")
}

// TestPaceFollowsTheGate guards against a node that is alone beside a cold target and uses less than its rate.
func TestPaceFollowsTheGate(t *testing.T) {
	p, clock, _ := newColdPicker(2)
	until := clock.now.Add(10 * time.Second)
	counts := clock.count(t, p, 10_000, func(name string) Observation {
		if name == "a" {
			return Observation{Outcome: Success, Latency: time.Second, Load: coldReport(until.Sub(clock.now))}
		}
		return Observation{Outcome: Success, Latency: 10 * time.Millisecond, Load: &apiv1.LoadReport{Limit: 100, InFlight: 50}}
	})
	require.InDelta(t, 130, counts["a"], 40)
}

// TestColdTargetIsNotTakenForSlowOrFailing guards against a target that is avoided after its cold time for what it did meanwhile: it
// answered slowly, timed out, and was new.
func TestColdTargetIsNotTakenForSlowOrFailing(t *testing.T) {
	p, clock, _ := newColdPicker(3)
	until := clock.now.Add(3 * time.Second)
	outcomes := 0
	end := func(name string) Observation {
		if name == "a" && clock.now.Before(until) {
			outcomes++
			return Observation{Outcome: []CallOutcome{Success, TimedOut}[outcomes%2], Latency: 2 * time.Second, Load: coldReport(until.Sub(clock.now))}
		}
		return Observation{Outcome: Success, Latency: 10 * time.Millisecond, Load: &apiv1.LoadReport{Limit: 100, InFlight: 50}}
	}
	clock.count(t, p, 3000, end)
	require.Greater(t, outcomes, 20)
	require.Greater(t, clock.count(t, p, 300, end)["a"], 80)
}

// TestStateInTheRegistryCountsUntilTheTargetIsHeard guards against a new cold target that gets full load until its first report.
func TestStateInTheRegistryCountsUntilTheTargetIsHeard(t *testing.T) {
	p, clock, list := newColdPicker(3)
	warm := func(string) Observation {
		return Observation{Outcome: Success, Latency: 10 * time.Millisecond, Load: &apiv1.LoadReport{Limit: 100, InFlight: 50}}
	}
	clock.count(t, p, 100, warm)
	clock.now = clock.now.Add(2 * time.Second)
	cold := *list[0]
	cold.State, cold.Version = apiv1.TargetState_TARGET_STATE_COLD, 2
	p.Update([]*registry.Target{&cold, list[1], list[2]})
	first := 0
	counts := clock.count(t, p, 200, func(name string) Observation {
		if name == "a" {
			first++
			return Observation{Outcome: Refused}
		}
		return warm(name)
	})
	require.LessOrEqual(t, first, 3, "%v", counts)
	p.Update([]*registry.Target{list[0], list[1], list[2]})
	require.Greater(t, clock.count(t, p, 300, warm)["a"], 60, "the registry lists it as ready")
}

// TestAllTargetsColdAreRefusedUntilOneIsWarm guards against a flood of calls at a service whose targets are all cold, and against a Retry-After
// that is not the time at which the first is warm.
func TestAllTargetsColdAreRefusedUntilOneIsWarm(t *testing.T) {
	p, clock, _ := newColdPicker(2)
	untils := map[string]time.Time{"a": clock.now.Add(2 * time.Second), "b": clock.now.Add(3 * time.Second)}
	end := func(name string) Observation {
		return Observation{Outcome: Refused, Load: coldReport(untils[name].Sub(clock.now))}
	}
	counts := clock.count(t, p, 1000, end)
	require.Less(t, counts["a"]+counts["b"], 30, "%v", counts)
	_, refusal := p.Pick(Query{})
	require.NotNil(t, refusal)
	require.Equal(t, outcome.RanNo, refusal.Ran)
	require.InDelta(t, untils["a"].Sub(clock.now), refusal.RetryAfter, float64(2*time.Millisecond))
	require.InDelta(t, refusal.RetryAfter, p.WarmIn(), 1)
	clock.now = untils["a"]
	require.Zero(t, p.WarmIn())
}

// TestColdTargetThatFailsIsEjected guards against a target that crashes while it is cold, and to which calls go nevertheless.
func TestColdTargetThatFailsIsEjected(t *testing.T) {
	p, clock, _ := newColdPicker(3)
	ejected := 0
	p.config.OnEject = func(*registry.Target, time.Duration) { ejected++ }
	warm := Observation{Outcome: Success, Latency: 10 * time.Millisecond, Load: &apiv1.LoadReport{Limit: 100, InFlight: 50}}
	clock.count(t, p, 10, func(name string) Observation {
		if name == "a" {
			return Observation{Outcome: Success, Load: coldReport(time.Minute)}
		}
		return warm
	})
	clock.count(t, p, 3000, func(name string) Observation {
		if name == "a" {
			return Observation{Outcome: Unreachable}
		}
		return warm
	})
	require.Positive(t, ejected)
}
