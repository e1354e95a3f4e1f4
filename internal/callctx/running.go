package callctx

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/admission"
)

// Running is a call that a target of this host executes at present.
type Running struct {
	Origin Origin
	// Context ends when the call ends or is cancelled.
	Context context.Context

	// refused is set once a sub-call was refused.
	refused atomic.Bool

	mu sync.Mutex
	// active is the number of sub-calls in progress.
	active int
	// since is the time since which at least one sub-call has been in progress; valid if active is positive.
	since time.Time
	// downstream is the total of the earlier periods with at least one sub-call in progress.
	downstream time.Duration
	// cutoff is the strictest cutoff of the services that sub-calls used.
	cutoff *apiv1.Cutoff
}

// FoldCutoff takes the load-shedding cutoff of a service that a sub-call used into account; nil means none.
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

// NoteRefusal records that a sub-call was refused.
func (r *Running) NoteRefusal() {
	r.refused.Store(true)
}

// Refused reports whether a sub-call was refused.
func (r *Running) Refused() bool {
	return r.refused.Load()
}

// EnterSubCall records the start of a sub-call.
func (r *Running) EnterSubCall(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active == 0 {
		r.since = now
	}
	r.active++
}

// LeaveSubCall records the end of a sub-call.
func (r *Running) LeaveSubCall(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active--
	if r.active == 0 {
		r.downstream += now.Sub(r.since)
	}
}

// Downstream returns the time, until now, during which at least one sub-call was in progress.
func (r *Running) Downstream(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active > 0 {
		return r.downstream + now.Sub(r.since)
	}
	return r.downstream
}
