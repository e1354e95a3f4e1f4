package rate

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/outcome"
)

// demandTimeConstant is the time over which demand is averaged.
const demandTimeConstant = 200 * time.Millisecond

// demandSampleMin is the least time between two samples of demand.
const demandSampleMin = 20 * time.Millisecond

// forecastFresh is how long the owner's forecast is relied upon.
const forecastFresh = time.Second

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

// Ticket is the place of a waiting request in its account.
type Ticket struct {
	account  *account
	deadline int64
	done     chan result
}

// result is a token or the refusal of a waiting request.
type result struct {
	charge  Charge
	refusal *outcome.Refusal
}

// Poll returns the outcome of the wait; ok is false while it is open.
func (t *Ticket) Poll() (charge Charge, refusal *outcome.Refusal, ok bool) {
	select {
	case r := <-t.done:
		return r.charge, r.refusal, true
	default:
		return Charge{}, nil, false
	}
}

// account is what a node keeps of one organisation.
type account struct {
	organisation string
	shard        uint32
	cfg          *Config
	lessee       *Lessee
	lease        atomic.Pointer[holding]
	// demand counts requests since the last sample.
	demand atomic.Int64
	// parked is true while the account is off the lessee's active list.
	parked atomic.Bool
	// queued counts the waiting requests, so that arrivals don't overtake them.
	queued atomic.Int64

	mu      sync.Mutex
	waiting []*Ticket
	// busySince is when waiting was last empty.
	busySince int64
	// perSecond is the averaged demand.
	perSecond float64
	sampledAt int64
	// scarce is the owner's latest word on its bucket.
	scarce bool
	// share is the rate at which the owner expects to serve this node; 0 if unknown.
	share float64
	// askAt is when the owner expects the next token; no request for waiting ones goes out before.
	askAt int64
	// forecastAt is when the owner's word was received.
	forecastAt int64
	// reportWithin is how soon use should be reported while the bucket is scarce.
	reportWithin int64
	// hold is true when the burst allows a token to be held ahead of rare demand.
	hold bool
	// gap is the least time between two requests to the owner.
	gap int64
	// starting is true while a new owner of the shard grants nothing yet.
	starting bool
	// touched is the time of the last sample that saw a request.
	touched int64
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
func (a *account) charge(h *holding) Charge {
	return Charge{account: a, holding: h, stamp: h.stamp.Load(), reports: h.reports.Load()}
}

// sample folds the requests since the last sample into the averaged demand.
func (a *account) sample(now int64) {
	elapsed := time.Duration(now - a.sampledAt)
	if elapsed < demandSampleMin {
		return
	}
	count := a.demand.Swap(0)
	if count > 0 {
		a.touched = now
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/demandTimeConstant.Seconds())
	a.perSecond += weight * (float64(count)/elapsed.Seconds() - a.perSecond)
	a.sampledAt = now
}

// target returns the tokens to hold ahead of demand.
func (a *account) target(now int64) int64 {
	if a.scarce {
		return 0
	}
	horizon := max(a.cfg.Horizon, 2*time.Duration(a.gap))
	tokens := int64(math.Round(a.perSecond * horizon.Seconds()))
	if a.hold && a.touched > 0 && now-a.touched < int64(a.cfg.HoldTime) {
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

// news describes what an account has to tell its owner.
type news struct {
	// short is true when requests wait and the owner may have tokens by now.
	short bool
	// prompt is true when use of a scarce bucket should be reported soon.
	prompt bool
	// wants is true when tokens ahead of demand are missing.
	wants bool
	// reports is true when the owner does not know the counts of the lease.
	reports bool
	// renews is true when a lease with unspent tokens nears its end.
	renews bool
}

func (n news) any() bool {
	return n.short || n.prompt || n.wants || n.reports || n.renews
}

// review brings the account up to date and says what there is to tell.
func (a *account) review(now int64) news {
	a.sample(now)
	a.expire(now)
	a.dropLate(now)
	target := a.target(now)
	available := int64(0)
	var n news
	if h := a.lease.Load(); h != nil {
		if excess := h.available.Load() - target; excess > 0 && len(a.waiting) == 0 {
			h.giveBack(excess)
		}
		available = h.available.Load()
		n.reports = h.spent() != h.ackSpent || h.returned != h.ackReturned || h.refunded != h.ackRefunded
		n.renews = available > 0 && now >= h.validUntil.Load()-int64(a.cfg.LeaseTTL)/2
	}
	n.prompt = n.reports && a.scarce
	n.short = len(a.waiting) > 0 && now >= a.askAt
	n.wants = available < (target+1)/2
	return n
}

// message builds the report and request of the account.
func (a *account) message(now int64) *apiv1.TokenDemand {
	d := &apiv1.TokenDemand{Organisation: a.organisation, Waiting: uint32(len(a.waiting))}
	available := int64(0)
	if h := a.lease.Load(); h != nil {
		h.reports.Add(1)
		d.LeaseId = h.id
		d.Spent = h.spent()
		d.Returned = h.returned
		d.Refunded = h.refunded
		d.RefundStampNs = h.refundStamp
		d.SpentAgeNs = max(0, now-h.lastSpent.Load())
		available = h.available.Load()
	}
	d.Want = uint32(max(0, a.target(now)-available)) + d.Waiting
	return d
}

// accept applies an answer. sent is the demand that it answers, sentAt when that went out.
func (a *account) accept(now, sentAt int64, resp *apiv1.LeaseResponse, sent *apiv1.TokenDemand, g *apiv1.TokenGrant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.hold = g.GetHold()
	a.gap = resp.GetMinGapNs()
	a.scarce = g.GetScarce()
	a.share = g.GetShare()
	a.reportWithin = g.GetReportWithinNs()
	a.askAt = now + g.GetRetryAfterNs()
	a.forecastAt = now
	a.starting = g.GetLeaseId() == 0 && g.GetRetryAfterNs() > 0
	a.applyGrant(now, sentAt, resp.GetOwnerTimeNs(), sent, g)
	a.refuseHopeless(now)
}

// applyGrant updates the lease and serves waiting requests.
func (a *account) applyGrant(now, sentAt, stamp int64, sent *apiv1.TokenDemand, g *apiv1.TokenGrant) {
	h := a.lease.Load()
	if g.GetLeaseId() == 0 || (h != nil && g.GetLeaseId() < h.id) {
		return
	}
	if h == nil || g.GetLeaseId() > h.id {
		h = &holding{id: g.GetLeaseId()}
		a.lease.Store(h)
	}
	h.stamp.Store(max(h.stamp.Load(), stamp))
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

// acknowledge notes what the owner now knows.
func (h *holding) acknowledge(sent *apiv1.TokenDemand) {
	h.ackSpent = max(h.ackSpent, sent.GetSpent())
	h.ackReturned = max(h.ackReturned, sent.GetReturned())
	h.ackRefunded = max(h.ackRefunded, sent.GetRefunded())
	if h.ackRefunded == h.refunded {
		h.refundStamp = 0
	}
}

// pop removes the first waiting request.
func (a *account) pop() *Ticket {
	t := a.waiting[0]
	a.waiting[0] = nil
	a.waiting = a.waiting[1:]
	return t
}

func (a *account) resolve(t *Ticket, r result) {
	a.queued.Add(-1)
	t.done <- r
}

// expected returns when a request at the given place of the queue can get a token;
// ok is false if that can't be told.
func (a *account) expected(now int64, place int) (at int64, ok bool) {
	if a.starting {
		return a.askAt, true
	}
	if a.share <= 0 || now-a.forecastAt > int64(forecastFresh) {
		return 0, false
	}
	wait := float64(place+1) / a.share * float64(time.Second)
	return a.forecastAt + int64(wait), true
}

// patience returns until when an arrival may wait if its wait can be told. A list that does
// not become empty stems from demand above the rate; a long wait would not lessen it.
func (a *account) patience(now, limit int64) int64 {
	if len(a.waiting) == 0 {
		a.busySince = now
	}
	if now-a.busySince > int64(a.cfg.MaxWait) {
		return min(limit, now+int64(a.cfg.OverloadWait))
	}
	return limit
}

// refuseHopeless refuses waiting requests that can't get a token before their deadline.
func (a *account) refuseHopeless(now int64) {
	kept := a.waiting[:0]
	for _, t := range a.waiting {
		at, ok := a.expected(now, len(kept))
		if ok && at > t.deadline {
			a.resolve(t, result{refusal: a.refusal(now, at)})
			continue
		}
		kept = append(kept, t)
	}
	clear(a.waiting[len(kept):])
	a.waiting = kept
}

// dropLate refuses waiting requests whose deadline has passed.
func (a *account) dropLate(now int64) {
	kept := a.waiting[:0]
	for _, t := range a.waiting {
		if now >= t.deadline {
			a.resolve(t, result{refusal: a.lateRefusal(now)})
			continue
		}
		kept = append(kept, t)
	}
	clear(a.waiting[len(kept):])
	a.waiting = kept
}

// refusal says that no token can come in time.
func (a *account) refusal(now, at int64) *outcome.Refusal {
	after := time.Duration(at - now)
	if a.starting {
		return outcome.NotRun(outcome.RateUnavailable, after, "the rate owner of %s starts", a.organisation)
	}
	return outcome.NotRun(outcome.RateExceeded, after, "no token of %s is free in time", a.organisation)
}

// lateRefusal says that no token came in time.
func (a *account) lateRefusal(now int64) *outcome.Refusal {
	if now-a.forecastAt > int64(forecastFresh) {
		return outcome.NotRun(outcome.RateUnavailable, a.cfg.LeaseTTL, "the rate owner of %s does not answer", a.organisation)
	}
	after := int64(a.cfg.Interval)
	if at, ok := a.expected(now, len(a.waiting)); ok {
		after = max(after, at-now)
	}
	return outcome.NotRun(outcome.RateExceeded, time.Duration(after), "no token of %s came in time", a.organisation)
}

// refund takes back a spent token. One whose spending was not yet reported can be spent
// again here; the refund of another is reported to the owner.
func (a *account) refund(c Charge, now int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := c.holding
	if c.reports != h.reports.Load() {
		h.refunded++
		if h.refundStamp == 0 || c.stamp < h.refundStamp {
			h.refundStamp = c.stamp
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

// park marks the account as inactive if it has neither requests nor anything to tell.
func (a *account) park(now int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now-a.touched < int64(accountIdle) || a.demand.Load() > 0 || a.review(now).any() || len(a.waiting) > 0 {
		return false
	}
	if h := a.lease.Load(); h != nil && h.available.Load() > 0 {
		return false
	}
	a.parked.Store(true)
	return true
}
