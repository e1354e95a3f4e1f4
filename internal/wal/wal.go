// Package wal implements the data folder of a control replica: its identity, its write-ahead log and its snapshots.
//
// # Concepts
//
// All groups of a replica share one log file, so that one sync makes the pending records of all
// of them durable. Append adds one frame with a checksum and returns after the sync. Rewrite
// replaces the file by a new one that holds only the records that are still needed.
//
// Each snapshot is a file of its own. It takes effect once a log record with its index is appended.
//
// # Recovery
//
// An incomplete frame at the end of the file was never acknowledged and is dropped. Anything
// else that does not match its checksum is damage: Open returns an error and no data. To
// recover, start the replica with an empty folder; it then joins as a new replica with another
// identity. Open also refuses a folder of another node and one in use by another process.
//
// After a failed write or sync the log refuses all further writes: it is unknown what reached
// the disk until the folder is opened again. A full disk is no such failure if OnFull is set: what was written in part is
// cut off, and the write is tried again for as long as OnFull returns true.
package wal

import (
	"fmt"
	"io"
	"io/fs"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/vfs"
)

// ErrOtherNode is wrapped by the error for a folder that belongs to another node.
var ErrOtherNode = errors.New("data folder belongs to another node")

const (
	identityFile = "identity"
	lockFile     = "lock"
	logPrefix    = "log-"
	snapPrefix   = "snapshot-"
	tempSuffix   = ".tmp"
	// emptyLogBytes is an upper bound for the size of a log file without records.
	emptyLogBytes = 64
	// rewriteRetryBytes is how much the log grows after a rewrite for which the disk had no room, until the next one.
	rewriteRetryBytes = 256 << 10
)

// Log is an open data folder. Its methods must not be called concurrently, except for Identity,
// WriteSnapshotFile and Metrics.
type Log struct {
	// OnFull, if set, is called when the disk is full. It waits, and returns whether the write is to be tried again. It is called
	// from the goroutine that writes.
	OnFull func(err error) bool

	fs       vfs.FS
	dir      string
	lock     io.Closer
	identity atomic.Pointer[apiv1.ReplicaIdentity]

	file     vfs.File
	number   uint64 // of the current file
	sequence uint64 // of the last frame
	size     int64
	failed   error // the error of the first failed write
	syncs    atomic.Uint64
	bytes    atomic.Uint64
	rewrites atomic.Uint64
	// rewriteFrom is the size of the log from which it is rewritten again, after a rewrite for which the disk had no room.
	rewriteFrom int64
}

// Metrics holds the counters of a log since it was opened: syncs, bytes written, and rewrites of the log file.
type Metrics struct {
	Syncs    uint64
	Bytes    uint64
	Rewrites uint64
}

// GroupState is the recovered state of one group.
type GroupState struct {
	HardState *apiv1.HardState
	// Snapshot is nil if none was taken.
	Snapshot *apiv1.GroupSnapshot
	// Entries follow the snapshot without a gap.
	Entries []*apiv1.LogEntry
}

// Open opens a folder and returns the recovered state by group. It initializes an empty folder with the
// identity that newIdentity returns. The node name must match the one that the folder was created for.
func Open(fsys vfs.FS, dir, node string, newIdentity func() *apiv1.ReplicaIdentity) (*Log, map[uint32]*GroupState, error) {
	if err := fsys.MkdirAll(dir); err != nil {
		return nil, nil, errors.Wrap(err, "data folder")
	}
	lock, err := fsys.Lock(filepath.Join(dir, lockFile))
	if err != nil {
		return nil, nil, errors.Wrap(err, "data folder")
	}
	l := &Log{fs: fsys, dir: dir, lock: lock}
	groups, err := l.open(node, newIdentity)
	if err != nil {
		_ = lock.Close()
		return nil, nil, err
	}
	return l, groups, nil
}

func (l *Log) open(node string, newIdentity func() *apiv1.ReplicaIdentity) (map[uint32]*GroupState, error) {
	identity, err := l.readIdentity()
	if errors.Is(err, fs.ErrNotExist) {
		return map[uint32]*GroupState{}, l.create(newIdentity())
	}
	if err != nil {
		return nil, err
	}
	if identity.Node != node {
		return nil, errors.Wrapf(ErrOtherNode, "%s was created for node %q, this is %q", l.dir, identity.Node, node)
	}
	l.identity.Store(identity)
	return l.recover()
}

// create initializes an empty folder. The identity is written last, so a folder without one counts as empty.
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

// holdsState reports whether a file shows that the folder was in use. An interrupted initialization
// leaves at most an empty log and temporary files.
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

// Identity returns the identity that is stored in the folder. The caller must not modify it.
func (l *Log) Identity() *apiv1.ReplicaIdentity {
	return l.identity.Load()
}

// SetIdentity replaces the stored identity, for example once the replica knows its cluster.
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

// writeFile writes a message as a file of one frame, atomically and durably.
func (l *Log) writeFile(name string, m proto.Message) error {
	payload, err := proto.Marshal(m)
	if err != nil {
		return errors.Wrap(err, name)
	}
	if len(payload) > maxFrameBytes {
		return errors.Errorf("%s: %d bytes exceed the size limit of a frame", name, len(payload))
	}
	file, err := l.replace(name, appendFrame(nil, payload))
	if err != nil {
		return err
	}
	return file.Close()
}

// replace writes a file under a temporary name, syncs it and renames it to its name. It returns the open file.
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
		return errors.Wrapf(ErrDamaged, "%s/%s: checksum mismatch", l.dir, name)
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
		return l.fail(errors.Errorf("%d bytes exceed the size limit of a frame", len(payload)))
	}
	data := appendFrame(nil, payload)
	err = l.untilRoom(func() error {
		_, err := l.file.Write(data)
		if isFull(err) {
			if cut := l.file.Truncate(l.size); cut != nil {
				return errors.Wrapf(cut, "cut off a write in part (%v)", err)
			}
		}
		return err
	})
	if err != nil {
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

// untilRoom calls write until it returns something else than that the disk is full, or OnFull returns false.
func (l *Log) untilRoom(write func() error) error {
	for {
		err := write()
		if !isFull(err) || l.OnFull == nil || !l.OnFull(err) {
			return err
		}
	}
}

// isFull reports whether an error says that the disk is full.
func isFull(err error) bool { return errors.Is(err, syscall.ENOSPC) }

// fail records an error, after which the log refuses all writes.
func (l *Log) fail(err error) error {
	l.failed = errors.Wrapf(err, "%s: log write failed", l.dir)
	return l.failed
}

// Size returns the size of the current log file in bytes.
func (l *Log) Size() int64 {
	return l.size
}

// Metrics returns the current counters.
func (l *Log) Metrics() Metrics {
	return Metrics{Syncs: l.syncs.Load(), Bytes: l.bytes.Load(), Rewrites: l.rewrites.Load()}
}

// Rewrite replaces the log file by one that holds only the given records, and removes the snapshot files
// that none of them refers to.
func (l *Log) Rewrite(records []*apiv1.WalRecord) error {
	if l.failed != nil {
		return l.failed
	}
	if l.size < l.rewriteFrom {
		return nil
	}
	err := l.rewrite(records)
	if isFull(err) && l.OnFull != nil {
		// The present file stays in use. Without the part that was written, records may still have room.
		_ = l.fs.Remove(filepath.Join(l.dir, logName(l.number+1)+tempSuffix))
		l.rewriteFrom = l.size + rewriteRetryBytes
		return nil
	}
	if err != nil {
		return l.fail(err)
	}
	l.rewriteFrom = 0
	l.rewrites.Add(1)
	l.removeUnused(records)
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

// Close closes the folder and releases its lock. Unless the log has failed, it first appends a final frame, so
// that damage to any earlier frame can't be mistaken for an interrupted write.
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
