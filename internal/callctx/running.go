package callctx

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/admission"
)

// Running is a call that runs at a target of this host.
type Running struct {
	Origin Origin
	// Context ends when the call ends or is cancelled.
	Context context.Context

	refused atomic.Bool

	mu         sync.Mutex
	active     int
	since      time.Time
	downstream time.Duration
	cutoff     *apiv1.Cutoff
}

// FoldCutoff notes the cutoff of a service that a sub-call used; nil means none.
func (r *Running) FoldCutoff(cutoff *apiv1.Cutoff) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutoff = admission.LowerCutoff(r.cutoff, cutoff)
}

// Cutoff returns the strictest cutoff of the services that sub-calls used; nil means none.
func (r *Running) Cutoff() *apiv1.Cutoff {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cutoff
}

// NoteRefusal notes that a sub-call was refused.
func (r *Running) NoteRefusal() {
	r.refused.Store(true)
}

// Refused reports whether a sub-call was refused.
func (r *Running) Refused() bool {
	return r.refused.Load()
}

// EnterSubCall notes that the target waits for a sub-call from now on.
func (r *Running) EnterSubCall(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active == 0 {
		r.since = now
	}
	r.active++
}

// LeaveSubCall notes that a sub-call has ended.
func (r *Running) LeaveSubCall(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active--
	if r.active == 0 {
		r.downstream += now.Sub(r.since)
	}
}

// Downstream returns the time during which at least one sub-call was under way.
func (r *Running) Downstream(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active > 0 {
		return r.downstream + now.Sub(r.since)
	}
	return r.downstream
}
