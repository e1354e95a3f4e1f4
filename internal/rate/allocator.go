package rate

import (
	"container/list"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// waitingReportTTL is how long a node counts as waiting after its last report.
const waitingReportTTL = 300 * time.Millisecond

// reserveFraction is the part of the burst that is never leased ahead of demand.
const reserveFraction = 0.25

// reportFraction is the part of the time to fill the burst within which spent tokens of a scarce bucket
// are reported.
const reportFraction = 0.125

// leaseCounterBits is the width of the counter in the low bits of a lease id; the epoch is above it.
const leaseCounterBits = 40

// nodeKey identifies one run of a node's process.
type nodeKey struct {
	node        string
	incarnation uint64
}

// lease is the owner's record of the tokens that one node holds of one organisation.
type lease struct {
	id     uint64
	key    nodeKey
	bucket *bucket
	// granted, spent, returned and refunded are totals since the lease began.
	granted  uint64
	spent    uint64
	returned uint64
	refunded uint64
	expires  time.Time
	// expiryElement is the place in Allocator.leases.
	expiryElement *list.Element
	// unmet counts the requests that wait at the node without a token.
	unmet uint64
	// waitingAt is when the node last reported waiting requests.
	waitingAt time.Time
	// waitingElement is the place among the waiting leases of the bucket; nil if the node does not wait.
	waitingElement *list.Element
	// lastServed is when tokens were last granted; orderIndex is the place in bucket.order.
	lastServed time.Time
	orderIndex int
}

func (l *lease) outstanding() uint64 {
	return l.granted - l.spent - l.returned
}

// session is what the owner remembers of one run of a node's process.
type session struct {
	key      nodeKey
	sequence uint64
	seen     time.Time
	element  *list.Element
}

// Allocator owns the buckets of one shard for one epoch. It is not safe for concurrent use.
type Allocator struct {
	cfg     Config
	epoch   uint64
	start   time.Time
	now     time.Time
	buckets map[string]*bucket
	// leases and sessionsByAge are ordered by expiry, since each renewal moves an entry to the end.
	leases        *list.List
	sessions      map[nodeKey]*session
	sessionsByAge *list.List
	counter       uint64
}

// NewAllocator returns an allocator that grants nothing before start. Its buckets begin with no more than
// Config.StartCredit.
func NewAllocator(cfg Config, epoch uint64, start time.Time) *Allocator {
	return &Allocator{
		cfg:           cfg.WithDefaults(),
		epoch:         epoch,
		start:         start,
		now:           start,
		buckets:       make(map[string]*bucket),
		leases:        list.New(),
		sessions:      make(map[nodeKey]*session),
		sessionsByAge: list.New(),
	}
}

// SetLimits sets the rate and burst of an organisation from now on.
func (a *Allocator) SetLimits(now time.Time, organisation string, perSecond, burst float64) {
	a.advance(now)
	if b, ok := a.buckets[organisation]; ok {
		b.setLimits(a.now, perSecond, burst)
		return
	}
	b := newBucket(organisation, perSecond, burst, a.cfg.drift(), a.start)
	b.level = min(perSecond*a.cfg.StartCredit.Seconds(), burst)
	a.buckets[organisation] = b
}

// advance moves the allocator's time, which never runs backwards.
func (a *Allocator) advance(now time.Time) {
	if now.After(a.now) {
		a.now = now
	}
}

// Lease applies the reports of a node and grants tokens. Organisations without limits get no grant.
func (a *Allocator) Lease(now time.Time, req *apiv1.LeaseRequest) *apiv1.LeaseResponse {
	a.Expire(now)
	resp := &apiv1.LeaseResponse{Sequence: req.GetSequence(), Epoch: a.epoch, OwnerTimeNs: int64(a.now.Sub(a.start))}
	if now.Before(a.start) {
		a.refuseUntilStart(now, req, resp)
		return resp
	}
	key := nodeKey{node: req.GetNode(), incarnation: req.GetIncarnation()}
	newSequence := a.touchSession(key, req.GetSequence())
	for _, d := range req.GetDemands() {
		b, ok := a.buckets[d.GetOrganisation()]
		if !ok {
			continue
		}
		resp.Grants = append(resp.Grants, a.serve(b, key, d, newSequence))
	}
	resp.MinGapNs = int64(a.minGap())
	return resp
}

// refuseUntilStart tells a node how long to wait until this owner begins to grant.
func (a *Allocator) refuseUntilStart(now time.Time, req *apiv1.LeaseRequest, resp *apiv1.LeaseResponse) {
	wait := int64(a.start.Sub(now))
	for _, d := range req.GetDemands() {
		resp.Grants = append(resp.Grants, &apiv1.TokenGrant{Organisation: d.GetOrganisation(), RetryAfterNs: wait})
	}
}

// touchSession records the sequence number of a request and reports whether it is greater than all before it.
func (a *Allocator) touchSession(key nodeKey, sequence uint64) bool {
	s, ok := a.sessions[key]
	if !ok {
		s = &session{key: key}
		s.element = a.sessionsByAge.PushBack(s)
		a.sessions[key] = s
	}
	s.seen = a.now
	a.sessionsByAge.MoveToBack(s.element)
	if sequence <= s.sequence {
		return false
	}
	s.sequence = sequence
	return true
}

// minGap returns the least time between two requests of a node, so that all nodes together stay at the
// owner's request rate.
func (a *Allocator) minGap() time.Duration {
	gap := time.Duration(float64(len(a.sessions)) / a.cfg.OwnerRequestsPerSecond * float64(time.Second))
	return max(gap, a.cfg.MinGap)
}

// serve handles the demand of one node for one organisation.
func (a *Allocator) serve(b *bucket, key nodeKey, d *apiv1.TokenDemand, newSequence bool) *apiv1.TokenGrant {
	b.accrue(a.now)
	b.dropStaleWaiters(a.now)
	l := b.leases[key]
	if l != nil && l.id == d.GetLeaseId() {
		a.applyReport(l, d)
	}
	if l == nil {
		if d.GetWant() == 0 || !newSequence {
			return &apiv1.TokenGrant{Organisation: b.organisation, LeaseId: 0, Scarce: b.scarce()}
		}
		l = a.openLease(b, key)
	}
	a.renew(l)
	unmet := uint64(0)
	if newSequence {
		unmet = a.grant(b, l, d)
	}
	g := &apiv1.TokenGrant{
		Organisation: b.organisation,
		LeaseId:      l.id,
		Tokens:       l.granted,
		TtlNs:        int64(a.cfg.LeaseTTL),
		Scarce:       b.scarce(),
		Hold:         b.allowsHolding(),
	}
	if g.Scarce {
		g.ReportWithinNs = int64(a.reportWithin(b))
	}
	if unmet > 0 {
		a.forecast(b, l, g)
	}
	return g
}

// applyReport applies the totals that a node reports of its lease. Totals that decrease or
// exceed what was granted are ignored.
func (a *Allocator) applyReport(l *lease, d *apiv1.TokenDemand) {
	spent := max(l.spent, d.GetSpent())
	returned := max(l.returned, d.GetReturned())
	if spent > l.granted || returned > l.granted-spent {
		return
	}
	age := time.Duration(float64(d.GetSpentAgeNs()) * (1 - 2*a.cfg.drift()))
	b := l.bucket
	b.giveBack(returned - l.returned)
	b.spend(a.now, spent-l.spent, age)
	l.spent = spent
	l.returned = returned
	if refunded := min(d.GetRefunded(), spent); refunded > l.refunded {
		b.refund(refunded-l.refunded, a.start.Add(time.Duration(d.GetRefundStampNs())))
		l.refunded = refunded
	}
}

// openLease starts a lease with the next id.
func (a *Allocator) openLease(b *bucket, key nodeKey) *lease {
	a.counter++
	l := &lease{id: a.epoch<<leaseCounterBits | a.counter, key: key, bucket: b}
	l.expiryElement = a.leases.PushBack(l)
	b.leases[key] = l
	return l
}

// renew extends a lease. It is called before every answer that carries the lease's id.
func (a *Allocator) renew(l *lease) {
	l.expires = a.now.Add(a.cfg.ownerTTL())
	a.leases.MoveToBack(l.expiryElement)
}

// grant adds tokens to a lease and returns how many waiting requests remain without one.
//
// Waiting requests come first. While several nodes wait, each gets an equal part of the
// level, and the last token is kept for the node that is next in the order. Tokens ahead of
// demand are granted only while no node waits, up to half of what exceeds the reserve.
func (a *Allocator) grant(b *bucket, l *lease, d *apiv1.TokenDemand) uint64 {
	waiting := uint64(d.GetWaiting())
	b.setWaiting(l, a.now, waiting)
	tokens := min(waiting, b.grantable(l))
	unmet := waiting - tokens
	b.setWaiting(l, a.now, unmet)
	if ahead := uint64(d.GetWant()); ahead > waiting && b.waiting.Len() == 0 {
		spare := wholeTokens((b.level - float64(tokens) - reserveFraction*b.burst) / 2)
		tokens += min(ahead-waiting, spare)
	}
	if tokens > 0 {
		b.grant(tokens)
		l.granted += tokens
		b.markServed(l, a.now, unmet > 0)
	}
	return unmet
}

// grantable returns how many tokens a lease may get now for its waiting requests.
func (b *bucket) grantable(l *lease) uint64 {
	available := wholeTokens(b.level)
	others := b.waiting.Len()
	if l.waitingElement != nil {
		others--
	}
	if others == 0 || available == 0 {
		return available
	}
	equal := max(1, available/uint64(others+1))
	if b.order.isFirst(l) {
		return equal
	}
	return min(available-1, equal)
}

// markServed records that a lease got tokens now; one that still waits moves back in the order.
func (b *bucket) markServed(l *lease, now time.Time, waits bool) {
	if waits {
		b.order.remove(l)
	}
	l.lastServed = now
	if waits {
		b.order.add(l)
	}
}

func wholeTokens(level float64) uint64 {
	if level < 1 {
		return 0
	}
	return uint64(level)
}

// setWaiting records how many requests wait at the node of a lease.
func (b *bucket) setWaiting(l *lease, now time.Time, unmet uint64) {
	b.unmet += unmet - l.unmet
	l.unmet = unmet
	waits := unmet > 0
	switch {
	case waits && l.waitingElement == nil:
		l.waitingElement = b.waiting.PushBack(l)
		b.order.add(l)
	case waits:
		b.waiting.MoveToBack(l.waitingElement)
	case l.waitingElement != nil:
		b.waiting.Remove(l.waitingElement)
		l.waitingElement = nil
		b.order.remove(l)
	}
	l.waitingAt = now
}

// dropStaleWaiters no longer counts nodes as waiting that have not repeated it within waitingReportTTL.
func (b *bucket) dropStaleWaiters(now time.Time) {
	for e := b.waiting.Front(); e != nil; e = b.waiting.Front() {
		l := e.Value.(*lease)
		if now.Sub(l.waitingAt) < waitingReportTTL {
			return
		}
		b.setWaiting(l, now, 0)
	}
}

// scarce reports whether nodes should report spent tokens soon and hold none ahead of demand.
func (b *bucket) scarce() bool {
	return b.waiting.Len() > 0 || b.level < reserveFraction*b.burst
}

// allowsHolding reports whether every node that has a lease may hold one token ahead, whatever its
// demand. These tokens take up to half of the burst above the reserve; the rest is left for demand
// that moves between nodes.
func (b *bucket) allowsHolding() bool {
	return float64(len(b.leases)) <= (1-reserveFraction)*b.burst/2
}

// reportWithin returns how soon nodes should report spent tokens, so that unreported ones
// occupy only a small part of the burst.
func (a *Allocator) reportWithin(b *bucket) time.Duration {
	if b.perSecond <= 0 {
		return a.cfg.RequestInterval
	}
	fill := b.burst / b.perSecond * float64(time.Second)
	return min(max(time.Duration(fill*reportFraction), a.cfg.MinGap), a.cfg.RequestInterval)
}

// forecast tells a waiting node when its next token may come, and at which rate tokens come after that.
// While tokens out on lease fill the burst the bucket gains nothing, so only a time to ask
// again can be given.
func (a *Allocator) forecast(b *bucket, l *lease, g *apiv1.TokenGrant) {
	if b.perSecond <= 0 {
		g.RetryAfterNs = int64(a.cfg.MaxWait)
		return
	}
	missing := max(0, b.order.rank(l, a.now)+1-b.level)
	untilServed := time.Duration(missing / b.perSecond * float64(time.Second))
	g.RetryAfterNs = int64(max(untilServed, a.cfg.MinGap))
	if b.occupied()+1 <= b.burst {
		g.Share = b.perSecond / float64(b.waiting.Len())
		g.ClearAfterNs = int64(max(0, float64(b.unmet)-b.level) / b.perSecond * float64(time.Second))
	}
}

// Expire ends leases that were not renewed in time, and removes idle buckets and old sessions.
func (a *Allocator) Expire(now time.Time) {
	a.advance(now)
	for e := a.leases.Front(); e != nil; e = a.leases.Front() {
		l := e.Value.(*lease)
		if l.expires.After(a.now) {
			break
		}
		a.endLease(l)
	}
	for e := a.sessionsByAge.Front(); e != nil; e = a.sessionsByAge.Front() {
		s := e.Value.(*session)
		if a.now.Sub(s.seen) < 2*a.cfg.ownerTTL() {
			break
		}
		a.sessionsByAge.Remove(e)
		delete(a.sessions, s.key)
	}
}

// endLease ends a lease. Its outstanding tokens may have been spent without a report, so they are not
// credited to the bucket.
func (a *Allocator) endLease(l *lease) {
	b := l.bucket
	b.accrue(l.expires)
	b.setWaiting(l, a.now, 0)
	b.forfeit(l.outstanding())
	b.accrue(a.now)
	a.leases.Remove(l.expiryElement)
	delete(b.leases, l.key)
	if b.idle() {
		delete(a.buckets, b.organisation)
	}
}
