package replica

import (
	"testing"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// filledLog returns a log of n entries with size bytes of data each, all of them applied.
func filledLog(n, size int) raftLog {
	l, data := raftLog{}, make([]byte, size)
	for i := range n {
		l.append(&apiv1.LogEntry{Term: 1, Index: uint64(i) + 1, Data: data})
	}
	l.commit, l.applied, l.stable = l.last(), l.last(), l.last()
	return l
}

// TestCompactedLogIsBoundedInBytes guards against a kept log that is bounded by its number of entries alone, whatever they hold: a few hundred
// changes of a large configuration used up the memory of every control replica.
func TestCompactedLogIsBoundedInBytes(t *testing.T) {
	const size, keepBytes = 800 << 10, 8 << 20
	c := &Core{log: filledLog(1000, size)}
	c.Compact(990, 1024, keepBytes)
	require.EqualValues(t, 1000, c.log.last())
	require.Equal(t, 10+keepBytes/size, len(c.log.entries), "entries after the snapshot stay")
	term, ok := c.log.term(c.log.offset)
	require.True(t, ok)
	require.EqualValues(t, 1, term)

	c.Compact(1000, 1024, size-1)
	require.Zero(t, len(c.log.entries))
	require.EqualValues(t, 1000, c.log.last())
}

// TestCompactionKeepsEntriesForReplicasThatLag guards against a compaction that keeps fewer entries than both bounds allow, so that replicas
// that lag slightly get whole snapshots.
func TestCompactionKeepsEntriesForReplicasThatLag(t *testing.T) {
	c := &Core{log: filledLog(1000, 10)}
	c.Compact(900, 100, 1<<20)
	require.EqualValues(t, 800, c.log.offset)
	c.Compact(900, 1024, 1<<20)
	require.EqualValues(t, 800, c.log.offset, "dropped entries don't come back")
	c.Compact(50, 100, 1<<20)
	require.EqualValues(t, 800, c.log.offset)
}
