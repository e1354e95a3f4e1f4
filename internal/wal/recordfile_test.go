package wal

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavaford/guavaford/internal/vfs"
)

// openRecords opens the record file of a test and returns its records as text.
func openRecords(t *testing.T, fsys vfs.FS) (*RecordFile, []string, bool) {
	t.Helper()
	f, data, intact, err := OpenRecordFile(fsys, dir, "records")
	require.NoError(t, err)
	var records []string
	for _, r := range data {
		records = append(records, string(r))
	}
	return f, records, intact
}

// batchOf returns records of several sectors together, as text and as bytes.
func batchOf(name string, n int) (texts []string, data [][]byte) {
	for i := range n {
		text := fmt.Sprintf("%s-%d %s", name, i, strings.Repeat("x", 100+37*i))
		texts, data = append(texts, text), append(data, []byte(text))
	}
	return texts, data
}

// TestTornRecordCostsOnlyItself guards against a record that was acknowledged being lost, or the file being taken for damaged, since a power loss has torn
// the write after it.
func TestTornRecordCostsOnlyItself(t *testing.T) {
	partial := 0
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 2))
		fsys := vfs.NewMem()
		f, _, intact := openRecords(t, fsys)
		require.False(t, intact, "a file that does not exist has lost everything")
		require.NoError(t, f.Rewrite(nil))
		var acknowledged []string
		for i := range 1 + rnd.IntN(4) {
			texts, data := batchOf(fmt.Sprint("kept", i), 1+rnd.IntN(5))
			require.NoError(t, f.Append(data))
			acknowledged = append(acknowledged, texts...)
		}
		texts, data := batchOf("torn", 6)
		fsys.SetFaults(vfs.Faults{CrashAtStep: 1})
		require.Error(t, f.Append(data), "the power fails during the sync")
		fsys.RestartTorn(rnd)
		f, records, intact := openRecords(t, fsys)
		require.True(t, intact, "seed %d: what was torn had not been acknowledged", seed)
		require.Equal(t, acknowledged, records[:len(acknowledged)], "seed %d", seed)
		rest := records[len(acknowledged):]
		for _, r := range rest {
			require.Contains(t, texts, r)
		}
		if len(rest) > 0 && rest[0] != texts[0] {
			partial++
		}
		if !f.Usable() {
			require.ErrorIs(t, f.Append(data), ErrUnusable, "nothing is appended behind an unreadable part")
			var all [][]byte
			for _, r := range records {
				all = append(all, []byte(r))
			}
			require.NoError(t, f.Rewrite(all))
		}
		require.NoError(t, f.Append([][]byte{[]byte("later")}))
		_, again, intact := openRecords(t, fsys)
		require.True(t, intact)
		require.Equal(t, append(slices.Clone(records), "later"), again)
	}
	require.Positive(t, partial, "a torn record never preceded a readable one")
}

// TestDamagedRecordIsReported guards against records that were acknowledged and can't be read any more being taken for an interrupted write: the replica
// would answer as if it had never held them.
func TestDamagedRecordIsReported(t *testing.T) {
	for _, rewritten := range []bool{false, true} {
		fsys := vfs.NewMem()
		f, _, _ := openRecords(t, fsys)
		texts, data := batchOf("r", 5)
		if rewritten {
			require.NoError(t, f.Rewrite(append(data, []byte("last"))))
		} else {
			require.NoError(t, f.Rewrite(nil))
			require.NoError(t, f.Append(data))
			require.NoError(t, f.Append([][]byte{[]byte("last")}))
		}
		size := int(f.Size()) - 45
		for offset := 0; offset < size; offset += 11 {
			fsys.Corrupt(dir+"/records", offset)
			_, records, intact := openRecords(t, fsys)
			require.False(t, intact, "byte %d of %d", offset, size)
			require.Len(t, records, len(texts), "only the damaged record is lost")
			fsys.Corrupt(dir+"/records", offset)
		}
	}
}

// TestRecordFileOnAFullDisk guards against a disk that was full for a while making the file unusable or losing records.
func TestRecordFileOnAFullDisk(t *testing.T) {
	fsys := vfs.NewMem()
	f, _, _ := openRecords(t, fsys)
	require.NoError(t, f.Rewrite([][]byte{[]byte("first")}))
	fsys.SetFaults(vfs.Faults{Capacity: fsys.Used() + 30})
	_, data := batchOf("too-large", 2)
	require.ErrorIs(t, f.Append(data), syscall.ENOSPC)
	require.ErrorIs(t, f.Rewrite(data), syscall.ENOSPC)
	require.True(t, f.Usable())
	fsys.SetFaults(vfs.Faults{})
	require.NoError(t, f.Append([][]byte{[]byte("second")}))
	fsys.Crash()
	fsys.RestartTorn(rand.New(rand.NewPCG(1, 1)))
	_, records, intact := openRecords(t, fsys)
	require.True(t, intact)
	require.Equal(t, []string{"first", "second"}, records)
}

// TestRecordFileAfterACrashAtEachStep guards against a rewrite that loses records if the power fails within it.
func TestRecordFileAfterACrashAtEachStep(t *testing.T) {
	for step := 1; step <= 4; step++ {
		for _, after := range []bool{false, true} {
			fsys := vfs.NewMem()
			f, _, _ := openRecords(t, fsys)
			require.NoError(t, f.Rewrite([][]byte{[]byte("first")}))
			require.NoError(t, f.Append([][]byte{[]byte("second")}))
			fsys.SetFaults(vfs.Faults{CrashAtStep: step, CrashAfter: after})
			err := f.Rewrite([][]byte{[]byte("second"), []byte("third")})
			if err == nil {
				err = f.Append([][]byte{[]byte("fourth")})
			}
			require.Error(t, err)
			fsys.RestartTorn(rand.New(rand.NewPCG(uint64(step), 1)))
			_, records, intact := openRecords(t, fsys)
			require.True(t, intact)
			require.Contains(t, records, "second", "step %d", step)
		}
	}
}
