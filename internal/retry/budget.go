package retry

import (
	"sync"
	"time"
)

// Defaults of a Budget.
const (
	// DefaultBudgetRatio is the share of extra attempts in recent first attempts.
	DefaultBudgetRatio = 0.1
	// DefaultBudgetBurst bounds the extra attempts that can be saved up.
	DefaultBudgetBurst = 10.0
	// budgetTricklePerSecond lets a service with few calls retry at all.
	budgetTricklePerSecond = 0.5
)

// Budget limits the extra attempts of one service at one node to a ratio of its recent
// first attempts. Saved attempts are capped, so only the first attempts of the recent past
// count. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	ratio   float64
	burst   float64
	balance float64
	updated time.Time
}

// NewBudget returns a full budget. ratio is extra attempts for each first attempt; burst is
// the most that can be saved up.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, balance: burst}
}

// First counts a first attempt.
func (b *Budget) First(now time.Time) {
	b.mu.Lock()
	b.add(now, b.ratio)
	b.mu.Unlock()
}

// Allow spends one extra attempt. It returns false when the budget is used up.
func (b *Budget) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(now, 0)
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// add credits the trickle since the last event and an amount, up to the burst.
func (b *Budget) add(now time.Time, amount float64) {
	if b.updated.IsZero() {
		b.updated = now
	}
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		amount += elapsed.Seconds() * budgetTricklePerSecond
		b.updated = now
	}
	b.balance = min(b.balance+amount, b.burst)
}
