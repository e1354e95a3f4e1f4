package peer

import (
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/require"
)

// setClock returns a reading with the time of day moved by step and the same monotonic reading, as time.Now returns it after the
// clock of the host was set.
func setClock(now time.Time, step time.Duration) time.Time {
	moved := now.Add(step)
	// The second word of a time.Time with a monotonic reading holds that reading.
	(*[2]int64)(unsafe.Pointer(&moved))[1] = (*[2]int64)(unsafe.Pointer(&now))[1]
	return moved
}

// TestSetClockDoesNotHideASilentPeer guards against exchanges that wait on a dead connection until a clock that was set back has
// caught up, and against probes of connections that have just answered when it is set forward.
func TestSetClockDoesNotHideASilentPeer(t *testing.T) {
	start := time.Now()
	for _, step := range []time.Duration{-time.Hour, time.Hour} {
		s := silence{began: start}
		s.end(start.Add(time.Second))
		require.Equal(t, 2*time.Second, s.length(setClock(start.Add(3*time.Second), step)))
		s.end(setClock(start.Add(4*time.Second), step))
		require.Equal(t, time.Second, s.length(start.Add(5*time.Second)))
	}
}
