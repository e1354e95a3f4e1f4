package shed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// TestFewColdTargetsAreNoOverload guards against an entry that refuses requests of a service because some of its targets are cold, while the
// warm ones have room.
func TestFewColdTargetsAreNoOverload(t *testing.T) {
	now, tracker := time.Unix(1000, 0), NewLoadTracker()
	g := NewShedder(tracker, Options{})
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		for _, name := range []string{"a", "b", "c", "d"} {
			tracker.ObserveTarget(now, "s", name, TargetLoad{Load: 7, ColdLeft: time.Minute})
		}
		tracker.ObserveTarget(now, "s", "e", TargetLoad{Load: 0.8})
		require.True(t, g.Admit(now, Request{ServiceRoute: ServiceRoute{Service: "s"}, Random: 0.99}).Admitted)
	}
	require.False(t, !tracker.ColdUntil(now, "s").IsZero())
}

// TestColdServiceAdmitsWhatItsRatesCarry guards against a service whose targets are all cold and that is flooded, or taken for dead; and
// against shedding that goes on for long once they are warm.
func TestColdServiceAdmitsWhatItsRatesCarry(t *testing.T) {
	const carried, warmCapacity, demand = 200.0, 4000.0, 2000
	now, tracker := time.Unix(1000, 0), NewLoadTracker()
	g := NewShedder(tracker, Options{})
	admitted, cold := 0.0, true
	second := func() {
		admitted = 0
		for range 50 {
			now = now.Add(20 * time.Millisecond)
			here := 0.0
			for i := range demand / 50 {
				if g.Admit(now, Request{ServiceRoute: ServiceRoute{Service: "s"}, Random: (float64(i) + 0.5) / (demand / 50)}).Admitted {
					here++
				}
			}
			admitted += here
			load := TargetLoad{Load: here * 50 / warmCapacity}
			if cold {
				load = TargetLoad{Load: here * 50 / carried, ColdLeft: time.Minute}
			}
			tracker.ObserveTarget(now, "s", "a", load)
		}
	}
	for range 4 {
		second()
	}
	require.True(t, !tracker.ColdUntil(now, "s").IsZero())
	require.InDelta(t, carried, admitted, 0.5*carried)
	cold = false
	second()
	second()
	require.InDelta(t, demand, admitted, 0.03*demand, "all must be admitted in the second second after the targets are warm")
}

// TestColdnessIsPassedOn guards against a node that hears of cold targets from others and takes them for overloaded warm ones.
func TestColdnessIsPassedOn(t *testing.T) {
	now := time.Unix(1000, 0)
	beside, other, caller := NewLoadTracker(), NewLoadTracker(), NewLoadTracker()
	beside.ObserveTarget(now, "s", "a", TargetLoad{Load: 3, ColdLeft: time.Minute})
	require.Equal(t, 1, other.Merge(now, "s", beside.Readings(now, "s")))
	require.True(t, !other.ColdUntil(now, "s").IsZero())
	caller.Learn(now, ServiceRoute{Service: "s"}, "a", beside.Report(now, ServiceRoute{Service: "s"}))
	require.True(t, !caller.ColdUntil(now, "s").IsZero())
	now = now.Add(20 * time.Millisecond)
	beside.ObserveTarget(now, "s", "a", TargetLoad{Load: 0.1})
	caller.Learn(now, ServiceRoute{Service: "s"}, "a", beside.Report(now, ServiceRoute{Service: "s"}))
	load, _, ok := caller.Load(now, "s")
	require.True(t, ok)
	require.False(t, !caller.ColdUntil(now, "s").IsZero())
	require.InDelta(t, 0.1, load, 0.01, "the load from the cold time does not linger")
}

// TestLoadOfAColdTargetIsArrivalsAgainstItsRate guards against a cold target that is taken for idle, since it has finished nothing yet or its slots
// are free, and against its slow requests in the load of the warm target.
func TestLoadOfAColdTargetIsArrivalsAgainstItsRate(t *testing.T) {
	m, now := NewMeter(), time.Unix(1, 0)
	cold := Capacity{PerSecond: 10, Cold: true}
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		m.Arrived(now)
	}
	require.InDelta(t, 5, m.Load(now, cold), 0.5)
	m.Finished(now, 5*time.Second)
	require.Greater(t, m.Load(now, Capacity{Slots: 100}), 1.0)
	m.Warmed()
	m.Finished(now, 50*time.Millisecond)
	require.Less(t, m.Load(now, Capacity{Slots: 100}), 0.05)
}

// TestReadingsWithoutColdTargetsAreTheirMean guards against a change for services without a cold rate.
func TestReadingsWithoutColdTargetsAreTheirMean(t *testing.T) {
	now, r := time.Unix(1000, 0), NewLoadTracker()
	r.Merge(now, "s", []*apiv1.TargetReading{{Target: "a", LoadPermille: 400}, {Target: "b", LoadPermille: 800}})
	load, _, _ := r.Load(now.Add(time.Second), "s")
	require.InDelta(t, 0.6, load, 1e-9)
	require.False(t, !r.ColdUntil(now, "s").IsZero())
}

// TestEntryOpensWithoutReadings guards against an entry that admits hardly anything for a while after the targets of a service are warm: it admits so
// little while they are cold that no reading tells it.
func TestEntryOpensWithoutReadings(t *testing.T) {
	now, tracker := time.Unix(1000, 0), NewLoadTracker()
	g := NewShedder(tracker, Options{})
	request := Request{ServiceRoute: ServiceRoute{Service: "s"}, Random: 0.9}
	end := now.Add(3 * time.Second)
	for now.Before(end) {
		if now.Before(end.Add(-time.Second)) {
			tracker.ObserveTarget(now, "s", "a", TargetLoad{Load: 20, ColdLeft: end.Sub(now)})
		}
		now = now.Add(20 * time.Millisecond)
		g.Admit(now, request)
	}
	require.False(t, g.Admit(now, request).Admitted)
	for range 45 {
		now = now.Add(20 * time.Millisecond)
		g.Admit(now, request)
	}
	require.True(t, g.Admit(now, request).Admitted, "0.9 s after the cold time has ended")
}
