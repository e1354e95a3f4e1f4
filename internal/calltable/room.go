package calltable

import (
	"sync"
	"time"
)

// Limits of the memory for responses.
const (
	// minRoom is the room in bytes that every running call has. With it a response can always be passed on, part by part,
	// to a reader that reads.
	minRoom = 16 << 10
	// attachTime is how long after the end of a read over a connection a reader may still come to read again: a connection
	// that has gone silent is given up after 1 s, and a new one opens within 300 ms.
	attachTime = 1500 * time.Millisecond
	// scanInterval is the shortest time between two searches for responses that can be freed.
	scanInterval = 2 * time.Millisecond
	// growInterval is how often a response that waits for room looks for it without being woken.
	growInterval = 50 * time.Millisecond
	// longestRetry is the longest time after which a refused call is told to come again.
	longestRetry = time.Second
	// maxRoutes bounds the routes whose response sizes are remembered; beyond it all are forgotten.
	maxRoutes = 4096
	// sizeDecay is what is left of the remembered size of a route's responses with each smaller one.
	sizeDecay = 0.98
)

// room bounds the memory for the responses of a table. Its decisions take the time as a parameter.
//
// A call takes room before it starts: as much as the responses of its route have needed lately. A longer response takes more
// while it is received, if there is some; otherwise what its reader has read is dropped in place of being kept, and the
// target waits for the reader. The responses of finished calls keep their room. When room is needed, those are freed that
// nobody reads and that have been read to their end, over a connection at least attachTime ago. If there are none, calls are
// refused before they start.
type room struct {
	mu sync.Mutex
	// used is the sum of the room of all responses, in bytes.
	used int
	// kept lists the responses of finished calls, in the order in which their calls ended.
	kept []keptAnswer
	// sizes holds the size of recent responses by route.
	sizes map[string]float64
	// freed is closed when room becomes free; nil while nobody waits for it.
	freed chan struct{}
	// scanned is when responses that can be freed were last searched, scanAt when the next search makes sense.
	scanned, scanAt time.Time
}

type keptAnswer struct {
	buffer *ResponseBuffer
	ended  time.Time
	bytes  int
}

func newRoom() *room {
	return &room{sizes: map[string]float64{}}
}

// expected returns the room for a response of a route. The caller holds mu.
func (r *room) expected(route string) int {
	return min(max(int(r.sizes[route]), minRoom), KeptAnswerBytes)
}

// take takes the room for a call of a route. If there is none, it returns the time after which there may be.
func (r *room) take(now time.Time, route string) (bytes int, retryAfter time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	bytes = r.expected(route)
	if !r.makeRoom(now, bytes) {
		return 0, min(max(r.scanAt.Sub(now), 50*time.Millisecond), longestRetry)
	}
	r.used += bytes
	return bytes, 0
}

// grow takes more room for a response that is being received. It returns false, and a channel that is closed when room
// becomes free, if there is none.
func (r *room) grow(now time.Time, bytes int) (bool, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.makeRoom(now, bytes) {
		if r.freed == nil {
			r.freed = make(chan struct{})
		}
		return false, r.freed
	}
	r.used += bytes
	return true, nil
}

// makeRoom frees responses until there is room for bytes. The caller holds mu.
func (r *room) makeRoom(now time.Time, bytes int) bool {
	if r.used+bytes <= MaxKeptBytes {
		return true
	}
	if now.Before(r.scanAt) {
		return false
	}
	r.scanned, r.scanAt = now, now.Add(longestRetry)
	left := r.kept[:0]
	for i, k := range r.kept {
		if r.used+bytes <= MaxKeptBytes {
			left = append(left, r.kept[i:]...)
			r.scanAt = time.Time{}
			break
		}
		freeAt, ok := k.buffer.freeAt()
		if ok && !now.Before(freeAt) && k.buffer.discard() {
			r.used -= k.bytes
			continue
		}
		if ok && freeAt.Before(r.scanAt) {
			r.scanAt = freeAt
		}
		left = append(left, k)
	}
	clear(r.kept[len(left):])
	r.kept = left
	if r.used+bytes <= MaxKeptBytes {
		r.scanAt = time.Time{}
		return true
	}
	r.scanAt = laterOf(r.scanAt, now.Add(scanInterval))
	return false
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// give gives back room and wakes those who wait for it. The caller holds mu.
func (r *room) give(bytes int) {
	if bytes <= 0 {
		return
	}
	r.used -= bytes
	if r.freed != nil {
		close(r.freed)
		r.freed = nil
	}
}

// readEnded tells that a reader of a kept response has closed, so that the response may be free sooner than was thought.
func (r *room) readEnded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if soon := r.scanned.Add(scanInterval); soon.Before(r.scanAt) {
		r.scanAt = soon
	}
}

// keep keeps the response of a call that has ended, and gives back the room that it doesn't need.
func (r *room) keep(now time.Time, route string, buffer *ResponseBuffer) {
	size, total, taken := buffer.settle()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.sizes) >= maxRoutes {
		clear(r.sizes)
	}
	r.sizes[route] = max(float64(total), r.sizes[route]*sizeDecay)
	r.give(taken - size)
	if size > 0 {
		r.kept = append(r.kept, keptAnswer{buffer: buffer, ended: now, bytes: size})
	}
}

// expire frees the responses that were kept for AnswerRetention, except those that are being read.
func (r *room) expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.kept) > 0 && now.Sub(r.kept[0].ended) > AnswerRetention && r.kept[0].buffer.discard() {
		r.give(r.kept[0].bytes)
		r.kept = r.kept[1:]
	}
}
