package control

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/replica"
	"github.com/guavaford/guavaford/internal/wal"
)

// engine hosts the groups of one replica over one log file. It starts no goroutine and knows no
// network: the caller passes time, messages and proposals, and takes messages from the outbox.
// Tests drive it message by message.
type engine struct {
	log    *wal.Log
	groups []*group
	rnd    *rand.Rand
	// outbox collects the messages to each replica.
	outbox map[uint64][]*apiv1.RaftMessage
	// beforeSync, if set, is called when messages are in the outbox that may overtake a sync.
	beforeSync func()
	// writeSnapshot, if set, writes a snapshot elsewhere and has finishSnapshot called when done.
	writeSnapshot func(number uint32, s *apiv1.GroupSnapshot)
	// writing counts the snapshots that are being written elsewhere.
	writing int
	sizes   engineSizes
	// rewriteAt is the size at which the log file is rewritten.
	rewriteAt int64
	nextRead  uint64
	metrics   engineMetrics
}

// engineMetrics counts the work of an engine.
type engineMetrics struct {
	proposals atomic.Uint64
	applied   atomic.Uint64
	snapshots atomic.Uint64
	installed atomic.Uint64
}

// StateMachine is the state that a group replicates. Apply must be deterministic.
type StateMachine interface {
	Apply(index uint64, data []byte) []byte
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

const readTimeout = time.Second

func newEngine(log *wal.Log, rnd *rand.Rand) *engine {
	return &engine{
		log:       log,
		rnd:       rnd,
		outbox:    map[uint64][]*apiv1.RaftMessage{},
		sizes:     defaultSizes,
		rewriteAt: defaultSizes.rewriteBytes,
		// Reads of an earlier process must not be confused with those of this one.
		nextRead: rnd.Uint64(),
	}
}

// addGroup hosts the next group with what was recovered of it; nil if nothing was.
func (e *engine) addGroup(now time.Time, machine StateMachine, recovered *wal.Group) error {
	g := &group{machine: machine, waiting: map[uint64]waiter{}, reads: map[uint64]pendingRead{}}
	number := uint32(len(e.groups))
	state := replica.State{}
	if recovered != nil {
		state = replica.State{HardState: recovered.HardState, Snapshot: recovered.Snapshot, Entries: recovered.Entries}
	}
	if s := state.Snapshot; s != nil {
		if err := machine.Restore(s.Data); err != nil {
			return errors.Wrapf(wal.ErrDamaged, "group %d: snapshot %d: %v", number, s.Index, err)
		}
		g.noteSnapshot(s)
		g.appliedByEngine = s.Index
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

// step takes a message of another replica.
func (e *engine) step(now time.Time, m *apiv1.RaftMessage) {
	if int(m.Group) < len(e.groups) {
		e.groups[m.Group].core.Step(now, m)
	}
}

// tick lets time pass.
func (e *engine) tick(now time.Time) {
	for _, g := range e.groups {
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

// propose submits a command; done is called once, from this or a later call.
func (e *engine) propose(now time.Time, number uint32, data []byte, done func(opResult)) {
	g := e.groups[number]
	index, term, err := g.core.Propose(now, data)
	if err != nil {
		done(opResult{state: opNotProposed})
		return
	}
	e.metrics.proposals.Add(1)
	if old, ok := g.waiting[index]; ok {
		// This replica led before and its entry at the index was replaced since.
		old.done(opResult{state: opLost})
	}
	g.waiting[index] = waiter{term: term, done: done}
}

// read calls done(true) once everything committed before this call is applied here, which a quorum
// confirmed after this call, and done(false) if that fails or takes too long.
func (e *engine) read(now time.Time, number uint32, done func(ok bool)) {
	g := e.groups[number]
	e.nextRead++
	g.reads[e.nextRead] = pendingRead{deadline: now.Add(readTimeout), done: done}
	g.core.Read(now, e.nextRead)
}

// process executes all work that has come up. An error means that the log takes no more; the
// replica must stop, and nothing that was not synced has been acknowledged.
func (e *engine) process() error {
	for {
		batches := e.collect()
		if len(batches) == 0 {
			return nil
		}
		for _, b := range batches {
			e.post(b.ready.Early)
		}
		if err := e.persist(batches); err != nil {
			return err
		}
		for _, b := range batches {
			e.post(b.ready.Messages)
			if err := e.execute(b); err != nil {
				return err
			}
		}
		if err := e.maintain(); err != nil {
			return err
		}
	}
}

// batch is the work of one group.
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

func (e *engine) post(messages []*apiv1.RaftMessage) {
	for _, m := range messages {
		e.outbox[m.To] = append(e.outbox[m.To], m)
	}
}

// persist makes the batches of all groups durable with one sync.
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
	return e.log.Append(records)
}

// execute installs a snapshot, applies what is committed, and ends reads.
func (e *engine) execute(b batch) error {
	g, rd := b.group, b.ready
	if rd.Snapshot != nil {
		if err := g.machine.Restore(rd.Snapshot.Data); err != nil {
			return errors.Wrapf(err, "group %d: snapshot %d does not restore", b.number, rd.Snapshot.Index)
		}
		g.noteSnapshot(rd.Snapshot)
		g.appliedByEngine = rd.Snapshot.Index
		g.forget(rd.Snapshot.Index)
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

// apply executes a committed entry and answers whoever waits for its index.
func (e *engine) apply(g *group, entry *apiv1.LogEntry) {
	var reply []byte
	if entry.Kind == apiv1.EntryKind_ENTRY_KIND_COMMAND {
		reply = g.machine.Apply(entry.Index, entry.Data)
		e.metrics.applied.Add(1)
	}
	g.appliedByEngine = entry.Index
	g.bytesSince += len(entry.Data)
	w, ok := g.waiting[entry.Index]
	if !ok {
		return
	}
	delete(g.waiting, entry.Index)
	if w.term == entry.Term {
		w.done(opResult{state: opApplied, reply: reply})
		return
	}
	w.done(opResult{state: opLost})
}

// abandon ends everything that waits, when the replica stops.
func (e *engine) abandon() {
	for _, g := range e.groups {
		g.forget(^uint64(0))
		for id, read := range g.reads {
			delete(g.reads, id)
			read.done(false)
		}
		for _, read := range g.confirmed {
			read.done(false)
		}
		g.confirmed = nil
	}
}
