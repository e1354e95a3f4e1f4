package rate

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/outcome"
)

// accountStripes is the number of account maps over which organisations are spread by hash.
const accountStripes = 64

// accountIdle is how long an account without requests stays on the active list.
const accountIdle = 10 * time.Second

// notOwnerGap is the least time to the next request after a replica said that it is not the owner.
const notOwnerGap = 50 * time.Millisecond

// Identity names one run of a node's process.
type Identity struct {
	Node string
	// Incarnation is drawn at random at each start of the process.
	Incarnation uint64
}

// Charge is a spent token, which may be refunded. The zero Charge holds none.
type Charge struct {
	account *account
	lease   *heldLease
	// ownerTime is the owner's time in the latest answer before the token was spent.
	ownerTime int64
	// reportCount is the number of reports of the lease sent before the token was spent.
	reportCount uint64
}

// Valid reports whether the charge holds a spent token.
func (c Charge) Valid() bool {
	return c.lease != nil
}

// Refund takes back the token of a request that was provably not run. A charge may be
// refunded once.
func (c Charge) Refund() {
	if !c.Valid() {
		return
	}
	l := c.account.lessee
	c.account.refund(c, l.nanos(l.clock.Now()))
	l.markChanged(c.account)
}

// PendingRequest is a lease request to send, with the time that is needed to apply its answer.
type PendingRequest struct {
	Request *apiv1.LeaseRequest
	SentAt  time.Time
}

// shardState is the state of the requests to the owner of one shard.
type shardState struct {
	sequence uint64
	// pending is the sequence number of the request that awaits its answer; 0 if none.
	pending uint64
	// sentAt is when the latest request was sent, minGap the least time from it to the next.
	sentAt int64
	minGap int64
	// dirty is set when an account of the shard changed other than by spending.
	dirty atomic.Bool
	// refreshAt is when the accounts are refreshed again if none changed.
	refreshAt int64
}

// Lessee holds the leases of a node and spends their tokens. TryTake may be called from any
// number of goroutines and takes no lock while the node holds tokens.
type Lessee struct {
	cfg      Config
	identity Identity
	clock    clock.Clock
	origin   time.Time
	stripes  [accountStripes]atomic.Pointer[accountMap]

	mu     sync.Mutex
	shards []shardState
	// byShard lists the active accounts of each shard.
	byShard [][]*account
}

// accountMap is an immutable map of accounts by organisation.
type accountMap map[string]*account

// NewLessee returns a lessee without leases. clk gives the time of refunds; the other calls
// get their time from the caller, who reads the same clock.
func NewLessee(cfg Config, identity Identity, shards uint32, clk clock.Clock) *Lessee {
	shards = max(1, shards)
	l := &Lessee{
		cfg:      cfg.WithDefaults(),
		identity: identity,
		clock:    clk,
		origin:   clk.Now(),
		shards:   make([]shardState, shards),
		byShard:  make([][]*account, shards),
	}
	for i := range l.stripes {
		l.stripes[i].Store(&accountMap{})
	}
	return l
}

// nanos converts a time to nanoseconds of the lessee's time scale, which starts at 1.
func (l *Lessee) nanos(t time.Time) int64 {
	return int64(t.Sub(l.origin)) + 1
}

func (l *Lessee) stripe(organisation string) *atomic.Pointer[accountMap] {
	return &l.stripes[xxhash.Sum64String(organisation)%accountStripes]
}

// account returns the account of an organisation and creates it if needed.
func (l *Lessee) account(organisation string) *account {
	if a, ok := (*l.stripe(organisation).Load())[organisation]; ok {
		return a
	}
	return l.addAccount(organisation)
}

func (l *Lessee) addAccount(organisation string) *account {
	l.mu.Lock()
	defer l.mu.Unlock()
	stripe := l.stripe(organisation)
	old := *stripe.Load()
	if a, ok := old[organisation]; ok {
		return a
	}
	shard := ShardOf(organisation, uint32(len(l.shards)))
	a := &account{organisation: organisation, shard: shard, cfg: &l.cfg, lessee: l}
	grown := make(accountMap, len(old)+1)
	for name, other := range old {
		grown[name] = other
	}
	grown[organisation] = a
	stripe.Store(&grown)
	l.byShard[shard] = append(l.byShard[shard], a)
	return a
}

// TryTake spends a token if the node holds one.
func (l *Lessee) TryTake(now time.Time, organisation string) (Charge, bool) {
	a := l.account(organisation)
	a.demand.Add(1)
	return a.take(l.nanos(now))
}

// Enqueue makes a request wait for a token until deadline. It is refused at once when it is
// known that no token can come in time. It follows a TryTake that failed.
func (l *Lessee) Enqueue(now time.Time, organisation string, deadline time.Time) (*Ticket, *outcome.Refusal) {
	a := l.account(organisation)
	defer l.markChanged(a)
	at := l.nanos(now)
	limit := min(l.nanos(deadline), at+int64(l.cfg.MaxSilentOwnerWait))
	a.mu.Lock()
	defer a.mu.Unlock()
	t := &Ticket{account: a, since: at, deadline: limit, done: make(chan result, 1)}
	if len(a.waiting) == 0 {
		if charge, ok := a.take(at); ok {
			t.done <- result{charge: charge}
			return t, nil
		}
	}
	allowed := a.waitLimit(at, limit)
	if !a.ownerStarting {
		allowed = min(allowed, at+int64(l.cfg.MaxWait))
	}
	if expected, ok := a.expected(at, len(a.waiting)); ok && expected > allowed {
		return nil, a.refusal(at, expected)
	}
	a.waiting = append(a.waiting, t)
	a.queued.Add(1)
	return t, nil
}

// Cancel removes a waiting request. A token that it got meanwhile is refunded.
func (l *Lessee) Cancel(t *Ticket) {
	a := t.account
	a.mu.Lock()
	for i, other := range a.waiting {
		if other != t {
			continue
		}
		a.waiting = append(a.waiting[:i], a.waiting[i+1:]...)
		a.queued.Add(-1)
		break
	}
	a.mu.Unlock()
	if charge, _, ok := t.Poll(); ok {
		charge.Refund()
	}
}

// Timeout ends a wait at its deadline: with the token if one came, else with a refusal.
func (l *Lessee) Timeout(now time.Time, t *Ticket) (Charge, *outcome.Refusal) {
	a := t.account
	a.mu.Lock()
	a.refuseTimedOut(max(l.nanos(now), t.deadline))
	a.mu.Unlock()
	charge, refusal, _ := t.Poll()
	return charge, refusal
}

// Requests returns the lease requests that are due, at most one a shard, and when to call it again.
func (l *Lessee) Requests(now time.Time) (due []PendingRequest, next time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := l.nanos(now)
	wake := at + int64(l.cfg.ReportInterval)
	for shard := range l.shards {
		req, again := l.shardRequest(at, uint32(shard))
		wake = min(wake, again)
		if req != nil {
			due = append(due, PendingRequest{Request: req, SentAt: now})
		}
	}
	wake = max(wake, at+int64(time.Millisecond))
	return due, now.Add(time.Duration(wake - at))
}

// hasSent reports whether any lease request was sent so far.
func (l *Lessee) hasSent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.shards {
		if l.shards[i].sequence > 0 {
			return true
		}
	}
	return false
}

// shardRequest builds the request to the owner of a shard if it is due, and returns when to check again.
func (l *Lessee) shardRequest(now int64, shard uint32) (*apiv1.LeaseRequest, int64) {
	x := &l.shards[shard]
	if !x.dirty.Swap(false) && now < x.refreshAt {
		return nil, x.refreshAt
	}
	when, holdsTokens := l.dueAt(now, shard)
	x.refreshAt = now + int64(l.cfg.ReportInterval)
	if holdsTokens {
		x.refreshAt = now + int64(l.cfg.RequestInterval)/2
	}
	if when == math.MaxInt64 {
		return nil, x.refreshAt
	}
	earliest := max(when, x.sentAt+max(x.minGap, int64(l.cfg.MinGap)))
	if x.pending != 0 {
		earliest = max(earliest, x.sentAt+int64(l.cfg.RequestTimeout))
	}
	if now < earliest {
		x.refreshAt = min(x.refreshAt, earliest)
		return nil, x.refreshAt
	}
	x.sequence++
	x.pending = x.sequence
	x.sentAt = now
	req := &apiv1.LeaseRequest{
		Node:        l.identity.Node,
		Incarnation: l.identity.Incarnation,
		Sequence:    x.sequence,
		Shard:       shard,
	}
	req.Demands = l.demands(now, shard)
	x.refreshAt = min(x.refreshAt, now+int64(l.cfg.RequestTimeout))
	return req, x.refreshAt
}

// dueAt refreshes the accounts of a shard and returns when its next request is due, and
// whether the node holds tokens: spending them may make a request due earlier.
func (l *Lessee) dueAt(now int64, shard uint32) (due int64, holdsTokens bool) {
	due = math.MaxInt64
	sent := l.shards[shard].sentAt
	for _, a := range l.byShard[shard] {
		a.mu.Lock()
		n := a.refresh(now)
		if !n.waiting && len(a.waiting) > 0 {
			due = min(due, a.askAt)
		}
		reportWithin := a.reportWithin
		holdsTokens = holdsTokens || a.tokens(now) > 0
		a.mu.Unlock()
		switch {
		case n.waiting:
			due = min(due, now)
		case n.scarceSpent:
			due = min(due, sent+reportWithin)
		case n.prefetch || n.renewal:
			due = min(due, sent+int64(l.cfg.RequestInterval))
		case n.unacknowledged:
			due = min(due, sent+int64(l.cfg.ReportInterval))
		}
	}
	return due, holdsTokens
}

// demands collects the reports and requests of a shard's accounts.
func (l *Lessee) demands(now int64, shard uint32) []*apiv1.TokenDemand {
	var demands []*apiv1.TokenDemand
	for _, a := range l.byShard[shard] {
		a.mu.Lock()
		if a.refresh(now).any() {
			demands = append(demands, a.buildDemand(now))
		}
		a.mu.Unlock()
	}
	return demands
}

// ApplyResponse applies the answer to a request.
func (l *Lessee) ApplyResponse(now time.Time, out PendingRequest, resp *apiv1.LeaseResponse) {
	l.RequestDone(out)
	if resp.GetNotOwner() {
		l.setMinGap(out, notOwnerGap)
		return
	}
	l.setMinGap(out, time.Duration(resp.GetMinGapNs()))
	grants := make(map[string]*apiv1.TokenGrant, len(resp.GetGrants()))
	for _, g := range resp.GetGrants() {
		grants[g.GetOrganisation()] = g
	}
	for _, d := range out.Request.GetDemands() {
		if g, ok := grants[d.GetOrganisation()]; ok {
			l.account(d.GetOrganisation()).applyAnswer(l.nanos(now), l.nanos(out.SentAt), resp, d, g)
		}
	}
	l.shards[out.Request.GetShard()].dirty.Store(true)
}

// setMinGap sets the least time to the next request to the same owner.
func (l *Lessee) setMinGap(out PendingRequest, gap time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shards[out.Request.GetShard()].minGap = int64(gap)
}

// RequestDone records that a request is no longer in flight, answered or not.
func (l *Lessee) RequestDone(out PendingRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := &l.shards[out.Request.GetShard()]
	if x.pending == out.Request.GetSequence() {
		x.pending = 0
	}
	x.dirty.Store(true)
}

// ParkIdle takes accounts without recent requests off the active list, which Requests goes through. Their lease
// counters stay, since the owner may still know the lease.
func (l *Lessee) ParkIdle(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := l.nanos(now)
	for shard, accounts := range l.byShard {
		active := accounts[:0]
		for _, a := range accounts {
			if a.park(at) {
				continue
			}
			active = append(active, a)
		}
		clear(accounts[len(active):])
		l.byShard[shard] = active
	}
}

// markChanged makes the next call of Requests refresh the account's shard.
func (l *Lessee) markChanged(a *account) {
	l.unpark(a)
	l.shards[a.shard].dirty.Store(true)
}

// unpark puts an account back on the active list.
func (l *Lessee) unpark(a *account) {
	if !a.parked.Load() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.parked.CompareAndSwap(true, false) {
		l.byShard[a.shard] = append(l.byShard[a.shard], a)
	}
}
