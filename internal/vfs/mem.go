package vfs

import (
	"io"
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"sort"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// ErrCrashed is returned by every operation after an injected crash, until Restart.
var ErrCrashed = errors.New("the host crashed")

// Mem is a file system in memory that injects faults. It is safe for concurrent use.
type Mem struct {
	mu      sync.Mutex
	current map[string]*inode // names as a process sees them
	durable map[string]*inode // names that survive a crash
	locks   map[string]bool
	faults  Faults
	used    int64
	steps   int
	crashed bool
}

// Faults says what goes wrong. The zero value is a sound disk.
type Faults struct {
	// CrashAtStep crashes the host at the n-th durable step from now, counted from 1; 0 never.
	// Syncs of files and folders, and renames, are durable steps.
	CrashAtStep int
	// CrashAfter makes the step take effect before the crash.
	CrashAfter bool
	// Capacity is the size of the disk in bytes; 0 is unlimited.
	Capacity int64
}

// inode is the data of one file.
type inode struct {
	data   []byte
	synced []byte // data as of the last sync, sharing memory with data unless it was cut
}

// NewMem returns an empty file system.
func NewMem() *Mem {
	return &Mem{current: map[string]*inode{}, durable: map[string]*inode{}, locks: map[string]bool{}}
}

// SetFaults replaces the faults and starts counting steps anew.
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

// Crash stops the host now: operations fail until Restart.
func (m *Mem) Crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashed = true
}

// Restart loses what was not durable, but for a random prefix of each file's unsynced
// data, and clears the faults.
func (m *Mem) Restart(rnd *rand.Rand) {
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
		node := m.durable[name]
		kept := node.synced
		if extra := len(node.data) - len(kept); extra > 0 {
			kept = node.data[:len(kept)+rnd.IntN(extra+1)]
		}
		fresh := append([]byte(nil), kept...)
		restored := &inode{data: fresh, synced: fresh}
		m.current[name] = restored
		m.durable[name] = restored
		m.used += int64(len(fresh))
	}
}

// Wipe loses everything, like a replaced disk.
func (m *Mem) Wipe() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current = map[string]*inode{}
	m.durable = map[string]*inode{}
	m.locks = map[string]bool{}
	m.used = 0
	m.crashed = false
}

// Corrupt flips the bits of one byte of a file, as a failing disk would.
func (m *Mem) Corrupt(path string, offset int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current[path].data[offset] ^= 0xff
}

// step counts a durable step and reports whether it may take effect, and what it returns.
func (m *Mem) step() (effective bool, err error) {
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

// MkdirAll does nothing: folders exist once a file has their name.
func (m *Mem) MkdirAll(string) error {
	return m.alive()
}

func (m *Mem) alive() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.crashed {
		return ErrCrashed
	}
	return nil
}

// Create makes an empty file.
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

// Append opens a file for writes at its end.
func (m *Mem) Append(path string) (File, error) {
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

// ReadFile returns a copy of a whole file.
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

// Rename replaces the name of a file. The new name is durable after SyncDir.
func (m *Mem) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	effective, err := m.step()
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

// Remove deletes a name.
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

// List returns the names in a folder, sorted.
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

// SyncDir makes the names in a folder durable.
func (m *Mem) SyncDir(dir string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	effective, err := m.step()
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

// Lock takes an exclusive lock.
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

// Write appends; on a full disk only a part of the data is written.
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
	f.node.data = append(f.node.data, p[:n]...)
	f.fs.used += int64(n)
	if n < len(p) {
		return n, errors.WithStack(syscall.ENOSPC)
	}
	return n, nil
}

// Sync makes the data durable.
func (f *memFile) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	effective, err := f.fs.step()
	if effective {
		f.node.synced = f.node.data
	}
	return err
}

// Truncate cuts the file; until the next Sync a crash may bring the old data back.
func (f *memFile) Truncate(size int64) error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.fs.crashed {
		return ErrCrashed
	}
	f.fs.used -= int64(len(f.node.data)) - size
	f.node.data = append([]byte(nil), f.node.data[:size]...)
	return nil
}

// Close does not sync.
func (f *memFile) Close() error {
	return nil
}
