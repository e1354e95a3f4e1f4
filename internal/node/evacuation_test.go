package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/blackboard"
	"github.com/guavaford/guavaford/internal/board"
	"github.com/guavaford/guavaford/internal/config"
	"github.com/guavaford/guavaford/internal/gate"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/settings"
	"github.com/guavaford/guavaford/internal/shed"
)

// drainingSnapshot compiles a configuration that drains a data centre.
func drainingSnapshot(t *testing.T, name string) *config.Snapshot {
	t.Helper()
	document, problems := config.NewResource(config.KindDataCentre, name, nil, &config.DataCentreSpec{Drain: true})
	require.Empty(t, problems)
	snapshot, err := config.Compile(1, []*apiv1.Resource{document})
	require.NoError(t, err)
	return snapshot
}

// TestNodeAccountsForADrain guards against a node that still counts the targets of a drained data centre: as capacity of
// their service, among those that divide the repeats, as partners for readings, or as targets for trials; and against
// one that doesn't count them again.
func TestNodeAccountsForADrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := []*registry.Target{
			{Service: "s", Node: "a", Name: "one", DataCentre: "kl", Slots: 10, State: apiv1.TargetState_TARGET_STATE_READY},
			{Service: "s", Node: "b", Name: "two", DataCentre: "putrajaya", Slots: 10, State: apiv1.TargetState_TARGET_STATE_READY},
		}
		b, err := board.New(blackboard.NewSection(&registry.View{Services: map[string][]*registry.Target{"s": targets}}))
		require.NoError(t, err)
		p := &Process{board: b, loadTracker: shed.NewLoadTracker(), env: environment{Dependencies: Dependencies{}.withDefaults(),
			settings: &settings.Node{DataCentre: "kl", AnnouncementTTL: 5 * time.Second}}}
		ctx, cancel := context.WithCancel(t.Context())
		go p.followDrains(ctx)
		synctest.Wait()
		p.loadTracker.Observe(time.Now(), "s", "a/one", 0.6)
		p.loadTracker.Observe(time.Now(), "s", "b/two", 0.6)
		own := gate.TargetLoad{Target: targets[0]}
		require.Equal(t, 2, p.countTargets("s"))
		require.NotNil(t, p.randomOtherTarget(own))

		before := b.Configuration.Load()
		b.Configuration.Publish(&board.Configuration{Revision: 1, Snapshot: drainingSnapshot(t, "putrajaya"), Keys: before.Keys})
		synctest.Wait()
		load, _, ok := p.loadTracker.Load(time.Now(), "s")
		require.True(t, ok)
		require.InDelta(t, 1.2, load, 0.01, "the load of both targets falls on one")
		require.EqualValues(t, 1, p.drainedTargets.Load())
		require.Equal(t, 1, p.countTargets("s"))
		require.Nil(t, p.randomOtherTarget(own))
		states := map[string]apiv1.TargetState{}
		for _, target := range p.effectiveTargetsOf("s") {
			states[target.Name] = target.State
		}
		require.Equal(t, map[string]apiv1.TargetState{"one": apiv1.TargetState_TARGET_STATE_READY, "two": apiv1.TargetState_TARGET_STATE_LEAVING}, states)

		b.Configuration.Publish(&board.Configuration{Revision: 2, Snapshot: before.Snapshot, Keys: before.Keys})
		synctest.Wait()
		load, _, _ = p.loadTracker.Load(time.Now(), "s")
		require.InDelta(t, 0.6, load, 0.01)
		require.Equal(t, 2, p.countTargets("s"))
		require.Zero(t, p.drainedTargets.Load())
		cancel()
		synctest.Wait()
	})
}
