package admission

import "time"

// rateBurst is the time whose requests may start at once after a pause.
const rateBurst = 100 * time.Millisecond

// rateLimit bounds how many requests start in a second, by a token bucket. The zero value has no bound.
type rateLimit struct {
	// perSecond is the bound; 0 for none.
	perSecond float64
	tokens    float64
	// maxBurst, if not 0, bounds the requests that may start at once.
	maxBurst float64
	updated  time.Time
}

// set replaces the bound.
func (l *rateLimit) set(now time.Time, perSecond float64) {
	l.advance(now)
	l.perSecond = perSecond
	l.tokens = min(l.tokens, l.capacity())
	l.updated = now
}

// capacity returns the most requests that may start at once.
func (l *rateLimit) capacity() float64 {
	burst := max(1, l.perSecond*rateBurst.Seconds())
	if l.maxBurst > 0 {
		// A bucket that holds less than one request would let none start.
		burst = max(1, min(burst, l.maxBurst))
	}
	return burst
}

// advance adds the tokens of the time since the last update.
func (l *rateLimit) advance(now time.Time) {
	if elapsed := now.Sub(l.updated); l.perSecond > 0 && elapsed > 0 {
		l.tokens = min(l.tokens+l.perSecond*elapsed.Seconds(), l.capacity())
		l.updated = now
	}
}

// untilNext returns the time until a request may start; 0 if one may start now.
func (l *rateLimit) untilNext(now time.Time) time.Duration {
	if l.perSecond == 0 {
		return 0
	}
	l.advance(now)
	if l.tokens >= 1 {
		return 0
	}
	// One nanosecond more than the rounded time, so that the token is there when it has passed.
	return time.Duration((1-l.tokens)/l.perSecond*float64(time.Second)) + 1
}

// take counts a request that starts.
func (l *rateLimit) take() {
	if l.perSecond > 0 {
		l.tokens--
	}
}
