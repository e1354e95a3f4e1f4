package rate

import (
	"sync/atomic"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// heldLease is a lease as its node sees it. Spending a token touches only the atomic fields.
type heldLease struct {
	id uint64
	// validUntil is the end of the lease in nanoseconds of the lessee's time.
	validUntil atomic.Int64
	// available counts the tokens that may still be spent.
	available atomic.Int64
	// lastSpent is the time of the latest spending in nanoseconds of the lessee's time.
	lastSpent atomic.Int64
	// ownerTime is the owner's time in its latest answer.
	ownerTime atomic.Int64
	// reportCount counts the reports sent about this lease.
	reportCount atomic.Uint64

	// The fields below are guarded by the account's mutex.
	granted  uint64
	returned uint64
	// ackSpent and ackReturned are the counts that the owner is known to have.
	ackSpent    uint64
	ackReturned uint64
	// refunded counts reported spendings that were taken back, ackRefunded those the owner knows.
	refunded    uint64
	ackRefunded uint64
	// refundSince is the least Charge.ownerTime of the refunds that the owner may not know; 0 if there are none.
	refundSince int64
}

// take spends a token if one is available and the lease is valid.
func (h *heldLease) take(now int64) bool {
	if now >= h.validUntil.Load() {
		return false
	}
	if h.available.Load() <= 0 {
		return false
	}
	h.markSpent(now)
	for {
		n := h.available.Load()
		if n <= 0 {
			return false
		}
		if h.available.CompareAndSwap(n, n-1) {
			return true
		}
	}
}

// markSpent records the time of a spending before the token is taken, so that a report never
// overstates how long ago the latest spending was.
func (h *heldLease) markSpent(now int64) {
	for {
		last := h.lastSpent.Load()
		if last >= now || h.lastSpent.CompareAndSwap(last, now) {
			return
		}
	}
}

// spent returns the tokens spent so far. Callers hold the account's mutex.
func (h *heldLease) spent() uint64 {
	return h.granted - h.returned - uint64(h.available.Load())
}

// giveBack returns up to n available tokens.
func (h *heldLease) giveBack(n int64) {
	for n > 0 {
		have := h.available.Load()
		if have <= 0 {
			return
		}
		back := min(n, have)
		if h.available.CompareAndSwap(have, have-back) {
			h.returned += uint64(back)
			return
		}
	}
}

// acknowledge records which counters the owner now knows.
func (h *heldLease) acknowledge(sent *apiv1.TokenDemand) {
	h.ackSpent = max(h.ackSpent, sent.GetSpent())
	h.ackReturned = max(h.ackReturned, sent.GetReturned())
	h.ackRefunded = max(h.ackRefunded, sent.GetRefunded())
	if h.ackRefunded == h.refunded {
		h.refundSince = 0
	}
}
