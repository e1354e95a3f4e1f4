package vfs

import (
	"bytes"
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestOSAndMemBehaveAlike runs the same operations on OS and Mem. If they differed, tests with Mem would prove nothing
// about a real disk.
func TestOSAndMemBehaveAlike(t *testing.T) {
	for name, fsys := range map[string]FS{"os": OS{}, "mem": NewMem()} {
		t.Run(name, func(t *testing.T) {
			dir := filepath.Join(t.TempDir(), "data")
			require.NoError(t, fsys.MkdirAll(dir))
			path := filepath.Join(dir, "a")
			_, err := fsys.ReadFile(path)
			require.ErrorIs(t, err, fs.ErrNotExist)
			f, err := fsys.Create(path)
			require.NoError(t, err)
			_, err = f.Write([]byte("hello world"))
			require.NoError(t, err)
			require.NoError(t, f.Sync())
			require.NoError(t, f.Truncate(5))
			_, err = f.Write([]byte("!"))
			require.NoError(t, err)
			require.NoError(t, f.Close())
			require.NoError(t, fsys.Rename(path, filepath.Join(dir, "b")))
			require.NoError(t, fsys.SyncDir(dir))
			names, err := fsys.List(dir)
			require.NoError(t, err)
			require.Equal(t, []string{"b"}, names)
			data, err := fsys.ReadFile(filepath.Join(dir, "b"))
			require.NoError(t, err)
			require.Equal(t, "hello!", string(data))

			lock, err := fsys.Lock(filepath.Join(dir, "lock"))
			require.NoError(t, err)
			_, err = fsys.Lock(filepath.Join(dir, "lock"))
			require.ErrorIs(t, err, ErrLocked)
			require.NoError(t, lock.Close())
			lock, err = fsys.Lock(filepath.Join(dir, "lock"))
			require.NoError(t, err)
			require.NoError(t, lock.Close())
		})
	}
}

// Mem must not keep names and data over a crash that were never synced, else tests would miss forgotten syncs. It may
// keep a prefix of unsynced data.
func TestCrashLosesUnsyncedNamesAndData(t *testing.T) {
	m := NewMem()
	f, err := m.Create("d/a")
	require.NoError(t, err)
	_, _ = f.Write([]byte("synced"))
	require.NoError(t, f.Sync())
	require.NoError(t, m.SyncDir("d"))
	_, _ = f.Write([]byte("not"))
	require.NoError(t, m.Rename("d/a", "d/renamed"))
	_, err = m.Create("d/b")
	require.NoError(t, err)
	m.Crash()
	_, err = f.Write([]byte("x"))
	require.ErrorIs(t, err, ErrCrashed)
	m.Restart(rand.New(rand.NewPCG(1, 1)))
	names, err := m.List("d")
	require.NoError(t, err)
	require.Equal(t, []string{"a"}, names)
	data, err := m.ReadFile("d/a")
	require.NoError(t, err)
	require.Contains(t, "syncednot", string(data))
	require.GreaterOrEqual(t, len(data), len("synced"))
}

// A full disk must cut a write short, so that callers are tested with partial writes.
func TestWriteToFullDiskIsPartial(t *testing.T) {
	m := NewMem()
	m.SetFaults(Faults{Capacity: 4})
	f, err := m.Create("d/a")
	require.NoError(t, err)
	n, err := f.Write([]byte("123456"))
	require.Equal(t, 4, n)
	require.ErrorIs(t, err, syscall.ENOSPC)
}

// TestTornWrites guards against a fault layer that tears less than a disk may: of several writes since the last sync, a later one may remain while an
// earlier one is lost, and parts of one may be missing. Synced data always remains.
func TestTornWrites(t *testing.T) {
	seen := map[string]bool{}
	for seed := range uint64(200) {
		fsys := NewMem()
		file, err := fsys.Create("d/f")
		require.NoError(t, err)
		require.NoError(t, fsys.SyncDir("d"))
		write := func(b byte) {
			_, err := file.Write(bytes.Repeat([]byte{b}, 2*sectorBytes))
			require.NoError(t, err)
		}
		write('a')
		require.NoError(t, file.Sync())
		write('b')
		write('c')
		fsys.Crash()
		fsys.RestartTorn(rand.New(rand.NewPCG(seed, 1)))
		data, err := fsys.ReadFile("d/f")
		require.NoError(t, err)
		require.Equal(t, bytes.Repeat([]byte{'a'}, 2*sectorBytes), data[:2*sectorBytes])
		kept := ""
		for from := 2 * sectorBytes; from < len(data); from += sectorBytes {
			kept += string(data[from])
		}
		seen[kept] = true
	}
	for _, kept := range []string{"", "bb", "bbcc", "\x00\x00cc", "\x00b", "bb\x00c"} {
		require.True(t, seen[kept], "%q does not occur: %q", kept, seen)
	}
}

// TestSlowSync guards against a fault layer whose slow disk does several syncs at a time: a sync must wait for those before it, of other files too.
func TestSlowSync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMem()
		a, err := m.Create("d/a")
		require.NoError(t, err)
		b, err := m.Create("d/b")
		require.NoError(t, err)
		m.SetFaults(Faults{SyncTime: time.Second})
		began := time.Now()
		var syncs sync.WaitGroup
		syncs.Go(func() { require.NoError(t, a.Sync()) })
		syncs.Go(func() { require.NoError(t, b.Sync()) })
		syncs.Go(func() { require.NoError(t, m.SyncDir("d")) })
		syncs.Wait()
		require.Equal(t, 3*time.Second, time.Since(began))
		m.SetFaults(Faults{})
		require.NoError(t, a.Sync())
		require.Equal(t, 3*time.Second, time.Since(began))
	})
}
