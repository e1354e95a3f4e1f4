package route

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/outcome"
	"github.com/guavaford/guavaford/internal/registry"
)

// target returns a ready target with ten slots.
func target(node, dataCentre string) *registry.Target {
	return &registry.Target{Name: "t", Service: "s", Node: node, DataCentre: dataCentre, Slots: 10, State: apiv1.TargetState_TARGET_STATE_READY}
}

// picker returns a picker with the default settings in data centre kl.
func picker(targets ...*registry.Target) *Picker {
	p := NewPicker(DefaultConfig(), "kl", clock.System{}, 1)
	p.Update(targets)
	return p
}

// picks makes n calls, each of which ends with the observation that o returns for its node, and counts them by node.
func picks(t *testing.T, p *Picker, n int, o func(node string) Observation) map[string]int {
	counts := map[string]int{}
	for range n {
		c, refusal := p.Pick(Query{})
		require.Nil(t, refusal)
		counts[c.Target().Node]++
		c.Done(o(c.Target().Node))
	}
	return counts
}

func succeed(string) Observation {
	return Observation{Outcome: Success, Latency: 10 * time.Millisecond}
}

// TestPickPrefersOwnDataCentreUntilLoaded guards against calls that leave a data centre with free targets, or stay
// when they are full.
func TestPickPrefersOwnDataCentreUntilLoaded(t *testing.T) {
	p := picker(target("near", "kl"), target("far", "shah-alam"))
	require.Equal(t, 100, picks(t, p, 100, succeed)["near"])
	full := func(string) Observation {
		return Observation{Outcome: Success, Latency: 10 * time.Millisecond, Load: &apiv1.LoadReport{InFlight: 10, Limit: 10}}
	}
	counts := picks(t, p, 100, full)
	require.Positive(t, counts["far"])
}

// TestDataCentresThatAreAllFullShareTheQueue guards against long queues in one data centre while others have short
// ones: every target is full, as under a burst, and one data centre has lost most of its targets. Its calls leave it
// for queues that are much shorter, but not for small differences.
func TestDataCentresThatAreAllFullShareTheQueue(t *testing.T) {
	for near, stays := range map[uint32]bool{70: false, 25: true} {
		config := DefaultConfig()
		config.FullSpillRatio = 0.5
		p := NewPicker(config, "kl", clock.System{}, 1)
		p.Update([]*registry.Target{target("near", "kl"), target("far", "shah-alam")})
		queued := map[string]uint32{"near": near - 10, "far": 10}
		counts := picks(t, p, 100, func(node string) Observation {
			return Observation{Outcome: Success, Latency: 10 * time.Millisecond, Load: &apiv1.LoadReport{InFlight: 10, Queued: queued[node], Limit: 10}}
		})
		if stays {
			require.Greater(t, counts["near"], 95, "queue of %d", near)
		} else {
			require.Greater(t, counts["far"], 95, "queue of %d", near)
		}
	}
}

// TestPickPrefersTheFasterTarget guards against scores that ignore latency.
func TestPickPrefersTheFasterTarget(t *testing.T) {
	p := picker(target("fast", "kl"), target("slow", "kl"))
	counts := picks(t, p, 200, func(node string) Observation {
		if node == "slow" {
			return Observation{Outcome: Success, Latency: 100 * time.Millisecond}
		}
		return succeed(node)
	})
	require.Greater(t, counts["fast"], 190)
}

// TestNoNewWorkForTargetsThatLeaveOrDrain guards against calls to a target after the registry lists it as leaving or
// a report says that it drains.
func TestNoNewWorkForTargetsThatLeaveOrDrain(t *testing.T) {
	p := picker(target("a", "kl"), target("b", "kl"))
	leaving := target("b", "kl")
	leaving.State = apiv1.TargetState_TARGET_STATE_LEAVING
	p.Update([]*registry.Target{target("a", "kl"), leaving})
	require.Equal(t, 50, picks(t, p, 50, succeed)["a"])
	c, _ := p.Pick(Query{})
	c.Done(Observation{Outcome: Refused, Load: &apiv1.LoadReport{Draining: true}})
	_, refusal := p.Pick(Query{})
	require.Equal(t, outcome.NoTarget, refusal.Code)
	require.Equal(t, outcome.RanNo, refusal.Ran)
}

// TestTargetIsPickedAgainAfterItsDrain guards against a late report of draining that keeps a target out for good, or
// one that is ignored while it is recent.
func TestTargetIsPickedAgainAfterItsDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := picker(target("a", "kl"))
		refuse := func() {
			c, refusal := p.Pick(Query{})
			require.Nil(t, refusal)
			c.Done(Observation{Outcome: Refused, Load: &apiv1.LoadReport{Draining: true}})
		}
		leaving := target("a", "kl")
		leaving.State = apiv1.TargetState_TARGET_STATE_LEAVING
		refuse()
		p.Update([]*registry.Target{leaving})
		p.Update([]*registry.Target{target("a", "kl")})
		refuse()
		_, refusal := p.Pick(Query{})
		require.NotNil(t, refusal, "the node on the target's host may not know yet that the drain has ended")
		time.Sleep(drainReportTTL)
		require.Equal(t, 10, picks(t, p, 10, succeed)["a"])
	})
}

// TestExcludedTargetsAreNotPicked guards against retries at a target that was tried already.
func TestExcludedTargetsAreNotPicked(t *testing.T) {
	a, b := target("a", "kl"), target("b", "kl")
	p := picker(a, b)
	for range 20 {
		c, refusal := p.Pick(Query{Exclude: []string{a.ID()}})
		require.Nil(t, refusal)
		require.Equal(t, "b", c.Target().Node)
		c.Done(succeed(""))
	}
	_, refusal := p.Pick(Query{Exclude: []string{a.ID(), b.ID()}})
	require.Equal(t, outcome.NoTarget, refusal.Code)
}

// TestFailingTargetIsEjectedUpToTheCap guards against calls that keep going to a failing target, against ejections
// beyond the cap, and against ones that never end.
func TestFailingTargetIsEjectedUpToTheCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := picker(target("a", "kl"), target("b", "kl"), target("c", "kl"))
		fail := func(node string) Observation {
			if node == "a" {
				return succeed(node)
			}
			return Observation{Outcome: Failure}
		}
		picks(t, p, 200, fail)
		counts := picks(t, p, 200, fail)
		require.Len(t, counts, 2, "one of the two failing targets is ejected, the cap protects the other")
		time.Sleep(ejectMax + time.Second)
		require.Len(t, picks(t, p, 300, succeed), 3, "an ejected target is picked again after its ejection")
	})
}

// TestNewTargetStartsSlowly guards against full load on a target that has just come up.
func TestNewTargetStartsSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, c := target("a", "kl"), target("b", "kl"), target("c", "kl")
		p := picker(a, b)
		picks(t, p, 50, succeed)
		p.Update([]*registry.Target{a, b, c})
		early := picks(t, p, 300, succeed)["c"]
		time.Sleep(DefaultSlowStart)
		late := picks(t, p, 300, succeed)["c"]
		require.Less(t, early, late/2)
	})
}

// observeCutoff makes a call whose answer carries a cutoff.
func observeCutoff(t *testing.T, p *Picker, q Query, common, own uint32) {
	c, refusal := p.Pick(q)
	require.Nil(t, refusal)
	c.Done(Observation{Outcome: Success, Load: &apiv1.LoadReport{Cutoff: &apiv1.Cutoff{Service: "deep", Common: common, Own: own}}})
}

// sheds reports whether the picker sheds a call.
func sheds(p *Picker, q Query) bool {
	c, refusal := p.Pick(q)
	if refusal == nil {
		c.Done(Observation{Outcome: Cancelled})
	}
	return refusal != nil && refusal.Code == outcome.Overloaded && refusal.RetryAfter > 0
}

// TestCutoffShedsByLevelAndAgesOut guards against cutoffs that affect lower levels or other routes, shed sub-calls
// like requests of callers, or never expire.
func TestCutoffShedsByLevelAndAgesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := picker(target("a", "kl"))
		observeCutoff(t, p, Query{Route: "r", Organisation: "o"}, 100, 100)
		require.True(t, sheds(p, Query{Route: "r", Organisation: "o", Level: 100}))
		require.False(t, sheds(p, Query{Route: "r", Organisation: "o", Level: 99}))
		require.False(t, sheds(p, Query{Route: "other", Organisation: "o", Level: 100}))
		require.False(t, sheds(p, Query{Route: "r", Organisation: "o", Level: 100, Depth: 1}), "a sub-call passes, since work was done for its request")
		require.True(t, sheds(p, Query{Route: "r", Organisation: "o", Level: 100 + subCallMargin, Depth: 1}))
		time.Sleep(cutoffHold + cutoffRamp)
		require.False(t, sheds(p, Query{Route: "r", Organisation: "o", Level: 100}))
	})
}

// TestCutoffOfOneRouteUpdatesOthers guards against cutoffs that expire on a route while answers of other routes carry
// the level of the same service.
func TestCutoffOfOneRouteUpdatesOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := picker(target("a", "kl"))
		observeCutoff(t, p, Query{Route: "batch", Organisation: "small"}, 1000, 2000)
		time.Sleep(cutoffHold)
		observeCutoff(t, p, Query{Route: "urgent", Organisation: "large"}, 1000, 500)
		time.Sleep(cutoffHold)
		require.True(t, sheds(p, Query{Route: "batch", Organisation: "large", Level: 500}))
		require.False(t, sheds(p, Query{Route: "batch", Organisation: "small", Level: 1999}), "the ratio of the organisation still applies")
		require.True(t, sheds(p, Query{Route: "batch", Organisation: "small", Level: 2000}))
		require.True(t, sheds(p, Query{Route: "batch", Organisation: "unknown", Level: 1000}))
		observeCutoff(t, p, Query{Route: "batch", Organisation: "whole"}, 1000, levelsPerClass)
		require.False(t, sheds(p, Query{Route: "batch", Organisation: "whole", Level: levelsPerClass - 1}))
	})
}

// TestPickDoesNotAllocate guards against heap allocations on the path of every call.
func TestPickDoesNotAllocate(t *testing.T) {
	p := picker(target("a", "kl"), target("b", "kl"), target("c", "putrajaya"))
	load := &apiv1.LoadReport{InFlight: 1, Limit: 10}
	q := Query{Route: "r", Organisation: "o", Level: 5}
	allocations := testing.AllocsPerRun(1000, func() {
		c, _ := p.Pick(q)
		c.Done(Observation{Outcome: Success, Latency: time.Millisecond, Load: load})
	})
	require.Zero(t, allocations)
}

// TestCallsStayWhileATargetOfTheDataCentreHasRoom guards against calls that leave their data centre by bad luck: half
// of the slots of a large service are in use, so that two targets drawn at random are often both above the spill
// load. Calls leave the data centre only if all of its targets are.
func TestCallsStayWhileATargetOfTheDataCentreHasRoom(t *testing.T) {
	var targets []*registry.Target
	for i := range 8 {
		targets = append(targets, target(fmt.Sprintf("near-%d", i), "kl"), target(fmt.Sprintf("far-%d", i), "shah-alam"))
	}
	roomy := "near-5"
	report := func(node string) Observation {
		o := Observation{Outcome: Success, Latency: 10 * time.Millisecond, Load: &apiv1.LoadReport{InFlight: 10, Limit: 10}}
		if node == roomy || strings.HasPrefix(node, "far") {
			o.Load.InFlight = 1
		}
		return o
	}
	config := DefaultConfig()
	config.ScanAllTargets = true
	p := NewPicker(config, "kl", clock.System{}, 1)
	p.Update(targets)
	picks(t, p, 100, report)
	settled := picks(t, p, 200, report)
	require.Equal(t, map[string]int{roomy: 200}, settled)

	roomy = ""
	picks(t, p, 100, report)
	far := 0
	for node, n := range picks(t, p, 200, report) {
		if strings.HasPrefix(node, "far") {
			far += n
		}
	}
	require.Greater(t, far, 150)
}
