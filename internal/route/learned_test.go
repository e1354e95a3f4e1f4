package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/registry"
)

// learnedPicker returns a picker by learned capacity in data centre kl with a clock that the test moves.
func learnedPicker(targets ...*registry.Target) (*Picker, *manualClock) {
	config := DefaultConfig()
	config.LearnedCapacity, config.SlowStart, config.SpillLoad, config.SlowRatio = true, 0, 0.85, 5
	c := &manualClock{time.Unix(1000, 0)}
	p := NewPicker(config, "kl", c, 1)
	p.Update(targets)
	return p, c
}

// reported makes n calls, one a millisecond, each of which ends at once with the report of its target.
func reported(t *testing.T, p *Picker, c *manualClock, n int, report func(node string) *apiv1.LoadReport) map[string]int {
	return picks(t, p, n, func(node string) Observation {
		c.now = c.now.Add(time.Millisecond)
		return Observation{Outcome: Success, Latency: 10 * time.Millisecond, Load: report(node)}
	})
}

// TestSharesFollowSpeed guards against equal shares for targets of unequal speed.
func TestSharesFollowSpeed(t *testing.T) {
	p, c := learnedPicker(target("fast", "kl"), target("slow", "kl"))
	report := func(node string) *apiv1.LoadReport {
		expected := map[string]time.Duration{"fast": 10, "slow": 30}[node] * time.Millisecond
		return &apiv1.LoadReport{InFlight: 50, Limit: 100, ExpectedTimeNs: int64(expected)}
	}
	reported(t, p, c, 50, report)
	counts := reported(t, p, c, 4000, report)
	require.InDelta(t, 3000, counts["fast"], 150)
}

// TestSharesWithoutReportsFollowLatency guards against gates of an older version, whose targets would all count alike.
func TestSharesWithoutReportsFollowLatency(t *testing.T) {
	p, c := learnedPicker(target("fast", "kl"), target("slow", "kl"))
	counts := picks(t, p, 4000, func(node string) Observation {
		c.now = c.now.Add(time.Millisecond)
		return Observation{Outcome: Success, Latency: map[string]time.Duration{"fast": 10, "slow": 30}[node] * time.Millisecond}
	})
	require.InDelta(t, 3000, counts["fast"], 200)
}

// TestFullTargetsShareByQueue guards against a division by zero, and against equal shares for unequal queues, while all
// targets are full.
func TestFullTargetsShareByQueue(t *testing.T) {
	p, c := learnedPicker(target("a", "kl"), target("b", "kl"))
	report := func(node string) *apiv1.LoadReport {
		return &apiv1.LoadReport{InFlight: 100, Queued: map[string]uint32{"a": 0, "b": 300}[node], Limit: 100, ExpectedTimeNs: int64(10 * time.Millisecond)}
	}
	reported(t, p, c, 50, report)
	counts := reported(t, p, c, 1000, report)
	require.InDelta(t, 800, counts["a"], 60)
}

// TestQueueIsLeftOnlyForRoomElsewhere guards against calls that are moved from one full target to the next.
func TestQueueIsLeftOnlyForRoomElsewhere(t *testing.T) {
	for load, left := range map[uint32]bool{50: true, 95: false} {
		p, c := learnedPicker(target("a", "kl"), target("b", "kl"))
		report := func(string) *apiv1.LoadReport {
			return &apiv1.LoadReport{InFlight: load, Limit: 100, ExpectedTimeNs: int64(80 * time.Millisecond)}
		}
		reported(t, p, c, 50, report)
		choice, refusal := p.Pick(Query{})
		require.Nil(t, refusal)
		require.Equal(t, left, choice.QueueWait() == 20*time.Millisecond, "%d in use: %v", load, choice.QueueWait())
		choice, refusal = p.Pick(Query{Exclude: []string{target("a", "kl").ID()}})
		require.Nil(t, refusal)
		require.Zero(t, choice.QueueWait(), "a second attempt")
	}
}

// TestCallsReturnToTheirDataCentre guards against calls that stay away since those that all go elsewhere bring no
// reports of the targets nearby.
func TestCallsReturnToTheirDataCentre(t *testing.T) {
	p, c := learnedPicker(target("near", "kl"), target("far", "shah-alam"))
	load := uint32(100)
	report := func(node string) *apiv1.LoadReport {
		return &apiv1.LoadReport{InFlight: map[string]uint32{"near": load, "far": 10}[node], Limit: 100, ExpectedTimeNs: int64(10 * time.Millisecond)}
	}
	reported(t, p, c, 200, report)
	require.Greater(t, reported(t, p, c, 500, report)["far"], 450)
	load = 30
	reported(t, p, c, 2500, report)
	require.Equal(t, 100, reported(t, p, c, 100, report)["near"])
}

// TestFullDataCentresKeepTheirCallsIfTheyMust guards against calls that leave for a data centre that is full too although
// the operator has turned that off.
func TestFullDataCentresKeepTheirCallsIfTheyMust(t *testing.T) {
	for _, ratio := range []float64{0, 0.5} {
		p, c := learnedPicker(target("near", "kl"), target("far", "shah-alam"))
		p.config.FullSpillRatio = ratio
		report := func(node string) *apiv1.LoadReport {
			return &apiv1.LoadReport{InFlight: 100, Queued: map[string]uint32{"near": 60, "far": 0}[node], Limit: 100, ExpectedTimeNs: int64(10 * time.Millisecond)}
		}
		reported(t, p, c, 1000, report)
		far := 0
		for range 100 {
			choice, refusal := p.Pick(Query{})
			require.Nil(t, refusal)
			if choice.Target().Node == "far" {
				far++
			}
			choice.Done(Observation{Outcome: Cancelled})
		}
		require.Equal(t, ratio > 0, far > 0, "%d of 100 with a ratio of %v", far, ratio)
	}
}

// TestVerySlowTargetsGetNoCallsByCapacity is TestSlowTargetsGetNoCalls with learned capacity: two fifths of the targets
// take twelve times as long for nine seconds, longer than the timeout of their calls.
func TestVerySlowTargetsGetNoCallsByCapacity(t *testing.T) {
	var targets []*registry.Target
	for i := range 25 {
		targets = append(targets, target(fmt.Sprintf("near-%d", i), "kl"))
	}
	slow := map[string]float64{}
	s := newSlowService(targets, slow)
	s.picker.config.LearnedCapacity, s.picker.config.SlowRatio = true, 5
	_, late := s.run(5*time.Second, 900)
	require.Zero(t, late)
	for i, target := range targets {
		if i%5 == 1 || i%5 == 3 {
			slow[target.Node] = 12
		}
	}
	s.run(time.Second, 900)
	counts, late := s.run(8*time.Second, 900)
	total := 0
	for _, n := range counts {
		total += n
	}
	require.Less(t, late, total/100, "calls that timed out, of %d", total)
	clear(slow)
	s.run(5*time.Second, 900)
	counts, _ = s.run(2*time.Second, 900)
	for _, target := range targets {
		require.Positive(t, counts[target.Node], "%s gets calls again", target.Node)
	}
}

// TestManyTargetsAreAllUsed guards against targets beyond the bound on those that one call considers that get no calls.
func TestManyTargetsAreAllUsed(t *testing.T) {
	var targets []*registry.Target
	for i := range 2 * maxWeighed {
		targets = append(targets, target(fmt.Sprint(i), "kl"))
	}
	p, _ := learnedPicker(targets...)
	require.Len(t, picks(t, p, 5000, succeed), 2*maxWeighed)
}
