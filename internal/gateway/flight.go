package gateway

import (
	"bytes"
	"context"
	"sync"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
	"github.com/guavaford/guavaford/internal/dispatch"
	"github.com/guavaford/guavaford/internal/outcome"
)

// flightKey identifies a run by its organisation and Idempotency-Key.
type flightKey struct {
	organisation string
	key          string
}

// flight is a run that is in progress at this node, or the wait for a run at another node. The first request with a
// key leads it; resends through the same node wait for its outcome instead of each querying the control replicas.
type flight struct {
	digest []byte
	done   chan struct{}
	// finish and refusal are set before done is closed. Both are nil when the leading request gave up before the run
	// ended.
	finish  *apiv1.RunFinish
	refusal *outcome.Refusal
}

// flights holds the flights in progress at one node.
type flights struct {
	mu  sync.Mutex
	all map[flightKey]*flight
}

// newFlights returns an empty set.
func newFlights() *flights {
	return &flights{all: make(map[flightKey]*flight)}
}

// join returns the flight of a key, and creates it if there is none. leads is true if it was created: the caller must
// then complete it.
func (f *flights) join(key flightKey, digest []byte) (fl *flight, leads bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fl, ok := f.all[key]; ok {
		return fl, false
	}
	fl = &flight{digest: digest, done: make(chan struct{})}
	f.all[key] = fl
	return fl, true
}

// complete ends a flight and wakes the requests that wait for its outcome.
func (f *flights) complete(key flightKey, fl *flight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.all, key)
	close(fl.done)
}

// wait returns the outcome of a flight that another request leads. again is true when that request gave up, so that
// the flight has no outcome and the caller must join again.
func (fl *flight) wait(ctx context.Context, digest []byte) (result *dispatch.Result, again bool) {
	if !bytes.Equal(fl.digest, digest) {
		return dispatch.RefusedResult(mismatchRefusal()), false
	}
	select {
	case <-fl.done:
	case <-ctx.Done():
		return dispatch.RefusedResult(stillRunningRefusal()), false
	}
	switch {
	case fl.refusal != nil:
		return dispatch.RefusedResult(fl.refusal), false
	case fl.finish != nil:
		return replay(fl.finish), false
	default:
		return nil, true
	}
}

// mismatchRefusal returns the refusal of a request that reuses the Idempotency-Key of a different request.
func mismatchRefusal() *outcome.Refusal {
	return outcome.NotRun(outcome.IdempotencyKeyReused, 0, "another request was sent with this Idempotency-Key")
}
