package vfs

import (
	"io"
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"sort"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// ErrCrashed is returned by every operation after an injected crash, until Restart.
var ErrCrashed = errors.New("the host crashed")

// Mem is an in-memory file system that injects faults. It is safe for concurrent use.
type Mem struct {
	mu      sync.Mutex
	current map[string]*inode // files by path, as a process sees them
	durable map[string]*inode // files by path, as they are found after a crash
	locks   map[string]bool
	faults  Faults
	// syncing is held by the sync that the disk does now, if syncs take time.
	syncing chan struct{}
	used    int64 // bytes in use, compared with Faults.Capacity
	steps   int   // durable steps since SetFaults
	crashed bool
}

// Faults selects the faults to inject. The zero value injects none.
type Faults struct {
	// CrashAtStep is the number of the durable step, counted from 1 after SetFaults, at which the host crashes;
	// 0 means never. Durable steps are syncs of files and folders, and renames.
	CrashAtStep int
	// CrashAfter lets that step take effect before the crash.
	CrashAfter bool
	// Capacity is the size of the disk in bytes; 0 means unlimited.
	Capacity int64
	// SyncTime is how long the sync of a file or folder takes. The disk does one at a time.
	SyncTime time.Duration
}

// inode is the data of one file.
type inode struct {
	data   []byte
	synced []byte // data as of the last sync; shares memory with data unless the file was truncated since
	writes []int  // offsets of the writes since the last sync
}

// NewMem returns an empty file system.
func NewMem() *Mem {
	return &Mem{current: map[string]*inode{}, durable: map[string]*inode{}, locks: map[string]bool{}, syncing: make(chan struct{}, 1)}
}

// Used returns the number of bytes in all files.
func (m *Mem) Used() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// SetFaults replaces the faults and resets the count of durable steps.
func (m *Mem) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
	m.steps = 0
}

// Steps returns the number of durable steps since SetFaults.
func (m *Mem) Steps() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.steps
}

// Crashed reports whether an injected crash has happened.
func (m *Mem) Crashed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.crashed
}

// Crash simulates a crash of the host: all operations fail with ErrCrashed until Restart.
func (m *Mem) Crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashed = true
}

// Restart simulates the restart of the host. It drops all data and names that were not durable, except for a random
// prefix of each file's unsynced data, releases all locks, and clears the faults.
func (m *Mem) Restart(rnd *rand.Rand) {
	m.restart(func(node *inode) []byte {
		kept := node.synced
		if extra := len(node.data) - len(kept); extra > 0 {
			kept = node.data[:len(kept)+rnd.IntN(extra+1)]
		}
		return append([]byte(nil), kept...)
	})
}

// sectorBytes is the unit in which a torn write reaches the disk.
const sectorBytes = 512

// RestartTorn is like Restart, but keeps, loses or tears each unsynced write on its own: of a torn write any sectors may be missing, which read as
// zeros if later bytes of the file remain.
func (m *Mem) RestartTorn(rnd *rand.Rand) {
	m.restart(func(node *inode) []byte {
		if len(node.data) < len(node.synced) {
			return append([]byte(nil), node.synced...)
		}
		kept := append([]byte(nil), node.data...)
		length := len(node.synced)
		for i, start := range node.writes {
			end := len(kept)
			if i+1 < len(node.writes) {
				end = node.writes[i+1]
			}
			whole, lost := rnd.IntN(3) == 0, rnd.IntN(3) == 0
			for from := start; from < end; {
				to := min(end, (from/sectorBytes+1)*sectorBytes)
				if whole || (!lost && rnd.IntN(2) == 0) {
					length = to
				} else {
					clear(kept[from:to])
				}
				from = to
			}
		}
		return kept[:length]
	})
}

// restart gives each durable file the content that kept returns.
func (m *Mem) restart(kept func(*inode) []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashed = false
	m.faults = Faults{}
	m.locks = map[string]bool{}
	m.current = map[string]*inode{}
	m.used = 0
	names := make([]string, 0, len(m.durable))
	for name := range m.durable {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fresh := kept(m.durable[name])
		restored := &inode{data: fresh, synced: fresh}
		m.current[name] = restored
		m.durable[name] = restored
		m.used += int64(len(fresh))
	}
}

// Wipe removes all files and locks and ends a crash, as if the disk was replaced by an empty one.
func (m *Mem) Wipe() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current = map[string]*inode{}
	m.durable = map[string]*inode{}
	m.locks = map[string]bool{}
	m.used = 0
	m.crashed = false
}

// Corrupt inverts all bits of one byte of a file, like a failing disk. A second call restores the byte.
func (m *Mem) Corrupt(path string, offset int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current[path].data[offset] ^= 0xff
}

// durableStep counts a durable step. It reports whether the step takes effect, and the error that the operation
// returns. The caller holds mu.
func (m *Mem) durableStep() (effective bool, err error) {
	if m.crashed {
		return false, ErrCrashed
	}
	m.steps++
	if m.steps == m.faults.CrashAtStep {
		m.crashed = true
		return m.faults.CrashAfter, ErrCrashed
	}
	return true, nil
}

// MkdirAll has nothing to create: a folder exists as soon as a path has it as a prefix.
func (m *Mem) MkdirAll(string) error {
	return m.checkCrashed()
}

// checkCrashed returns ErrCrashed while the host is down.
func (m *Mem) checkCrashed() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.crashed {
		return ErrCrashed
	}
	return nil
}

// Create creates an empty file.
func (m *Mem) Create(path string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.crashed {
		return nil, ErrCrashed
	}
	node := &inode{}
	m.current[path] = node
	return &memFile{fs: m, node: node}, nil
}

// OpenAppend opens an existing file for appending.
func (m *Mem) OpenAppend(path string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.crashed {
		return nil, ErrCrashed
	}
	node := m.current[path]
	if node == nil {
		return nil, errors.WithStack(&fs.PathError{Op: "open", Path: path, Err: fs.ErrNotExist})
	}
	return &memFile{fs: m, node: node}, nil
}

// ReadFile returns a copy of the content of a file.
func (m *Mem) ReadFile(path string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.crashed {
		return nil, ErrCrashed
	}
	node := m.current[path]
	if node == nil {
		return nil, errors.WithStack(&fs.PathError{Op: "open", Path: path, Err: fs.ErrNotExist})
	}
	return append([]byte(nil), node.data...), nil
}

// Rename renames a file and replaces an existing one. The new name is durable only after SyncDir.
func (m *Mem) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	effective, err := m.durableStep()
	if !effective {
		return err
	}
	node := m.current[from]
	if node == nil {
		return errors.WithStack(&fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist})
	}
	delete(m.current, from)
	m.current[to] = node
	return err
}

// Remove removes a file. The removal is durable only after SyncDir.
func (m *Mem) Remove(path string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.crashed {
		return ErrCrashed
	}
	node := m.current[path]
	if node == nil {
		return errors.WithStack(&fs.PathError{Op: "remove", Path: path, Err: fs.ErrNotExist})
	}
	delete(m.current, path)
	m.used -= int64(len(node.data))
	return nil
}

// List returns the names in a folder in sorted order.
func (m *Mem) List(dir string) ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.crashed {
		return nil, ErrCrashed
	}
	var names []string
	for path := range m.current {
		if filepath.Dir(path) == filepath.Clean(dir) {
			names = append(names, filepath.Base(path))
		}
	}
	sort.Strings(names)
	return names, nil
}

// awaitSync waits as long as a sync takes.
func (m *Mem) awaitSync() {
	m.mu.Lock()
	took := m.faults.SyncTime
	m.mu.Unlock()
	if took > 0 {
		m.syncing <- struct{}{}
		time.Sleep(took)
		<-m.syncing
	}
}

// SyncDir makes the names in a folder durable.
func (m *Mem) SyncDir(dir string) error {
	m.awaitSync()
	m.mu.Lock()
	defer m.mu.Unlock()
	effective, err := m.durableStep()
	if !effective {
		return err
	}
	for path := range m.durable {
		if filepath.Dir(path) == filepath.Clean(dir) {
			delete(m.durable, path)
		}
	}
	for path, node := range m.current {
		if filepath.Dir(path) == filepath.Clean(dir) {
			m.durable[path] = node
		}
	}
	return err
}

// Lock takes an exclusive lock on a path.
func (m *Mem) Lock(path string) (io.Closer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.crashed {
		return nil, ErrCrashed
	}
	if m.locks[path] {
		return nil, errors.Wrap(ErrLocked, path)
	}
	m.locks[path] = true
	return &memLock{fs: m, path: path}, nil
}

type memLock struct {
	fs   *Mem
	path string
}

// Close releases the lock.
func (l *memLock) Close() error {
	l.fs.mu.Lock()
	defer l.fs.mu.Unlock()
	delete(l.fs.locks, l.path)
	return nil
}

type memFile struct {
	fs   *Mem
	node *inode
}

// Write appends data. On a full disk it writes what fits and returns ENOSPC.
func (f *memFile) Write(p []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.fs.crashed {
		return 0, ErrCrashed
	}
	n := len(p)
	if limit := f.fs.faults.Capacity; limit > 0 {
		n = max(0, min(n, int(limit-f.fs.used)))
	}
	f.node.writes = append(f.node.writes, len(f.node.data))
	f.node.data = append(f.node.data, p[:n]...)
	f.fs.used += int64(n)
	if n < len(p) {
		return n, errors.WithStack(syscall.ENOSPC)
	}
	return n, nil
}

// Sync makes the data of the file durable.
func (f *memFile) Sync() error {
	f.fs.awaitSync()
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	effective, err := f.fs.durableStep()
	if effective {
		f.node.synced, f.node.writes = f.node.data, nil
	}
	return err
}

// Truncate shortens the file. The old data returns if a crash comes before the next Sync.
func (f *memFile) Truncate(size int64) error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.fs.crashed {
		return ErrCrashed
	}
	f.fs.used -= int64(len(f.node.data)) - size
	f.node.data = append([]byte(nil), f.node.data[:size]...)
	for n := len(f.node.writes); n > 0 && f.node.writes[n-1] >= int(size); n-- {
		f.node.writes = f.node.writes[:n-1]
	}
	return nil
}

// Close does nothing; in particular it does not sync.
func (f *memFile) Close() error {
	return nil
}
