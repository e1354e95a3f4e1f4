package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/peer"
	"github.com/guavaford/guavaford/internal/replica"
)

// Timeouts and intervals of joining a cluster, and bounds of its membership.
const (
	joinRetryInterval       = 250 * time.Millisecond
	membershipCheckInterval = 500 * time.Millisecond
	controlTimeout          = time.Second
	// readmissionDelay is longer than an election that succeeds at the first attempt.
	readmissionDelay = time.Second
	// maxRemoved is the largest number of ids kept of replicas that an operator removed.
	maxRemoved = 64
)

// maintainMembership makes this replica a member and keeps it one. It creates the cluster, or asks
// for admission until the membership contains it with its current address. A replica that was
// removed from the membership while it was down asks again.
func (r *Replica) maintainMembership(ctx context.Context) {
	pause := joinRetryInterval
	for clock.Sleep(ctx, pause/2+rand.N(pause/2)) {
		v := r.view.Load()
		pause = joinRetryInterval
		switch {
		case v.identity.Cluster == 0:
			r.joinOrBootstrap(ctx)
		case r.needsAdmission(v):
			r.join(ctx, r.knownAddresses(v))
		default:
			pause = membershipCheckInterval
		}
	}
}

// needsAdmission reports whether this replica should ask for admission: it is not a member, or it may
// have been removed without knowing. A replica that was replaced receives no more log entries, so its
// own log still contains it; the only sign is that it knows no leader.
func (r *Replica) needsAdmission(v *view) bool {
	if !v.admitted {
		return true
	}
	since := v.leaderlessSince(0)
	return !since.IsZero() && r.o.Clock.Now().Sub(since) >= readmissionDelay && !r.stopping.Load()
}

// admitted reports whether the committed membership contains this replica with its current address
// and data centre. An uncommitted admission may still be lost with the leader that proposed it.
func (r *Replica) admitted() bool {
	info := r.info()
	member := findMember(r.engine.groups[0].core.CommittedMembership(), info.Id)
	return member != nil && member.Address == info.Address && member.DataCentre == info.DataCentre
}

// SetSeeds replaces the addresses of replicas of a running cluster to join.
func (r *Replica) SetSeeds(addresses []string) {
	r.seeds.Store(&addresses)
}

// knownAddresses lists the addresses at which other replicas may be reached.
func (r *Replica) knownAddresses(v *view) []string {
	addresses := append(slices.Clone(r.o.InitialReplicas), *r.seeds.Load()...)
	for _, member := range v.members {
		addresses = append(addresses, member.Address)
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return slices.DeleteFunc(addresses, func(a string) bool { return a == r.o.Address || a == "" })
}

// joinOrBootstrap joins a cluster if one of its replicas answers. Otherwise it creates a cluster if
// this replica is the one to do so.
func (r *Replica) joinOrBootstrap(ctx context.Context) {
	others := r.knownAddresses(r.view.Load())
	replies := r.describeAll(ctx, others)
	for address, reply := range replies {
		if reply.Cluster != 0 {
			r.join(ctx, []string{address})
			return
		}
	}
	if r.shouldBootstrap(replies) {
		r.post(func(now time.Time) {
			if err := r.bootstrap(now); err != nil {
				r.fail(errors.Wrap(err, "bootstrap cluster"))
			}
		})
	}
}

// shouldBootstrap decides whether this replica creates the cluster. Without the option Bootstrap it
// does so only if its address sorts first among the initial replicas and all the others answer that
// they belong to no cluster: a replica that lost its data folder must join the others instead.
func (r *Replica) shouldBootstrap(replies map[string]*apiv1.ControlReply) bool {
	if r.o.Bootstrap {
		return true
	}
	if len(r.o.InitialReplicas) == 0 {
		return len(*r.seeds.Load()) == 0
	}
	for _, address := range r.o.InitialReplicas {
		if address == r.o.Address {
			continue
		}
		if address < r.o.Address || replies[address] == nil {
			return false
		}
	}
	return true
}

// describeAll asks the replicas at several addresses for their identity and cluster. The result lacks
// those that don't answer.
func (r *Replica) describeAll(ctx context.Context, addresses []string) map[string]*apiv1.ControlReply {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	replies := map[string]*apiv1.ControlReply{}
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, address := range addresses {
		group.Add(1)
		go func() {
			defer group.Done()
			reply := &apiv1.ControlReply{}
			request := &apiv1.ControlRequest{Describe: true}
			if peer.Unary(ctx, r.o.Pool, address, apiv1.Method_METHOD_CONTROL, request, reply) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			replies[address] = reply
		}()
	}
	group.Wait()
	return replies
}

// bootstrap creates a cluster whose only member is this replica. It runs on the loop. The identity
// is written last: until then the data folder belongs to no cluster.
func (r *Replica) bootstrap(now time.Time) error {
	identity := proto.CloneOf(r.log.Identity())
	if identity.Cluster != 0 {
		return nil
	}
	identity.Cluster = r.rnd.Uint64() | 1
	identity.RateShards = r.o.RateShards
	identity.RunShards = r.o.RunShards
	setup := &apiv1.StoreCommand{Setup: &apiv1.ClusterSetup{RateShards: r.o.RateShards, RunShards: r.o.RunShards}}
	data, err := proto.Marshal(setup)
	if err != nil {
		return err
	}
	r.store.Apply(1, data)
	groups, err := bootstrapGroups(r.log, r.info(), r.machines(identity.RunShards))
	if err != nil {
		return err
	}
	if err := r.log.SetIdentity(identity); err != nil {
		return err
	}
	for i, machine := range r.machines(identity.RunShards) {
		if err := r.engine.addGroup(now, machine, groups[i]); err != nil {
			return err
		}
	}
	r.termStampers = make([]termStamper, len(groups))
	r.o.Log.Info("cluster founded", "cluster", identity.Cluster, "replica", identity.Replica)
	return nil
}

// join asks the addresses, in turn, to admit this replica.
func (r *Replica) join(ctx context.Context, addresses []string) {
	for _, address := range addresses {
		reply := &apiv1.ControlReply{}
		callCtx, cancel := context.WithTimeout(ctx, controlTimeout)
		request := &apiv1.ControlRequest{Join: r.info()}
		err := peer.Unary(callCtx, r.o.Pool, address, apiv1.Method_METHOD_CONTROL, request, reply)
		cancel()
		if err == nil && reply.Removed {
			r.post(func(time.Time) { r.fail(ErrRemoved) })
			return
		}
		if err == nil && reply.Error != "" {
			r.o.Log.Warn("admission to the cluster refused", "by", address, "err", reply.Error)
		}
		if err == nil && reply.Joined && reply.Identity != nil {
			r.post(func(time.Time) { r.adoptIdentity(reply.Identity) })
			return
		}
	}
}

// adoptIdentity takes over the identity of the cluster that admitted this replica. It runs on the
// loop.
func (r *Replica) adoptIdentity(of *apiv1.ReplicaIdentity) {
	identity := proto.CloneOf(r.log.Identity())
	if identity.Cluster != 0 {
		return
	}
	identity.Cluster = of.Cluster
	identity.RateShards = of.RateShards
	identity.RunShards = of.RunShards
	err := r.log.SetIdentity(identity)
	if err == nil {
		err = r.addGroups(nil)
	}
	if err != nil {
		r.fail(errors.Wrap(err, "join cluster"))
		return
	}
	r.o.Log.Info("cluster joined", "cluster", identity.Cluster, "replica", identity.Replica)
}

// HandleMembership serves membership requests: it describes this replica, and admits or removes replicas if
// this one leads group 0. Otherwise it forwards the request to the leader.
func (r *Replica) HandleMembership(ctx context.Context, request *apiv1.ControlRequest) (*apiv1.ControlReply, error) {
	v := r.view.Load()
	reply := &apiv1.ControlReply{Cluster: v.identity.Cluster, Replica: r.info(), Identity: v.identity}
	if request.Join == nil && request.Remove == 0 {
		return reply, nil
	}
	if !v.leads(0) {
		return r.forwardControl(ctx, v, request)
	}
	done := make(chan error, 1)
	posted := r.post(func(now time.Time) {
		if request.Join != nil {
			var err error
			reply.Joined, err = r.admit(now, request.Join)
			reply.Removed = errors.Is(err, ErrRemoved)
			done <- err
			return
		}
		done <- r.remove(now, request.Remove)
	})
	if !posted {
		return nil, ErrStopped
	}
	select {
	case err := <-done:
		if err != nil {
			reply.Error = err.Error()
		}
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-r.stopped:
		return nil, ErrStopped
	}
}

func (r *Replica) forwardControl(ctx context.Context, v *view, request *apiv1.ControlRequest) (*apiv1.ControlReply, error) {
	address := v.leaderAddress(0)
	if address == "" || request.Hops >= maxHops {
		return nil, errors.New("leader of the configuration group is not known")
	}
	forwarded := proto.CloneOf(request)
	forwarded.Hops++
	reply := &apiv1.ControlReply{}
	return reply, peer.Unary(ctx, r.o.Pool, address, apiv1.Method_METHOD_CONTROL, forwarded, reply)
}

// admit proposes the next membership change on the way to admit a replica, and reports whether it is
// a member already. It runs on the loop of the leader of group 0.
func (r *Replica) admit(now time.Time, joiner *apiv1.ReplicaInfo) (bool, error) {
	if len(r.engine.groups) == 0 {
		return false, errors.New("this replica belongs to no cluster yet")
	}
	core := r.engine.groups[0].core
	if slices.Contains(core.Membership().Expelled, joiner.Id) {
		return false, ErrRemoved
	}
	next := nextAdmissionStep(core.Membership(), joiner)
	if next == nil {
		return true, nil
	}
	if len(next.Replicas) > MaxReplicas {
		policy := r.voterPolicy()
		silent := policy.longestSilent(now, core.Peers(), silentVoterTimeout, true)
		if silent == nil {
			return false, errors.Errorf("the cluster already has the maximum of %d replicas", MaxReplicas)
		}
		next = withoutMember(core.Membership(), silent.Replica.Id) // the joiner asks again and is added then
	}
	err := core.ProposeMembership(now, next)
	if errors.Is(err, replica.ErrChangePending) {
		return false, nil
	}
	if err == nil {
		r.o.Log.Info("replica asks for admission", "replica", joiner.Id, "node", joiner.Node)
		r.logMembership(0, next)
	}
	return false, err
}

// nextAdmissionStep returns the next membership on the way to admit a replica; nil if it is admitted.
// An older replica of the same node is removed first: its data folder is lost, and while it is a
// member it counts towards the quorum without ever answering.
func nextAdmissionStep(current *apiv1.Membership, joiner *apiv1.ReplicaInfo) *apiv1.Membership {
	next := &apiv1.Membership{Expelled: current.Expelled}
	known := false
	replaced := false
	for _, member := range current.Replicas {
		switch {
		case member.Id == joiner.Id:
			known = true
			updated := proto.CloneOf(joiner)
			updated.Learner = member.Learner
			next.Replicas = append(next.Replicas, updated)
		case !replaced && (member.Node == joiner.Node || member.Address == joiner.Address):
			replaced = true
		default:
			next.Replicas = append(next.Replicas, member)
		}
	}
	if replaced {
		return next
	}
	if !known {
		learner := proto.CloneOf(joiner)
		learner.Learner = true
		next.Replicas = append(next.Replicas, learner)
	}
	if proto.Equal(current, next) {
		return nil
	}
	return next
}

// remove removes a replica permanently: it is not admitted again under its id. It runs on the loop of
// the leader of group 0.
func (r *Replica) remove(now time.Time, id uint64) error {
	core := r.engine.groups[0].core
	next := withoutMember(core.Membership(), id)
	next.Expelled = append(next.Expelled, id)
	next.Expelled = next.Expelled[max(0, len(next.Expelled)-maxRemoved):]
	if len(next.Replicas) == len(core.Membership().Replicas) {
		return errors.Errorf("replica %d is not a member", id)
	}
	if err := core.ProposeMembership(now, next); err != nil {
		return err
	}
	r.o.Log.Info("replica removed on request", "replica", id)
	r.logMembership(0, next)
	return nil
}

// withoutMember returns the membership without one replica.
func withoutMember(m *apiv1.Membership, id uint64) *apiv1.Membership {
	next := &apiv1.Membership{Expelled: slices.Clone(m.Expelled)}
	for _, member := range m.Replicas {
		if member.Id != id {
			next.Replicas = append(next.Replicas, member)
		}
	}
	return next
}
