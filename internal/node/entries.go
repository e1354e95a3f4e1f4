package node

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/guavaford/guavaford/internal/clock"
)

// callerRequests counts the running requests of callers and tells whether the node stops.
type callerRequests struct {
	running  atomic.Int64
	stopping atomic.Bool
}

// track counts the requests that a handler serves.
func (c *callerRequests) track(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.running.Add(1)
		defer c.running.Add(-1)
		if c.stopping.Load() {
			// The caller opens its next connection to another node; this one carries no further request.
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// requestPollInterval is the time between two checks of the number of running requests.
const requestPollInterval = 10 * time.Millisecond

// wait waits until no request is running and returns nil, or the error of ctx if that ends first.
func (c *callerRequests) wait(ctx context.Context) error {
	for c.running.Load() > 0 && ctx.Err() == nil {
		clock.Sleep(ctx, requestPollInterval)
	}
	return ctx.Err()
}
