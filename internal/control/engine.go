package control

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

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

// engineSizes decide when snapshots are taken and the log file is rewritten.
type engineSizes struct {
	// rewriteBytes is the least size at which the log file is rewritten.
	rewriteBytes int64
	// snapshotBytes is the least size of the log behind a snapshot at which the next is taken, and
	// the largest size of a snapshot that is also taken by snapshotEntries.
	snapshotBytes   int
	snapshotEntries uint64
	// keepEntries stay in memory behind a snapshot for replicas that are a little behind.
	keepEntries uint64
}

// defaultSizes are the sizes of a running replica.
var defaultSizes = engineSizes{
	rewriteBytes:    8 << 20,
	snapshotBytes:   1 << 20,
	snapshotEntries: 4096,
	keepEntries:     1024,
}

const readTimeout = time.Second

// group is one replicated group of an engine.
type group struct {
	core    *replica.Core
	machine StateMachine
	waiting map[uint64]waiter
	reads   map[uint64]pendingRead
	// confirmed reads wait until their index is applied.
	confirmed []confirmedRead

	snapshotIndex   uint64
	snapshotTerm    uint64
	snapshotBytes   int
	bytesSince      int
	appliedByEngine uint64
	// writing is true while a snapshot of this group is being written elsewhere.
	writing bool
}

// opState is the end of a proposal.
type opState int

const (
	// opApplied: committed and applied; the reply is the state machine's.
	opApplied opState = iota
	// opNotProposed: nothing was appended.
	opNotProposed
	// opLost: another entry took the place in the log; this one never takes effect.
	opLost
	// opUnknown: the outcome can't be told here.
	opUnknown
)

// opResult is the end of a proposal with its reply.
type opResult struct {
	state opState
	reply []byte
}

// waiter waits for the entry of a term at an index.
type waiter struct {
	term uint64
	done func(opResult)
}

type pendingRead struct {
	deadline time.Time
	done     func(ok bool)
}

type confirmedRead struct {
	index uint64
	done  func(ok bool)
}

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

func (g *group) noteSnapshot(s *apiv1.GroupSnapshot) {
	g.snapshotIndex = s.Index
	g.snapshotTerm = s.Term
	g.snapshotBytes = len(s.Data)
	g.bytesSince = 0
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

// forget ends the proposals that a snapshot has passed over.
func (g *group) forget(index uint64) {
	for i, w := range g.waiting {
		if i <= index {
			delete(g.waiting, i)
			w.done(opResult{state: opUnknown})
		}
	}
}

func (g *group) confirm(read replica.ReadState) {
	pending, ok := g.reads[read.ID]
	if !ok {
		return
	}
	delete(g.reads, read.ID)
	if !read.OK {
		pending.done(false)
		return
	}
	g.confirmed = append(g.confirmed, confirmedRead{read.Index, pending.done})
}

// finishReads ends the reads whose index is applied.
func (g *group) finishReads() {
	if len(g.confirmed) == 0 {
		return
	}
	var waiting []confirmedRead
	for _, read := range g.confirmed {
		if read.index > g.appliedByEngine {
			waiting = append(waiting, read)
			continue
		}
		read.done(true)
	}
	g.confirmed = waiting
}

// maintain takes snapshots and rewrites the log file when they have grown.
func (e *engine) maintain() error {
	for i, g := range e.groups {
		if e.snapshotDue(g) {
			if err := e.snapshot(uint32(i), g); err != nil {
				return err
			}
		}
	}
	if e.log.Size() < e.rewriteAt || e.writing > 0 {
		return nil
	}
	if err := e.log.Rewrite(e.records()); err != nil {
		return err
	}
	e.rewriteAt = max(e.sizes.rewriteBytes, 4*e.log.Size())
	return nil
}

// snapshotDue balances the work of a snapshot against the log that it makes unnecessary.
func (e *engine) snapshotDue(g *group) bool {
	if g.writing {
		return false
	}
	if g.bytesSince >= max(e.sizes.snapshotBytes, g.snapshotBytes) {
		return true
	}
	return g.appliedByEngine >= g.snapshotIndex+e.sizes.snapshotEntries && g.snapshotBytes <= e.sizes.snapshotBytes
}

// snapshot writes the applied state of a group.
func (e *engine) snapshot(number uint32, g *group) error {
	data, err := g.machine.Snapshot()
	if err != nil {
		return errors.Wrapf(err, "group %d: snapshot", number)
	}
	s := g.core.SnapshotAt()
	s.Data = data
	if e.writeSnapshot != nil {
		g.writing = true
		e.writing++
		e.writeSnapshot(number, s)
		return nil
	}
	if err := e.log.SaveSnapshot(number, s); err != nil {
		return err
	}
	return e.adoptSnapshot(number, s)
}

// finishSnapshot takes over a snapshot that was written elsewhere.
func (e *engine) finishSnapshot(number uint32, s *apiv1.GroupSnapshot) error {
	e.groups[number].writing = false
	e.writing--
	if s.Index <= e.groups[number].snapshotIndex {
		return nil // one from the leader came first
	}
	return e.adoptSnapshot(number, s)
}

// adoptSnapshot makes a durable snapshot count and drops the log before it.
func (e *engine) adoptSnapshot(number uint32, s *apiv1.GroupSnapshot) error {
	g := e.groups[number]
	record := &apiv1.WalRecord{Group: number, SnapshotIndex: s.Index, SnapshotTerm: s.Term}
	if err := e.log.Append([]*apiv1.WalRecord{record}); err != nil {
		return err
	}
	g.noteSnapshot(s)
	g.core.Compact(s.Index, e.sizes.keepEntries)
	e.metrics.snapshots.Add(1)
	return nil
}

// records returns what a rewritten log file must hold.
func (e *engine) records() []*apiv1.WalRecord {
	var records []*apiv1.WalRecord
	for i, g := range e.groups {
		hard, entries := g.core.Retained(g.snapshotIndex)
		records = append(records, &apiv1.WalRecord{
			Group:         uint32(i),
			HardState:     hard,
			SnapshotIndex: g.snapshotIndex,
			SnapshotTerm:  g.snapshotTerm,
			Entries:       entries,
		})
	}
	return records
}

// found makes this replica the only member of new groups, durably, and returns what
// addGroup needs of each.
func found(log *wal.Log, self *apiv1.ReplicaInfo, machines []StateMachine) ([]*wal.Group, error) {
	var groups []*wal.Group
	var records []*apiv1.WalRecord
	for i, machine := range machines {
		data, err := machine.Snapshot()
		if err != nil {
			return nil, err
		}
		member := proto.CloneOf(self)
		member.Learner = false
		snapshot := &apiv1.GroupSnapshot{
			Index:      1,
			Term:       1,
			Membership: &apiv1.Membership{Replicas: []*apiv1.ReplicaInfo{member}},
			Data:       data,
		}
		if err := log.SaveSnapshot(uint32(i), snapshot); err != nil {
			return nil, err
		}
		hard := &apiv1.HardState{Term: 1, Commit: 1}
		groups = append(groups, &wal.Group{HardState: hard, Snapshot: snapshot})
		records = append(records, &apiv1.WalRecord{Group: uint32(i), HardState: hard, SnapshotIndex: 1, SnapshotTerm: 1})
	}
	return groups, log.Append(records)
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
