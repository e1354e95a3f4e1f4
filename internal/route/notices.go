package route

import (
	"time"

	"github.com/guavaford/guavaford/internal/registry"
)

// noticeRetention is how long a notice is kept after it was last heard. A late report lists a target that has left for much less.
const noticeRetention = 10 * time.Minute

// notices holds what targets have said of themselves in their responses, for one run of each. Other than the statistics of a target
// they outlast a restart of the node beside it, which has forgotten them, and the time in which the target is not listed.
type notices struct {
	byID map[string]notice
}

// notice is what one run of a target has said.
type notice struct {
	started time.Time
	// leaving is set for good: unlike a drain by an operator, it ends with the run only.
	leaving bool
	// rateLimit is the number of requests per second that the target accepts; 0 for no such limit.
	rateLimit float64
	// heardNs is when the target last said so, in nanoseconds since the picker was created.
	heardNs int64
}

// update takes over what a target says now, and reports whether it has just said that it leaves.
func (n *notices) update(now int64, t *registry.Target, leaving bool, rateLimit float64) (leaves bool) {
	known, ok := n.byID[t.ID()]
	if ok && t.Started.Before(known.started) {
		return false
	}
	same := ok && t.Started.Equal(known.started)
	next := notice{started: t.Started, leaving: leaving || (same && known.leaving), rateLimit: rateLimit, heardNs: now}
	if !next.leaving && next.rateLimit == 0 {
		delete(n.byID, t.ID())
		return false
	}
	if n.byID == nil {
		n.byID = make(map[string]notice)
	}
	n.byID[t.ID()] = next
	return next.leaving && !(same && known.leaving)
}

// leaving reports whether this run of a target leaves, or a later one has been heard to leave.
func (n *notices) leaving(t *registry.Target) bool {
	known, ok := n.byID[t.ID()]
	return ok && known.leaving && !t.Started.After(known.started)
}

// rateLimit returns the rate limit of this run of a target; 0 for none.
func (n *notices) rateLimit(t *registry.Target) float64 {
	if known, ok := n.byID[t.ID()]; ok && t.Started.Equal(known.started) {
		return known.rateLimit
	}
	return 0
}

// prune forgets what was last heard long ago.
func (n *notices) prune(now int64) {
	for id, known := range n.byID {
		if now-known.heardNs > int64(noticeRetention) {
			delete(n.byID, id)
		}
	}
}

// observeNotices takes over what a target says of itself. A target that leaves gets no further call in this run.
func (p *Picker) observeNotices(now int64, t *registry.Target, leaving bool, rateLimit float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.notices.update(now, t, leaving, rateLimit) {
		p.update(now, p.targets)
	}
}
