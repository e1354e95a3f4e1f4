package rate

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// demandTimeConstant is the time over which demand is averaged.
const demandTimeConstant = 200 * time.Millisecond

// demandSampleMin is the least time between two samples of demand.
const demandSampleMin = 20 * time.Millisecond

// account is a node's state for one organisation: the tokens that it holds on a lease, the requests
// that wait for a token, and the owner's latest answer.
type account struct {
	organisation string
	shard        uint32
	cfg          *Config
	lessee       *Lessee
	// lease is the latest lease; nil before the first grant.
	lease atomic.Pointer[heldLease]
	// demand counts requests since the last sample.
	demand atomic.Int64
	// parked is true while the account is off the lessee's list of active accounts.
	parked atomic.Bool
	// queued counts the waiting requests, so that new ones don't take tokens ahead of them.
	queued atomic.Int64

	mu      sync.Mutex
	waiting []*Ticket
	// busySince is when a request last arrived while waiting was empty.
	busySince int64
	// averageDemand is the exponentially averaged demand in requests a second.
	averageDemand float64
	sampledAt     int64
	// scarce is true when the owner's latest answer said that tokens of the bucket are short.
	scarce bool
	// share is the rate, in tokens a second, at which the owner expects to serve this node; 0 if unknown.
	share float64
	// nextAt is when the owner expects the next token for this node.
	nextAt int64
	// clearAt is when the owner could have served all requests that wait at any node. reportedWaiting is the
	// number of those that wait here.
	clearAt         int64
	reportedWaiting int
	// askAt is when to ask the owner again for tokens for waiting requests.
	askAt int64
	// forecastAt is when the owner's latest answer was received.
	forecastAt int64
	// answeringSince is when the owner began to grant after a time in which it did not.
	answeringSince int64
	// reportWithin is how soon spent tokens should be reported while the bucket is scarce.
	reportWithin int64
	// mayHold is true when the burst allows each node to hold a token ahead of rare demand.
	mayHold bool
	// minGap is the least time between two requests to the owner.
	minGap int64
	// ownerStarting is true while a new owner of the shard grants nothing yet.
	ownerStarting bool
	// unansweredSince is forecastAt + 1 as of when the owner was last found silent; 0 before that. An answer
	// changes forecastAt, so that the two no longer match.
	unansweredSince int64
	// silentUntil is until when the owner counts as silent; the next request then asks it again.
	silentUntil int64
	// lastActive is the time of the last sample that saw a request.
	lastActive int64
}

// take spends a token of the current lease.
func (a *account) take(now int64) (Charge, bool) {
	h := a.lease.Load()
	if h == nil || a.queued.Load() > 0 {
		return Charge{}, false
	}
	charge := a.charge(h)
	if !h.take(now) {
		return Charge{}, false
	}
	return charge, true
}

// charge returns the charge for a token of h that is about to be spent.
func (a *account) charge(h *heldLease) Charge {
	return Charge{account: a, lease: h, ownerTime: h.ownerTime.Load(), reportCount: h.reportCount.Load()}
}

// sample updates the averaged demand with the requests since the last sample.
func (a *account) sample(now int64) {
	elapsed := time.Duration(now - a.sampledAt)
	if elapsed < demandSampleMin {
		return
	}
	count := a.demand.Swap(0)
	if count > 0 {
		a.lastActive = now
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/demandTimeConstant.Seconds())
	a.averageDemand += weight * (float64(count)/elapsed.Seconds() - a.averageDemand)
	a.sampledAt = now
}

// prefetchTokens returns the number of tokens that the node should hold ahead of demand.
func (a *account) prefetchTokens(now int64) int64 {
	if a.scarce {
		return 0
	}
	horizon := max(a.cfg.PrefetchTime, 2*time.Duration(a.minGap))
	tokens := int64(math.Round(a.averageDemand * horizon.Seconds()))
	if a.mayHold && a.lastActive > 0 && now-a.lastActive < int64(a.cfg.SingleTokenHoldTime) {
		tokens = max(tokens, 1)
	}
	return tokens
}

// expire gives back the tokens of a lease that has ended.
func (a *account) expire(now int64) {
	h := a.lease.Load()
	if h != nil && now >= h.validUntil.Load() {
		h.giveBack(math.MaxInt64)
	}
}

// requestReasons tells why an account needs a lease request to its owner.
type requestReasons struct {
	// waiting is true when requests wait and the owner may have tokens for them by now.
	waiting bool
	// scarceSpent is true when counters are unacknowledged and the bucket is scarce, so that a report should be sent soon.
	scarceSpent bool
	// prefetch is true when the node holds less than half of the tokens that it should hold ahead of demand.
	prefetch bool
	// unacknowledged is true when the owner has not acknowledged the counters of the lease.
	unacknowledged bool
	// renewal is true when a lease with unspent tokens is in the second half of its validity.
	renewal bool
}

func (n requestReasons) any() bool {
	return n.waiting || n.scarceSpent || n.prefetch || n.unacknowledged || n.renewal
}

// refresh samples the demand, handles what has expired and gives back excess tokens. It returns the
// reasons to send a request.
func (a *account) refresh(now int64) requestReasons {
	a.sample(now)
	a.expire(now)
	a.refuseTimedOut(now)
	prefetch := a.prefetchTokens(now)
	available := int64(0)
	var n requestReasons
	if h := a.lease.Load(); h != nil {
		if excess := h.available.Load() - prefetch; excess > 0 && len(a.waiting) == 0 {
			h.giveBack(excess)
		}
		available = h.available.Load()
		n.unacknowledged = h.spent() != h.ackSpent || h.returned != h.ackReturned || h.refunded != h.ackRefunded
		n.renewal = available > 0 && now >= h.validUntil.Load()-int64(a.cfg.LeaseTTL)/2
	}
	n.scarceSpent = n.unacknowledged && a.scarce
	n.waiting = len(a.waiting) > 0 && now >= a.askAt
	n.prefetch = available < (prefetch+1)/2
	return n
}

// buildDemand returns the account's part of a lease request: the lease counters and the tokens it asks for.
func (a *account) buildDemand(now int64) *apiv1.TokenDemand {
	d := &apiv1.TokenDemand{Organisation: a.organisation, Waiting: uint32(len(a.waiting))}
	available := int64(0)
	if h := a.lease.Load(); h != nil {
		h.reportCount.Add(1)
		d.LeaseId = h.id
		d.Spent = h.spent()
		d.Returned = h.returned
		d.Refunded = h.refunded
		d.RefundStampNs = h.refundSince
		d.SpentAgeNs = max(0, now-h.lastSpent.Load())
		available = h.available.Load()
	}
	d.Want = uint32(max(0, a.prefetchTokens(now)-available)) + d.Waiting
	return d
}

// applyAnswer applies an answer. sent is the demand that it answers, sentAt the time when that was sent.
func (a *account) applyAnswer(now, sentAt int64, resp *apiv1.LeaseResponse, sent *apiv1.TokenDemand, g *apiv1.TokenGrant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.mayHold = g.GetHold()
	a.minGap = resp.GetMinGapNs()
	a.scarce = g.GetScarce()
	a.share = g.GetShare()
	a.reportWithin = g.GetReportWithinNs()
	wasAnswering := a.answering(now)
	a.forecastAt = now
	a.ownerStarting = g.GetLeaseId() == 0 && g.GetRetryAfterNs() > 0
	if !wasAnswering && !a.ownerStarting {
		a.answeringSince = now
	}
	a.nextAt = now + g.GetRetryAfterNs()
	a.clearAt = now + g.GetClearAfterNs()
	a.reportedWaiting = int(sent.GetWaiting())
	a.askAt = a.nextAt
	if !a.ownerStarting {
		a.askAt = min(a.nextAt, now+int64(a.cfg.RequestInterval))
	}
	a.applyGrant(now, sentAt, resp.GetOwnerTimeNs(), sent, g)
	a.refuseUnservable(now)
}

// applyGrant updates the lease and passes new tokens to waiting requests first.
func (a *account) applyGrant(now, sentAt, ownerTime int64, sent *apiv1.TokenDemand, g *apiv1.TokenGrant) {
	h := a.lease.Load()
	if g.GetLeaseId() == 0 && h != nil && sent.GetLeaseId() == h.id {
		// The owner has ended the lease and no longer needs its counters.
		h.acknowledge(sent)
	}
	if g.GetLeaseId() == 0 || (h != nil && g.GetLeaseId() < h.id) {
		return
	}
	if h == nil || g.GetLeaseId() > h.id {
		h = &heldLease{id: g.GetLeaseId()}
		a.lease.Store(h)
	}
	h.ownerTime.Store(max(h.ownerTime.Load(), ownerTime))
	if sent.GetLeaseId() == h.id {
		h.acknowledge(sent)
	}
	if valid := sentAt + g.GetTtlNs(); valid > h.validUntil.Load() {
		h.validUntil.Store(valid)
	}
	if g.GetTokens() <= h.granted {
		return
	}
	tokens := g.GetTokens() - h.granted
	h.granted = g.GetTokens()
	if now >= h.validUntil.Load() {
		h.returned += tokens
		return
	}
	for tokens > 0 && len(a.waiting) > 0 {
		h.markSpent(now)
		a.resolve(a.pop(), result{charge: a.charge(h)})
		tokens--
	}
	h.available.Add(int64(tokens))
}

// refund takes back a spent token. If its spending was not yet reported, the token can be spent again
// here while the lease is valid; else the refund is reported to the owner.
func (a *account) refund(c Charge, now int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := c.lease
	if c.reportCount != h.reportCount.Load() {
		h.refunded++
		if h.refundSince == 0 || c.ownerTime < h.refundSince {
			h.refundSince = c.ownerTime
		}
		return
	}
	if now >= h.validUntil.Load() || a.lease.Load() != h {
		h.returned++
		return
	}
	if len(a.waiting) > 0 {
		h.markSpent(now)
		a.resolve(a.pop(), result{charge: a.charge(h)})
		return
	}
	h.available.Add(1)
}

// park marks the account as inactive if it has no recent requests, holds no tokens and has nothing to report.
func (a *account) park(now int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now-a.lastActive < int64(accountIdle) || a.demand.Load() > 0 || a.refresh(now).any() || len(a.waiting) > 0 {
		return false
	}
	if h := a.lease.Load(); h != nil && h.available.Load() > 0 {
		return false
	}
	a.parked.Store(true)
	return true
}
