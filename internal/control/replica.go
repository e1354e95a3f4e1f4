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
	"github.com/guavaford/guavaford/internal/config"
	"github.com/guavaford/guavaford/internal/peer"
	"github.com/guavaford/guavaford/internal/rate"
	"github.com/guavaford/guavaford/internal/registry"
	"github.com/guavaford/guavaford/internal/runrecord"
	"github.com/guavaford/guavaford/internal/store"
	"github.com/guavaford/guavaford/internal/telemetry"
	"github.com/guavaford/guavaford/internal/vfs"
	"github.com/guavaford/guavaford/internal/wal"
)

// Errors that end Serve.
var (
	ErrRemoved = errors.New("this replica was removed from the cluster; it can join anew with an empty data folder")
	// ErrStopped is returned by requests to a replica that does not run.
	ErrStopped = errors.New("control replica is not running")
)

// Options of a replica.
type Options struct {
	DataFolder string
	// FS is the file system of the data folder; nil is the operating system's.
	FS       vfs.FS
	Identity peer.Identity
	// Address is the peer address under which other replicas reach this one.
	Address    string
	DataCentre string
	// InitialReplicas are the peer addresses of the replicas that found the cluster together;
	// empty or only the own address founds a cluster of one unless there are Seeds.
	InitialReplicas []string
	// Seeds are addresses of replicas of a running cluster to join.
	Seeds []string
	// Bootstrap founds the cluster even if not all initial replicas answer. It never does so
	// beside a cluster that answers.
	Bootstrap bool
	Pool      *peer.Pool
	Server    *peer.Server
	// Relay is the registry of targets; nil makes one.
	Relay *registry.Relay
	// Check validates a whole configuration; nil is config.Check.
	Check store.Checker
	// RateShards and RunShards are fixed when the cluster is founded.
	RateShards uint32
	RunShards  uint32
	Rate       rate.Config
	RunRecords runrecord.Config
	Clock      clock.Clock
	Log        telemetry.Logger
	// Seed makes timeouts and identities repeatable in tests; 0 draws one.
	Seed uint64
}

const (
	defaultRateShards = 32
	defaultRunShards  = 7
	tickInterval      = 20 * time.Millisecond
	dutyInterval      = 200 * time.Millisecond
	eventBuffer       = 4096
	// defaultRunShardBytes bounds a shard, and with it the largest snapshot.
	defaultRunShardBytes = 64 << 20
	// MaxReplicas bounds the replicas of a cluster.
	MaxReplicas = 7
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
	built     atomic.Pointer[builtPlacement]

	// Owned by the loop.
	engine  *engine
	known   map[uint64]knownReplica
	stamps  []stamp
	balance balance
	failure error

	workers sync.WaitGroup
}

// knownReplica is what messages tell of another replica.
type knownReplica struct {
	address     string
	incarnation uint64
}

// view is what the loop publishes of its state. It is immutable.
type view struct {
	identity *apiv1.ReplicaIdentity
	groups   []groupView
	// members of group 0 in force at this replica.
	members []*apiv1.ReplicaInfo
}

// groupView is the leadership of one group as this replica knows it.
type groupView struct {
	leader  uint64
	settled bool // this replica leads and has committed an entry of its term
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
	return r, nil
}

func withDefaults(o Options) Options {
	if o.FS == nil {
		o.FS = vfs.OS{}
	}
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	if o.Log == nil {
		o.Log = telemetry.Discard()
	}
	if o.Check == nil {
		compiler := &config.Compiler{}
		o.Check = func(resources []*apiv1.Resource) []string { return compiler.Check(resources).Strings() }
	}
	if o.RateShards == 0 {
		o.RateShards = defaultRateShards
	}
	if o.RunShards == 0 {
		o.RunShards = defaultRunShards
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	if o.Relay == nil {
		o.Relay = registry.NewRelay(registry.RelayOptions{Node: o.Identity.Node, Incarnation: o.Identity.Incarnation})
	}
	o.Rate.OwnerLease = ownershipLease
	if o.RunRecords.MaxBytes == 0 {
		o.RunRecords.MaxBytes = defaultRunShardBytes
	}
	return o
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

// Metrics counts the work of a replica since it was opened.
type Metrics struct {
	// Events is the number of events that wait for the loop now.
	Events int
	// Proposals counts commands that this replica appended as a leader.
	Proposals uint64
	// Applied counts commands that were committed and executed.
	Applied   uint64
	Snapshots uint64
	// Installed counts snapshots that came from a leader.
	Installed uint64
	// Batches, Messages and Bytes count what was sent to other replicas; Dropped counts messages
	// that could not be delivered in time.
	Batches  uint64
	Messages uint64
	Bytes    uint64
	Dropped  uint64
	Log      wal.Metrics
}

// Metrics returns the counts so far.
func (r *Replica) Metrics() Metrics {
	return Metrics{
		Events:    len(r.events),
		Proposals: r.engine.metrics.proposals.Load(),
		Applied:   r.engine.metrics.applied.Load(),
		Snapshots: r.engine.metrics.snapshots.Load(),
		Installed: r.engine.metrics.installed.Load(),
		Batches:   r.senders.batches.Load(),
		Messages:  r.senders.messages.Load(),
		Bytes:     r.senders.bytes.Load(),
		Dropped:   r.senders.dropped.Load(),
		Log:       r.log.Metrics(),
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

// loop owns the engine.
func (r *Replica) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var nextDuty time.Time
	for {
		ticked := false
		select {
		case <-ctx.Done():
			return nil
		case event := <-r.events:
			event(r.o.Clock.Now())
		case <-ticker.C:
			ticked = true
		}
		r.drain()
		now := r.o.Clock.Now()
		if ticked {
			// After the messages: a replica that was held up must not mistake its own delay for silence.
			r.engine.tick(now)
		}
		if ticked && now.After(nextDuty) {
			nextDuty = now.Add(dutyInterval)
			r.duties(now)
		}
		if err := r.engine.process(); err != nil {
			r.o.Log.Error("control replica stops", "err", err)
			return err
		}
		if r.failure != nil {
			return r.failure
		}
		r.flush()
		r.publish()
	}
}

// writeSnapshot writes a snapshot beside the loop, which must not wait for a large file.
func (r *Replica) writeSnapshot(number uint32, s *apiv1.GroupSnapshot) {
	r.start(func() {
		err := r.log.WriteSnapshot(number, s)
		r.post(func(time.Time) {
			if err == nil {
				err = r.engine.finishSnapshot(number, s)
			}
			if err != nil {
				r.fail(errors.Wrap(err, "snapshot"))
			}
		})
	})
}

// drain executes the events that have queued up, so that one sync covers them.
func (r *Replica) drain() {
	for range eventBuffer {
		select {
		case event := <-r.events:
			event(r.o.Clock.Now())
		default:
			return
		}
	}
}

// post hands a function to the loop; false means that the replica has stopped.
func (r *Replica) post(event func(now time.Time)) bool {
	select {
	case <-r.stopped:
		return false
	default:
	}
	select {
	case r.events <- event:
		return true
	case <-r.stopped:
		return false
	}
}

// fail ends the loop with an error.
func (r *Replica) fail(err error) {
	if r.failure == nil {
		r.failure = err
	}
}

// flush passes the messages of the engine to the senders.
func (r *Replica) flush() {
	if r.senders.ctx.Load() == nil {
		return // driven by hand, without a network
	}
	for id, messages := range r.engine.outbox {
		delete(r.engine.outbox, id)
		if address := r.addressOf(id); address != "" {
			r.senders.push(address, messages)
		}
	}
}

// addressOf finds the peer address of a replica. The membership is the authority; a replica
// that has no log yet knows its leader only from messages.
func (r *Replica) addressOf(id uint64) string {
	for _, g := range r.engine.groups {
		for _, member := range g.core.Membership().Replicas {
			if member.Id == id {
				return member.Address
			}
		}
	}
	return r.known[id].address
}

// publish updates the view if anything in it changed.
func (r *Replica) publish() {
	next := &view{identity: r.log.Identity()}
	for _, g := range r.engine.groups {
		next.groups = append(next.groups, groupView{leader: g.core.Leader(), settled: g.core.Settled()})
	}
	if len(r.engine.groups) > 0 {
		next.members = r.engine.groups[0].core.Membership().Replicas
	}
	if old := r.view.Load(); old == nil || !next.equal(old) {
		r.view.Store(next)
	}
}

func (v *view) equal(o *view) bool {
	if v.identity != o.identity || len(v.groups) != len(o.groups) || len(v.members) != len(o.members) {
		return false
	}
	for i := range v.groups {
		if v.groups[i] != o.groups[i] {
			return false
		}
	}
	for i := range v.members {
		if v.members[i] != o.members[i] {
			return false
		}
	}
	return true
}

// leads reports whether this replica leads a group and may serve it.
func (v *view) leads(group uint32) bool {
	return int(group) < len(v.groups) && v.groups[group].leader == v.identity.Replica
}

// leaderAddress returns where the leader of a group is reached; "" if it is not known.
func (v *view) leaderAddress(group uint32) string {
	if int(group) >= len(v.groups) {
		return ""
	}
	for _, member := range v.members {
		if member.Id == v.groups[group].leader {
			return member.Address
		}
	}
	return ""
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
		if !sleep(ctx, tickInterval) {
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

// sleep waits for d; false means that ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
