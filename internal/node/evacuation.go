package node

import (
	"context"
	"slices"

	"github.com/guavaford/guavaford/internal/config"
	"github.com/guavaford/guavaford/internal/evacuation"
	"github.com/guavaford/guavaford/internal/policy"
	"github.com/guavaford/guavaford/internal/registry"
)

// followDrains passes drains of data centres on to the load tracker, and logs them, until ctx ends.
func (p *Process) followDrains(ctx context.Context) {
	tracker := &evacuation.Tracker{}
	var drained []string
	for {
		view, viewChanged := p.board.Registry.Watch()
		configuration, configurationChanged := p.board.Configuration.Watch()
		drained = p.logDrains(drained, configuration.Revision, configuration.Snapshot)
		for _, c := range tracker.Update(view.Services, configuration.Snapshot) {
			if p.loadTracker != nil {
				p.loadTracker.SetDrained(p.env.Clock.Now(), c.Service, c.Drained, c.Concentration)
			}
			p.env.Log.Info("drained targets of a service", "service", c.Service, "drained", len(c.Drained), "left", c.Left,
				"concentration", c.Concentration, "revision", configuration.Revision)
		}
		p.drainedTargets.Store(int64(tracker.Drained()))
		select {
		case <-viewChanged:
		case <-configurationChanged:
		case <-ctx.Done():
			return
		}
	}
}

// logDrains logs which data centres are drained now and were not before, and the reverse. It returns those drained now.
func (p *Process) logDrains(before []string, revision uint64, snapshot *config.Snapshot) []string {
	after := snapshot.DrainedDataCentres()
	for _, name := range without(after, before) {
		p.env.Log.Info("data centre drained", "data_centre", name, "revision", revision, "own", name == p.env.settings.DataCentre)
	}
	for _, name := range without(before, after) {
		p.env.Log.Info("data centre in use again", "data_centre", name, "revision", revision, "own", name == p.env.settings.DataCentre)
	}
	return after
}

// isDrained reports whether the data centre of a target is drained.
func (p *Process) isDrained(t *registry.Target) bool {
	return p.board.Configuration.Load().Snapshot.IsDrained(t.DataCentre)
}

// effectiveTargetsOf returns the targets of a service with the settings of operators; those that they drain are leaving.
func (p *Process) effectiveTargetsOf(service string) []*registry.Target {
	announced, snapshot := p.targetsOf(service), p.board.Configuration.Load().Snapshot
	targets := make([]*registry.Target, 0, len(announced))
	for _, t := range announced {
		targets = append(targets, policy.Effective(snapshot, t))
	}
	return targets
}

// countUndrained returns the number of known targets of a service outside of drained data centres.
func (p *Process) countUndrained(service string) int {
	count := 0
	for _, t := range p.targetsOf(service) {
		if !p.isDrained(t) {
			count++
		}
	}
	return count
}

// without returns the names of a list that are not in another.
func without(names, excluded []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return slices.Contains(excluded, name) })
}
