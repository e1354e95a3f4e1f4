// Package vfs is the file system abstraction of a control replica.
//
// FS has only the operations that the write-ahead log and small state files need. OS implements
// them with the operating system's files. Mem implements them in memory and injects faults for
// tests: a crash at any sync or rename, the loss of unsynced data, a full disk, a slow one.
//
// Callers can rely on these guarantees and no others:
//
//   - the data of a file is durable only after File.Sync,
//   - a created, renamed or removed name is durable only after FS.SyncDir of its folder,
//   - after a crash any prefix of the unsynced data may remain.
package vfs

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/pkg/errors"
)

// File is an open file to which data is appended.
type File interface {
	io.WriteCloser
	// Sync makes all written data durable.
	Sync() error
	// Truncate shortens the file to size bytes. The next write appends at its new end.
	Truncate(size int64) error
}

// FS is a file system with the guarantees in the package comment.
type FS interface {
	MkdirAll(dir string) error
	// Create creates an empty file and replaces an existing one.
	Create(path string) (File, error)
	// OpenAppend opens an existing file for appending.
	OpenAppend(path string) (File, error)
	// ReadFile returns the content of a file. The error matches fs.ErrNotExist if there is no such file.
	ReadFile(path string) ([]byte, error)
	Rename(from, to string) error
	Remove(path string) error
	// List returns the names in a folder in sorted order.
	List(dir string) ([]string, error)
	// SyncDir makes the names in a folder durable.
	SyncDir(dir string) error
	// Lock takes an exclusive lock. Close releases it, and so does the end of the process. The error matches
	// ErrLocked if the lock is held already.
	Lock(path string) (io.Closer, error)
}

// ErrLocked is wrapped by the error that Lock returns while the lock is held.
var ErrLocked = errors.New("locked by another process")

const (
	fileMode   = 0o600
	folderMode = 0o700
)

// OS is the file system of the operating system.
type OS struct{}

var _ FS = OS{}

// MkdirAll creates a folder and its missing parents, with access for the owner only.
func (OS) MkdirAll(dir string) error {
	return errors.WithStack(os.MkdirAll(dir, folderMode))
}

// Create creates an empty file, with access for the owner only.
func (OS) Create(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
	return f, errors.WithStack(err)
}

// OpenAppend opens an existing file for appending.
func (OS) OpenAppend(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode)
	return f, errors.WithStack(err)
}

// ReadFile returns the content of a file.
func (OS) ReadFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	return data, errors.WithStack(err)
}

// Rename renames a file and replaces an existing one at the new path.
func (OS) Rename(from, to string) error {
	return errors.WithStack(os.Rename(from, to))
}

// Remove deletes a file.
func (OS) Remove(path string) error {
	return errors.WithStack(os.Remove(path))
}

// List returns the names in a folder in sorted order.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, nil
}

// SyncDir makes the names in a folder durable.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return errors.WithStack(err)
	}
	err = d.Sync()
	if closeErr := d.Close(); err == nil {
		err = closeErr
	}
	return errors.WithStack(err)
}

// Lock creates the file if necessary and takes an exclusive flock on it.
func (OS) Lock(path string) (io.Closer, error) {
	f, err := os.OpenFile(filepath.Clean(path), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, errors.Wrap(ErrLocked, path)
	}
	return f, nil
}
