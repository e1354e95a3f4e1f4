package departure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/vfs"
)

const dir = "data"

var identity = &apiv1.ReplicaIdentity{Replica: 7, Cluster: 9, Node: "kl-1"}

// confirmationTimeout is how long calls wait in these tests; nodes wait longer.
const confirmationTimeout = 600 * time.Millisecond

func open(t *testing.T, fsys vfs.FS, now time.Time) *Store {
	t.Helper()
	s, err := Open(fsys, dir, identity, now)
	require.NoError(t, err)
	return s
}

func gone(node, name string, start int64) *apiv1.TargetRecord {
	return &apiv1.TargetRecord{
		Node: node, Name: name, Service: "rooms", NodeAddress: "127.0.0.1:1234", StartedUnixNs: start,
		State: apiv1.TargetState_TARGET_STATE_GONE, Incarnation: 1, Version: 2, Departed: true,
	}
}

func leaving(node, name string, start int64) *apiv1.TargetRecord {
	r := gone(node, name, start)
	r.State = apiv1.TargetState_TARGET_STATE_LEAVING
	return r
}

func add(t *testing.T, s *Store, now time.Time, records ...*apiv1.TargetRecord) {
	t.Helper()
	require.NoError(t, s.Add(t.Context(), now, records))
}

// TestDepartureSurvivesPowerLoss guards against an acknowledged departure that is lost with the process, or that is lost since the power loss tore
// the write of another one.
func TestDepartureSurvivesPowerLoss(t *testing.T) {
	for seed := range uint64(50) {
		fsys, now := vfs.NewMem(), time.Now()
		s := open(t, fsys, now)
		require.False(t, s.Complete())
		require.NoError(t, s.SetComplete(t.Context(), now, identity))
		add(t, s, now, leaving("n", "a", 5), gone("n", "b", 6))
		add(t, s, now, gone("m", "a", 7))
		var more []*apiv1.TargetRecord
		for i := range 20 {
			more = append(more, gone("x", fmt.Sprint(i), 1))
		}
		fsys.SetFaults(vfs.Faults{CrashAtStep: 1})
		require.Error(t, s.Add(t.Context(), now, more))
		require.Empty(t, s.Of(now, "x"), "what is not durable is not answered")
		fsys.RestartTorn(rand.New(rand.NewPCG(seed, 3)))
		s = open(t, fsys, now.Add(time.Hour))
		now = now.Add(time.Hour)
		require.True(t, s.Complete())
		require.Len(t, s.Of(now, "n"), 2)
		require.Len(t, s.Of(now, "m"), 1)
		add(t, s, now, more...)
		require.Len(t, s.Of(now, "x"), 20)
		s = open(t, fsys, now)
		require.True(t, s.Complete())
		require.Len(t, s.All(now), 23)
	}
}

// TestStoreKnowsWhatItMayHaveLost guards against a store that answers for departures that it has lost: with its disk, in part, or as another replica.
func TestStoreKnowsWhatItMayHaveLost(t *testing.T) {
	fsys, now := vfs.NewMem(), time.Now()
	s := open(t, fsys, now)
	add(t, s, now, gone("n", "a", 1))
	require.False(t, open(t, fsys, now).Complete(), "a store is not complete by storing")
	require.NoError(t, s.SetComplete(t.Context(), now, identity))
	require.True(t, open(t, fsys, now).Complete())
	for _, other := range []*apiv1.ReplicaIdentity{{Replica: 8, Cluster: 9}, {Replica: 7, Cluster: 10}, {Replica: 7}} {
		s, err := Open(fsys, dir, other, now)
		require.NoError(t, err)
		require.False(t, s.Complete(), "another replica %v", other)
		require.Len(t, s.Of(now, "n"), 1)
	}
	add(t, s, now, gone("n", "b", 1))
	fsys.Corrupt(dir+"/"+fileName, 30)
	s = open(t, fsys, now)
	require.False(t, s.Complete(), "a record that was acknowledged is unreadable")
	require.NoError(t, s.SetComplete(t.Context(), now, identity))
	require.True(t, open(t, fsys, now).Complete(), "the unreadable part has been replaced")
	require.NoError(t, s.SetIncomplete(t.Context(), now))
	require.False(t, s.Complete())
	require.False(t, open(t, fsys, now).Complete())
	fsys.Wipe()
	require.False(t, open(t, fsys, now).Complete())
}

// TestLatestDepartureIsKept guards against an older or weaker departure of a target replacing a newer one, also across a restart.
func TestLatestDepartureIsKept(t *testing.T) {
	fsys, now := vfs.NewMem(), time.Now()
	s := open(t, fsys, now)
	add(t, s, now, gone("n", "a", 5))
	add(t, s, now, leaving("n", "a", 5), gone("n", "a", 4))
	check := func(start int64, state apiv1.TargetState) {
		t.Helper()
		for _, s := range []*Store{s, open(t, fsys, now)} {
			records := s.Of(now, "n")
			require.Len(t, records, 1)
			require.Equal(t, start, records[0].StartedUnixNs)
			require.Equal(t, state, records[0].State)
		}
	}
	check(5, apiv1.TargetState_TARGET_STATE_GONE)
	add(t, s, now, leaving("n", "a", 6))
	check(6, apiv1.TargetState_TARGET_STATE_LEAVING)
	add(t, s, now, gone("n", "a", 6))
	check(6, apiv1.TargetState_TARGET_STATE_GONE)
}

// TestDeparturesExpire guards against records that fill memory and disk, and against records that end while a delayed report can still arrive: those of an
// earlier process count as new, since its clock is not known.
func TestDeparturesExpire(t *testing.T) {
	fsys, now := vfs.NewMem(), time.Now()
	s := open(t, fsys, now)
	for i := range 40_000 {
		now = now.Add(100 * time.Millisecond)
		add(t, s, now, gone(fmt.Sprint("node-", i%500), fmt.Sprint("target-", i), int64(i+1)))
	}
	within := int(Retention/(100*time.Millisecond)) + 1
	require.Len(t, s.All(now), within)
	require.Less(t, s.file.Size(), int64(2*compactBytes+within*200))
	require.Positive(t, s.Metrics().Rewrites)
	require.Len(t, s.All(now.Add(Retention+time.Second)), 0)
	restarted := now.Add(-24 * time.Hour)
	s = open(t, fsys, restarted)
	require.GreaterOrEqual(t, len(s.All(restarted.Add(Retention))), within)
	require.Empty(t, s.All(restarted.Add(Retention+time.Second)))
}

// TestOneNodeCannotFillTheStore guards against a target that leaves under ever new names using up the room of all others.
func TestOneNodeCannotFillTheStore(t *testing.T) {
	fsys, now := vfs.NewMem(), time.Now()
	s := open(t, fsys, now)
	for i := range maxRecordsPerNode {
		add(t, s, now, gone("n", fmt.Sprint(i), 1))
	}
	require.ErrorIs(t, s.Add(t.Context(), now, []*apiv1.TargetRecord{gone("n", "more", 1)}), ErrFull)
	add(t, s, now, gone("n", "1", 1))
	add(t, s, now, gone("m", "more", 1))
	now = now.Add(Retention + time.Second)
	add(t, s, now, gone("n", "more", 1))
	require.Len(t, s.Of(now, "n"), 1)
}

// TestStoreOnAFullDisk guards against a departure that is acknowledged while the disk has no room for it, and against a store that stays unusable
// afterwards.
func TestStoreOnAFullDisk(t *testing.T) {
	for _, created := range []bool{false, true} {
		fsys, now := vfs.NewMem(), time.Now()
		s := open(t, fsys, now)
		if created {
			require.NoError(t, s.SetComplete(t.Context(), now, identity))
			add(t, s, now, gone("n", "a", 1))
		}
		fsys.SetFaults(vfs.Faults{Capacity: fsys.Used() + 10})
		require.ErrorIs(t, s.Add(t.Context(), now, []*apiv1.TargetRecord{gone("n", "b", 1)}), syscall.ENOSPC)
		if created {
			require.Len(t, s.Of(now, "n"), 1, "what is stored is still answered")
			require.Error(t, s.SetIncomplete(t.Context(), now))
			require.False(t, s.Complete(), "that it is incomplete holds also while it can't be stored")
		}
		fsys.SetFaults(vfs.Faults{})
		add(t, s, now, gone("n", "b", 1))
		s = open(t, fsys, now)
		var names []string
		for _, r := range s.Of(now, "n") {
			names = append(names, r.Name)
		}
		require.Contains(t, names, "b")
		require.Equal(t, created, len(names) == 2)
	}
}

// slowDisk is a disk on which each sync takes a time, and which runs one at a time.
type slowDisk struct {
	vfs.FS
	sync time.Duration
	busy chan struct{}
}

type slowFile struct {
	vfs.File
	disk *slowDisk
}

func (d *slowDisk) wait() {
	d.busy <- struct{}{}
	time.Sleep(d.sync)
	<-d.busy
}

func (d *slowDisk) Create(path string) (vfs.File, error) {
	f, err := d.FS.Create(path)
	return slowFile{f, d}, err
}

func (d *slowDisk) OpenAppend(path string) (vfs.File, error) {
	f, err := d.FS.OpenAppend(path)
	return slowFile{f, d}, err
}

func (d *slowDisk) SyncDir(dir string) error {
	d.wait()
	return d.FS.SyncDir(dir)
}

func (f slowFile) Sync() error {
	f.disk.wait()
	return f.File.Sync()
}

// TestManyDeparturesOnASlowDisk guards against departures that are not confirmed in time since each waits for a sync of its own: 300 in 10 s, spread
// evenly, 30 at the start of each second, and all at once, on a disk that takes 5 ms for a sync and syncs the log all the time besides.
func TestManyDeparturesOnASlowDisk(t *testing.T) {
	at := map[string]func(i int) time.Duration{
		"evenly":         func(i int) time.Duration { return time.Duration(i) * 10 * time.Second / 300 },
		"in ten bursts":  func(i int) time.Duration { return time.Duration(i/30) * time.Second },
		"all at once":    func(int) time.Duration { return 0 },
		"every half sec": func(i int) time.Duration { return time.Duration(i/15) * 500 * time.Millisecond },
	}
	for name, at := range at {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				disk := &slowDisk{FS: vfs.NewMem(), sync: 5 * time.Millisecond, busy: make(chan struct{}, 1)}
				s := open(t, disk, time.Now())
				require.NoError(t, s.SetComplete(t.Context(), time.Now(), identity))
				before := s.Metrics()
				ctx, stopLog := context.WithCancel(t.Context())
				var log, nodes sync.WaitGroup
				log.Go(func() {
					for ctx.Err() == nil {
						disk.wait()
					}
				})
				var mu sync.Mutex
				var longest time.Duration
				for i := range 300 {
					nodes.Go(func() {
						time.Sleep(at(i))
						began := time.Now()
						call, cancel := context.WithTimeout(t.Context(), confirmationTimeout)
						defer cancel()
						record := gone(fmt.Sprintf("sidecar-%d-of-the-fleet", i), fmt.Sprintf("i-%016x", i), began.UnixNano())
						if err := s.Add(call, began, []*apiv1.TargetRecord{record}); err != nil {
							t.Errorf("departure %d: %v", i, err)
						}
						mu.Lock()
						defer mu.Unlock()
						longest = max(longest, time.Since(began))
					})
				}
				nodes.Wait()
				stopLog()
				log.Wait()
				after := s.Metrics()
				syncs, bytes := after.Syncs-before.Syncs, after.Bytes-before.Bytes
				t.Logf("300 departures %s: %d syncs, %.0f bytes each, longest %v", name, syncs, float64(bytes)/300, longest)
				require.Less(t, longest, confirmationTimeout/2)
				require.LessOrEqual(t, syncs, uint64(300))
				if name != "evenly" {
					require.LessOrEqual(t, syncs, uint64(60), "calls during a sync share the next one")
				}
				require.Len(t, s.All(time.Now()), 300)
			})
		})
	}
}

// TestFrozenDiskBoundsTheQueue guards against memory that grows while a disk does not respond, and against calls that wait longer than their node does.
func TestFrozenDiskBoundsTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := &slowDisk{FS: vfs.NewMem(), busy: make(chan struct{}, 1)}
		s := open(t, disk, time.Now())
		add(t, s, time.Now(), gone("first", "a", 1))
		disk.busy <- struct{}{}
		var calls sync.WaitGroup
		var mu sync.Mutex
		busy := 0
		for i := range maxPending + 100 {
			calls.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), confirmationTimeout)
				defer cancel()
				err := s.Add(ctx, time.Now(), []*apiv1.TargetRecord{gone(fmt.Sprint(i), "a", 1)})
				mu.Lock()
				defer mu.Unlock()
				if err == ErrBusy {
					busy++
				}
			})
		}
		time.Sleep(2 * confirmationTimeout)
		mu.Lock()
		refused := busy
		mu.Unlock()
		require.Positive(t, refused)
		<-disk.busy
		calls.Wait()
		add(t, s, time.Now(), gone("last", "a", 1))
		require.Len(t, s.Of(time.Now(), "last"), 1)
	})
}

// TestFullStoreIsBounded guards against departures that use up the memory or the disk of a control host.
func TestFullStoreIsBounded(t *testing.T) {
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	fsys, now := vfs.NewMem(), time.Now()
	before := heap()
	s := open(t, fsys, now)
	for i := range maxRecords {
		add(t, s, now, gone(fmt.Sprintf("sidecar-%d-of-the-fleet", i/5), fmt.Sprintf("i-%016x", i), now.UnixNano()))
	}
	require.ErrorIs(t, s.Add(t.Context(), now, []*apiv1.TargetRecord{gone("one", "more", 1)}), ErrFull)
	require.Len(t, s.All(now), maxRecords)
	used := int64(heap()-before) - fsys.Used()
	t.Logf("%d records: %d bytes of memory and %d of the disk each, %d rewrites", maxRecords, used/maxRecords, s.file.Size()/maxRecords, s.Metrics().Rewrites)
	require.Less(t, s.file.Size(), int64(8<<20))
	require.Less(t, used, int64(24<<20))
	runtime.KeepAlive(s)
}
