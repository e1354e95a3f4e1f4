package retry

import (
	"sync"
	"time"
)

// windowBuckets is the number of buckets into which a window is divided.
const windowBuckets = 50

// Window limits the retries of one service at one node by a sliding window: in the window that ends with a
// retry there are at most a ratio of the callers' requests for the service, plus a fixed number. The sum
// over all nodes keeps the same ratio if the fixed numbers of the nodes add up to what the fleet may make.
// It is safe for concurrent use.
type Window struct {
	ratio  float64
	length time.Duration

	mu sync.Mutex
	// started is when the first event was counted. Buckets are numbered from it by the monotonic clock, so that
	// setting the time of day doesn't shorten or extend the window.
	started        time.Time
	spare          float64
	requestBuckets [windowBuckets]float64
	retryBuckets   [windowBuckets]float64
	bucket         int64
	requests       float64
	retries        float64
}

// NewWindow returns a window of the given length that allows ratio retries for each request and spare
// more.
func NewWindow(ratio float64, spare float64, length time.Duration) *Window {
	return &Window{ratio: ratio, spare: spare, length: length}
}

// SetReserve sets the fixed number of retries.
func (w *Window) SetReserve(spare float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spare = spare
}

// CountRequest counts a request from a caller.
func (w *Window) CountRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.requestBuckets[w.bucket%windowBuckets]++
	w.requests++
}

// Reserve counts retries and returns true, or returns false if they exceed the limit.
func (w *Window) Reserve(now time.Time, retries float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if w.retries+retries > w.ratio*w.requests+w.spare {
		return false
	}
	w.retryBuckets[w.bucket%windowBuckets] += retries
	w.retries += retries
	return true
}

// Refund uncounts retries that reached no target, as far as they were counted in the current bucket.
func (w *Window) Refund(now time.Time, retries float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	taken := min(retries, w.retryBuckets[w.bucket%windowBuckets])
	w.retryBuckets[w.bucket%windowBuckets] -= taken
	w.retries -= taken
}

// WindowUsage is the state of a Window at one time.
type WindowUsage struct {
	// Requests and Retries are counted in the window that ends now; Reserve is the fixed number of retries.
	Requests, Retries, Reserve float64
	// Age is the time since the first event.
	Age time.Duration
}

// Usage returns the state of the window.
func (w *Window) Usage(now time.Time) WindowUsage {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	return WindowUsage{Requests: w.requests, Retries: w.retries, Reserve: w.spare, Age: now.Sub(w.started)}
}

// advance removes the counts that have left the window. The oldest bucket counts in full until all of it
// has left. The caller holds mu.
func (w *Window) advance(now time.Time) {
	if w.started.IsZero() {
		w.started = now
	}
	bucket := int64(now.Sub(w.started) / (w.length / (windowBuckets - 1)))
	if bucket <= w.bucket {
		return
	}
	if bucket-w.bucket >= windowBuckets {
		w.requestBuckets, w.retryBuckets = [windowBuckets]float64{}, [windowBuckets]float64{}
		w.requests, w.retries = 0, 0
	} else {
		for b := w.bucket + 1; b <= bucket; b++ {
			w.requests -= w.requestBuckets[b%windowBuckets]
			w.retries -= w.retryBuckets[b%windowBuckets]
			w.requestBuckets[b%windowBuckets], w.retryBuckets[b%windowBuckets] = 0, 0
		}
	}
	w.bucket = bucket
}
