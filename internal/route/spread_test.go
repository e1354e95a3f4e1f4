package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/registry"
)

// spreadPicker returns a picker with even spread in data centre kl with a clock that the test moves.
func spreadPicker(even bool, targets ...*registry.Target) (*Picker, *manualClock) {
	config := DefaultConfig()
	config.EvenSpread, config.SlowStart, config.SpillLoad, config.FullSpillRatio, config.ScanAllTargets = even, 0, 0.85, 0.5, true
	c := &manualClock{time.Unix(1000, 0)}
	p := NewPicker(config, "kl", c, 1)
	p.Update(targets)
	return p, c
}

// use returns a report of a target with the given share of its limit in use.
func use(share float64) *apiv1.LoadReport {
	return &apiv1.LoadReport{InFlight: uint32(share * 100), Limit: 100}
}

// TestEvenSpreadChangesNothingWithRoom guards against different choices where no target is short.
func TestEvenSpreadChangesNothingWithRoom(t *testing.T) {
	targets := []*registry.Target{target("a", "kl"), target("b", "kl"), target("far", "shah-alam")}
	without, clockWithout := spreadPicker(false, targets...)
	with, clockWith := spreadPicker(true, targets...)
	for i := range 3000 {
		load := float64(i%80) / 100
		var picked [2]string
		for j, p := range []*Picker{without, with} {
			[]*manualClock{clockWithout, clockWith}[j].now = time.Unix(1000, int64(i)*int64(time.Millisecond))
			choice, refusal := p.Pick(Query{Route: "r"})
			require.Nil(t, refusal)
			picked[j] = choice.Target().Node
			choice.Done(Observation{Outcome: Success, Latency: time.Duration(10+i%7) * time.Millisecond, Load: use(load)})
		}
		require.Equal(t, picked[0], picked[1], "call %d", i)
	}
}

// TestOnlyTheExcessLeaves guards against all calls leaving a data centre that is short by a fifth, and against calls that leave without
// need afterwards.
func TestOnlyTheExcessLeaves(t *testing.T) {
	p, c := spreadPicker(true, target("near", "kl"), target("far", "shah-alam"))
	var changes []SpreadChange
	p.config.OnSpread = func(change SpreadChange) { changes = append(changes, change) }
	demand := 1.15
	report := func(node string) *apiv1.LoadReport {
		if node == "far" {
			return use(0.4)
		}
		return use(demand * (1 - p.SpreadShare()))
	}
	reported(t, p, c, 3000, report)
	require.InDelta(t, 220, reported(t, p, c, 1000, report)["far"], 60)
	require.Len(t, changes, 1)
	require.True(t, changes[0].Leaving)
	demand = 0.6
	reported(t, p, c, 2000, report)
	require.Equal(t, 100, reported(t, p, c, 100, report)["near"])
	require.Len(t, changes, 2)
	require.False(t, changes[1].Leaving)
}

// TestCallsThatMayNotLeaveStay guards against calls that reach a data centre outside the home regions of their request, and against a
// refusal of these calls.
func TestCallsThatMayNotLeaveStay(t *testing.T) {
	p, c := spreadPicker(true, target("near", "kl"), target("far", "shah-alam"))
	report := func(string) *apiv1.LoadReport { return use(1.4) }
	reported(t, p, c, 2000, report)
	for range 200 {
		choice, refusal := p.Pick(Query{Accept: func(t *registry.Target) bool { return t.DataCentre == "kl" }})
		require.Nil(t, refusal)
		require.Equal(t, "near", choice.Target().Node)
		choice.Done(Observation{Outcome: Cancelled})
	}
}

// TestNoCallsLeaveForATargetThatIsNotEligible guards against calls to draining, ejected and excluded targets elsewhere.
func TestNoCallsLeaveForATargetThatIsNotEligible(t *testing.T) {
	p, c := spreadPicker(true, target("near", "kl"), target("far", "shah-alam"))
	reported(t, p, c, 2000, func(node string) *apiv1.LoadReport { return use(map[string]float64{"near": 1.3, "far": 0.3}[node]) })
	require.Positive(t, p.SpreadShare())
	for range 100 {
		choice, refusal := p.Pick(Query{Exclude: []string{target("far", "shah-alam").ID()}})
		require.Nil(t, refusal)
		require.Equal(t, "near", choice.Target().Node)
		choice.Done(Observation{Outcome: Cancelled})
	}
}

// benchmarkPick measures the choice of a target and the end of the call, in a service with three targets nearby and
// six elsewhere, at a use of the targets nearby.
func benchmarkPick(b *testing.B, even bool, near float64) {
	targets := []*registry.Target{target("a", "kl"), target("b", "kl"), target("c", "kl")}
	for _, node := range []string{"d", "e", "f", "g", "h", "i"} {
		targets = append(targets, target(node, "shah-alam"))
	}
	p, c := spreadPicker(even, targets...)
	p.config.SlowRatio = 2.5
	loads := map[string]*apiv1.LoadReport{"kl": use(near), "shah-alam": use(0.5)}
	b.ReportAllocs()
	for b.Loop() {
		c.now = c.now.Add(100 * time.Microsecond)
		choice, _ := p.Pick(Query{Route: "r"})
		choice.Done(Observation{Outcome: Success, Latency: 10 * time.Millisecond, Load: loads[choice.Target().DataCentre]})
	}
}

func BenchmarkPickWithRoom(b *testing.B)       { benchmarkPick(b, false, 0.5) }
func BenchmarkPickWithRoomSpread(b *testing.B) { benchmarkPick(b, true, 0.5) }
func BenchmarkPickShort(b *testing.B)          { benchmarkPick(b, false, 0.97) }
func BenchmarkPickShortSpread(b *testing.B)    { benchmarkPick(b, true, 0.97) }
