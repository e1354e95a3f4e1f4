package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/blackboard"
	"github.com/guavaford/guavaford/internal/board"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/feature"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/route"
	"github.com/guavaford/guavaford/internal/settings"
)

// routeWithout returns the settings for picking targets behind a direct entry with the named features off.
func routeWithout(t *testing.T, names ...feature.Name) route.Config {
	t.Helper()
	return routeConfigOf(t, settings.Node{DirectAddress: "127.0.0.1:1"}, names...)
}

// routeConfigOf is like routeWithout for a node with other settings.
func routeConfigOf(t *testing.T, s settings.Node, names ...feature.Name) route.Config {
	t.Helper()
	var off []string
	for _, name := range names {
		off = append(off, string(name))
	}
	set, err := feature.Parse(off)
	require.NoError(t, err)
	p := &Process{env: environment{settings: &s, features: set}}
	return *p.routeConfig()
}

// spreading are the settings of a node with a direct entry that spreads demand evenly.
var spreading = settings.Node{DirectAddress: "127.0.0.1:1", SpreadDemand: true}

// TestFeaturesTurnOffTheirPartOfRouting guards against a feature flag that is ignored or changes another setting.
func TestFeaturesTurnOffTheirPartOfRouting(t *testing.T) {
	all := routeWithout(t)
	require.True(t, all.ScanAllTargets)
	require.Positive(t, all.SlowRatio)
	require.Positive(t, all.FullSpillRatio)
	require.Positive(t, all.MaxEjected)
	require.Positive(t, all.SlowStart)
	require.False(t, routeWithout(t, feature.ScanAllTargets).ScanAllTargets)
	require.False(t, all.EvenSpread, "calls are spread only where the settings ask for it")
	require.True(t, routeConfigOf(t, spreading).EvenSpread)
	require.False(t, routeConfigOf(t, spreading, feature.EvenSpread).EvenSpread)
	require.Zero(t, routeWithout(t, feature.SlowTargets).SlowRatio)
	require.Zero(t, routeWithout(t, feature.SpillWhenFull).FullSpillRatio)
	require.Zero(t, routeWithout(t, feature.Ejection).MaxEjected)
	require.Zero(t, routeWithout(t, feature.SlowStart).SlowStart)
}

// nearAndFar returns two targets, each in a data centre of its own.
func nearAndFar() []*registry.Target {
	var targets []*registry.Target
	for _, name := range []string{"near", "far"} {
		targets = append(targets, &registry.Target{Node: name, Name: name, Service: "s", DataCentre: name, Slots: 30, State: apiv1.TargetState_TARGET_STATE_READY})
	}
	return targets
}

// TestCallsStayInTheirDataCentreWhileItHasRoom guards against calls that leave their data centre too early. Even under
// moderate load targets differ in speed, so that some are at three quarters of their limit most of the time; calls
// stay in the data centre until its targets are almost full.
func TestCallsStayInTheirDataCentreWhileItHasRoom(t *testing.T) {
	for inFlight, stays := range map[uint32]bool{10: true, 22: true, 28: false} {
		p := route.NewPicker(routeWithout(t), "near", clock.System{}, 1)
		p.Update(nearAndFar())
		counts := map[string]int{}
		for range 200 {
			choice, refusal := p.Pick(route.Query{})
			require.Nil(t, refusal)
			name := choice.Target().Name
			counts[name]++
			load := map[string]uint32{"near": inFlight, "far": 3}[name]
			choice.Done(route.Observation{Outcome: route.Success, Latency: 10 * time.Millisecond, Load: &apiv1.LoadReport{InFlight: load, Limit: 30}})
		}
		if stays {
			require.Equal(t, 200, counts["near"], "%d of 30 in use", inFlight)
		} else {
			require.Greater(t, counts["far"], 150, "%d of 30 in use", inFlight)
		}
	}
}

// TestOnlyExcessCallsLeaveTheDataCentre guards against calls that leave their data centre too early, or stay although it is short, with
// even spread: the calls that leave are missing in the load of the target nearby.
func TestOnlyExcessCallsLeaveTheDataCentre(t *testing.T) {
	for demand, leaves := range map[float64][2]int{10: {0, 0}, 22: {0, 0}, 26: {0, 0}, 36: {60, 200}, 54: {180, 340}} {
		synctest.Test(t, func(t *testing.T) {
			p := route.NewPicker(routeConfigOf(t, spreading), "near", clock.System{}, 1)
			p.Update(nearAndFar())
			counts := map[string]int{}
			for i := range 3000 {
				time.Sleep(time.Millisecond)
				choice, refusal := p.Pick(route.Query{})
				require.Nil(t, refusal)
				name := choice.Target().Name
				if i >= 2400 {
					counts[name]++
				}
				load := map[string]float64{"near": demand * (1 - p.SpreadShare()), "far": 3}[name]
				choice.Done(route.Observation{Outcome: route.Success, Latency: 10 * time.Millisecond, Load: &apiv1.LoadReport{InFlight: uint32(load), Limit: 30}})
			}
			require.GreaterOrEqual(t, counts["far"], leaves[0], "demand for %v of 30", demand)
			require.LessOrEqual(t, counts["far"], leaves[1], "demand for %v of 30", demand)
		})
	}
}

// TestIsolatedNodeTakesASmallPartOfItsShare guards against more repeats than a service may get while nodes are cut off: the others drop
// them from the registry and divide their shares among themselves.
func TestIsolatedNodeTakesASmallPartOfItsShare(t *testing.T) {
	b, err := board.New(blackboard.NewSection(&registry.View{Services: map[string][]*registry.Target{"s": nearAndFar()}}))
	require.NoError(t, err)
	p := &Process{board: b, env: environment{Dependencies: Dependencies{Clock: clock.System{}}, settings: &settings.Node{AnnouncementTTL: 5 * time.Second}}}
	for silence, counted := range map[time.Duration]int{time.Second: 2, 4 * time.Second: 16} {
		heard := time.Now().Add(-silence)
		b.Freshness.Publish(&board.Freshness{RequestedAt: heard, RespondedAt: heard})
		require.Equal(t, counted, p.countTargets("s"), "after %v without a response", silence)
		require.Zero(t, p.countTargets("unknown"))
	}
}
