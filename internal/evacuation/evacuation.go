// Package evacuation follows what drains of whole data centres do to the capacity of services.
//
// # Concepts
//
// An operator drains a data centre by a document of kind DataCentre. Gates and pickers treat each of its targets like
// one that is drained alone (package policy). Admission at the entry works with the load of a whole service, so it needs
// to know in the same moment which targets no longer count and how much capacity went with them.
//
// # Data flow
//
//	configuration, registry view -> Tracker.Update -> Change -> shed.LoadTracker.SetDrained
//
// The load that it responds to is that of the targets which remain: what the drained ones did falls on them at once.
// The package uses no network and reads no clock.
package evacuation

import (
	"slices"
	"strings"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/config"
	"github.com/guavaford/guavaford/internal/policy"
	"github.com/guavaford/guavaford/internal/registry"
)

// Change says which targets of a service drains of data centres affect, after that has changed.
type Change struct {
	Service string
	// Drained holds the IDs of the targets in drained data centres.
	Drained map[string]bool
	// Left is the number of targets that take work.
	Left int
	// Concentration is the capacity that took work before, as a multiple of what is left of it; 1 if nothing
	// was taken away, 0 if nothing is left.
	Concentration float64
}

// Tracker holds the state at the last update. The zero value is ready to use. It is not safe for concurrent use.
type Tracker struct {
	// services and snapshot are those of the last update, which must not be modified.
	services map[string][]*registry.Target
	snapshot *config.Snapshot
	// states are computed from them, nil while no data centre is drained: a registry changes often, and few
	// deployments drain.
	states map[string]serviceState
}

// serviceState holds the drained targets of a service.
type serviceState struct {
	drained map[string]bool
	// slots holds the slots of the targets that took work, by ID.
	slots map[string]int
}

// Update compares the targets of all known services under a configuration with those of the last update. It returns the
// services whose drained targets have changed, ordered by name.
func (t *Tracker) Update(services map[string][]*registry.Target, snapshot *config.Snapshot) []Change {
	before, previous := t.states, t.snapshot
	if len(snapshot.DrainedDataCentres()) == 0 && before == nil {
		t.services, t.snapshot = services, snapshot
		return nil
	}
	if before == nil && previous != nil {
		before = statesOf(t.services, previous)
	}
	after := statesOf(services, snapshot)
	var changes []Change
	for name, state := range after {
		if change, changed := compare(name, before[name], state); changed {
			changes = append(changes, change)
		}
	}
	t.services, t.snapshot, t.states = services, snapshot, after
	if len(snapshot.DrainedDataCentres()) == 0 {
		t.states = nil
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Service, b.Service) })
	return changes
}

// Drained returns the number of targets in drained data centres, over all services.
func (t *Tracker) Drained() int {
	count := 0
	for _, state := range t.states {
		count += len(state.drained)
	}
	return count
}

// statesOf returns the states of all services.
func statesOf(services map[string][]*registry.Target, snapshot *config.Snapshot) map[string]serviceState {
	states := make(map[string]serviceState, len(services))
	for name, targets := range services {
		states[name] = stateOf(targets, snapshot)
	}
	return states
}

// stateOf returns the state of a service with these targets.
func stateOf(targets []*registry.Target, snapshot *config.Snapshot) serviceState {
	state := serviceState{drained: map[string]bool{}, slots: make(map[string]int, len(targets))}
	for _, announced := range targets {
		effective := policy.Effective(snapshot, announced)
		switch {
		case snapshot.IsDrained(announced.DataCentre):
			state.drained[announced.ID()] = true
		case effective.State == apiv1.TargetState_TARGET_STATE_READY || effective.State == apiv1.TargetState_TARGET_STATE_COLD:
			state.slots[announced.ID()] = max(effective.Slots, 1)
		}
	}
	return state
}

// compare returns the change between two states of a service, and whether its drained targets differ.
func compare(service string, before, after serviceState) (Change, bool) {
	added, removed := 0, 0
	total, taken := 0, 0
	for id := range after.drained {
		if !before.drained[id] {
			added++
		}
	}
	for id := range before.drained {
		if !after.drained[id] {
			removed++
		}
	}
	for id, slots := range before.slots {
		total += slots
		if after.drained[id] {
			taken += slots
		}
	}
	change := Change{Service: service, Drained: after.drained, Left: len(after.slots), Concentration: 1}
	switch {
	case len(after.slots) == 0:
		change.Concentration = 0
	case taken > 0 && total > taken:
		change.Concentration = float64(total) / float64(total-taken)
	}
	return change, added+removed > 0
}
