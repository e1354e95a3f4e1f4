package control

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/config"
	"github.com/guavaford/guavaford/internal/store"
)

// The owner of a rate shard may grant tokens only within ownershipLease after the start of a quorum
// round that confirmed a state in which it is the owner. A new owner learns of its assignment from
// a round that began after the assignment was committed, hence after every round that confirmed the
// old owner. From then on it waits for ownershipLease and the lifetime of a token lease
// (rate.Config.TakeoverWait) before it grants tokens.
const (
	ownershipLease         = 300 * time.Millisecond
	ownershipRenewInterval = 75 * time.Millisecond
)

// ownership implements rate.Ownership: it knows which rate shards this process owns.
type ownership struct {
	r     *Replica
	state atomic.Pointer[confirmedOwners]

	mu sync.Mutex
	// since is when this process learned of each ownership.
	since map[shardEpoch]time.Time
}

// confirmedOwners are the owners that a quorum round confirmed, and when the round began.
type confirmedOwners struct {
	started time.Time
	owners  []*apiv1.ShardOwner
}

type shardEpoch struct {
	shard uint32
	epoch uint64
}

func newOwnership(r *Replica) *ownership {
	return &ownership{r: r, since: map[shardEpoch]time.Time{}}
}

// update stores the owners confirmed by a quorum round that began at started.
func (o *ownership) update(started time.Time, head *store.PublishedState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.r.o.Clock.Now()
	current := map[shardEpoch]time.Time{}
	for _, owner := range head.Owners {
		if !o.isSelf(owner) {
			continue
		}
		key := shardEpoch{owner.Shard, owner.Epoch}
		since, ok := o.since[key]
		if !ok {
			since = now
		}
		current[key] = since
	}
	o.since = current
	if o.state.Swap(&confirmedOwners{started: started, owners: head.Owners}) == nil {
		// The other replicas learn at once that a quorum confirms the state of this one.
		o.r.relay.NotifyWaiters()
	}
}

// isSelf reports whether this process is the owner. The incarnation must match too: a restarted
// process does not know what it granted before and needs a new epoch.
func (o *ownership) isSelf(owner *apiv1.ShardOwner) bool {
	return owner.Replica == o.r.view.Load().identity.Replica && owner.Incarnation == o.r.o.Identity.Incarnation
}

// Owned returns the epoch of this process's ownership of a shard and when the process learned of it.
// ok is false if it is not the owner or the last confirmation is too old.
func (o *ownership) Owned(shard uint32) (epoch uint64, since time.Time, ok bool) {
	state := o.state.Load()
	if state == nil || int(shard) >= len(state.owners) {
		return 0, time.Time{}, false
	}
	owner := state.owners[shard]
	if !o.isSelf(owner) || o.r.o.Clock.Now().Sub(state.started) >= ownershipLease {
		return 0, time.Time{}, false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	since, ok = o.since[shardEpoch{shard, owner.Epoch}]
	return owner.Epoch, since, ok
}

// confirmationAge returns the time since the start of the last quorum round that confirmed the state of this replica; 0
// before the first one.
func (o *ownership) confirmationAge() time.Duration {
	state := o.state.Load()
	if state == nil {
		return 0
	}
	return o.r.o.Clock.Now().Sub(state.started)
}

// renewOwnership renews the confirmation by a quorum while this process owns a shard or, at longer intervals, while it
// holds back responses to heartbeats.
func (r *Replica) renewOwnership(ctx context.Context) {
	for clock.Sleep(ctx, ownershipRenewInterval) {
		held := r.heldPolls.any() && r.ownership.confirmationAge() >= heldRenewAge
		if held || slices.ContainsFunc(r.store.PublishedState().Load().Owners, r.ownership.isSelf) {
			r.confirmer.wait(ctx)
		}
	}
}

// Lease answers a node's request for tokens.
func (r *Replica) Lease(ctx context.Context, request *apiv1.LeaseRequest) (*apiv1.LeaseResponse, error) {
	return r.owner.Lease(ctx, request)
}

// limits looks up rate limits in the configuration that is applied here.
type limits struct {
	store    *store.Store
	mu       sync.Mutex
	compiled atomic.Pointer[config.Snapshot]
	compiler config.Compiler
}

func newLimits(s *store.Store) *limits {
	return &limits{store: s}
}

// Limits returns the rate and burst of an organisation.
func (l *limits) Limits(organisation string) (perSecond, burst float64, ok bool) {
	snapshot := l.current()
	if snapshot == nil {
		return 0, 0, false
	}
	org, ok := snapshot.Organisations[organisation]
	if !ok {
		return 0, 0, false
	}
	return org.Rate, org.Burst, true
}

// current returns the compiled configuration. It is compiled once for each revision; if that fails,
// the last compiled one stays in use.
func (l *limits) current() *config.Snapshot {
	revision := l.store.PublishedState().Load().Revision
	if compiled := l.compiled.Load(); compiled != nil && compiled.Revision >= revision {
		return compiled
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if compiled := l.compiled.Load(); compiled != nil && compiled.Revision >= revision {
		return compiled
	}
	source := l.store.ConfigSnapshot()
	compiled, err := l.compiler.Compile(source.Revision, source.Resources)
	if err != nil {
		return l.compiled.Load()
	}
	l.compiled.Store(compiled)
	return compiled
}
