package http1

import (
	"sync"
	"time"
)

// A streamed response holds up to a flow control window of what has arrived of it in memory, in particular if its caller does not read. The
// total is bounded by Limits.MaxStreams: beyond it, a new streamed response ends the one whose caller has read nothing for the longest time.
// If there is none, as many again are streamed, and further ones are replaced before their head is sent.

const (
	// buffered is the length in bytes up to which a response does not count as streamed: its handler holds all of it.
	buffered = 64 << 10
	// minBlocked is how long a caller must have read nothing before its response is ended.
	minBlocked = 250 * time.Millisecond
)

// streams are the responses that are being streamed.
type streams struct {
	mu     sync.Mutex
	active map[*exchange]struct{}
}

// streamDecision says what happens to a new streamed response and to another one.
type streamDecision struct {
	// count is the number of streamed responses, the new one included.
	count int
	// refused is set if the new one must not be sent.
	refused bool
	// blocked is for how long the caller of the response that was ended had read nothing; 0 if none was ended.
	blocked time.Duration
}

// begin counts a streamed response, unless it must not be sent. There may be limit of them, 0 for any number.
func (s *streams) begin(x *exchange, now time.Time, limit int) streamDecision {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := streamDecision{count: len(s.active) + 1}
	if limit > 0 && d.count > limit {
		victim, blocked := s.longestBlocked(now)
		switch {
		case blocked >= minBlocked:
			d.blocked = blocked
			delete(s.active, victim)
			victim.conn.abort()
		case d.count > 2*limit:
			d.refused = true
			return d
		}
	}
	s.active[x] = struct{}{}
	return d
}

// longestBlocked returns the response whose caller has read nothing for the longest time. The caller holds the lock.
func (s *streams) longestBlocked(now time.Time) (victim *exchange, blocked time.Duration) {
	for x := range s.active {
		if d := x.blocked(now); d > blocked {
			victim, blocked = x, d
		}
	}
	return victim, blocked
}

func (s *streams) end(x *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, x)
}

// blocked returns for how long the exchange has waited for its caller to read.
func (x *exchange) blocked(now time.Time) time.Duration {
	since := x.blockedSince.Load()
	if since == 0 {
		return 0
	}
	return now.Sub(time.Unix(0, since))
}

// writePart writes a part of a streamed response.
func (x *exchange) writePart(data []byte) error {
	x.blockedSince.Store(time.Now().UnixNano())
	defer x.blockedSince.Store(0)
	return x.conn.write(data)
}

// streamed reports whether a response counts as streamed.
func (r *Response) streamed() bool {
	return r.Stream != nil && (r.Length < 0 || r.Length > buffered)
}

// beginStream counts a streamed response. It returns false if the response must not be sent.
func (x *exchange) beginStream() bool {
	s := x.conn.server
	d := s.streams.begin(x, time.Now(), s.limits().MaxStreams)
	if d.refused || d.blocked > 0 {
		s.streamEnded(d.count, d.blocked)
	}
	return !d.refused
}
