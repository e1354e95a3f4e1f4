package wal

import (
	"fmt"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// SaveSnapshot writes a snapshot file durably. Recovery uses it only after a record with its index
// was appended.
func (l *Log) SaveSnapshot(group uint32, snapshot *apiv1.GroupSnapshot) error {
	if l.failed != nil {
		return l.failed
	}
	if err := l.WriteSnapshotFile(group, snapshot); err != nil {
		return l.fail(err)
	}
	return nil
}

// WriteSnapshotFile is like SaveSnapshot, but may be called from another goroutine; a failure does not stop the
// log. Rewrite must not run until a record with the index of the snapshot was appended, because it removes
// snapshot files that no record refers to.
func (l *Log) WriteSnapshotFile(group uint32, snapshot *apiv1.GroupSnapshot) error {
	return l.untilRoom(func() error { return l.writeFile(snapshotName(group, snapshot.Index), snapshot) })
}

// LoadSnapshot reads a snapshot file.
func (l *Log) LoadSnapshot(group uint32, index uint64) (*apiv1.GroupSnapshot, error) {
	snapshot := &apiv1.GroupSnapshot{}
	if err := l.readFile(snapshotName(group, index), snapshot); err != nil {
		return nil, err
	}
	return snapshot, nil
}

// recover reads the newest log file, truncates a torn tail, and removes files that are no longer needed.
func (l *Log) recover() (map[uint32]*GroupState, error) {
	number, err := l.newestLogNumber()
	if err != nil {
		return nil, err
	}
	name := logName(number)
	path := filepath.Join(l.dir, name)
	data, err := l.fs.ReadFile(path)
	if err != nil {
		return nil, err
	}
	frames, end, err := decodeFrames(path, data)
	if err != nil {
		return nil, err
	}
	if len(frames) == 0 {
		return nil, errors.Wrapf(ErrDamaged, "%s has no valid frame", path)
	}
	l.number = number
	l.sequence = frames[len(frames)-1].Sequence
	l.size = end
	if l.file, err = l.fs.OpenAppend(path); err != nil {
		return nil, err
	}
	if end < int64(len(data)) {
		if err := l.truncateTail(end); err != nil {
			return nil, err
		}
	}
	groups, err := l.replay(frames)
	if err != nil {
		return nil, err
	}
	l.removeUnused(recordsOfSnapshots(groups))
	return groups, nil
}

// truncateTail removes a torn tail durably, so that nothing is appended after it.
func (l *Log) truncateTail(end int64) error {
	if err := l.file.Truncate(end); err != nil {
		return err
	}
	return l.file.Sync()
}

// newestLogNumber returns the number of the newest log file.
func (l *Log) newestLogNumber() (uint64, error) {
	names, err := l.fs.List(l.dir)
	if err != nil {
		return 0, err
	}
	var newest uint64
	for _, name := range names {
		if strings.HasSuffix(name, tempSuffix) {
			continue
		}
		var number uint64
		if n, _ := fmt.Sscanf(name, logPrefix+"%d", &number); n == 1 {
			newest = max(newest, number)
		}
	}
	if newest == 0 {
		return 0, errors.Wrapf(ErrDamaged, "%s has an identity but no log", l.dir)
	}
	return newest, nil
}

// replay rebuilds the state of the groups from the records and their snapshots.
func (l *Log) replay(frames []*apiv1.WalFrame) (map[uint32]*GroupState, error) {
	groups := map[uint32]*GroupState{}
	snapshotRecords := map[uint32]*apiv1.WalRecord{}
	for _, frame := range frames {
		for _, record := range frame.Records {
			group := groups[record.Group]
			if group == nil {
				group = &GroupState{}
				groups[record.Group] = group
			}
			if record.HardState != nil {
				group.HardState = record.HardState
			}
			if record.SnapshotIndex > 0 {
				snapshotRecords[record.Group] = record
				group.Entries = entriesAfter(group.Entries, record.SnapshotIndex, record.SnapshotTerm)
			}
			if err := group.add(record.Entries); err != nil {
				return nil, errors.Wrapf(err, "%s: group %d", l.dir, record.Group)
			}
		}
	}
	for id, snapshotRecord := range snapshotRecords {
		snapshot, err := l.LoadSnapshot(id, snapshotRecord.SnapshotIndex)
		if err != nil {
			return nil, errors.Wrapf(err, "snapshot of group %d", id)
		}
		groups[id].Snapshot = snapshot
		if entries := groups[id].Entries; len(entries) > 0 && entries[0].Index != snapshot.Index+1 {
			return nil, errors.Wrapf(ErrDamaged, "%s: group %d: log starts at entry %d after snapshot %d",
				l.dir, id, entries[0].Index, snapshot.Index)
		}
	}
	return groups, nil
}

// add appends entries. An entry replaces an earlier one with the same index and all that follow it.
func (g *GroupState) add(entries []*apiv1.LogEntry) error {
	for _, entry := range entries {
		if n := len(g.Entries); n > 0 {
			first := g.Entries[0].Index
			if entry.Index < first || entry.Index > first+uint64(n) {
				return errors.Wrapf(ErrDamaged, "entry %d follows entry %d", entry.Index, first+uint64(n)-1)
			}
			g.Entries = g.Entries[:entry.Index-first]
		}
		g.Entries = append(g.Entries, entry)
	}
	return nil
}

// entriesAfter returns the entries after a snapshot, or none if the log does not hold its last entry with the same
// term: then the entries after it need not follow from the snapshot.
func entriesAfter(entries []*apiv1.LogEntry, index, term uint64) []*apiv1.LogEntry {
	for i, entry := range entries {
		if entry.Index == index && entry.Term == term {
			return entries[i+1:]
		}
	}
	return nil
}

// recordsOfSnapshots returns a record for each snapshot in use.
func recordsOfSnapshots(groups map[uint32]*GroupState) []*apiv1.WalRecord {
	var records []*apiv1.WalRecord
	for id, group := range groups {
		if group.Snapshot != nil {
			records = append(records, &apiv1.WalRecord{Group: id, SnapshotIndex: group.Snapshot.Index})
		}
	}
	return records
}

// removeUnused removes older log files, and snapshot files that none of the records refers to. It ignores
// failures: the files do no harm, and the next call tries again.
func (l *Log) removeUnused(records []*apiv1.WalRecord) {
	keep := map[string]bool{logName(l.number): true}
	for _, record := range records {
		if record.SnapshotIndex > 0 {
			keep[snapshotName(record.Group, record.SnapshotIndex)] = true
		}
	}
	names, err := l.fs.List(l.dir)
	if err != nil {
		return
	}
	for _, name := range names {
		managed := strings.HasPrefix(name, logPrefix) || strings.HasPrefix(name, snapPrefix)
		if managed && !keep[name] {
			_ = l.fs.Remove(filepath.Join(l.dir, name))
		}
	}
}
