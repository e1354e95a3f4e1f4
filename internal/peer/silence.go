package peer

import (
	"sync/atomic"
	"time"
)

// silence measures how long a peer has been silent, by the monotonic clock: setting the time of day must neither hide a
// silent peer nor make a responsive one look silent.
type silence struct {
	began time.Time
	// ended is when the peer was last heard, as the time since began.
	ended atomic.Int64
}

// end records that the peer was heard.
func (s *silence) end(now time.Time) { s.ended.Store(int64(now.Sub(s.began))) }

// length returns the time since the peer was last heard.
func (s *silence) length(now time.Time) time.Duration {
	return now.Sub(s.began) - time.Duration(s.ended.Load())
}
