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

// Times of the steps by which a replica enters a cluster.
const (
	enterPause     = 250 * time.Millisecond
	memberPause    = 500 * time.Millisecond
	controlTimeout = time.Second
	// readmitAfter is longer than an election that nothing hinders.
	readmitAfter = time.Second
	// maxExpelled bounds the replicas that are remembered as removed by an operator.
	maxExpelled = 64
)

// keepMembership makes this replica a member: it founds the cluster, or asks for admission until
// the membership shows it under its present address. A replica that was replaced while it was away asks again.
func (r *Replica) keepMembership(ctx context.Context) {
	pause := enterPause
	for clock.Sleep(ctx, pause/2+rand.N(pause/2)) {
		v := r.view.Load()
		pause = enterPause
		switch {
		case v.identity.Cluster == 0:
			r.enter(ctx)
		case r.needsAdmission(v):
			r.join(ctx, r.knownAddresses(v))
		default:
			pause = memberPause
		}
	}
}

// needsAdmission reports whether this replica is to ask for admission: it is no member, or it may have lost its
// place without hearing of it. A replica that was replaced gets no more of the log, so its own log
// still names it; that it hears no leader is all it can tell.
func (r *Replica) needsAdmission(v *view) bool {
	if !v.admitted {
		return true
	}
	since := v.leaderlessSince(0)
	return !since.IsZero() && r.o.Clock.Now().Sub(since) >= readmitAfter && !r.stopping.Load()
}

// admitted reports whether the committed membership names this replica as it is now. An admission that
// is not committed may still be lost with the leader that proposed it.
func (r *Replica) admitted() bool {
	info := r.info()
	member := find(r.engine.groups[0].core.CommittedMembership(), info.Id)
	return member != nil && member.Address == info.Address && member.DataCentre == info.DataCentre
}

// SetSeeds replaces the addresses of replicas of a running cluster to join.
func (r *Replica) SetSeeds(addresses []string) {
	r.seeds.Store(&addresses)
}

// knownAddresses lists where other replicas may be reached.
func (r *Replica) knownAddresses(v *view) []string {
	addresses := append(slices.Clone(r.o.InitialReplicas), *r.seeds.Load()...)
	for _, member := range v.members {
		addresses = append(addresses, member.Address)
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return slices.DeleteFunc(addresses, func(a string) bool { return a == r.o.Address || a == "" })
}

// enter joins a cluster that answers, or founds one if this replica is the one to do so.
func (r *Replica) enter(ctx context.Context) {
	others := r.knownAddresses(r.view.Load())
	replies := r.describeAll(ctx, others)
	for address, reply := range replies {
		if reply.Cluster != 0 {
			r.join(ctx, []string{address})
			return
		}
	}
	if r.mayFound(replies) {
		r.post(func(now time.Time) {
			if err := r.foundHere(now); err != nil {
				r.fail(errors.Wrap(err, "found cluster"))
			}
		})
	}
}

// mayFound decides whether this replica founds the cluster. Without Bootstrap it does so only as
// the first of the initial replicas, and only when all the others answer that they belong
// to no cluster: one that lost its data folder must join the others instead.
func (r *Replica) mayFound(replies map[string]*apiv1.ControlReply) bool {
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

// describeAll asks several addresses who they are. Those that don't answer are missing in the result.
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

// foundHere makes this replica a cluster of one. It runs on the loop. The identity is
// written last: until then the folder belongs to no cluster.
func (r *Replica) foundHere(now time.Time) error {
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
	groups, err := found(r.log, r.info(), r.machines(identity.RunShards))
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
	r.stamps = make([]stamp, len(groups))
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
			r.o.Log.Warn("not admitted to the cluster", "by", address, "err", reply.Error)
		}
		if err == nil && reply.Joined && reply.Identity != nil {
			r.post(func(time.Time) { r.adopt(reply.Identity) })
			return
		}
	}
}

// adopt makes this replica part of the cluster that admitted it. It runs on the loop.
func (r *Replica) adopt(of *apiv1.ReplicaIdentity) {
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

// Control serves requests about the membership.
func (r *Replica) Control(ctx context.Context, request *apiv1.ControlRequest) (*apiv1.ControlReply, error) {
	v := r.view.Load()
	reply := &apiv1.ControlReply{Cluster: v.identity.Cluster, Replica: r.info(), Identity: v.identity}
	if request.Join == nil && request.Remove == 0 {
		return reply, nil
	}
	if !v.leads(0) {
		return r.relayControl(ctx, v, request)
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

func (r *Replica) relayControl(ctx context.Context, v *view, request *apiv1.ControlRequest) (*apiv1.ControlReply, error) {
	address := v.leaderAddress(0)
	if address == "" || request.Hops >= maxHops {
		return nil, errors.New("no leader is known")
	}
	relayed := proto.CloneOf(request)
	relayed.Hops++
	reply := &apiv1.ControlReply{}
	return reply, peer.Unary(ctx, r.o.Pool, address, apiv1.Method_METHOD_CONTROL, relayed, reply)
}

// admit takes one step towards the membership of a replica, and reports whether it is a member. It
// runs on the loop of the leader of group 0.
func (r *Replica) admit(now time.Time, joiner *apiv1.ReplicaInfo) (bool, error) {
	if len(r.engine.groups) == 0 {
		return false, errors.New("this replica belongs to no cluster yet")
	}
	core := r.engine.groups[0].core
	if slices.Contains(core.Membership().Expelled, joiner.Id) {
		return false, ErrRemoved
	}
	next := admission(core.Membership(), joiner)
	if next == nil {
		return true, nil
	}
	if len(next.Replicas) > MaxReplicas {
		s := r.succession()
		silent := s.longestSilent(now, core.Peers(), silentVoter, true)
		if silent == nil {
			return false, errors.Errorf("the cluster has %d replicas, the most that it may have", MaxReplicas)
		}
		next = without(core.Membership(), silent.Replica.Id) // the joiner asks again
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

// admission returns the next membership on the way to admit a replica; nil if it is admitted.
// An older replica of the same node goes first: its data folder is lost, and while it is
// a member it counts for the quorum without ever answering.
func admission(current *apiv1.Membership, joiner *apiv1.ReplicaInfo) *apiv1.Membership {
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

// remove takes a replica out of the membership for good. It runs on the loop of the leader of group 0.
func (r *Replica) remove(now time.Time, id uint64) error {
	core := r.engine.groups[0].core
	next := without(core.Membership(), id)
	next.Expelled = append(next.Expelled, id)
	next.Expelled = next.Expelled[max(0, len(next.Expelled)-maxExpelled):]
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

// without returns a membership that lacks one replica.
func without(m *apiv1.Membership, id uint64) *apiv1.Membership {
	next := &apiv1.Membership{Expelled: slices.Clone(m.Expelled)}
	for _, member := range m.Replicas {
		if member.Id != id {
			next.Replicas = append(next.Replicas, member)
		}
	}
	return next
}
