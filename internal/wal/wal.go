// Package wal is the data folder of a control replica: its identity, its log file, its snapshots.
//
// # Concepts
//
// All groups of a replica share one log file, so that one sync covers whatever they had
// to make durable at that moment. A write adds one frame with a checksum and returns after the
// sync. A later rewrite replaces the file by a new one that holds only what is still needed.
//
// Snapshots are files of their own; a log record that names a snapshot makes it count.
//
// # What opening a folder accepts
//
// A frame that was cut short at the end of the file was never acknowledged and is dropped.
// Everything else that does not match its checksum is damage: Open reports it and reads
// nothing behind it. The remedy is an empty folder, with which the replica joins anew under
// another identity. A folder of another node is refused, as is one in use by another process.
//
// After a failed write or sync the log takes no more: what reached the disk is unknown until
// the folder is opened again.
package wal

import (
	"fmt"
	"io"
	"io/fs"
	"path/filepath"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/vfs"
)

// ErrForeign marks the refusal of a folder that belongs to another node.
var ErrForeign = errors.New("data folder belongs to another node")

const (
	identityFile = "identity"
	lockFile     = "lock"
	logPrefix    = "log-"
	snapPrefix   = "snapshot-"
	tempSuffix   = ".tmp"
	// emptyLogBytes is the largest size of a log file without records.
	emptyLogBytes = 64
)

// Log is an open data folder. Only Identity, WriteSnapshot and Metrics may be called while
// another method runs.
type Log struct {
	fs       vfs.FS
	dir      string
	lock     io.Closer
	identity atomic.Pointer[apiv1.ReplicaIdentity]

	file     vfs.File
	number   uint64 // of the current file
	sequence uint64 // of the last frame
	size     int64
	failed   error
	syncs    atomic.Uint64
	bytes    atomic.Uint64
	rewrites atomic.Uint64
}

// Metrics counts the work of a log since it was opened.
type Metrics struct {
	Syncs    uint64
	Bytes    uint64
	Rewrites uint64
}

// Group is what was recovered of one group.
type Group struct {
	HardState *apiv1.HardState
	// Snapshot is nil if none was taken.
	Snapshot *apiv1.GroupSnapshot
	// Entries follow the snapshot without a gap.
	Entries []*apiv1.LogEntry
}

// Open opens a folder, or prepares an empty one with the identity that fresh returns.
// The node name must match the one that the folder was made for.
func Open(fsys vfs.FS, dir, node string, fresh func() *apiv1.ReplicaIdentity) (*Log, map[uint32]*Group, error) {
	if err := fsys.MkdirAll(dir); err != nil {
		return nil, nil, errors.Wrap(err, "data folder")
	}
	lock, err := fsys.Lock(filepath.Join(dir, lockFile))
	if err != nil {
		return nil, nil, errors.Wrap(err, "data folder")
	}
	l := &Log{fs: fsys, dir: dir, lock: lock}
	groups, err := l.open(node, fresh)
	if err != nil {
		_ = lock.Close()
		return nil, nil, err
	}
	return l, groups, nil
}

func (l *Log) open(node string, fresh func() *apiv1.ReplicaIdentity) (map[uint32]*Group, error) {
	identity, err := l.readIdentity()
	if errors.Is(err, fs.ErrNotExist) {
		return map[uint32]*Group{}, l.create(fresh())
	}
	if err != nil {
		return nil, err
	}
	if identity.Node != node {
		return nil, errors.Wrapf(ErrForeign, "%s was made for node %q, this is %q", l.dir, identity.Node, node)
	}
	l.identity.Store(identity)
	return l.recover()
}

// create prepares an empty folder. The identity is written last: a folder without it is empty.
func (l *Log) create(identity *apiv1.ReplicaIdentity) error {
	names, err := l.fs.List(l.dir)
	if err != nil {
		return err
	}
	for _, name := range names {
		if l.holdsState(name) {
			return errors.Wrapf(ErrDamaged, "%s has %s but no identity", l.dir, name)
		}
	}
	if err := l.rewrite(nil); err != nil {
		return err
	}
	return l.SetIdentity(identity)
}

// holdsState reports whether a file can only be there because the folder was in use. An interrupted
// creation leaves nothing but an empty log.
func (l *Log) holdsState(name string) bool {
	if strings.HasSuffix(name, tempSuffix) {
		return false
	}
	if strings.HasPrefix(name, logPrefix) {
		data, err := l.fs.ReadFile(filepath.Join(l.dir, name))
		return err != nil || len(data) > emptyLogBytes
	}
	return strings.HasPrefix(name, snapPrefix)
}

// Identity returns the identity that is bound to the folder. The caller must not modify it.
func (l *Log) Identity() *apiv1.ReplicaIdentity {
	return l.identity.Load()
}

// SetIdentity replaces the identity, for example once the cluster is known.
func (l *Log) SetIdentity(identity *apiv1.ReplicaIdentity) error {
	if err := l.writeFile(identityFile, identity); err != nil {
		return err
	}
	l.identity.Store(identity)
	return nil
}

func (l *Log) readIdentity() (*apiv1.ReplicaIdentity, error) {
	identity := &apiv1.ReplicaIdentity{}
	return identity, l.readFile(identityFile, identity)
}

// writeFile replaces a small file atomically and durably.
func (l *Log) writeFile(name string, m proto.Message) error {
	payload, err := proto.Marshal(m)
	if err != nil {
		return errors.Wrap(err, name)
	}
	if len(payload) > maxFrameBytes {
		return errors.Errorf("%s: %d bytes exceed the largest frame", name, len(payload))
	}
	file, err := l.replace(name, appendFrame(nil, payload))
	if err != nil {
		return err
	}
	return file.Close()
}

// replace writes a file under a temporary name, syncs it, and gives it its name. It returns the open file.
func (l *Log) replace(name string, data []byte) (vfs.File, error) {
	temp := filepath.Join(l.dir, name+tempSuffix)
	file, err := l.fs.Create(temp)
	if err != nil {
		return nil, err
	}
	if _, err = file.Write(data); err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = l.fs.Rename(temp, filepath.Join(l.dir, name))
	}
	if err == nil {
		err = l.fs.SyncDir(l.dir)
	}
	if err != nil {
		_ = file.Close()
		return nil, errors.Wrap(err, name)
	}
	l.syncs.Add(2)
	l.bytes.Add(uint64(len(data)))
	return file, nil
}

// readFile reads a file that writeFile wrote.
func (l *Log) readFile(name string, m proto.Message) error {
	data, err := l.fs.ReadFile(filepath.Join(l.dir, name))
	if err != nil {
		return err
	}
	payload, length, state := readFrame(data)
	if state != frameValid || length != len(data) {
		return errors.Wrapf(ErrDamaged, "%s/%s: checksum fault", l.dir, name)
	}
	if err := proto.Unmarshal(payload, m); err != nil {
		return errors.Wrapf(ErrDamaged, "%s/%s: %v", l.dir, name, err)
	}
	return nil
}

// Append writes records in one frame and returns once they are durable.
func (l *Log) Append(records []*apiv1.WalRecord) error {
	return l.appendFrame(&apiv1.WalFrame{Records: records})
}

func (l *Log) appendFrame(frame *apiv1.WalFrame) error {
	if l.failed != nil {
		return l.failed
	}
	frame.Sequence = l.sequence + 1
	payload, err := proto.Marshal(frame)
	if err != nil {
		return l.fail(err)
	}
	if len(payload) > maxFrameBytes {
		return l.fail(errors.Errorf("%d bytes exceed the largest frame", len(payload)))
	}
	data := appendFrame(nil, payload)
	if _, err := l.file.Write(data); err != nil {
		return l.fail(err)
	}
	if err := l.file.Sync(); err != nil {
		return l.fail(err)
	}
	l.sequence++
	l.size += int64(len(data))
	l.syncs.Add(1)
	l.bytes.Add(uint64(len(data)))
	return nil
}

// fail remembers the first error; the log takes no more after it.
func (l *Log) fail(err error) error {
	l.failed = errors.Wrapf(err, "%s: log write failed", l.dir)
	return l.failed
}

// Size returns the bytes of the current log file.
func (l *Log) Size() int64 {
	return l.size
}

// Metrics returns the counts so far.
func (l *Log) Metrics() Metrics {
	return Metrics{Syncs: l.syncs.Load(), Bytes: l.bytes.Load(), Rewrites: l.rewrites.Load()}
}

// Rewrite replaces the log file by one that holds just the given records, and removes
// snapshot files that no record names.
func (l *Log) Rewrite(records []*apiv1.WalRecord) error {
	if l.failed != nil {
		return l.failed
	}
	if err := l.rewrite(records); err != nil {
		return l.fail(err)
	}
	l.rewrites.Add(1)
	l.removeOld(records)
	return nil
}

func (l *Log) rewrite(records []*apiv1.WalRecord) error {
	payload, err := proto.Marshal(&apiv1.WalFrame{Sequence: l.sequence + 1, Records: records})
	if err != nil {
		return err
	}
	data := appendFrame(nil, payload)
	file, err := l.replace(logName(l.number+1), data)
	if err != nil {
		return err
	}
	if l.file != nil {
		_ = l.file.Close()
	}
	l.file = file
	l.number++
	l.sequence++
	l.size = int64(len(data))
	return nil
}

// Close ends the use of the folder. A log that did not fail gets a last frame, behind which
// damage of any earlier one is recognised for certain.
func (l *Log) Close() error {
	var err error
	if l.failed == nil {
		err = l.appendFrame(&apiv1.WalFrame{Closed: true})
	}
	if l.file != nil {
		_ = l.file.Close()
	}
	_ = l.lock.Close()
	return err
}

func logName(number uint64) string {
	return fmt.Sprintf("%s%016d", logPrefix, number)
}

func snapshotName(group uint32, index uint64) string {
	return fmt.Sprintf("%s%d-%016d", snapPrefix, group, index)
}
