package node

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/guavaford/guavaford/internal/clock"
)

// entries counts the requests of callers that are under way at this node.
type entries struct {
	running  atomic.Int64
	stopping atomic.Bool
}

// track counts the requests that a handler serves.
func (e *entries) track(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.running.Add(1)
		defer e.running.Add(-1)
		if e.stopping.Load() {
			// The caller opens its next connection elsewhere; this one is idle from here on.
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// entriesPoll is the time between two looks at the requests under way.
const entriesPoll = 10 * time.Millisecond

// wait returns nil when no request is under way, or the error of ctx when that ends first.
func (e *entries) wait(ctx context.Context) error {
	for e.running.Load() > 0 && ctx.Err() == nil {
		clock.Sleep(ctx, entriesPoll)
	}
	return ctx.Err()
}
