package rate

import (
	"sync/atomic"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// holding is a lease as its node sees it. Spending touches only the atomic fields.
type holding struct {
	id uint64
	// validUntil is the end of the lease in nanoseconds of the lessee's time.
	validUntil atomic.Int64
	// available counts the tokens that may still be spent.
	available atomic.Int64
	// lastSpent is the time of the latest spending in nanoseconds of the lessee's time.
	lastSpent atomic.Int64
	// stamp is the owner's time of the latest answer.
	stamp atomic.Int64
	// reports counts the reports made of this lease.
	reports atomic.Uint64

	// The fields below are guarded by the account's mutex.
	granted  uint64
	returned uint64
	// ackSpent and ackReturned are the counts that the owner is known to have.
	ackSpent    uint64
	ackReturned uint64
	// refunded counts reported spendings that were taken back, ackRefunded those the owner knows.
	refunded    uint64
	ackRefunded uint64
	// refundStamp is the least stamp of the refunds that the owner may not know.
	refundStamp int64
}

// take spends a token if one is available and the lease is valid.
func (h *holding) take(now int64) bool {
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

// markSpent notes a spending before it happens, so that a report never overstates its age.
func (h *holding) markSpent(now int64) {
	for {
		last := h.lastSpent.Load()
		if last >= now || h.lastSpent.CompareAndSwap(last, now) {
			return
		}
	}
}

// spent returns the tokens spent so far. Callers hold the account's mutex.
func (h *holding) spent() uint64 {
	return h.granted - h.returned - uint64(h.available.Load())
}

// giveBack returns up to n available tokens.
func (h *holding) giveBack(n int64) {
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

// acknowledge notes what the owner now knows.
func (h *holding) acknowledge(sent *apiv1.TokenDemand) {
	h.ackSpent = max(h.ackSpent, sent.GetSpent())
	h.ackReturned = max(h.ackReturned, sent.GetReturned())
	h.ackRefunded = max(h.ackRefunded, sent.GetRefunded())
	if h.ackRefunded == h.refunded {
		h.refundStamp = 0
	}
}
