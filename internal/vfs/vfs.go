// Package vfs is the file layer of a control replica.
//
// FS has just the operations that the log needs. OS does them on the operating system's files.
// Mem does them in memory and injects faults for tests: a crash at any operation that
// reaches the disk, lost unsynced data, a full disk.
//
// The rules that both keep, and that callers must allow for:
//
//   - data of a file is durable only after File.Sync,
//   - a created, renamed or removed name is durable only after FS.SyncDir of its folder,
//   - after a crash any prefix of the unsynced data may still be there.
package vfs

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/pkg/errors"
)

// File is a file that is written at its end.
type File interface {
	io.WriteCloser
	// Sync returns once everything written is durable.
	Sync() error
	// Truncate cuts the file; the next write goes to its new end.
	Truncate(size int64) error
}

// FS is a file system.
type FS interface {
	MkdirAll(dir string) error
	// Create makes an empty file, replacing an existing one.
	Create(path string) (File, error)
	// Append opens an existing file for writes at its end.
	Append(path string) (File, error)
	// ReadFile returns a whole file; the error matches fs.ErrNotExist if it is absent.
	ReadFile(path string) ([]byte, error)
	Rename(from, to string) error
	Remove(path string) error
	// List returns the names in a folder, sorted.
	List(dir string) ([]string, error)
	// SyncDir makes the names in a folder durable.
	SyncDir(dir string) error
	// Lock takes an exclusive lock that ends with the process or with Close.
	Lock(path string) (io.Closer, error)
}

// ErrLocked is returned by Lock while another process holds the lock.
var ErrLocked = errors.New("locked by another process")

const (
	fileMode   = 0o600
	folderMode = 0o700
)

// OS is the operating system's file system.
type OS struct{}

var _ FS = OS{}

// MkdirAll creates a folder and its parents, readable by the owner only.
func (OS) MkdirAll(dir string) error {
	return errors.WithStack(os.MkdirAll(dir, folderMode))
}

// Create makes an empty file, readable by the owner only.
func (OS) Create(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
	return f, errors.WithStack(err)
}

// Append opens a file for writes at its end.
func (OS) Append(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode)
	return f, errors.WithStack(err)
}

// ReadFile returns a whole file.
func (OS) ReadFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	return data, errors.WithStack(err)
}

// Rename replaces the name of a file.
func (OS) Rename(from, to string) error {
	return errors.WithStack(os.Rename(from, to))
}

// Remove deletes a file.
func (OS) Remove(path string) error {
	return errors.WithStack(os.Remove(path))
}

// List returns the names in a folder, sorted.
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

// Lock takes an exclusive lock on a file.
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
