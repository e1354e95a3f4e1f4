package control

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/replica"
)

// Timeouts and intervals of the tasks of a leader.
const (
	// ownerTimeout is the time without a message from an owner after which its shards move.
	ownerTimeout = 650 * time.Millisecond
	// shardBalanceInterval is the shortest time between two moves that only balance the load.
	shardBalanceInterval = 10 * time.Second
	// leaderBalanceInterval is the time between two checks whether leaders should move.
	leaderBalanceInterval = 3 * time.Second
	// assignTimeout bounds the proposal of a shard assignment.
	assignTimeout = time.Second
)

// balanceState limits how often shards and leaders move.
type balanceState struct {
	nextShard  time.Time
	nextLeader time.Time
	assigning  bool
}

// runLeaderTasks executes the periodic tasks of a leader: membership, shard assignment and the
// placement of leaders. Groups that another replica leads are skipped. It also logs groups without
// a leader. It runs on the loop.
func (r *Replica) runLeaderTasks(now time.Time) {
	for i := range r.engine.groups {
		r.advanceMembership(now, uint32(i))
	}
	r.assignShards(now)
	r.balanceLeaders(now)
	r.logElections(now)
}

// advanceMembership proposes the next membership change of a group, if one is due. Group 0 decides
// which replicas are voters; the other groups follow its committed membership.
func (r *Replica) advanceMembership(now time.Time, number uint32) {
	core := r.engine.groups[number].core
	if !core.CanChangeMembership() {
		return
	}
	var next *apiv1.Membership
	if number == 0 {
		next = r.nextMembership(now, core.Peers())
		if next != nil {
			next.Expelled = core.Membership().Expelled
		}
	} else {
		next = nextStepTowards(core.Peers(), r.engine.groups[0].core.CommittedMembership())
	}
	if next == nil {
		return
	}
	if err := core.ProposeMembership(now, next); err != nil {
		r.o.Log.Debug("membership change refused", "group", number, "err", err)
		return
	}
	r.logMembership(number, next)
}

// promoteLearner returns the membership in which one caught-up learner is a voter; nil if there is
// no such learner.
func promoteLearner(peers []replica.Peer, eligible func(*apiv1.ReplicaInfo) bool) *apiv1.Membership {
	for _, p := range peers {
		if p.Replica.Learner && p.CaughtUp && eligible(p.Replica) {
			return withVoting(peers, p.Replica.Id, true)
		}
	}
	return nil
}

// withVoting returns the membership in which one replica is a voter (vote) or a learner.
func withVoting(peers []replica.Peer, id uint64, vote bool) *apiv1.Membership {
	next := &apiv1.Membership{}
	for _, p := range peers {
		member := p.Replica
		if member.Id == id {
			member = proto.CloneOf(member)
			member.Learner = !vote
		}
		next.Replicas = append(next.Replicas, member)
	}
	return next
}

func isVoter(m *apiv1.Membership, id uint64) bool {
	return slices.ContainsFunc(m.Replicas, func(r *apiv1.ReplicaInfo) bool { return r.Id == id && !r.Learner })
}

// nextStepTowards returns the next membership on the way from the peers of a group to the target;
// nil if none is due. Each step changes one replica.
func nextStepTowards(peers []replica.Peer, target *apiv1.Membership) *apiv1.Membership {
	current := membershipOf(peers)
	for _, member := range current.Replicas {
		if findMember(target, member.Id) == nil && hasOtherVoter(current, member.Id) {
			return withoutMember(current, member.Id)
		}
	}
	for _, wanted := range target.Replicas {
		member := findMember(current, wanted.Id)
		if member == nil {
			learner := proto.CloneOf(wanted)
			learner.Learner = true
			return &apiv1.Membership{Replicas: append(current.Replicas, learner)}
		}
		if wanted.Learner && !member.Learner && voterCount(current) > voterCount(target) {
			return withVoting(peers, wanted.Id, false)
		}
		updated := proto.CloneOf(wanted)
		updated.Learner = member.Learner
		if !proto.Equal(member, updated) {
			next := withoutMember(current, wanted.Id)
			next.Replicas = append(next.Replicas, updated)
			return next
		}
	}
	return promoteLearner(peers, func(member *apiv1.ReplicaInfo) bool { return isVoter(target, member.Id) })
}

// membershipOf returns the membership of the peers.
func membershipOf(peers []replica.Peer) *apiv1.Membership {
	m := &apiv1.Membership{}
	for _, p := range peers {
		m.Replicas = append(m.Replicas, p.Replica)
	}
	return m
}

func voterCount(m *apiv1.Membership) int {
	voters, _ := memberNodes(m)
	return len(voters)
}

func findMember(m *apiv1.Membership, id uint64) *apiv1.ReplicaInfo {
	for _, r := range m.Replicas {
		if r.Id == id {
			return r
		}
	}
	return nil
}

func hasOtherVoter(m *apiv1.Membership, id uint64) bool {
	return slices.ContainsFunc(m.Replicas, func(r *apiv1.ReplicaInfo) bool { return r.Id != id && !r.Learner })
}

// candidate is a live replica that may own shards.
type candidate struct {
	info *apiv1.ReplicaInfo
	// incarnation is 0 while the leader has not received a message from the process itself. The
	// replica then keeps its shards and gets no others.
	incarnation uint64
}

// candidates lists the live voters of group 0, ordered by id. Nodes that are stopping are left out.
func (r *Replica) candidates(now time.Time) []candidate {
	var live []candidate
	for _, p := range r.engine.groups[0].core.Peers() {
		switch {
		case p.Replica.Learner:
		case r.relay.Leaving(p.Replica.Node):
			// Its shards move while it still serves, instead of after ownerTimeout.
		case p.Replica.Id == r.log.Identity().Replica:
			live = append(live, candidate{p.Replica, r.o.Identity.Incarnation})
		case now.Sub(p.LastReply) < ownerTimeout:
			live = append(live, candidate{p.Replica, r.known[p.Replica.Id].incarnation})
		}
	}
	slices.SortFunc(live, func(a, b candidate) int {
		if a.info.Id < b.info.Id {
			return -1
		}
		return 1
	})
	return live
}

// assignShards moves the rate shards of dead or restarted owners to live replicas.
func (r *Replica) assignShards(now time.Time) {
	if len(r.engine.groups) == 0 || !r.engine.groups[0].core.CanChangeMembership() || r.balance.assigning {
		return
	}
	mayBalance := now.After(r.balance.nextShard)
	plan := planShards(r.store.PublishedState().Load().Owners, r.candidates(now), mayBalance)
	if plan == nil {
		return
	}
	r.balance.nextShard = now.Add(shardBalanceInterval)
	r.balance.assigning = true
	r.startWorker(func() {
		ctx, cancel := context.WithTimeout(context.Background(), assignTimeout)
		defer cancel()
		r.submitStore(ctx, &apiv1.StoreCommand{Assignment: plan})
		r.post(func(time.Time) { r.balance.assigning = false })
	})
}

// planShards assigns each shard whose owner is not among the live replicas to the replica with the
// fewest shards. If there are none and mayBalance is set, it moves one shard from the replica with
// the most to the one with the fewest. It returns nil if nothing is to move.
func planShards(owners []*apiv1.ShardOwner, live []candidate, mayBalance bool) *apiv1.ShardAssignment {
	if len(live) == 0 {
		return nil
	}
	counts := make([]int, len(live))
	var orphans []*apiv1.ShardOwner
	for _, owner := range owners {
		i := ownerIndex(owner, live)
		if i < 0 {
			orphans = append(orphans, owner)
			continue
		}
		counts[i]++
	}
	plan := &apiv1.ShardAssignment{}
	for i, c := range live {
		if c.incarnation == 0 {
			counts[i] += len(owners) // sorts after all others
		}
	}
	for _, orphan := range orphans {
		i := indexOfMin(counts)
		if live[i].incarnation == 0 {
			break
		}
		counts[i]++
		plan.Owners = append(plan.Owners, assign(orphan, live[i]))
	}
	if len(orphans) == 0 && mayBalance {
		if moved := rebalance(owners, live, counts); moved != nil {
			plan.Owners = append(plan.Owners, moved)
		}
	}
	if len(plan.Owners) == 0 {
		return nil
	}
	return plan
}

// rebalance moves one shard if the most and the least loaded replica differ by more than one shard.
func rebalance(owners []*apiv1.ShardOwner, live []candidate, counts []int) *apiv1.ShardOwner {
	least := indexOfMin(counts)
	if slices.ContainsFunc(live, func(c candidate) bool { return c.incarnation == 0 }) {
		return nil
	}
	for _, owner := range owners {
		if i := ownerIndex(owner, live); counts[i] == slices.Max(counts) && counts[i] > counts[least]+1 {
			return assign(owner, live[least])
		}
	}
	return nil
}

func ownerIndex(owner *apiv1.ShardOwner, live []candidate) int {
	return slices.IndexFunc(live, func(c candidate) bool {
		return c.info.Id == owner.Replica && (c.incarnation == owner.Incarnation || c.incarnation == 0)
	})
}

func indexOfMin(counts []int) int {
	return slices.Index(counts, slices.Min(counts))
}

func assign(old *apiv1.ShardOwner, to candidate) *apiv1.ShardOwner {
	return &apiv1.ShardOwner{
		Shard:       old.Shard,
		Replica:     to.info.Id,
		Address:     to.info.Address,
		Epoch:       old.Epoch,
		Incarnation: to.incarnation,
	}
}

// balanceLeaders transfers the leadership of run-record groups to their preferred replicas.
func (r *Replica) balanceLeaders(now time.Time) {
	if r.stopping.Load() || now.Before(r.balance.nextLeader) {
		return
	}
	r.balance.nextLeader = now.Add(leaderBalanceInterval)
	for i, g := range r.engine.groups {
		if i == 0 || !g.core.CanChangeMembership() {
			continue
		}
		if to := preferredLeader(g.core.Peers(), i); to != 0 {
			g.core.Transfer(now, to)
		}
	}
}

// preferredLeader returns the voter that should lead the group with the given number, so that
// leaders are spread over the voters. It returns 0 if that voter has not caught up.
func preferredLeader(peers []replica.Peer, ordinal int) uint64 {
	var voters []replica.Peer
	for _, p := range peers {
		if !p.Replica.Learner {
			voters = append(voters, p)
		}
	}
	if len(voters) == 0 {
		return 0
	}
	slices.SortFunc(voters, func(a, b replica.Peer) int {
		if a.Replica.Id < b.Replica.Id {
			return -1
		}
		return 1
	})
	preferred := voters[ordinal%len(voters)]
	if !preferred.CaughtUp {
		return 0
	}
	return preferred.Replica.Id
}
