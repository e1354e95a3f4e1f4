package shed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/registry"
)

// learnLoads reports the loads of the targets of a service, as their answers do.
func learnLoads(r *LoadTracker, now time.Time, loads map[string]float64) {
	for target, load := range loads {
		r.LearnAtEntry(now, ServiceRoute{Service: "rooms"}, target, []*apiv1.Pressure{
			{Service: "rooms", LoadPermille: uint32(load * permille), CallsPermille: permille}})
	}
}

// TestDrainedCapacityCountsFromThatMoment guards against an entry that goes on admitting what only the drained targets
// could serve until the others report that they are overloaded, about a second later.
func TestDrainedCapacityCountsFromThatMoment(t *testing.T) {
	r, now := NewLoadTracker(), time.Unix(1000, 0)
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		learnLoads(r, now, map[string]float64{"a": 0.9, "b": 0.6, "c": 0.6})
	}
	before, _, _ := r.Load(now, "rooms")
	require.InDelta(t, 0.7, before, 0.01)
	r.SetDrained(now, "rooms", map[string]bool{"a": true}, 1.5)
	load, _, _ := r.Load(now, "rooms")
	require.InDelta(t, 1.05, load, 0.02, "the whole demand on two thirds of the capacity")
	require.Empty(t, filterReadings(r.Readings(now, "rooms"), "a"), "other nodes are told of a drained target")
	// The readings follow the traffic within meterDecay and readingSmoothing. The sum stays near the true load meanwhile.
	shown, highest, lowest := 0.6, load, load
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		shown += (1.05 - shown) * 0.01 / meterDecay.Seconds()
		learnLoads(r, now, map[string]float64{"a": 3, "b": shown, "c": shown})
		load, _, _ = r.Load(now, "rooms")
		highest, lowest = max(highest, load), min(lowest, load)
	}
	require.InDelta(t, 1.05, load, 0.02)
	require.Less(t, highest, 1.15)
	require.Greater(t, lowest, 0.95)
}

// filterReadings returns the readings of one target.
func filterReadings(readings []*apiv1.TargetReading, target string) []*apiv1.TargetReading {
	var found []*apiv1.TargetReading
	for _, r := range readings {
		if r.GetTarget() == target {
			found = append(found, r)
		}
	}
	return found
}

// TestReturnedCapacityCountsByItsOwnReadings guards against an entry that admits at once for all targets that come back,
// which may be cold, and against one that keeps what they reported while they refused everything.
func TestReturnedCapacityCountsByItsOwnReadings(t *testing.T) {
	r, now := NewLoadTracker(), time.Unix(1000, 0)
	learnLoads(r, now, map[string]float64{"a": 0.5, "b": 0.5})
	r.SetDrained(now, "rooms", map[string]bool{"a": true}, 2)
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		learnLoads(r, now, map[string]float64{"a": 5, "b": 1})
	}
	r.SetDrained(now, "rooms", map[string]bool{}, 1)
	load, _, _ := r.Load(now, "rooms")
	require.InDelta(t, 1, load, 0.05, "capacity that nothing has been heard of counts, or what it reported while it was drained")
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		learnLoads(r, now, map[string]float64{"a": 0.3, "b": 0.7})
	}
	load, _, _ = r.Load(now, "rooms")
	require.InDelta(t, 0.5, load, 0.05)
}

// TestServiceWithoutCapacityHasNoLoad guards against requests that are shed by the readings of drained targets, in place
// of the accurate refusal that there is no target.
func TestServiceWithoutCapacityHasNoLoad(t *testing.T) {
	r, now := NewLoadTracker(), time.Unix(1000, 0)
	learnLoads(r, now, map[string]float64{"a": 3})
	r.SetDrained(now, "rooms", map[string]bool{"a": true}, 0)
	_, _, known := r.Load(now, "rooms")
	require.False(t, known)
}

// TestExpectedLoadIsForwardedOnce guards against a chain that counts the expected load of a service twice: the gate
// beside a target reports what it measured, and only the nodes that call the service add what they expect.
func TestExpectedLoadIsForwardedOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	gate := NewLoadTracker()
	gate.Observe(now, "rooms", "b", 0.6)
	gate.Merge(now, "rooms", []*apiv1.TargetReading{{Target: "a", LoadPermille: 600}})
	gate.SetDrained(now, "rooms", map[string]bool{"a": true}, 2)
	own := gate.Report(now, ServiceRoute{Service: "rooms"})
	require.Len(t, own, 1)
	require.InDelta(t, 600, float64(own[0].GetLoadPermille()), 1)

	middle := NewLoadTracker()
	work, below := ServiceRoute{Service: "halls", Route: "r"}, ServiceRoute{Service: "rooms", Route: "r"}
	middle.RequestStarted(now, work)
	middle.CallStarted(now, work, below)
	middle.Learn(now, below, "a", []*apiv1.Pressure{{Service: "rooms", LoadPermille: 600, CallsPermille: permille}})
	middle.Learn(now, below, "b", []*apiv1.Pressure{{Service: "rooms", LoadPermille: 600, CallsPermille: permille}})
	middle.SetDrained(now, "rooms", map[string]bool{"a": true}, 2)
	for _, p := range middle.Report(now, work) {
		if p.GetService() == "rooms" {
			require.InDelta(t, 1200, float64(p.GetLoadPermille()), 1)
			return
		}
	}
	require.Fail(t, "no report of the service below")
}

// drainZone drains the target of a data centre. If told is set, the nodes account for its capacity.
func (z *zoneSim) drainZone(zone int, told bool) {
	var records []*registry.Target
	for i, t := range z.targets {
		record := *t.record
		if i == zone {
			record.State = apiv1.TargetState_TARGET_STATE_LEAVING
		}
		records = append(records, &record)
		t.record = &record
	}
	drained := map[string]bool{z.targets[zone].record.ID(): true}
	concentration := float64(len(z.targets)) / float64(len(z.targets)-1)
	for _, e := range z.entries {
		e.picker.Update(records)
		if told {
			e.relay.SetDrained(z.now, "s", drained, concentration)
		}
	}
	for _, t := range z.targets {
		if told {
			t.relay.SetDrained(z.now, "s", drained, concentration)
		}
	}
}

// TestEntriesFollowADrainWithinItsFirstSecond guards against entries that go on admitting for a drained data centre: the
// gates of the others refuse the surplus, or keep it in queues. The demand fits three data centres and is a quarter
// above what two can do. The same drain without its capacity being accounted for is the reference.
func TestEntriesFollowADrainWithinItsFirstSecond(t *testing.T) {
	const serviceTime = 60 * time.Millisecond
	capacity := 2 * zoneSlots / serviceTime.Seconds()
	surplus, served := map[bool]float64{}, map[bool]int{}
	for _, told := range []bool{false, true} {
		z := newZoneSim(serviceTime, serviceTime, serviceTime)
		z.run(5*time.Second, 280, 280, 280)
		z.reset()
		z.drainZone(2, told)
		z.run(time.Second, 280, 280, 280)
		admitted := 0
		for _, e := range z.entries {
			admitted += e.admitted
		}
		surplus[told] = float64(admitted) - capacity
		served[told] = z.targets[0].done + z.targets[1].done
		t.Logf("told %v: %d admitted, %.0f more than two data centres do, %d served", told, admitted, surplus[told], served[told])
	}
	require.Less(t, surplus[true], 0.7*surplus[false])
	require.Greater(t, float64(served[true]), 0.95*float64(served[false]), "capacity that is left stays unused")
}
