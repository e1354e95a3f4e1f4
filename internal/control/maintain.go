package control

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/wal"
)

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
