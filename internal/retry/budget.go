package retry

import (
	"math"
	"sync"
	"time"
)

// Defaults of a Budget.
const (
	// DefaultBudgetRatio is the share of extra attempts in recent first attempts.
	DefaultBudgetRatio = 0.1
	// DefaultBudgetBurst is the number of extra attempts that a service may always make in
	// a short time.
	DefaultBudgetBurst = 10.0
	// budgetMemory is the time constant in which attempts are forgotten.
	budgetMemory = 10 * time.Second
)

// Budget limits the extra attempts of one service at one node to a ratio of its first
// attempts. Both are counted with exponential decay, so that only the recent past counts and
// a node with much traffic can repeat what a crashed target had in flight. It is safe for
// concurrent use.
type Budget struct {
	ratio float64
	burst float64

	mu      sync.Mutex
	first   float64
	extra   float64
	updated time.Time
}

// NewBudget returns a budget of ratio extra attempts for each first attempt, and burst more.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst}
}

// First counts a first attempt.
func (b *Budget) First(now time.Time) {
	b.mu.Lock()
	b.decay(now)
	b.first++
	b.mu.Unlock()
}

// Allow counts an extra attempt and returns true, or returns false when the budget is used up.
func (b *Budget) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decay(now)
	if b.extra+1 > b.ratio*b.first+b.burst {
		return false
	}
	b.extra++
	return true
}

// decay forgets attempts since the last event.
func (b *Budget) decay(now time.Time) {
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 {
		return
	}
	keep := math.Exp(-elapsed.Seconds() / budgetMemory.Seconds())
	b.first *= keep
	b.extra *= keep
	b.updated = now
}
