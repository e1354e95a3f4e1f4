package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxTrials is the number of suspects that run at a target at the same time, unless one runs alone.
	maxTrials = 4
	// maxWaitingTrials bounds the suspects that wait for a trial at one target.
	maxWaitingTrials = 64
	// drainTimeout is how long a target is kept free for a suspect that is to run alone. If it still runs something else then, the
	// trial begins all the same, but proves nothing.
	drainTimeout = 500 * time.Millisecond
	// maxAlone is how long a target takes nothing else while a suspect runs alone. One that runs longer goes on beside others.
	maxAlone = 2 * time.Second
)

// Trials admits suspects at one target. It is safe for concurrent use.
type Trials struct {
	mu sync.Mutex
	// held are the suspects that wait or run.
	held map[Fingerprint]*Trial
	// shared is the number that run together; exclusive is the one that the target is kept for.
	shared, waiting int
	exclusive       *Trial
	// inFlight is the number of requests that the target runs.
	inFlight int
	// draining is set while the target takes no new work.
	draining bool
	changed  chan struct{}
}

// Trial is the permission of one suspect to run. It must be released.
type Trial struct {
	trials      *Trials
	fingerprint Fingerprint
	shared      bool
	// alone ends the time for which the target is kept; nil unless the suspect runs alone.
	alone *time.Timer
	once  sync.Once
}

// NewTrials returns the trials of a target that runs nothing.
func NewTrials() *Trials {
	return &Trials{held: map[Fingerprint]*Trial{}, changed: make(chan struct{})}
}

// notify wakes those that wait. The caller holds mu.
func (t *Trials) notify() {
	if t.waiting > 0 {
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// TryStart counts a request that the target begins to run, on a trial or with nil. It returns false if another suspect has the target to itself:
// that trial may have begun while the request was queued.
func (t *Trials) TryStart(trial *Trial) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if trial == nil && t.exclusive != nil && t.exclusive.alone != nil {
		return false
	}
	t.inFlight++
	return true
}

// RequestEnded counts the end of a request that TryStart has counted.
func (t *Trials) RequestEnded() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	t.notify()
}

// SetDraining makes Acquire return nil at once, also for those that wait already, or lets suspects run again.
func (t *Trials) SetDraining(draining bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = draining
	t.notify()
}

// Exclusive reports whether the target is kept for one suspect, so that it takes no other request.
func (t *Trials) Exclusive() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.exclusive != nil
}

// Acquire waits until a suspect may run: with few others, or alone. It returns nil if the suspect is held already, if that
// takes too long, or once the target drains.
func (t *Trials) Acquire(ctx context.Context, f Fingerprint, alone bool, maxWait time.Duration) *Trial {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.held[f] != nil || t.waiting >= maxWaitingTrials {
		return nil
	}
	trial := &Trial{trials: t, fingerprint: f}
	t.held[f] = trial
	t.waiting++
	ok := t.await(ctx, trial, alone, maxWait)
	t.waiting--
	if !ok {
		t.drop(trial)
		return nil
	}
	if t.exclusive == trial {
		trial.alone = time.AfterFunc(maxAlone, trial.share)
	}
	return trial
}

// share lets the target take other requests beside a trial.
func (trial *Trial) share() {
	t := trial.trials
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.exclusive == trial {
		t.exclusive = nil
		t.notify()
	}
}

// await waits until a trial may begin. The caller holds mu, which is released while it waits.
func (t *Trials) await(ctx context.Context, trial *Trial, alone bool, maxWait time.Duration) bool {
	timeout := time.NewTimer(maxWait)
	defer timeout.Stop()
	var drained <-chan time.Time
	for {
		if t.draining {
			return false
		}
		if alone {
			if t.exclusive == nil {
				t.exclusive = trial
				timer := time.NewTimer(min(drainTimeout, maxWait))
				defer timer.Stop()
				drained = timer.C
			}
			// A suspect that was admitted may not have started yet.
			if t.exclusive == trial && t.inFlight == 0 && t.shared == 0 {
				return true
			}
		} else if t.exclusive == nil && t.shared < maxTrials {
			t.shared++
			trial.shared = true
			return true
		}
		changed := t.changed
		t.mu.Unlock()
		expired, kept := false, false
		select {
		case <-changed:
		case <-drained:
			kept = true
		case <-timeout.C:
			expired = true
		case <-ctx.Done():
			expired = true
		}
		t.mu.Lock()
		if kept && t.exclusive == trial {
			return true
		}
		if expired {
			return false
		}
	}
}

// Release ends the trial.
func (trial *Trial) Release() {
	if trial == nil {
		return
	}
	trial.once.Do(func() {
		t := trial.trials
		t.mu.Lock()
		defer t.mu.Unlock()
		if trial.alone != nil {
			trial.alone.Stop()
		}
		t.drop(trial)
	})
}

// drop forgets a trial that has ended or did not begin. The caller holds mu.
func (t *Trials) drop(trial *Trial) {
	delete(t.held, trial.fingerprint)
	if trial.shared {
		t.shared--
	}
	if t.exclusive == trial {
		t.exclusive = nil
	}
	t.notify()
}

// TrialTarget returns the target at which a suspect may run: the same at all nodes that know the same targets, by rendezvous hashing. It
// is empty if there is none.
func TrialTarget(f Fingerprint, targets []string) string {
	best, bestScore := "", uint64(0)
	for _, target := range targets {
		score := xxhash.Sum64(append(f[:len(f):len(f)], target...))
		if best == "" || score > bestScore || score == bestScore && target < best {
			best, bestScore = target, score
		}
	}
	return best
}
