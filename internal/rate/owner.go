package rate

import (
	"context"
	"sync"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/clock"
)

// firstEpoch is the epoch of the first owner that a shard ever had.
const firstEpoch = 1

// Ownership says which shards this replica owns.
type Ownership interface {
	// Owned returns the epoch of the ownership of a shard and when it began by the local clock.
	// ok is false as soon as the ownership lease can't be relied upon.
	Owned(shard uint32) (epoch uint64, since time.Time, ok bool)
}

// Limits looks up rate and burst in the configuration in force.
type Limits interface {
	// Limits returns tokens a second and the burst in tokens; ok is false for an unknown organisation.
	Limits(organisation string) (perSecond, burst float64, ok bool)
}

// Owner hosts the allocators of the shards that this replica owns.
type Owner struct {
	ownership Ownership
	limits    Limits
	clock     clock.Clock
	cfg       Config

	mu     sync.Mutex
	shards map[uint32]*ownedShard
}

// ownedShard is the allocator of one shard and epoch.
type ownedShard struct {
	mu        sync.Mutex
	epoch     uint64
	allocator *Allocator
}

// NewOwner returns an owner without allocators; each is created at the first request for its shard.
func NewOwner(o Ownership, l Limits, clk clock.Clock, cfg Config) *Owner {
	return &Owner{
		ownership: o,
		limits:    l,
		clock:     clk,
		cfg:       cfg.WithDefaults(),
		shards:    make(map[uint32]*ownedShard),
	}
}

// Lease answers a node's request. If this replica does not own the shard, the answer has NotOwner set.
func (o *Owner) Lease(_ context.Context, req *apiv1.LeaseRequest) (*apiv1.LeaseResponse, error) {
	epoch, since, ok := o.ownership.Owned(req.GetShard())
	if !ok {
		return &apiv1.LeaseResponse{Sequence: req.GetSequence(), NotOwner: true}, nil
	}
	s := o.shard(req.GetShard(), epoch, since)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := o.clock.Now()
	for _, d := range req.GetDemands() {
		if perSecond, burst, known := o.limits.Limits(d.GetOrganisation()); known {
			s.allocator.SetLimits(now, d.GetOrganisation(), perSecond, burst)
		}
	}
	return s.allocator.Lease(now, req), nil
}

// shard returns the allocator of the current epoch and creates it if needed. The first owner of a
// shard has no predecessor whose leases it would have to wait for.
func (o *Owner) shard(number uint32, epoch uint64, since time.Time) *ownedShard {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s, ok := o.shards[number]; ok && s.epoch == epoch {
		return s
	}
	start := since
	if epoch > firstEpoch {
		start = since.Add(o.cfg.TakeoverWait())
	}
	s := &ownedShard{epoch: epoch, allocator: NewAllocator(o.cfg, epoch, start)}
	o.shards[number] = s
	return s
}
