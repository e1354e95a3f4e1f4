package callctx

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/admission"
)

// RunningCall is a call that a target of this host executes at present.
type RunningCall struct {
	Origin Origin
	// Context ends when the call ends or is cancelled.
	Context context.Context

	// refused is set once a sub-call was refused.
	refused atomic.Bool
	// queueTime is the time in nanoseconds for which sub-calls, and the calls below them, waited for slots.
	queueTime atomic.Int64

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

// MergeCutoff takes the load-shedding cutoff of a service that a sub-call used into account; nil means none.
func (r *RunningCall) MergeCutoff(cutoff *apiv1.Cutoff) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutoff = admission.StricterCutoff(r.cutoff, cutoff)
}

// Cutoff returns the strictest cutoff of the services that sub-calls used; nil means none.
func (r *RunningCall) Cutoff() *apiv1.Cutoff {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cutoff
}

// SetSubCallRefused records that a sub-call was refused.
func (r *RunningCall) SetSubCallRefused() {
	r.refused.Store(true)
}

// SubCallRefused reports whether a sub-call was refused.
func (r *RunningCall) SubCallRefused() bool {
	return r.refused.Load()
}

// AddQueueTime records the time for which a sub-call, and the calls below it, waited for slots.
func (r *RunningCall) AddQueueTime(d time.Duration) {
	r.queueTime.Add(int64(d))
}

// QueueTime returns the total of AddQueueTime.
func (r *RunningCall) QueueTime() time.Duration {
	return time.Duration(r.queueTime.Load())
}

// StartSubCall records the start of a sub-call.
func (r *RunningCall) StartSubCall(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active == 0 {
		r.since = now
	}
	r.active++
}

// EndSubCall records the end of a sub-call.
func (r *RunningCall) EndSubCall(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active--
	if r.active == 0 {
		r.downstream += now.Sub(r.since)
	}
}

// SubCallTime returns the time, until now, during which at least one sub-call was in progress.
func (r *RunningCall) SubCallTime(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active > 0 {
		return r.downstream + now.Sub(r.since)
	}
	return r.downstream
}
