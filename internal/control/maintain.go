package control

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/wal"
)

// compactionThresholds decide when snapshots are taken and the log file is rewritten.
type compactionThresholds struct {
	// rewriteBytes is the smallest size at which the log file is rewritten.
	rewriteBytes int64
	// snapshotBytes is the smallest size of the entries since the last snapshot at which the next one
	// is taken. It is also the largest size of a snapshot for which snapshotEntries applies.
	snapshotBytes int
	// snapshotEntries is the number of entries since the last snapshot at which the next one is taken,
	// if the last one is not larger than snapshotBytes.
	snapshotEntries uint64
	// keepEntries is the number of entries before a snapshot that stay in memory, for replicas that
	// lag slightly.
	keepEntries uint64
	// keepBytes limits the data of these entries. A replica that lags further gets the snapshot.
	keepBytes int
}

// defaultThresholds are the thresholds outside tests.
var defaultThresholds = compactionThresholds{
	rewriteBytes:    8 << 20,
	snapshotBytes:   1 << 20,
	snapshotEntries: 4096,
	keepEntries:     1024,
	keepBytes:       8 << 20,
}

// compact takes snapshots and rewrites the log file once their thresholds are reached.
func (e *engine) compact() error {
	for i, g := range e.groups {
		if e.snapshotDue(g) {
			if err := e.snapshot(uint32(i), g); err != nil {
				return err
			}
		}
	}
	if e.log.Size() < e.rewriteAt || e.snapshotsInProgress > 0 {
		return nil
	}
	if err := e.log.Rewrite(e.retainedRecords()); err != nil {
		return err
	}
	e.rewriteAt = max(e.thresholds.rewriteBytes, 4*e.log.Size())
	return nil
}

// snapshotDue reports whether to take a snapshot of a group. A large snapshot waits for as many
// bytes of new entries, so that the cost of writing it stays in proportion to the log that it
// replaces.
func (e *engine) snapshotDue(g *group) bool {
	if g.snapshotInProgress {
		return false
	}
	if g.bytesSinceSnapshot >= max(e.thresholds.snapshotBytes, g.snapshotBytes) {
		return true
	}
	return g.appliedIndex >= g.snapshotIndex+e.thresholds.snapshotEntries && g.snapshotBytes <= e.thresholds.snapshotBytes
}

// snapshot takes a snapshot of the applied state of a group.
func (e *engine) snapshot(number uint32, g *group) error {
	data, err := g.machine.Snapshot()
	if err != nil {
		return errors.Wrapf(err, "group %d: create snapshot", number)
	}
	s := g.core.SnapshotMetadata()
	s.Data = data
	if e.writeSnapshot != nil {
		g.snapshotInProgress = true
		e.snapshotsInProgress++
		e.writeSnapshot(number, s)
		return nil
	}
	if err := e.log.SaveSnapshot(number, s); err != nil {
		return err
	}
	return e.recordSnapshot(number, s)
}

// finishSnapshot completes a snapshot that was written asynchronously.
func (e *engine) finishSnapshot(number uint32, s *apiv1.GroupSnapshot) error {
	e.groups[number].snapshotInProgress = false
	e.snapshotsInProgress--
	if s.Index <= e.groups[number].snapshotIndex {
		return nil // a snapshot from the leader has replaced it
	}
	return e.recordSnapshot(number, s)
}

// recordSnapshot records a durable snapshot in the log and drops the entries before it.
func (e *engine) recordSnapshot(number uint32, s *apiv1.GroupSnapshot) error {
	g := e.groups[number]
	record := &apiv1.WalRecord{Group: number, SnapshotIndex: s.Index, SnapshotTerm: s.Term}
	if err := e.log.Append([]*apiv1.WalRecord{record}); err != nil {
		return err
	}
	g.setSnapshot(s)
	g.core.Compact(s.Index, e.thresholds.keepEntries, e.thresholds.keepBytes)
	e.metrics.snapshots.Add(1)
	return nil
}

// retainedRecords returns the records that a rewritten log file must hold.
func (e *engine) retainedRecords() []*apiv1.WalRecord {
	var records []*apiv1.WalRecord
	for i, g := range e.groups {
		hard, entries := g.core.StateAfterSnapshot(g.snapshotIndex)
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

// bootstrapGroups writes the initial snapshots of new groups, whose only member is this replica, to
// the log. It returns the state that addGroup needs for each group.
func bootstrapGroups(log *wal.Log, self *apiv1.ReplicaInfo, machines []StateMachine) ([]*wal.GroupState, error) {
	var groups []*wal.GroupState
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
		groups = append(groups, &wal.GroupState{HardState: hard, Snapshot: snapshot})
		records = append(records, &apiv1.WalRecord{Group: uint32(i), HardState: hard, SnapshotIndex: 1, SnapshotTerm: 1})
	}
	return groups, log.Append(records)
}
