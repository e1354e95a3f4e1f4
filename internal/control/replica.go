// Package control is the control replica of a process, and the client of control replicas.
//
// # Concepts
//
// A replica hosts several groups over one log file. Group 0 replicates the configuration
// (package store). Groups 1 to N each replicate one shard of the run records
// (package runrecord), and their leaders are spread over the replicas.
//
// One goroutine, the loop, owns the engine with all groups. Everything else posts functions to it
// and never touches the engine. The loop drains what was posted, executes the work that came up
// with one sync for all groups, and passes the messages to one sender for each replica.
//
// # Data flow
//
//	Propose, Run ─▶ leader (relayed if elsewhere) ─▶ engine ─▶ log ─▶ state machine ─▶ answer
//	Sync ─▶ confirmer (quorum round) ─▶ store, registry ─▶ answer with news
//	confirmer ─▶ ownership of rate shards ─▶ rate.Owner ─▶ Lease
//
// # What an answer means
//
// Propose says "accepted" only after the change was committed and applied here or at the replica
// that the request was relayed to. A leader that was deposed meanwhile answers "unknown" or, with
// proof that the change never takes effect, "unavailable".
//
// Sync vouches for a revision only after a quorum round that began after the request came in.
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
	"github.com/guavaford/guavaford/internal/rate"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/runrecord"
	"github.com/guavaford/guavaford/internal/store"
	"github.com/guavaford/guavaford/internal/wal"
)

// Errors that end Serve.
var (
	ErrRemoved = errors.New("an operator removed this replica from the cluster; it can join anew with an empty data folder")
	// ErrNoQuorum is returned by reads that no quorum confirms.
	ErrNoQuorum = errors.New("no quorum confirms the revision")
	// ErrStopped is returned by requests to a replica that does not run.
	ErrStopped = errors.New("control replica is not running")
)

// Replica is a control replica.
type Replica struct {
	o      Options
	log    *wal.Log
	store  *store.Store
	relay  *registry.Relay
	owner  *rate.Owner
	tables []*runrecord.Table
	rnd    *rand.Rand

	events  chan func(now time.Time)
	stopped chan struct{}
	view    atomic.Pointer[view]
	// proposing is held while a change is validated and proposed.
	proposing chan struct{}
	confirmer *confirmer
	ownership *ownership
	senders   *senders
	stopping  atomic.Bool
	// seeds are addresses of replicas of a running cluster to join.
	seeds atomic.Pointer[[]string]
	built atomic.Pointer[builtPlacement]

	// Owned by the loop.
	engine  *engine
	known   map[uint64]knownReplica
	stamps  []stamp
	balance balance
	failure error
	// electionLogged is when the lack of a leader was logged last, for each group.
	electionLogged []time.Time

	workers sync.WaitGroup
}

// knownReplica is what messages tell of another replica.
type knownReplica struct {
	address     string
	incarnation uint64
}

// Open opens the data folder and registers the handlers on the server. It returns an error for a
// folder that is damaged, in use, or belongs to another node.
func Open(o Options) (*Replica, error) {
	o = withDefaults(o)
	rnd := rand.New(rand.NewPCG(o.Seed, o.Identity.Incarnation))
	fresh := func() *apiv1.ReplicaIdentity {
		return &apiv1.ReplicaIdentity{Replica: rnd.Uint64() | 1, Node: o.Identity.Node}
	}
	log, recovered, err := wal.Open(o.FS, o.DataFolder, o.Identity.Node, fresh)
	if err != nil {
		return nil, errors.Wrap(err, "control replica")
	}
	r := &Replica{
		o:         o,
		log:       log,
		store:     store.New(o.Check),
		relay:     o.Relay,
		rnd:       rnd,
		events:    make(chan func(time.Time), eventBuffer),
		stopped:   make(chan struct{}),
		proposing: make(chan struct{}, 1),
		engine:    newEngine(log, rnd),
		known:     map[uint64]knownReplica{},
	}
	r.SetSeeds(o.Seeds)
	r.engine.beforeSync = r.flush
	r.engine.writeSnapshot = r.writeSnapshot
	r.confirmer = newConfirmer(r)
	r.ownership = newOwnership(r)
	r.owner = rate.NewOwner(r.ownership, newLimits(r.store), o.Clock, o.Rate)
	r.senders = newSenders(r)
	if log.Identity().Cluster != 0 {
		if err := r.addGroups(recovered); err != nil {
			_ = log.Close()
			return nil, err
		}
	}
	r.publish()
	r.register()
	voters, learners := memberNodes(&apiv1.Membership{Replicas: r.view.Load().members})
	r.o.Log.Info("data folder opened", "replica", log.Identity().Replica, "cluster", log.Identity().Cluster,
		"groups", len(recovered), "voters", voters, "learners", learners)
	return r, nil
}

// addGroups hosts the groups that the identity names, with what was recovered of them.
func (r *Replica) addGroups(recovered map[uint32]*wal.Group) error {
	now := r.o.Clock.Now()
	for i, machine := range r.machines(r.log.Identity().RunShards) {
		if err := r.engine.addGroup(now, machine, recovered[uint32(i)]); err != nil {
			return err
		}
	}
	r.stamps = make([]stamp, len(r.engine.groups))
	return nil
}

// machines returns the state machines of all groups, fresh but for the store.
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

// info describes this replica as a member.
func (r *Replica) info() *apiv1.ReplicaInfo {
	return &apiv1.ReplicaInfo{
		Id:         r.log.Identity().Replica,
		Node:       r.o.Identity.Node,
		Address:    r.o.Address,
		DataCentre: r.o.DataCentre,
	}
}

// Serve runs the replica until ctx ends or the replica can't go on: the log took no more writes,
// or the replica was removed.
func (r *Replica) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.senders.ctx.Store(&ctx)
	r.start(func() { r.confirmer.run(ctx) })
	r.start(func() { r.keepOwnership(ctx) })
	r.start(func() { r.keepMembership(ctx) })
	r.start(func() { r.relayRegistry(ctx) })
	err := r.loop(ctx)
	close(r.stopped)
	cancel()
	r.engine.abandon()
	r.workers.Wait()
	if closeErr := r.log.Close(); err == nil {
		err = closeErr
	}
	return err
}

func (r *Replica) start(worker func()) {
	r.workers.Add(1)
	go func() {
		defer r.workers.Done()
		worker()
	}()
}

// TransferLeadership hands over the leadership of all groups before a planned stop, and returns
// when this replica leads none or ctx ends.
func (r *Replica) TransferLeadership(ctx context.Context) {
	r.stopping.Store(true)
	for r.post(r.handOverAll) {
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

// handOverAll starts the transfer of every group that this replica leads.
func (r *Replica) handOverAll(now time.Time) {
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
