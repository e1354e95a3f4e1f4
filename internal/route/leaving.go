package route

import (
	"time"

	"github.com/guavaford/guavaford/internal/registry"
)

// leavingRetention is how long a target is remembered as leaving after the last sign of it. A late report lists a target that has
// left for much less.
const leavingRetention = 10 * time.Minute

// leavingTargets remembers the runs of targets that have said that they leave. Unlike a drain by an operator that ends with the run
// only; it outlasts a restart of the node beside the target, which has forgotten it, and late reports that list the target again.
type leavingTargets struct {
	byID map[string]leavingTarget
}

// leavingTarget is one run of a target.
type leavingTarget struct {
	started time.Time
	// seenNs is when the target was last known to leave, in nanoseconds since the picker was created.
	seenNs int64
}

// add remembers a run of a target.
func (l *leavingTargets) add(now int64, t *registry.Target) {
	if l.byID == nil {
		l.byID = make(map[string]leavingTarget)
	}
	l.byID[t.ID()] = leavingTarget{started: t.Started, seenNs: now}
}

// contains reports whether this run of a target leaves, or a later one has been seen to leave.
func (l *leavingTargets) contains(t *registry.Target) bool {
	known, ok := l.byID[t.ID()]
	return ok && !t.Started.After(known.started)
}

// prune forgets targets that left long ago.
func (l *leavingTargets) prune(now int64) {
	for id, known := range l.byID {
		if now-known.seenNs > int64(leavingRetention) {
			delete(l.byID, id)
		}
	}
}
