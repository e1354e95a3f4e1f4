package node

import (
	"context"
	"time"

	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/feature"
	"github.com/guavaford/guavaford/internal/gate"
)

const (
	// capacityCheckInterval is the time between two checks of what was learned of the targets of this host.
	capacityCheckInterval = 200 * time.Millisecond
	// slowFrom and slowUntil are the slowdowns at which a target is logged as slower than usual, and as usual again.
	slowFrom  = 1.5
	slowUntil = 1.2
	// loggedLimitChange is the change of a learned limit that is logged, as a share of the limit.
	loggedLimitChange = 0.05
)

// learnsCapacity reports whether the settings ask for learned capacity and the feature isn't turned off.
func (p *Process) learnsCapacity() bool {
	return p.env.settings.LearnCapacity && p.env.features.On(feature.LearnedCapacity)
}

// learnedState is what was last logged of one target.
type learnedState struct {
	slow  bool
	limit int
}

// capacityChange is a change of what was learned of a target.
type capacityChange struct{ slowdown, limit bool }

// next returns the state after a check, and what has changed so much that it is logged. A limit of 0 isn't learned.
func (s learnedState) next(slowdown float64, limit int) (learnedState, capacityChange) {
	var c capacityChange
	if !s.slow && slowdown >= slowFrom || s.slow && slowdown <= slowUntil {
		s.slow, c.slowdown = !s.slow, true
	}
	if difference := max(s.limit-limit, limit-s.limit); float64(difference) > loggedLimitChange*float64(s.limit) {
		// The first limit is that of the slots.
		s.limit, c.limit = limit, s.limit > 0
	}
	return s, c
}

// logCapacities logs changes of the learned limit and speed of the targets of this host.
func (p *Process) logCapacities(ctx context.Context) {
	states := map[string]learnedState{}
	for clock.Sleep(ctx, capacityCheckInterval) {
		checked := make(map[string]learnedState, len(states))
		for _, t := range p.gate.Loads() {
			state, change := states[t.Target.Name].next(t.Load.Slowdown, t.Load.LearnedLimit)
			checked[t.Target.Name] = state
			p.logCapacity(t, state, change)
		}
		states = checked
	}
}

// logCapacity logs what has changed of one target, unless too many lines were logged.
func (p *Process) logCapacity(t gate.TargetLoad, s learnedState, c capacityChange) {
	if !c.slowdown && !c.limit {
		return
	}
	leftOut, ok := p.logLimit.Allow(p.env.Clock.Now())
	if !ok {
		return
	}
	message := "learned limit of target changed"
	switch {
	case c.slowdown && s.slow:
		message = "target slower than usual"
	case c.slowdown:
		message = "target as fast as usual again"
	}
	p.env.Log.Info(message, "target", t.Target.Name, "service", t.Target.Service, "slowdown", t.Load.Slowdown, "limit", t.Load.LearnedLimit,
		"in_flight", t.Load.InFlight, "queued", t.Load.Queued, "held", t.Load.Latency, "left_out", leftOut)
}

// maxSlowdown returns the highest slowdown of the targets of this host; 0 if it isn't learned.
func (p *Process) maxSlowdown() float64 {
	highest := 0.0
	for _, t := range p.gate.Loads() {
		highest = max(highest, t.Load.Slowdown)
	}
	return highest
}

// learnedLimit returns the sum of the learned limits of the targets of this host.
func (p *Process) learnedLimit() float64 {
	sum := 0
	for _, t := range p.gate.Loads() {
		sum += t.Load.LearnedLimit
	}
	return float64(sum)
}
