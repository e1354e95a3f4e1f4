package evacuation

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/config"
	"github.com/guavaford/guavaford/internal/registry"
)

// snapshotOf compiles a configuration that drains these data centres.
func snapshotOf(t *testing.T, drained ...string) *config.Snapshot {
	t.Helper()
	var documents string
	for _, name := range drained {
		documents += fmt.Sprintf("kind: DataCentre\nname: %s\nspec: {drain: true}\n---\n", name)
	}
	resources, problems := config.Parse("x.yaml", []byte(documents))
	require.Empty(t, problems)
	s, err := config.Compile(1, resources)
	require.NoError(t, err)
	return s
}

// target returns a target in a data centre.
func target(name, dataCentre string, slots int) *registry.Target {
	return &registry.Target{Name: name, Node: "n", DataCentre: dataCentre, Slots: slots, State: apiv1.TargetState_TARGET_STATE_READY}
}

// TestCapacityThatADrainTakesIsKnownAtOnce guards against an entry that goes on admitting for targets that take no more
// work, or that believes capacity to be back that it has not seen.
func TestCapacityThatADrainTakesIsKnownAtOnce(t *testing.T) {
	services := map[string][]*registry.Target{
		"rooms": {target("a", "kl", 30), target("b", "shah-alam", 10), target("c", "shah-alam", 20)},
		"desks": {target("d", "putrajaya", 10)},
		"halls": {target("e", "kl", 10)},
	}
	var tracker Tracker
	require.Empty(t, tracker.Update(services, snapshotOf(t)), "nothing is drained")
	changes := tracker.Update(services, snapshotOf(t, "kl"))
	require.Equal(t, []Change{
		{Service: "halls", Drained: map[string]bool{"n/e": true}, Left: 0, Concentration: 0},
		{Service: "rooms", Drained: map[string]bool{"n/a": true}, Left: 2, Concentration: 2},
	}, changes)
	require.Equal(t, 2, tracker.Drained())
	require.Empty(t, tracker.Update(services, snapshotOf(t, "kl")), "the same again is no change")
	changes = tracker.Update(services, snapshotOf(t))
	require.Equal(t, []Change{
		{Service: "halls", Drained: map[string]bool{}, Left: 1, Concentration: 1},
		{Service: "rooms", Drained: map[string]bool{}, Left: 3, Concentration: 1},
	}, changes)
	require.Zero(t, tracker.Drained())
}

// TestTargetsThatComeAndGoUnderADrain guards against capacity that counts as taken away by a drain though it never took
// work: a target that starts in a drained data centre, and one that had left before.
func TestTargetsThatComeAndGoUnderADrain(t *testing.T) {
	drained := snapshotOf(t, "kl")
	var tracker Tracker
	left := target("a", "kl", 10)
	left.State = apiv1.TargetState_TARGET_STATE_LEAVING
	tracker.Update(map[string][]*registry.Target{"rooms": {left, target("b", "putrajaya", 10)}}, snapshotOf(t))
	changes := tracker.Update(map[string][]*registry.Target{"rooms": {left, target("b", "putrajaya", 10), target("c", "kl", 10)}}, drained)
	require.Len(t, changes, 1)
	require.InDelta(t, 1.0, changes[0].Concentration, 0)
	require.Len(t, changes[0].Drained, 2)
	require.Len(t, tracker.Update(nil, drained), 0, "a service that is no longer known")
	require.Zero(t, tracker.Drained())
}
