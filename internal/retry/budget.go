package retry

import (
	"math"
	"sync"
	"time"
)

// Defaults of a Budget.
const (
	// DefaultBudgetRatio is the ratio of retries to recent first attempts.
	DefaultBudgetRatio = 0.1
	// DefaultBudgetBurst is the number of retries that a service may make in a short time whatever the
	// ratio.
	DefaultBudgetBurst = 10.0
	// budgetDecay is the time constant of the exponential decay of both counts.
	budgetDecay = 10 * time.Second
)

// Budget limits the retries of one service at one node to a ratio of its first attempts. Both counts decay
// exponentially, so that only recent attempts count, and a node with much traffic can retry the requests
// that a crashed target had in flight. It is safe for concurrent use.
type Budget struct {
	ratio float64
	burst float64

	mu        sync.Mutex
	first     float64
	retries   float64
	updatedAt time.Time
}

// NewBudget returns a budget that allows ratio retries for each first attempt, and burst more.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst}
}

// CountFirstAttempt counts a first attempt.
func (b *Budget) CountFirstAttempt(now time.Time) {
	b.mu.Lock()
	b.decay(now)
	b.first++
	b.mu.Unlock()
}

// TryRetry counts a retry and returns true, or returns false if the budget is exhausted.
func (b *Budget) TryRetry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decay(now)
	if b.retries+1 > b.ratio*b.first+b.burst {
		return false
	}
	b.retries++
	return true
}

// decay discounts both counts by the time since the last update. The caller holds mu.
func (b *Budget) decay(now time.Time) {
	elapsed := now.Sub(b.updatedAt)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / budgetDecay.Seconds())
	b.first *= factor
	b.retries *= factor
	b.updatedAt = now
}
