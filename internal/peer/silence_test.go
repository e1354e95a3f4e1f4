package peer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavaford/guavaford/internal/clock/clocktest"
)

// TestSetClockDoesNotHideASilentPeer guards against exchanges that wait on a dead connection until a clock that was set back has
// caught up, and against probes of connections that have just answered when it is set forward.
func TestSetClockDoesNotHideASilentPeer(t *testing.T) {
	start := time.Now()
	for _, step := range []time.Duration{-time.Hour, time.Hour} {
		s := silence{began: start}
		s.end(start.Add(time.Second))
		require.Equal(t, 2*time.Second, s.length(clocktest.Set(start.Add(3*time.Second), step)))
		s.end(clocktest.Set(start.Add(4*time.Second), step))
		require.Equal(t, time.Second, s.length(start.Add(5*time.Second)))
	}
}
