// Package control implements the control plane: the replica that a process runs, and the client
// that nodes and operators use to reach the replicas.
//
// # Concepts
//
// A replica runs several Raft groups (package replica) over one log file (package wal). Group 0
// replicates the configuration (package store). Groups 1 to N each replicate one shard of the run
// records (package runrecord), and their leaders are spread over the replicas.
//
// Members of a group are voters or learners. If the number of voters is fixed, the learners are
// standbys: they receive the log and replace a voter that is silent or stopping.
//
// The rate limits are divided into shards. Group 0 assigns each shard to a replica, its owner, which
// grants tokens to the nodes (package rate). The registry of targets (package registry) is not
// replicated by Raft; the replicas exchange it among themselves.
//
// One goroutine, the loop, owns the engine with all groups. All other goroutines post functions to
// the loop and never use the engine. The loop runs the posted functions, processes the resulting
// work with one sync for all groups, and passes the messages to the senders of each replica.
//
// A quorum confirms the state of a replica by a linearizable read of group 0 (ReadIndex): the
// replica was up to date at some time after the start of that quorum round. In messages between
// processes such a replica "vouches" for its revision.
//
// # Data flow
//
//	Propose, UpdateRunRecord ─▶ leader (forwarded if elsewhere) ─▶ engine ─▶ log ─▶ state machine ─▶ response
//	Sync ─▶ confirmer (quorum round) ─▶ store, registry ─▶ response with updates
//	confirmer ─▶ ownership of rate shards ─▶ rate.Owner ─▶ Lease
//
// # Guarantees
//
// Propose returns "accepted" only after the change was committed and applied here or at the replica
// that the request was forwarded to. A leader that lost its leadership meanwhile returns "unknown"
// or, if the change can never take effect, "unavailable".
//
// Sync sets Vouched only after a quorum round that began after the request arrived.
package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/departure"
	"github.com/guavaford/guavaford/internal/rate"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/runrecord"
	"github.com/guavaford/guavaford/internal/store"
	"github.com/guavaford/guavaford/internal/wal"
)

// Errors of a replica.
var (
	// ErrRemoved is returned by Serve when an operator has removed the replica.
	ErrRemoved = errors.New("an operator removed this replica from the cluster; it can join again with an empty data folder")
	// ErrNoQuorum is returned by reads that no quorum confirms in time.
	ErrNoQuorum = errors.New("no quorum confirms the revision")
	// ErrStopped is returned by requests to a replica that has stopped.
	ErrStopped = errors.New("control replica is not running")
)

// Replica is a member of the control plane. Open creates it and Serve runs it.
type Replica struct {
	o     Options
	log   *wal.Log
	store *store.Store
	relay *registry.Relay
	// departures are the durable departures of targets.
	departures *departure.Store
	// opened is when the process opened the data folder.
	opened time.Time
	// votingLapsed is set when the membership in use did not have this replica as a voter. The departures are then not complete.
	votingLapsed atomic.Bool
	owner        *rate.Owner
	tables       []*runrecord.Table
	rnd          *rand.Rand

	events  chan func(now time.Time)
	stopped chan struct{}
	view    atomic.Pointer[view]
	// proposing is a semaphore that is held while a change is validated and proposed.
	proposing chan struct{}
	confirmer *confirmer
	ownership *ownership
	heldPolls *heldPolls
	senders   *senders
	stopping  atomic.Bool
	// seeds are addresses of replicas of a running cluster to join.
	seeds          atomic.Pointer[[]string]
	placementCache atomic.Pointer[cachedPlacement]

	// The fields from here to slowSyncLogged are used by the loop only.
	engine       *engine
	known        map[uint64]knownReplica
	termStampers []termStamper
	balance      balanceState
	failure      error
	// fullDiskLogged is when a full disk was last logged, in nanoseconds.
	fullDiskLogged atomic.Int64
	// electionLogged is when logElections last wrote a line about each group.
	electionLogged []time.Time
	// slowSyncLogged is when the loop last logged a slow sync.
	slowSyncLogged time.Time

	workers sync.WaitGroup
}

// knownReplica is what the messages of another replica say about it.
type knownReplica struct {
	address     string
	incarnation uint64
}

// Open opens the data folder and registers the handlers on the server. It returns an error for a
// folder that is damaged, in use, or belongs to another node.
func Open(o Options) (*Replica, error) {
	o = withDefaults(o)
	rnd := rand.New(rand.NewPCG(o.Seed, o.Identity.Incarnation))
	newIdentity := func() *apiv1.ReplicaIdentity {
		return &apiv1.ReplicaIdentity{Replica: rnd.Uint64() | 1, Node: o.Identity.Node}
	}
	log, recovered, err := wal.Open(o.FS, o.DataFolder, o.Identity.Node, newIdentity)
	if err != nil {
		return nil, errors.Wrap(err, "open control replica")
	}
	r := &Replica{
		o:         o,
		log:       log,
		store:     store.New(o.Check),
		relay:     o.Registry,
		rnd:       rnd,
		events:    make(chan func(time.Time), eventBuffer),
		stopped:   make(chan struct{}),
		proposing: make(chan struct{}, 1),
		engine:    newEngine(log, rnd),
		known:     map[uint64]knownReplica{},
	}
	r.SetSeeds(o.Seeds)
	r.engine.clock = o.Clock
	r.engine.beforeSync = r.sendOutbox
	r.engine.writeSnapshot = r.writeSnapshot
	r.confirmer = newConfirmer(r)
	r.ownership = newOwnership(r)
	r.heldPolls = newHeldPolls()
	r.owner = rate.NewOwner(r.ownership, newLimits(r.store), o.Clock, o.Rate)
	r.senders = newSenders(r)
	r.opened = o.Clock.Now()
	r.departures, err = departure.Open(o.FS, o.DataFolder, log.Identity(), r.opened)
	if err == nil && log.Identity().Cluster != 0 {
		err = r.addGroups(recovered)
	}
	if err != nil {
		_ = log.Close()
		return nil, errors.Wrap(err, "open control replica")
	}
	r.publish()
	r.register()
	voters, learners := memberNodes(&apiv1.Membership{Replicas: r.view.Load().members})
	r.o.Log.Info("data folder opened", "replica", log.Identity().Replica, "cluster", log.Identity().Cluster,
		"groups", len(recovered), "voters", voters, "learners", learners, "departures", len(r.departures.All(r.opened)),
		"departures_complete", r.departures.Complete())
	return r, nil
}

// addGroups adds the groups of the cluster to the engine, with the state recovered from the log.
func (r *Replica) addGroups(recovered map[uint32]*wal.GroupState) error {
	now := r.o.Clock.Now()
	for i, machine := range r.machines(r.log.Identity().RunShards) {
		if err := r.engine.addGroup(now, machine, recovered[uint32(i)]); err != nil {
			return err
		}
	}
	r.termStampers = make([]termStamper, len(r.engine.groups))
	return nil
}

// machines returns the state machines of all groups. All but the store are new.
func (r *Replica) machines(runShards uint32) []StateMachine {
	machines := []StateMachine{r.store}
	r.tables = nil
	for range runShards {
		table := runrecord.NewTable(r.o.RunRecords)
		r.tables = append(r.tables, table)
		machines = append(machines, table)
	}
	return machines
}

// info returns the description of this replica for the membership.
func (r *Replica) info() *apiv1.ReplicaInfo {
	return &apiv1.ReplicaInfo{
		Id:         r.log.Identity().Replica,
		Node:       r.o.Identity.Node,
		Address:    r.o.Address,
		DataCentre: r.o.DataCentre,
	}
}

// Serve runs the replica until ctx ends or the replica can't continue: the log accepts no more
// writes, or an operator removed the replica.
func (r *Replica) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.senders.ctx.Store(&ctx)
	r.log.OnFull = func(err error) bool { return r.awaitRoom(ctx, err) }
	r.startWorker(func() { r.confirmer.run(ctx) })
	r.startWorker(func() { r.renewOwnership(ctx) })
	r.startWorker(func() { r.watchHeldPolls(ctx) })
	r.startWorker(func() { r.maintainMembership(ctx) })
	r.startWorker(func() { r.exchangeRegistry(ctx) })
	r.startWorker(func() { r.maintainDepartures(ctx) })
	err := r.loop(ctx)
	close(r.stopped)
	cancel()
	r.engine.failPending()
	r.workers.Wait()
	r.departures.Close()
	if closeErr := r.log.Close(); err == nil {
		err = closeErr
	}
	return err
}

func (r *Replica) startWorker(worker func()) {
	r.workers.Add(1)
	go func() {
		defer r.workers.Done()
		worker()
	}()
}

// TransferLeadership transfers the leadership of all groups to other replicas before a planned stop.
// It returns when this replica leads no group or ctx ends.
func (r *Replica) TransferLeadership(ctx context.Context) {
	r.stopping.Store(true)
	for r.post(r.transferAll) {
		v := r.view.Load()
		led := false
		for g := range v.groups {
			led = led || v.leads(uint32(g))
		}
		if !led || len(v.members) < 2 {
			return
		}
		if !clock.Sleep(ctx, tickInterval) {
			return
		}
	}
}

// transferAll starts the transfer of the leadership of every group that this replica leads, to the
// caught-up voter with the highest match index.
func (r *Replica) transferAll(now time.Time) {
	for _, g := range r.engine.groups {
		var best uint64
		var match uint64
		for _, p := range g.core.Peers() {
			if p.Replica.Id != r.log.Identity().Replica && !p.Replica.Learner && p.CaughtUp && p.Match >= match {
				best, match = p.Replica.Id, p.Match
			}
		}
		if best != 0 {
			g.core.Transfer(now, best)
		}
	}
}
