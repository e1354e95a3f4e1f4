package control

import (
	"context"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/peer"
	"github.com/guavaford/guavaford/internal/replica"
)

// Limits for the exchange of the registry between replicas.
const (
	exchangeInterval = time.Second
	// minExchangeInterval is the shortest time between two exchanges when there are changes.
	minExchangeInterval = 100 * time.Millisecond
	exchangeTimeout     = time.Second
	// maxExchangeRounds bounds the messages of one exchange; a new replica takes two.
	maxExchangeRounds = 3
	expireInterval    = 200 * time.Millisecond
)

// Status describes the control plane as this replica sees it.
func (r *Replica) Status(ctx context.Context) (*apiv1.ControlStatus, error) {
	status := &apiv1.ControlStatus{Replica: r.info(), Cluster: r.view.Load().identity.Cluster}
	confirmCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
	status.Vouched = r.confirmer.wait(confirmCtx) != nil
	cancel()
	done := make(chan struct{})
	posted := r.post(func(now time.Time) {
		defer close(done)
		for i, g := range r.engine.groups {
			status.Groups = append(status.Groups, groupStatus(now, uint32(i), g.core))
		}
	})
	if !posted {
		return nil, ErrStopped
	}
	select {
	case <-done:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-r.stopped:
		return nil, ErrStopped
	}
	head := r.store.PublishedState().Load()
	status.Revision = head.Revision
	status.ShardOwners = head.Owners
	status.Nodes = r.relay.Nodes(r.o.Clock.Now())
	status.Targets = r.targets()
	return status, nil
}

func groupStatus(now time.Time, number uint32, core *replica.Core) *apiv1.GroupStatus {
	last, commit, _ := core.Indexes()
	status := &apiv1.GroupStatus{
		Group:       number,
		Term:        core.Term(),
		Leader:      core.Leader(),
		CommitIndex: commit,
		LastIndex:   last,
	}
	for _, p := range core.Peers() {
		age := int64(-1)
		if !p.LastReply.IsZero() {
			age = int64(now.Sub(p.LastReply))
		}
		status.Replicas = append(status.Replicas, &apiv1.ReplicaStatus{
			Replica:    p.Replica,
			Role:       roleOf(p.Replica, core.Leader()),
			MatchIndex: p.Match,
			AgeNs:      age,
		})
	}
	return status
}

func roleOf(member *apiv1.ReplicaInfo, leader uint64) apiv1.ReplicaRole {
	switch {
	case member.Learner:
		return apiv1.ReplicaRole_REPLICA_ROLE_LEARNER
	case member.Id == leader:
		return apiv1.ReplicaRole_REPLICA_ROLE_LEADER
	default:
		return apiv1.ReplicaRole_REPLICA_ROLE_FOLLOWER
	}
}

// targets lists the targets of all services.
func (r *Replica) targets() []*apiv1.TargetRecord {
	request := &apiv1.SyncRequest{}
	for service := range r.relay.TargetCounts() {
		request.Services = append(request.Services, &apiv1.ServiceVersion{Service: service})
	}
	var targets []*apiv1.TargetRecord
	for _, update := range r.relay.Updates(request) {
		targets = append(targets, update.Targets...)
	}
	return targets
}

// exchangeRegistry exchanges the registry with the other replicas at intervals and on changes, and
// expires entries that were not renewed.
func (r *Replica) exchangeRegistry(ctx context.Context) {
	last := time.Time{}
	for {
		changed := r.relay.Changed()
		timer := time.NewTimer(expireInterval)
		hasChanges := false
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-changed:
			hasChanges = true
		case <-timer.C:
		}
		timer.Stop()
		now := r.o.Clock.Now()
		r.relay.Expire(now)
		if !hasChanges && now.Sub(last) < exchangeInterval {
			continue
		}
		if gap := minExchangeInterval - now.Sub(last); gap > 0 && !clock.Sleep(ctx, gap) {
			return
		}
		last = r.o.Clock.Now()
		r.exchangeWithAll(ctx)
	}
}

// exchangeWithAll exchanges the registry with all other replicas concurrently.
func (r *Replica) exchangeWithAll(ctx context.Context) {
	v := r.view.Load()
	// A replica without heartbeats and rate shards has no other reason to ask a quorum, and would not
	// be known to be up to date.
	r.startWorker(func() { r.confirm(ctx) })
	for _, member := range v.members {
		if member.Id == v.identity.Replica {
			continue
		}
		r.startWorker(func() { r.exchangeWith(ctx, member) })
	}
}

func (r *Replica) exchangeWith(ctx context.Context, member *apiv1.ReplicaInfo) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	for range maxExchangeRounds {
		now := r.o.Clock.Now()
		message := r.relay.BuildMessage(now, member.Node)
		message.Vouches = r.recentlyConfirmed(now)
		reply := &apiv1.RelayMessage{}
		if err := peer.Unary(ctx, r.o.Pool, member.Address, apiv1.Method_METHOD_RELAY, message, reply); err != nil {
			return
		}
		if !r.relay.HandleReply(r.o.Clock.Now(), reply) {
			return
		}
	}
}
