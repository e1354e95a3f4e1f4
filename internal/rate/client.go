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

// Client charges requests at a node. It drives a Lessee against the owners that the
// placement names.
type Client struct {
	cfg       Config
	identity  Identity
	sender    Sender
	placement *blackboard.Section[apiv1.Placement]
	clock     clock.Clock
	wake      chan struct{}
	requests  sync.WaitGroup

	lessee *blackboard.Section[Lessee]
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

// Take spends a token and waits for one if needed, at most until the deadline of ctx. The
// refusal says when to come back and comes at once if no token can come in time.
func (c *Client) Take(ctx context.Context, organisation string) (Charge, *outcome.Refusal) {
	l := c.lessee.Load()
	now := c.clock.Now()
	if charge, ok := l.TryTake(now, organisation); ok {
		return charge, nil
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
	return c.wait(ctx, l, ticket, min(deadline.Sub(now), c.cfg.OwnerWait))
}

func (c *Client) wait(ctx context.Context, l *Lessee, ticket *Ticket, limit time.Duration) (Charge, *outcome.Refusal) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case r := <-ticket.done:
		return r.charge, r.refusal
	case <-timer.C:
		return l.Abandon(c.clock.Now(), ticket)
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return l.Abandon(c.clock.Now(), ticket)
		}
		l.Cancel(ticket)
		return Charge{}, outcome.NotRun(outcome.Cancelled, 0, "cancelled while it waited for a token")
	}
}

// Wake makes Run look for due requests at once.
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
		l := c.current(placement)
		now := c.clock.Now()
		if now.Sub(parked) >= parkInterval {
			l.Park(now)
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

// current returns the lessee for the shards of the placement. A change of their number
// drops all leases, whose tokens stay out until their validity ends; the next incarnation
// keeps the owners from taking the new leases for the old ones.
func (c *Client) current(placement *apiv1.Placement) *Lessee {
	l := c.lessee.Load()
	shards := max(1, placement.GetRateShards())
	if int(shards) == len(l.shards) {
		return l
	}
	c.identity.Incarnation++
	l = NewLessee(c.cfg, c.identity, shards, c.clock)
	c.lessee.Publish(l)
	return l
}

// send sends one request in the background.
func (c *Client) send(ctx context.Context, l *Lessee, placement *apiv1.Placement, out Outgoing) {
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
		l.Accept(c.clock.Now(), out, resp)
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
