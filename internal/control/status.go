package control

import (
	"context"
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/peer"
	"github.com/guavaford/guavaford/internal/replica"
)

// Times of the exchange of the registry between replicas.
const (
	relayInterval = time.Second
	// relayGap is the least time between two exchanges when there is news.
	relayGap     = 100 * time.Millisecond
	relayTimeout = time.Second
	// relayRounds bounds the messages of one exchange; a replica that is new takes two.
	relayRounds    = 3
	expireInterval = 200 * time.Millisecond
)

// Status describes control as this replica sees it.
func (r *Replica) Status(ctx context.Context) (*apiv1.ControlStatus, error) {
	status := &apiv1.ControlStatus{Replica: r.info(), Cluster: r.view.Load().identity.Cluster}
	vouchCtx, cancel := context.WithTimeout(ctx, vouchTimeout)
	status.Vouched = r.confirmer.wait(vouchCtx) != nil
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
	head := r.store.Head().Load()
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
		if !p.Heard.IsZero() {
			age = int64(now.Sub(p.Heard))
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
	for service := range r.relay.Targets() {
		request.Services = append(request.Services, &apiv1.ServiceVersion{Service: service})
	}
	var targets []*apiv1.TargetRecord
	for _, update := range r.relay.Updates(request) {
		targets = append(targets, update.Targets...)
	}
	return targets
}

// relayRegistry exchanges the registry with the other replicas at intervals and on news, and
// expires what was not renewed.
func (r *Replica) relayRegistry(ctx context.Context) {
	last := time.Time{}
	for {
		changed := r.relay.Changed()
		timer := time.NewTimer(expireInterval)
		news := false
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-changed:
			news = true
		case <-timer.C:
		}
		timer.Stop()
		now := r.o.Clock.Now()
		r.relay.Expire(now)
		if !news && now.Sub(last) < relayInterval {
			continue
		}
		if gap := relayGap - now.Sub(last); gap > 0 && !clock.Sleep(ctx, gap) {
			return
		}
		last = r.o.Clock.Now()
		r.relayToAll(ctx)
	}
}

// relayToAll exchanges the registry with every other replica at once.
func (r *Replica) relayToAll(ctx context.Context) {
	v := r.view.Load()
	// Without heartbeats and rate shards nothing else would show that this replica can vouch.
	r.start(func() { r.confirm(ctx) })
	for _, member := range v.members {
		if member.Id == v.identity.Replica {
			continue
		}
		r.start(func() { r.relayTo(ctx, member) })
	}
}

func (r *Replica) relayTo(ctx context.Context, member *apiv1.ReplicaInfo) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	for range relayRounds {
		now := r.o.Clock.Now()
		message := r.relay.Outgoing(now, member.Node)
		message.Vouches = r.vouches(now)
		reply := &apiv1.RelayMessage{}
		if err := peer.Unary(ctx, r.o.Pool, member.Address, apiv1.Method_METHOD_RELAY, message, reply); err != nil {
			return
		}
		if !r.relay.Acknowledged(r.o.Clock.Now(), reply) {
			return
		}
	}
}
