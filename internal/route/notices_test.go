package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/registry"
)

// TestTargetThatLeavesIsNotPickedAgain guards against calls to a target that has said that it leaves: after the node beside it has
// restarted and forgotten it, and after a late report lists the target once more. The next run of the target gets calls.
func TestTargetThatLeavesIsNotPickedAgain(t *testing.T) {
	started := time.Now()
	target := func(started time.Time, incarnation uint64) []*registry.Target {
		return []*registry.Target{{Node: "n", Name: "t", Service: "s", Slots: 10, State: apiv1.TargetState_TARGET_STATE_READY, Started: started, Incarnation: incarnation}}
	}
	p := NewPicker(DefaultConfig(), "", clock.System{}, 1)
	p.Update(target(started, 1))
	choice, refusal := p.Pick(Query{})
	require.Nil(t, refusal)
	choice.Done(Observation{Outcome: Success, Latency: time.Millisecond, Load: &apiv1.LoadReport{Limit: 10, Leaving: true}})
	refused := func() bool {
		_, refusal := p.Pick(Query{})
		return refusal != nil
	}
	require.True(t, refused())
	p.Update(target(started, 2))
	require.True(t, refused(), "the node beside the target has restarted")
	p.Update(nil)
	p.Update(target(started, 2))
	require.True(t, refused(), "a late report lists the target again")
	p.Update(target(started.Add(-time.Second), 2))
	require.True(t, refused(), "an earlier run")
	p.Update(target(started.Add(time.Second), 2))
	require.False(t, refused(), "the next run")
}

// TestTargetsThatLeftAreForgotten guards against memory that grows with each target that ever left.
func TestTargetsThatLeftAreForgotten(t *testing.T) {
	var n notices
	n.update(0, &registry.Target{Node: "n", Name: "t"}, true, 0)
	n.prune(int64(noticeRetention))
	require.Len(t, n.byID, 1)
	n.prune(int64(noticeRetention) + 1)
	require.Empty(t, n.byID)
}

// TestRateLimitIsKnownAfterTheNodeHasRestarted guards against a target in need that gets a flood of requests while the node beside it has
// restarted and not yet heard of its limit.
func TestRateLimitIsKnownAfterTheNodeHasRestarted(t *testing.T) {
	started := time.Now()
	list := func(started time.Time, incarnation uint64) []*registry.Target {
		return []*registry.Target{{Node: "n", Name: "t", Service: "s", Slots: 10, State: apiv1.TargetState_TARGET_STATE_READY, Started: started, Incarnation: incarnation}}
	}
	p := NewPicker(DefaultConfig(), "", clock.System{}, 1)
	call := func(named float64) (known float64) {
		choice, refusal := p.Pick(Query{})
		require.Nil(t, refusal)
		choice.Done(Observation{Outcome: Success, Latency: time.Millisecond, Load: &apiv1.LoadReport{Limit: 10, RateLimit: named}})
		return choice.RateLimit()
	}
	p.Update(list(started, 1))
	call(38.4)
	require.Equal(t, 38.4, call(38.4))
	p.Update(nil)
	p.Update(list(started, 2))
	require.Equal(t, 38.4, call(38.4), "the node has restarted")
	call(0)
	require.Zero(t, call(0), "the limit has ended")
	call(5)
	p.Update(list(started.Add(time.Second), 2))
	require.Zero(t, call(0), "the next run")
}
