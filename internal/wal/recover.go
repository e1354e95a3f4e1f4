package wal

import (
	"fmt"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// SaveSnapshot writes a snapshot file durably. It counts once a record that names
// its index was appended.
func (l *Log) SaveSnapshot(group uint32, snapshot *apiv1.GroupSnapshot) error {
	if l.failed != nil {
		return l.failed
	}
	if err := l.WriteSnapshot(group, snapshot); err != nil {
		return l.fail(err)
	}
	return nil
}

// WriteSnapshot is SaveSnapshot for another goroutine. Rewrite must not run before the record that
// names the snapshot was appended: it removes files that no record names.
func (l *Log) WriteSnapshot(group uint32, snapshot *apiv1.GroupSnapshot) error {
	return l.writeFile(snapshotName(group, snapshot.Index), snapshot)
}

// LoadSnapshot reads a snapshot file.
func (l *Log) LoadSnapshot(group uint32, index uint64) (*apiv1.GroupSnapshot, error) {
	snapshot := &apiv1.GroupSnapshot{}
	if err := l.readFile(snapshotName(group, index), snapshot); err != nil {
		return nil, err
	}
	return snapshot, nil
}

// recover reads the newest log file and cuts a torn tail.
func (l *Log) recover() (map[uint32]*Group, error) {
	number, err := l.newest()
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
		return nil, errors.Wrapf(ErrDamaged, "%s holds no valid frame", path)
	}
	l.number = number
	l.sequence = frames[len(frames)-1].Sequence
	l.size = end
	if l.file, err = l.fs.Append(path); err != nil {
		return nil, err
	}
	if end < int64(len(data)) {
		if err := l.cut(end); err != nil {
			return nil, err
		}
	}
	groups, err := l.replay(frames)
	if err != nil {
		return nil, err
	}
	l.removeOld(liveSnapshots(groups))
	return groups, nil
}

// cut removes a torn tail durably, before anything is written behind it.
func (l *Log) cut(end int64) error {
	if err := l.file.Truncate(end); err != nil {
		return err
	}
	return l.file.Sync()
}

// newest returns the number of the newest log file.
func (l *Log) newest() (uint64, error) {
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

// replay rebuilds the groups from the records.
func (l *Log) replay(frames []*apiv1.WalFrame) (map[uint32]*Group, error) {
	groups := map[uint32]*Group{}
	marks := map[uint32]*apiv1.WalRecord{}
	for _, frame := range frames {
		for _, record := range frame.Records {
			group := groups[record.Group]
			if group == nil {
				group = &Group{}
				groups[record.Group] = group
			}
			if record.HardState != nil {
				group.HardState = record.HardState
			}
			if record.SnapshotIndex > 0 {
				marks[record.Group] = record
				group.Entries = entriesBehind(group.Entries, record.SnapshotIndex, record.SnapshotTerm)
			}
			if err := group.add(record.Entries); err != nil {
				return nil, errors.Wrapf(err, "%s: group %d", l.dir, record.Group)
			}
		}
	}
	for id, mark := range marks {
		snapshot, err := l.LoadSnapshot(id, mark.SnapshotIndex)
		if err != nil {
			return nil, errors.Wrapf(err, "snapshot of group %d", id)
		}
		groups[id].Snapshot = snapshot
		if entries := groups[id].Entries; len(entries) > 0 && entries[0].Index != snapshot.Index+1 {
			return nil, errors.Wrapf(ErrDamaged, "%s: group %d: log starts at %d behind snapshot %d",
				l.dir, id, entries[0].Index, snapshot.Index)
		}
	}
	return groups, nil
}

// add appends entries; an entry replaces an earlier one of its index and all behind it.
func (g *Group) add(entries []*apiv1.LogEntry) error {
	for _, entry := range entries {
		if n := len(g.Entries); n > 0 {
			first := g.Entries[0].Index
			if entry.Index < first || entry.Index > first+uint64(n) {
				return errors.Wrapf(ErrDamaged, "entry %d behind entry %d", entry.Index, first+uint64(n)-1)
			}
			g.Entries = g.Entries[:entry.Index-first]
		}
		g.Entries = append(g.Entries, entry)
	}
	return nil
}

// entriesBehind keeps the entries behind a snapshot if they belong to the same history.
func entriesBehind(entries []*apiv1.LogEntry, index, term uint64) []*apiv1.LogEntry {
	for i, entry := range entries {
		if entry.Index == index && entry.Term == term {
			return entries[i+1:]
		}
	}
	return nil
}

// liveSnapshots returns records that name the snapshots in use.
func liveSnapshots(groups map[uint32]*Group) []*apiv1.WalRecord {
	var records []*apiv1.WalRecord
	for id, group := range groups {
		if group.Snapshot != nil {
			records = append(records, &apiv1.WalRecord{Group: id, SnapshotIndex: group.Snapshot.Index})
		}
	}
	return records
}

// removeOld removes older log files, and snapshots that no record names. Failures are left for
// the next time: the files do no harm.
func (l *Log) removeOld(records []*apiv1.WalRecord) {
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
		ours := strings.HasPrefix(name, logPrefix) || strings.HasPrefix(name, snapPrefix)
		if ours && !keep[name] {
			_ = l.fs.Remove(filepath.Join(l.dir, name))
		}
	}
}
