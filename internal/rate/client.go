package rate

import (
	"context"
	"errors"
	"sync"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/blackboard"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/outcome"
)

// parkInterval is the time between two searches for inactive accounts.
const parkInterval = 10 * time.Second

// Sender sends a lease request to the control replica at an address.
type Sender interface {
	Lease(ctx context.Context, address string, r *apiv1.LeaseRequest) (*apiv1.LeaseResponse, error)
}

// Client takes the tokens for a node's requests. It exchanges the lease requests of a Lessee with the
// owners that the placement names.
type Client struct {
	cfg       Config
	identity  Identity
	sender    Sender
	placement *blackboard.Section[apiv1.Placement]
	clock     clock.Clock
	wake      chan struct{}
	requests  sync.WaitGroup

	lessee *blackboard.Section[Lessee]
	// fallback limits spending while an owner is silent; nil when requests wait for a silent owner.
	fallback *fallbackLimiter
}

// SetSilentOwnerShare lets the node spend its share of the rate while an owner is silent. It must be called before Run.
func (c *Client) SetSilentOwnerShare(share SilentOwnerShare) {
	c.fallback = newFallbackLimiter(share)
}

// NewClient returns a client; Run must be running for tokens to arrive.
func NewClient(identity Identity, sender Sender, placement *blackboard.Section[apiv1.Placement], clk clock.Clock, cfg Config) *Client {
	c := &Client{
		cfg:       cfg.WithDefaults(),
		identity:  identity,
		sender:    sender,
		placement: placement,
		clock:     clk,
		wake:      make(chan struct{}, 1),
	}
	shards := max(1, placement.Load().GetRateShards())
	c.lessee = blackboard.NewSection(NewLessee(c.cfg, identity, shards, clk))
	return c
}

// TryTake spends a token that the node holds. It allocates nothing.
func (c *Client) TryTake(organisation string) (Charge, bool) {
	return c.lessee.Load().TryTake(c.clock.Now(), organisation)
}

// Take spends a token and waits for one if needed, at most until the deadline of ctx. A request is
// refused at once if no token can come in time; the refusal says when to try again.
func (c *Client) Take(ctx context.Context, organisation string) (Charge, *outcome.Refusal) {
	l := c.lessee.Load()
	now := c.clock.Now()
	if charge, ok := l.TryTake(now, organisation); ok {
		c.recordSpent(now, organisation)
		return charge, nil
	}
	if c.fallback != nil && l.OwnerSilent(now, organisation) {
		c.Wake()
		return c.takeFallback(now, organisation)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(c.cfg.MaxWait)
	}
	ticket, refusal := l.Enqueue(now, organisation, deadline)
	if refusal != nil {
		return Charge{}, refusal
	}
	c.Wake()
	limit := min(deadline.Sub(now), c.cfg.MaxSilentOwnerWait)
	if c.fallback == nil {
		return c.wait(ctx, l, ticket, limit)
	}
	charge, refusal, ok := c.waitForOwner(ctx, l, ticket)
	if !ok && l.OwnerSilent(c.clock.Now(), organisation) {
		l.Cancel(ticket)
		return c.takeFallback(c.clock.Now(), organisation)
	}
	if !ok {
		charge, refusal = c.wait(ctx, l, ticket, limit-silentAfter)
	}
	if refusal == nil {
		c.recordSpent(c.clock.Now(), organisation)
	}
	return charge, refusal
}

// recordSpent counts a token that was spent on lease.
func (c *Client) recordSpent(now time.Time, organisation string) {
	if c.fallback != nil {
		c.fallback.recordSpent(now, organisation, c.lessee.Load().TokensScarce(organisation))
	}
}

// waitForOwner waits for silentAfter, the time in which an owner that is not silent answers. ok is false if no
// outcome came.
func (c *Client) waitForOwner(ctx context.Context, l *Lessee, ticket *Ticket) (Charge, *outcome.Refusal, bool) {
	timer := time.NewTimer(silentAfter)
	defer timer.Stop()
	select {
	case r := <-ticket.done:
		return r.charge, r.refusal, true
	case <-timer.C:
		return Charge{}, nil, false
	case <-ctx.Done():
		charge, refusal := c.wait(ctx, l, ticket, 0)
		return charge, refusal, true
	}
}

// takeFallback spends from the node's share of the rate while the owner is silent.
func (c *Client) takeFallback(now time.Time, organisation string) (Charge, *outcome.Refusal) {
	if c.fallback.take(now, organisation) {
		return Charge{}, nil
	}
	return Charge{}, outcome.NotRun(outcome.RateUnavailable, c.cfg.LeaseTTL/2, "the rate owner of %s does not answer, and this node has spent its share of the rate", organisation)
}

func (c *Client) wait(ctx context.Context, l *Lessee, ticket *Ticket, limit time.Duration) (Charge, *outcome.Refusal) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case r := <-ticket.done:
		return r.charge, r.refusal
	case <-timer.C:
		return l.Timeout(c.clock.Now(), ticket)
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return l.Timeout(c.clock.Now(), ticket)
		}
		l.Cancel(ticket)
		return Charge{}, outcome.NotRun(outcome.Cancelled, 0, "cancelled while the request waited for a rate token")
	}
}

// Wake makes Run check for due requests at once.
func (c *Client) Wake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run exchanges lease requests with the owners until ctx ends.
func (c *Client) Run(ctx context.Context) {
	defer c.requests.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	parked := c.clock.Now()
	for {
		placement, changed := c.placement.Watch()
		l := c.currentLessee(placement)
		now := c.clock.Now()
		if now.Sub(parked) >= parkInterval {
			l.ParkIdle(now)
			parked = now
		}
		due, next := l.Requests(now)
		for _, out := range due {
			c.send(ctx, l, placement, out)
		}
		timer.Reset(next.Sub(now))
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-c.wake:
		case <-timer.C:
		}
	}
}

// currentLessee returns the lessee for the number of shards in the placement. A change of that number
// drops all leases, whose tokens stay outstanding until their validity ends. The new lessee gets the next
// incarnation, which keeps the owners from taking the new leases for the old ones. If no request was sent yet,
// there are no leases, and the incarnation stays.
func (c *Client) currentLessee(placement *apiv1.Placement) *Lessee {
	l := c.lessee.Load()
	shards := max(1, placement.GetRateShards())
	if int(shards) == len(l.shards) {
		return l
	}
	if l.hasSent() {
		c.identity.Incarnation++
	}
	l = NewLessee(c.cfg, c.identity, shards, c.clock)
	c.lessee.Publish(l)
	return l
}

// send sends one request in the background.
func (c *Client) send(ctx context.Context, l *Lessee, placement *apiv1.Placement, out PendingRequest) {
	owner := ownerOf(placement, out.Request.GetShard())
	if owner == nil {
		return
	}
	out.Request.Epoch = owner.GetEpoch()
	c.requests.Add(1)
	go func() {
		defer c.requests.Done()
		ctx, cancel := context.WithTimeout(ctx, c.cfg.LeaseTTL)
		defer cancel()
		resp, err := c.sender.Lease(ctx, owner.GetAddress(), out.Request)
		if err != nil {
			return
		}
		l.ApplyResponse(c.clock.Now(), out, resp)
		c.Wake()
	}()
}

func ownerOf(placement *apiv1.Placement, shard uint32) *apiv1.ShardOwner {
	for _, owner := range placement.GetRateOwners() {
		if owner.GetShard() == shard {
			return owner
		}
	}
	return nil
}
