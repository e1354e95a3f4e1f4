package control

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/clock"
	"github.com/guavaford/guavaford/internal/replica"
	"github.com/guavaford/guavaford/internal/wal"
)

// engine runs the Raft groups of one replica over one log file. It starts no goroutine and does
// no network I/O: the caller passes in time, messages and proposals, and takes messages from the
// outbox. Tests drive it message by message.
type engine struct {
	log    *wal.Log
	groups []*group
	rnd    *rand.Rand
	// outbox holds the outgoing messages by the id of the receiving replica.
	outbox map[uint64][]*apiv1.RaftMessage
	// clock, if set, measures how long the syncs of the log take.
	clock    clock.Clock
	syncTime syncTime
	// beforeSync, if set, is called before the log is synced, so that messages that need not wait
	// for the sync are sent first.
	beforeSync func()
	// writeSnapshot, if set, writes a snapshot asynchronously and has finishSnapshot called when
	// it is done.
	writeSnapshot func(number uint32, s *apiv1.GroupSnapshot)
	// snapshotsInProgress counts the snapshots that are being written asynchronously.
	snapshotsInProgress int
	thresholds          compactionThresholds
	// rewriteAt is the size in bytes at which the log file is rewritten next.
	rewriteAt int64
	nextRead  uint64
	metrics   engineMetrics
}

// engineMetrics holds the counters of an engine.
type engineMetrics struct {
	proposals atomic.Uint64
	applied   atomic.Uint64
	snapshots atomic.Uint64
	installed atomic.Uint64
}

// StateMachine is the state that a Raft group replicates. Apply must be deterministic.
type StateMachine interface {
	Apply(index uint64, data []byte) []byte
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

const readTimeout = time.Second

func newEngine(log *wal.Log, rnd *rand.Rand) *engine {
	return &engine{
		log:        log,
		rnd:        rnd,
		outbox:     map[uint64][]*apiv1.RaftMessage{},
		thresholds: defaultThresholds,
		rewriteAt:  defaultThresholds.rewriteBytes,
		// A random start keeps late replies to reads of an earlier process from matching new ones.
		nextRead: rnd.Uint64(),
	}
}

// addGroup adds the next group with the state recovered from the log; nil if there is none.
func (e *engine) addGroup(now time.Time, machine StateMachine, recovered *wal.GroupState) error {
	g := &group{machine: machine, pendingProposals: map[uint64]pendingProposal{}, reads: map[uint64]pendingRead{}}
	number := uint32(len(e.groups))
	state := replica.RecoveredState{}
	if recovered != nil {
		state = replica.RecoveredState{HardState: recovered.HardState, Snapshot: recovered.Snapshot, Entries: recovered.Entries}
	}
	if s := state.Snapshot; s != nil {
		if err := machine.Restore(s.Data); err != nil {
			return errors.Wrapf(wal.ErrDamaged, "group %d: restore snapshot %d: %v", number, s.Index, err)
		}
		g.setSnapshot(s)
		g.appliedIndex = s.Index
	}
	config := replica.Config{
		Group: number,
		ID:    e.log.Identity().Replica,
		Rand:  rand.New(rand.NewPCG(e.rnd.Uint64(), e.rnd.Uint64())),
		LoadSnapshot: func() (*apiv1.GroupSnapshot, error) {
			return e.log.LoadSnapshot(number, g.snapshotIndex)
		},
	}
	g.core = replica.New(config, state, now)
	e.groups = append(e.groups, g)
	return nil
}

// step processes a message from another replica.
func (e *engine) step(now time.Time, m *apiv1.RaftMessage) {
	if int(m.Group) < len(e.groups) {
		e.groups[m.Group].core.Step(now, m)
	}
}

// tick advances the timers of all groups and fails reads that have timed out.
func (e *engine) tick(now time.Time) {
	syncTime := e.syncTime.estimate(now)
	for _, g := range e.groups {
		g.core.SetSyncTime(syncTime)
		g.core.Tick(now)
		for id, read := range g.reads {
			if now.After(read.deadline) {
				delete(g.reads, id)
				g.core.CancelRead(id)
				read.done(false)
			}
		}
	}
}

// propose submits a command. done is called once, from this call or a later one on the engine.
func (e *engine) propose(now time.Time, number uint32, data []byte, done func(opResult)) {
	g := e.groups[number]
	index, term, err := g.core.Propose(now, data)
	if err != nil {
		done(opResult{state: opNotProposed})
		return
	}
	e.metrics.proposals.Add(1)
	if old, ok := g.pendingProposals[index]; ok {
		// This replica led before, and its entry at this index has been overwritten since.
		old.done(opResult{state: opLost})
	}
	g.pendingProposals[index] = pendingProposal{term: term, done: done}
}

// read is a linearizable read (ReadIndex). It calls done(true) once a quorum has confirmed, after
// this call, how far the log is committed, and everything up to there is applied here. It calls
// done(false) if that fails or takes longer than readTimeout.
func (e *engine) read(now time.Time, number uint32, done func(ok bool)) {
	g := e.groups[number]
	e.nextRead++
	g.reads[e.nextRead] = pendingRead{deadline: now.Add(readTimeout), done: done}
	g.core.Read(now, e.nextRead)
}

// process executes all pending work. An error means that the log accepts no more writes; the
// replica must then stop. Nothing that was not synced has been acknowledged.
func (e *engine) process() error {
	for {
		batches := e.collect()
		if len(batches) == 0 {
			return nil
		}
		for _, b := range batches {
			e.enqueue(b.ready.EarlyMessages)
		}
		if err := e.persist(batches); err != nil {
			return err
		}
		for _, b := range batches {
			e.enqueue(b.ready.Messages)
			if err := e.execute(b); err != nil {
				return err
			}
		}
		if err := e.compact(); err != nil {
			return err
		}
	}
}

// batch is the pending work of one group.
type batch struct {
	number uint32
	group  *group
	ready  replica.Ready
}

func (e *engine) collect() []batch {
	var batches []batch
	for i, g := range e.groups {
		if g.core.HasReady() {
			batches = append(batches, batch{uint32(i), g, g.core.Ready()})
		}
	}
	return batches
}

func (e *engine) enqueue(messages []*apiv1.RaftMessage) {
	for _, m := range messages {
		e.outbox[m.To] = append(e.outbox[m.To], m)
	}
}

// persist writes the batches of all groups to the log with one sync.
func (e *engine) persist(batches []batch) error {
	var records []*apiv1.WalRecord
	for _, b := range batches {
		rd := b.ready
		if rd.Snapshot != nil {
			if err := e.log.SaveSnapshot(b.number, rd.Snapshot); err != nil {
				return err
			}
		}
		if rd.Snapshot == nil && rd.HardState == nil && len(rd.Entries) == 0 {
			continue
		}
		record := &apiv1.WalRecord{Group: b.number, HardState: rd.HardState, Entries: rd.Entries}
		if rd.Snapshot != nil {
			record.SnapshotIndex = rd.Snapshot.Index
			record.SnapshotTerm = rd.Snapshot.Term
		}
		records = append(records, record)
	}
	if len(records) == 0 {
		return nil
	}
	if e.beforeSync != nil {
		e.beforeSync()
	}
	return e.append(records)
}

// append writes records to the log and notes how long that took.
func (e *engine) append(records []*apiv1.WalRecord) error {
	if e.clock == nil {
		return e.log.Append(records)
	}
	began := e.clock.Now()
	err := e.log.Append(records)
	now := e.clock.Now()
	e.syncTime.observe(now, now.Sub(began))
	return err
}

// execute installs a received snapshot, applies committed entries and completes reads.
func (e *engine) execute(b batch) error {
	g, rd := b.group, b.ready
	if rd.Snapshot != nil {
		if err := g.machine.Restore(rd.Snapshot.Data); err != nil {
			return errors.Wrapf(err, "group %d: restore snapshot %d", b.number, rd.Snapshot.Index)
		}
		g.setSnapshot(rd.Snapshot)
		g.appliedIndex = rd.Snapshot.Index
		g.failProposals(rd.Snapshot.Index)
		e.metrics.installed.Add(1)
	}
	for _, entry := range rd.Committed {
		e.apply(g, entry)
	}
	g.core.Advance(rd)
	for _, read := range rd.Reads {
		g.confirm(read)
	}
	g.finishReads()
	return nil
}

// apply executes a committed entry and completes the proposal that waits for its index.
func (e *engine) apply(g *group, entry *apiv1.LogEntry) {
	var reply []byte
	if entry.Kind == apiv1.EntryKind_ENTRY_KIND_COMMAND {
		reply = g.machine.Apply(entry.Index, entry.Data)
		e.metrics.applied.Add(1)
	}
	g.appliedIndex = entry.Index
	g.bytesSinceSnapshot += len(entry.Data)
	proposal, ok := g.pendingProposals[entry.Index]
	if !ok {
		return
	}
	delete(g.pendingProposals, entry.Index)
	if proposal.term == entry.Term {
		proposal.done(opResult{state: opApplied, reply: reply})
		return
	}
	proposal.done(opResult{state: opLost})
}

// failPending fails all pending proposals and reads when the replica stops.
func (e *engine) failPending() {
	for _, g := range e.groups {
		g.failProposals(^uint64(0))
		for id, read := range g.reads {
			delete(g.reads, id)
			read.done(false)
		}
		for _, read := range g.confirmedReads {
			read.done(false)
		}
		g.confirmedReads = nil
	}
}
