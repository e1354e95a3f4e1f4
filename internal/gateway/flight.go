package gateway

import (
	"bytes"
	"context"
	"sync"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/dispatch"
	"github.com/guavaford/guavaford/internal/outcome"
)

// flightKey names the run of an organisation's Idempotency-Key.
type flightKey struct {
	organisation string
	key          string
}

// flight is a run, or a wait for one, that goes on at this node. Resends that come
// through the same node share it instead of asking the control replicas each.
type flight struct {
	digest []byte
	done   chan struct{}
	// finish and refusal are set before done is closed. Both are nil when the request
	// that led the flight gave up before the run ended.
	finish  *apiv1.RunFinish
	refusal *outcome.Refusal
}

// flights holds the flights of one node.
type flights struct {
	mu  sync.Mutex
	all map[flightKey]*flight
}

// newFlights returns an empty set.
func newFlights() *flights {
	return &flights{all: make(map[flightKey]*flight)}
}

// join returns the flight of a key. leads is true when the caller is the first and must complete it.
func (f *flights) join(key flightKey, digest []byte) (one *flight, leads bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if one, ok := f.all[key]; ok {
		return one, false
	}
	one = &flight{digest: digest, done: make(chan struct{})}
	f.all[key] = one
	return one, true
}

// complete ends a flight; those who wait for it read its outcome.
func (f *flights) complete(key flightKey, one *flight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.all, key)
	close(one.done)
}

// wait returns the outcome of a flight that another request leads. again is true when
// that request gave up, so that the flight says nothing.
func (one *flight) wait(ctx context.Context, digest []byte) (result *dispatch.Result, again bool) {
	if !bytes.Equal(one.digest, digest) {
		return dispatch.Refused(mismatch()), false
	}
	select {
	case <-one.done:
	case <-ctx.Done():
		return dispatch.Refused(stillRunning()), false
	}
	switch {
	case one.refusal != nil:
		return dispatch.Refused(one.refusal), false
	case one.finish != nil:
		return replay(one.finish), false
	default:
		return nil, true
	}
}

// mismatch is the refusal of a request that reuses the key of another one.
func mismatch() *outcome.Refusal {
	return outcome.NotRun(outcome.IdempotencyReused, 0, "another request was sent with this Idempotency-Key")
}
