package retry

import (
	"sync"
	"time"
)

// Bucket limits the retries of one service at one node, such that the limits of all nodes add up to one for the fleet. A
// request of a caller earns a fixed fraction of a token, time earns tokens at a fixed rate, and a retry spends one. Tokens
// beyond the capacity are lost, and a new bucket is empty.
//
// In any span of time the retries of all nodes are thus at most the ratio of the requests in that span, plus what their
// buckets can hold at its start and earn by time. That needs no memory of earlier retries: a node that has restarted, joined
// or left, and requests that move to another node, never add to it. A limit by a window of past requests at each node does not
// have this property.
//
// It is safe for concurrent use.
type Bucket struct {
	ratio float64
	// random returns values in [0, 1).
	random func() float64

	mu sync.Mutex
	// capacity is the most tokens kept; perSecond is what time earns.
	capacity, perSecond float64
	tokens              float64
	updated             time.Time
	// partial is what is left over of the parts of tokens that were spent; less than 1. It begins at a random value, so that the
	// first retries of the nodes of a large service do not all come together.
	partial float64
	started bool
}

// NewBucket returns an empty bucket in which each request earns ratio tokens. It has no capacity before SetShare.
func NewBucket(ratio float64, random func() float64) *Bucket {
	return &Bucket{ratio: ratio, random: random}
}

// SetShare sets the capacity of the bucket, and the tokens that time earns in a second.
func (b *Bucket) SetShare(now time.Time, capacity, perSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.capacity, b.perSecond = capacity, perSecond
	b.tokens = min(b.tokens, capacity)
}

// CountRequest counts a request of a caller.
func (b *Bucket) CountRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.tokens = min(b.tokens+b.ratio, b.capacity)
}

// Take spends a token on a retry and returns true, or returns false if there is none. A bucket that can't hold a whole token
// spends what it has, and grants a retry each time that the parts add up to a whole one, so that large services, whose nodes have small
// shares, retry as much as others. To grant by chance instead would exceed the bound by the spread of many such draws.
func (b *Bucket) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if b.tokens >= 1 {
		b.tokens--
		return true
	}
	if b.capacity >= 1 || b.tokens <= 0 {
		return false
	}
	if !b.started {
		b.started, b.partial = true, b.random()
	}
	b.partial += b.tokens
	b.tokens = 0
	if b.partial < 1 {
		return false
	}
	b.partial--
	return true
}

// Tokens returns the tokens in the bucket and its capacity.
func (b *Bucket) Tokens(now time.Time) (tokens, capacity float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return b.tokens, b.capacity
}

// advance adds what time has earned. The caller holds mu.
func (b *Bucket) advance(now time.Time) {
	if b.updated.IsZero() {
		b.updated = now
	}
	// Readings of the monotonic clock: setting the time of day earns nothing.
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 {
		return
	}
	b.updated = now
	b.tokens = min(b.tokens+b.perSecond*elapsed.Seconds(), b.capacity)
}
