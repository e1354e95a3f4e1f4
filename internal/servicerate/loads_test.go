package servicerate_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavaford/guavaford/internal/admission"
	"github.com/guavaford/guavaford/internal/route"
)

// byScore and byCapacity are the settings of pickers behind the direct entry, without and with learned capacity.
func byScore() route.Config {
	c := route.DefaultConfig()
	c.SlowStart, c.SpillLoad, c.FullSpillRatio, c.SlowRatio, c.ScanAllTargets = 3*time.Second, 0.85, 0.5, 2.5, true
	return c
}

func byCapacity() route.Config {
	c := byScore()
	c.LearnedCapacity, c.SlowRatio = true, 5
	return c
}

// compare plays a load without and with learned capacity.
func compare(t *testing.T, l load) (before, after *result, m *model) {
	t.Helper()
	if testing.Short() {
		l.length /= 3
		l.wavePeriod = l.length
	}
	before = newModel(l, admission.Config{}, byScore()).run()
	t.Logf("by score:    %v", before)
	m = newModel(l, admission.Config{LearnLimit: true}, byCapacity())
	after = m.run()
	t.Logf("by capacity: %v", after)
	return before, after, m
}

// stallLoad has few targets of unequal speed, another of which stalls all the time, and many callers.
func stallLoad() load {
	return load{hosts: 88, dataCentres: 1, slots: 177, speeds: []float64{0.7, 0.7, 0.7, 0.7, 1.6, 1.6}, work: 71 * time.Millisecond, spread: 0.3,
		perSecond: 9400, knee: 0.95, kneeFactor: 1.3, stalled: 1, stallFactor: 2.5, stallFor: 600 * time.Millisecond, length: 21600 * time.Millisecond, seed: 1}
}

// waveLoad has targets of unequal speed in four data centres, and demand that shifts between these.
func waveLoad() load {
	l := load{hosts: 84, dataCentres: 4, slots: 23, work: 22 * time.Millisecond, spread: 0.3, perSecond: 9400, wave: 0.55, wavePeriod: 10 * time.Second,
		knee: 0.95, kneeFactor: 1.3, length: 20 * time.Second, seed: 1}
	for i := range 17 {
		l.speeds = append(l.speeds, 0.5+float64((i*5)%17)/16)
	}
	return l
}

// limits returns the learned limits of all targets.
func (m *model) limits() []int {
	var limits []int
	for _, t := range m.targets {
		limits = append(limits, t.gate.LoadForRoute(m.now, "", "r").LearnedLimit)
	}
	return limits
}

// TestFewTargetsThatStall guards against herding, against queues at a target that has just stalled, and against a stall
// that is taken for a knee. The bounds are those of the requirements.
func TestFewTargetsThatStall(t *testing.T) {
	for seed := range uint64(3) {
		if seed > 0 && testing.Short() {
			return
		}
		l := stallLoad()
		l.seed = seed + 1
		_, r, m := compare(t, l)
		require.Zero(t, r.refused)
		require.Less(t, float64(r.late), 0.01*float64(r.calls))
		_, largest := r.spread()
		require.Less(t, largest, 0.15)
		require.Less(t, r.deviation, 0.15, "also in each second")
		for _, limit := range m.limits() {
			require.Equal(t, 168, limit)
		}
	}
}

// TestDemandShiftsBetweenDataCentres guards against requests that are refused in one data centre while others have
// room, and against calls that leave without need or swing between data centres.
func TestDemandShiftsBetweenDataCentres(t *testing.T) {
	for _, stalled := range []int{0, 3} {
		l := waveLoad()
		l.stalled, l.stallFactor, l.stallFor = stalled, 2.5, 600*time.Millisecond
		before, r, _ := compare(t, l)
		require.Zero(t, r.refused)
		require.Less(t, float64(r.late), 0.01*float64(r.calls))
		_, largest := r.spread()
		require.Less(t, largest, 0.15)
		require.Less(t, r.crossSwing, 0.05)
		require.LessOrEqual(t, r.quantile(0.99), before.quantile(0.99))
	}
}

// TestEqualSteadyTargets guards against harm where nothing is to be learned: drawing by shares must not make the load
// less even, nor requests slower, nor send any to other data centres.
func TestEqualSteadyTargets(t *testing.T) {
	l := stallLoad()
	l.stalled, l.speeds = 0, []float64{1, 1, 1, 1, 1, 1}
	before, r, m := compare(t, l)
	require.Zero(t, r.refused+r.late+r.moved)
	require.LessOrEqual(t, r.quantile(0.99), before.quantile(0.99)+time.Millisecond)
	require.LessOrEqual(t, r.deviation, before.deviation+0.01)
	require.NotContains(t, m.limits(), 167)

	l = waveLoad()
	l.wave, l.speeds = 0, []float64{1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1}
	before, r, _ = compare(t, l)
	require.Zero(t, r.refused+r.late)
	require.LessOrEqual(t, r.crossed, before.crossed)
	require.LessOrEqual(t, r.quantile(0.99), before.quantile(0.99)+time.Millisecond)
}

// TestRouteWithFewCalls guards against calls of a rare and long route that all go to targets of which its time isn't
// known, or to stalled ones: each host makes one such call in three seconds to each target.
func TestRouteWithFewCalls(t *testing.T) {
	l := stallLoad()
	l.longShare, l.perSecond = 0.02, 7800
	before, r, _ := compare(t, l)
	require.Zero(t, r.refused)
	require.LessOrEqual(t, r.late, before.late)
	_, largest := r.spread()
	require.Less(t, largest, 0.15)
	require.Less(t, r.deviation, 0.15)
}

// TestKneeBelowTheFixedLimit guards against targets that are driven above their knee by a wave of demand and stay
// there: with more than 0.7 of the slots in use work takes 1.6 times as long, so they finish less than below.
func TestKneeBelowTheFixedLimit(t *testing.T) {
	l := stallLoad()
	l.speeds, l.knee, l.kneeFactor, l.perSecond, l.stalled = []float64{1, 1, 1, 1, 1, 1}, 0.7, 1.6, 8200, 0
	l.wave, l.wavePeriod = 0.25, 10*time.Second
	before, r, m := compare(t, l)
	require.Greater(t, before.refused, 100, "the load must overcome targets without a learned limit")
	require.Zero(t, r.refused)
	require.Less(t, float64(r.late), 0.01*float64(r.calls))
	for _, limit := range m.limits() {
		require.InDelta(t, 0.7*177, limit, 0.05*177)
	}
}
